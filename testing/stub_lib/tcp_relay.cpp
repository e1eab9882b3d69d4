#include "stub_lib/tcp_relay.h"

#include <array>
#include <functional>
#include <future>
#include <set>
#include <thread>

#include <asio.hpp>

namespace foxtailturn {

namespace {

using asio::ip::tcp;

constexpr std::size_t kPieceBytes = 16384;

tcp::endpoint endpointOf(const std::string &host, int port)
{
    return {asio::ip::make_address(host), static_cast<unsigned short>(port)};
}

// State that all connections share. Used on the relay's thread only.
struct Shared
{
    RelaySetting setting_;
    RelayStats stats_;
};

enum class PumpEnd { Finished, Failed };

// Moves data from one socket to the other.
class Pump
{
public:
    // onEnd is called once, when the end of the data was passed on or either socket failed.
    Pump(tcp::socket &from, tcp::socket &to, Shared &shared, std::function<void(PumpEnd)> onEnd)
        : from_(from)
        , to_(to)
        , shared_(shared)
        , onEnd_(std::move(onEnd))
        , timer_(from.get_executor())
    { }

    // Reads the next piece. owner keeps the connection alive until then.
    void read(const std::shared_ptr<void> &owner)
    {
        from_.async_read_some(asio::buffer(piece_),
                              [this, owner](const std::error_code &error, std::size_t size) {
                                  size_ = size;
                                  error_ = error;
                                  isHeld_ = true;
                                  forward(owner);
                              });
    }

    // Passes the held piece on, unless the connection is silent.
    void forward(const std::shared_ptr<void> &owner)
    {
        if (!isHeld_ || isSilent())
            return;
        isHeld_ = false;
        if (shared_.setting_.mode_ != RelayMode::Delay) {
            write(owner);
            return;
        }
        timer_.expires_after(std::chrono::milliseconds(shared_.setting_.delayMs_));
        timer_.async_wait([this, owner](const std::error_code &error) {
            if (!error)
                write(owner);
        });
    }

    void silenceForGood() { isSilenced_ = true; }

    // Ends a wait for the delay, so that the connection can go.
    void stop() { timer_.cancel(); }

private:
    bool isSilent() const { return isSilenced_ || shared_.setting_.mode_ == RelayMode::Silent; }

    void write(const std::shared_ptr<void> &owner)
    {
        if (isSilent()) { // since the delay began
            isHeld_ = true;
            return;
        }
        if (error_ == asio::error::eof) {
            std::error_code ignored;
            to_.shutdown(tcp::socket::shutdown_send, ignored);
            onEnd_(PumpEnd::Finished);
            return;
        }
        if (error_) {
            onEnd_(PumpEnd::Failed);
            return;
        }
        asio::async_write(to_, asio::buffer(piece_, size_),
                          [this, owner](const std::error_code &error, std::size_t size) {
                              shared_.stats_.forwardedBytes_ += size;
                              if (error)
                                  onEnd_(PumpEnd::Failed);
                              else
                                  read(owner);
                          });
    }

    tcp::socket &from_;
    tcp::socket &to_;
    Shared &shared_;
    const std::function<void(PumpEnd)> onEnd_;
    asio::steady_timer timer_;
    std::array<char, kPieceBytes> piece_{};
    std::size_t size_ = 0; // of the piece
    std::error_code error_; // of the read that gave the piece
    bool isHeld_ = false; // a piece, an end or an error waits to be passed on
    bool isSilenced_ = false;
};

// One connection of a caller with its connection to the target.
class Link : public std::enable_shared_from_this<Link>
{
public:
    using Remove = std::function<void(const std::shared_ptr<Link> &)>;

    // remove is called when both connections are closed.
    Link(tcp::socket caller, Shared &shared, Remove remove)
        : caller_(std::move(caller))
        , target_(caller_.get_executor())
        , remove_(std::move(remove))
        , up_(caller_, target_, shared, [this](PumpEnd end) { endPump(end); })
        , down_(target_, caller_, shared, [this](PumpEnd end) { endPump(end); })
    { }

