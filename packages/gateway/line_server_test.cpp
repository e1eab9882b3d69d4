#include "gateway/line_server.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using asio::ip::tcp;

struct Fixture
{
    Fixture()
    {
        server_.onLines([this](int peer, const std::vector<std::string> &lines) {
            lines_.insert(lines_.end(), lines.begin(), lines.end());
            server_.send(peer, "answer\n");
        });
        server_.onConnected([this](int) { ++connects_; });
        server_.onDisconnected([this](int) { ++disconnects_; });
    }

    // Runs the event loop until the condition holds or five seconds have passed. Returns the
    // condition.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < until)
            context_.run_one_for(std::chrono::milliseconds(20));
        return condition();
    }

    tcp::socket connect()
    {
        tcp::socket socket(context_);
        socket.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port_));
        return socket;
    }

    // Returns a port that was free at the time of the call.
    static unsigned short freePort(asio::io_context &context)
    {
        const tcp::acceptor acceptor(context,
                                     tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        return acceptor.local_endpoint().port();
    }

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    asio::io_context context_;
    unsigned short port_ = freePort(context_);
    LineServer server_{context_};
    std::vector<std::string> lines_;
    int connects_ = 0;
    int disconnects_ = 0;
};

} // namespace

TEST_CASE("lines are exchanged; connecting and disconnecting peers are reported")
{
    Fixture f;
    REQUIRE(f.server_.listen(f.address()));
    CHECK_FALSE(f.server_.listen("no address"));
    tcp::socket peer = f.connect();
    asio::write(peer, asio::buffer(std::string("one\ntw")));
    CHECK(f.runUntil([&] { return f.lines_.size() == 1; }));
    asio::write(peer, asio::buffer(std::string("o\n")));
    CHECK(f.runUntil([&] { return f.lines_.size() == 2; }));
    CHECK(f.lines_ == std::vector<std::string>{"one", "two"});
    CHECK(f.connects_ == 1);
    CHECK(f.server_.peers() == 1);
    std::string answer(7, ' ');
    asio::read(peer, asio::buffer(answer));
    CHECK(answer == "answer\n");
    peer.close();
    CHECK(f.runUntil([&] { return f.disconnects_ == 1; }));
    CHECK(f.server_.peers() == 0);
}

// Guards against unbounded buffers for a peer that sends no line end or does not read.
TEST_CASE("a peer that sends an overlong line or does not read is disconnected")
{
    Fixture f;
    REQUIRE(f.server_.listen(f.address()));
    tcp::socket unterminated = f.connect();
    CHECK(f.runUntil([&] { return f.connects_ == 1; }));
    unterminated.non_blocking(true);
    const std::string chunk(16'384, 'x');
    CHECK(f.runUntil([&] {
        asio::error_code ignored; // fails once the server has closed the connection
        unterminated.write_some(asio::buffer(chunk), ignored);
        return f.disconnects_ == 1;
    }));
    tcp::socket nonReading = f.connect();
    CHECK(f.runUntil([&] { return f.connects_ == 2; }));
    const std::string line = std::string(60'000, 'y') + "\n";
    CHECK(f.runUntil([&] {
        f.server_.sendAll(line);
        return f.disconnects_ == 2;
    }));
    CHECK(f.server_.peers() == 0);
}

// Guards against a peer that is disconnected because it sends many short lines at once.
TEST_CASE("a peer may send more than the bound in complete lines")
{
    Fixture f;
    REQUIRE(f.server_.listen(f.address()));
    tcp::socket peer = f.connect();
    constexpr std::size_t kLines = 200;
    std::string text;
    for (std::size_t i = 0; i < kLines; ++i)
        text += std::string(1000, 'x') + "\n";
    asio::write(peer, asio::buffer(text));
    CHECK(f.runUntil([&] { return f.lines_.size() == kLines; }));
    CHECK(f.disconnects_ == 0);
}

TEST_CASE("lines to all peers but one")
{
    Fixture f;
    REQUIRE(f.server_.listen(f.address()));
    tcp::socket first = f.connect();
    CHECK(f.runUntil([&] { return f.connects_ == 1; }));
    tcp::socket second = f.connect();
    CHECK(f.runUntil([&] { return f.connects_ == 2; }));
    f.server_.sendOthers(1, "news\n");
    std::string received(5, ' ');
    asio::read(second, asio::buffer(received));
    CHECK(received == "news\n");
    CHECK(first.available() == 0);
}

TEST_CASE("a silent peer gives way to a new one, and one that speaks does not")
{
    Fixture f;
    f.server_.limitPeers(2);
    REQUIRE(f.server_.listen(f.address()));
    tcp::socket speaking = f.connect();
    asio::write(speaking, asio::buffer("line\n", 5));
    REQUIRE(f.runUntil([&] { return !f.lines_.empty(); }));
    const tcp::socket silent = f.connect();
    REQUIRE(f.runUntil([&] { return f.connects_ == 2; }));
    const tcp::socket next = f.connect();
    REQUIRE(f.runUntil([&] { return f.connects_ == 3; }));
    CHECK(f.disconnects_ == 1);
    CHECK(f.server_.peers() == 2);
    asio::write(speaking, asio::buffer("line\n", 5));
    CHECK(f.runUntil([&] { return f.lines_.size() == 2; }));
}

TEST_CASE("lines without end of many peers are bounded in all")
{
    constexpr int kPeers = 40; // of 60 kB each
    Fixture f;
    REQUIRE(f.server_.listen(f.address()));
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < kPeers; ++i) {
        sockets.push_back(f.connect());
        asio::write(sockets.back(), asio::buffer(std::string(60'000, 'x')));
    }
    CHECK(f.runUntil([&] { return f.disconnects_ > 0; }));
}

} // namespace foxtailturn::gateway
