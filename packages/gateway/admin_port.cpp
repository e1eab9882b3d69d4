#include "gateway/admin_port.h"

#include <algorithm>

#include "gateway/target_connection.h"
#include "http1/message_parser.h"
#include "net/byte_stream.h"
#include "net/endpoint.h"

namespace foxtailturn::gateway {

namespace {

constexpr std::size_t kMaxHeaderBytes = 8192;
constexpr Duration kIdleTimeout = std::chrono::seconds(30);
constexpr std::size_t kMaxConnections = 64; // the one that was last used longest ago is closed
constexpr std::size_t kMaxUnsentBytes = 262'144; // for a client that does not read

} // namespace

class AdminPort::Connection final : public std::enable_shared_from_this<Connection>, MessageSink
{
public:
    Connection(AdminPort &port, asio::ip::tcp::socket socket)
        : port_(port)
        , stream_(ByteStream::create(std::move(socket)))
        , parser_(MessageKind::Request, kMaxHeaderBytes, *this)
        , timer_(port.context_)
    { }

    void start()
    {
        const auto self = shared_from_this();
        stream_->start([self](std::string_view data) { self->onData(data); },
                       [self](const asio::error_code &) { self->timer_.cancel(); });
        armTimer();
    }

    void close()
    {
        timer_.cancel();
        stream_->close();
    }

    [[nodiscard]] bool isOpen() const { return stream_->isOpen(); }
    [[nodiscard]] std::uint64_t lastUse() const { return lastUse_; }

private:
    void armTimer()
    {
        lastUse_ = ++port_.uses_;
        timer_.expires_after(kIdleTimeout);
        timer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error)
                self->stream_->close();
        });
    }

    void onData(std::string_view data)
    {
        while (!data.empty() && stream_->isOpen()) {
            data.remove_prefix(parser_.feed(data));
            if (parser_.error()) {
                timer_.cancel();
                stream_->close();
                return;
            }
            if (parser_.isComplete()) {
                parser_.next();
                answer();
                if (stream_->queuedBytes() > kMaxUnsentBytes)
                    close();
            }
        }
    }

    void answer()
    {
        armTimer();
        const std::string path = head_.target_.substr(0, head_.target_.find('?'));
        const auto handler = port_.handlers_.find(path);
        const AdminAnswer answer =
            handler == port_.handlers_.end() ? AdminAnswer{404, "not found\n"} : handler->second();
        MessageHead out;
        out.status_ = answer.status_;
        out.add("Content-Type", answer.type_);
        out.add("Content-Length", std::to_string(answer.body_.size()));
        if (!head_.keepsAlive_)
            out.add("Connection", "close");
        stream_->send(responseText(out) + (head_.method_ == "HEAD" ? "" : answer.body_));
        if (!head_.keepsAlive_) {
            timer_.cancel();
            stream_->finish();
        }
    }

    void onHead(MessageHead head) override { head_ = std::move(head); }
    void onBody(std::string_view) override { }
    void onMessageEnd() override { }

    AdminPort &port_;
    std::shared_ptr<ByteStream> stream_;
    MessageParser parser_;
    asio::steady_timer timer_;
    MessageHead head_;
    std::uint64_t lastUse_ = 0; // by its place in the order of all uses
};

AdminPort::AdminPort(asio::io_context &context)
    : context_(context)
{ }

void AdminPort::serve(const std::string &path, Handler handler)
{
    handlers_[path] = std::move(handler);
}

Result<void> AdminPort::listen(const std::string &address)
{
    auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(context_);
    if (Result<void> listening = listenOn(*acceptor, address); !listening)
        return listening;
    accept(acceptor);
    return {};
}

void AdminPort::accept(const std::shared_ptr<asio::ip::tcp::acceptor> &acceptor)
{
    acceptor->async_accept(
        [this, acceptor](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (!acceptor->is_open())
                return;
            if (!error) {
                makeRoom();
                auto connection = std::make_shared<Connection>(*this, std::move(socket));
                connections_.push_back(connection);
                connection->start();
            }
            accept(acceptor);
        });
}

void AdminPort::makeRoom()
{
    std::erase_if(connections_, [](const std::weak_ptr<Connection> &weak) {
        const std::shared_ptr<Connection> connection = weak.lock();
        return !connection || !connection->isOpen();
    });
    if (connections_.size() < kMaxConnections)
        return;
    const auto oldest = std::min_element(
        connections_.begin(), connections_.end(),
        [](const auto &a, const auto &b) { return a.lock()->lastUse() < b.lock()->lastUse(); });
    oldest->lock()->close();
    connections_.erase(oldest);
}

} // namespace foxtailturn::gateway