    void start(const tcp::endpoint &target)
    {
        target_.async_connect(target, [self = shared_from_this()](const std::error_code &error) {
            if (error) {
                self->reset();
                return;
            }
            std::error_code ignored;
            self->caller_.set_option(tcp::no_delay(true), ignored);
            self->target_.set_option(tcp::no_delay(true), ignored);
            self->up_.read(self);
            self->down_.read(self);
        });
    }

    // Passes on what was held.
    void resume()
    {
        up_.forward(shared_from_this());
        down_.forward(shared_from_this());
    }

    void silenceForGood()
    {
        up_.silenceForGood();
        down_.silenceForGood();
    }

    // Closes both connections with RST, as a failed network device does.
    void reset()
    {
        for (tcp::socket *socket : {&caller_, &target_}) {
            std::error_code ignored;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
        }
        close();
    }

private:
    void endPump(PumpEnd end)
    {
        ++endedPumps_;
        if (end == PumpEnd::Failed)
            reset();
        else if (endedPumps_ == 2)
            close();
    }

    void close()
    {
        std::error_code ignored;
        caller_.close(ignored);
        target_.close(ignored);
        up_.stop();
        down_.stop();
        remove_(shared_from_this());
    }

    tcp::socket caller_;
    tcp::socket target_;
    const Remove remove_;
    Pump up_;
    Pump down_;
    int endedPumps_ = 0;
};

} // namespace

class TcpRelay::Impl
{
public:
    Impl(const std::string &host, int port, const HostPort &target)
        : acceptor_(context_, endpointOf(host, port))
        , target_(endpointOf(target.host_, target.port_))
    {
        port_ = acceptor_.local_endpoint().port();
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~Impl()
    {
        context_.stop();
        thread_.join();
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    int port() const { return port_; }

    void setMode(const RelaySetting &setting)
    {
        onThread([&] { apply(setting); });
    }

    RelayStats stats()
    {
        RelayStats stats;
        onThread([&] {
            stats = shared_.stats_;
            stats.open_ = links_.size();
        });
        return stats;
    }

private:
    template <typename Function>
    void onThread(Function function)
    {
        std::promise<void> done;
        asio::post(context_, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    void accept()
    {
        acceptor_.async_accept([this](const std::error_code &error, tcp::socket caller) {
            if (!error)
                addLink(std::move(caller));
            accept();
        });
    }

    void addLink(tcp::socket caller)
    {
        ++shared_.stats_.accepted_;
        const auto remove = [this](const std::shared_ptr<Link> &link) { links_.erase(link); };
        const auto link = std::make_shared<Link>(std::move(caller), shared_, remove);
        links_.insert(link);
        if (shared_.setting_.mode_ == RelayMode::Cut)
            link->reset();
        else
            link->start(target_);
    }

    void apply(const RelaySetting &setting)
    {
        shared_.setting_ = setting;
        const std::set<std::shared_ptr<Link>> links = links_; // reset() removes from links_
        for (const std::shared_ptr<Link> &link : links) {
            if (setting.mode_ == RelayMode::Cut)
                link->reset();
            else if (setting.mode_ == RelayMode::SilenceOpen)
                link->silenceForGood();
            else
                link->resume();
        }
    }

    Shared shared_;
    asio::io_context context_;
    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    int port_ = 0;
    std::set<std::shared_ptr<Link>> links_; // a silent link has no operation that would own it
    std::thread thread_;
};

TcpRelay::TcpRelay(const std::string &host, int port, const HostPort &target)
    : impl_(std::make_unique<Impl>(host, port, target))
{ }

TcpRelay::~TcpRelay() = default;

int TcpRelay::port() const
{
    return impl_->port();
}

void TcpRelay::setMode(const RelaySetting &setting)
{
    impl_->setMode(setting);
}

RelayStats TcpRelay::stats()
{
    return impl_->stats();
}

} // namespace foxtailturn
