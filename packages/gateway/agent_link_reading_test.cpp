// How an AgentLink reads: backpressure and silence.

#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "gateway/agent_link.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kIdleTimeout(60);
constexpr milliseconds kLonger(120);

// A link to a peer whose socket blocks.
struct Fixture
{
    asio::io_context context_;
    asio::io_context peerContext_;
    asio::ip::tcp::acceptor acceptor_{peerContext_,
                                      asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    asio::ip::tcp::socket peer_{peerContext_};
    std::vector<std::string> lines_;
    int messages_ = 0;
    int losses_ = 0; // of the connection
    std::shared_ptr<AgentLink> link_;

    explicit Fixture(bool readsLines)
    {
        AgentLink::Handlers handlers;
        handlers.onState_ = [this](bool isLinked) { losses_ += isLinked ? 0 : 1; };
        handlers.onMessage_ = [this](const AgentMessage &) { ++messages_; };
        if (readsLines)
            handlers.onLines_ = [this](const std::vector<std::string> &lines) {
                lines_.insert(lines_.end(), lines.begin(), lines.end());
            };
        link_ = std::make_shared<AgentLink>(
            context_, "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()),
            std::move(handlers), kIdleTimeout);
        link_->start();
        acceptor_.accept(peer_);
        run(milliseconds(20));
        REQUIRE(link_->isConnected());
    }

    void send(const std::string &text) { asio::write(peer_, asio::buffer(text)); }

    void run(Duration time)
    {
        context_.restart();
        context_.run_for(time);
    }
};

} // namespace

// Guards against lines that pile up in the process while they wait to be decoded, and against a
// connection that is dropped for silence while nothing of it is read.
TEST_CASE("a link reads on when its lines are handled")
{
    Fixture f(true);
    f.send("a\nb\nc");
    f.run(milliseconds(20));
    CHECK(f.lines_ == std::vector<std::string>{"a", "b"});
    f.send("d\ne\n");
    f.run(kLonger);
    CHECK(f.lines_.size() == 2);
    CHECK(f.link_->isConnected());
    CHECK(f.losses_ == 0);
    f.link_->resume();
    f.run(milliseconds(20));
    CHECK(f.lines_ == std::vector<std::string>{"a", "b", "cd", "e"});
    f.link_->resume();
    f.run(kLonger);
    CHECK(f.losses_ == 1); // silent; it may be connected again by now
}

TEST_CASE("a part of a line is read on without a call")
{
    Fixture f(true);
    f.send("a");
    f.run(milliseconds(20));
    f.send("b\n");
    f.run(milliseconds(20));
    CHECK(f.lines_ == std::vector<std::string>{"ab"});
    f.link_->stop();
    f.link_->resume();
}

// Guards against an entry that is late and takes its own delay for the peer's silence.
TEST_CASE("bytes that are read in the turn in which the idle time ends keep the connection")
{
    Fixture f(false);
    f.send("{}\n");
    std::this_thread::sleep_for(kLonger);
    f.run(milliseconds(20));
    CHECK(f.messages_ == 1);
    CHECK(f.link_->isConnected());
}

// Guards against the same with more ready sockets than one poll of the event loop returns.
TEST_CASE("bytes of many links that are ready when their idle times end keep the connections")
{
    constexpr std::size_t kLinks = 200;
    asio::io_context context;
    asio::io_context peerContext;
    asio::ip::tcp::acceptor acceptor(peerContext,
                                     asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::vector<std::shared_ptr<AgentLink>> links;
    std::vector<asio::ip::tcp::socket> peers;
    std::size_t lost = 0;
    for (std::size_t i = 0; i < kLinks; ++i) {
        AgentLink::Handlers handlers;
        handlers.onState_ = [&lost](bool isLinked) { lost += isLinked ? 0 : 1; };
        handlers.onMessage_ = [](const AgentMessage &) {};
        links.push_back(std::make_shared<AgentLink>(
            context, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
            std::move(handlers), milliseconds(500)));
        links.back()->start();
        peers.push_back(acceptor.accept());
    }
    context.run_for(milliseconds(100));
    for (const auto &link : links)
        REQUIRE(link->isConnected());
    // Another timer, such as that of the upkeep, comes before the bytes.
    asio::steady_timer upkeep(context, milliseconds(20));
    upkeep.async_wait([](const asio::error_code &) {});
    std::this_thread::sleep_for(milliseconds(100));
    for (auto &peer : peers)
        asio::write(peer, asio::buffer(std::string("{}\n")));
    std::this_thread::sleep_for(milliseconds(600));
    context.restart();
    context.run_for(milliseconds(50));
    CHECK(lost == 0);
}

} // namespace foxtailturn::gateway
