#include "http1/http_exchange.h"

#include <asio.hpp>
#include <doctest/doctest.h>

#include <thread>

namespace foxtailturn {

namespace {

constexpr auto kDeadline = std::chrono::seconds(5);

// A loopback server that answers one connection: with the first bytes, then with others again and
// again until its peer closes, if there are any.
class Server
{
public:
    Server(std::string first, std::string repeated)
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , port_(acceptor_.local_endpoint().port())
        , thread_([this, first = std::move(first), repeated = std::move(repeated)] {
            serve(first, repeated);
        })
    { }
    ~Server() { thread_.join(); }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    [[nodiscard]] int port() const { return port_; }

private:
    void serve(const std::string &first, const std::string &repeated)
    {
        asio::ip::tcp::socket peer = acceptor_.accept();
        std::string request;
        asio::read_until(peer, asio::dynamic_buffer(request), "\r\n\r\n");
        asio::error_code error;
        asio::write(peer, asio::buffer(first), error);
        while (!error && !repeated.empty())
            asio::write(peer, asio::buffer(repeated), error);
        peer.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    int port_;
    std::thread thread_;
};

std::string times(std::string_view text, int count)
{
    std::string all;
    for (int i = 0; i < count; ++i)
        all += text;
    return all;
}

} // namespace

TEST_CASE("an answer comes whole in each framing")
{
    const SystemClock clock;
    for (const std::string answer : {
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
             "chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
             "HTTP/1.1 200 OK\r\n\r\nwhole",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
         }) {
        CAPTURE(answer);
        const Server server(answer, "");
        const HttpExchange exchange("127.0.0.1", server.port(), clock);
        const Result<BufferedAnswer> result = exchange.get("/", clock.now() + kDeadline);
        REQUIRE(result);
        CHECK(*result == BufferedAnswer{200, "whole"});
    }
}

namespace {

// Keeps an answer.
class Recorder : public TargetSink
{
public:
    explicit Recorder(bool accepts)
        : accepts_(accepts)
    { }

    bool onHead(int, const std::string &) override { return true; }
    bool onData(std::string_view data) override
    {
        body_ += data;
        return true;
    }
    [[nodiscard]] bool acceptsUnstatedEnd() const override { return accepts_; }

    std::string body_;

private:
    bool accepts_;
};

} // namespace

// Guards against a cut answer that is passed on, or recorded for good, as whole.
TEST_CASE("an answer that ends by a close has failed unless the sink accepts it")
{
    struct Case
    {
        std::string answer_;
        bool accepts_;
        bool isWhole_;
    };
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const Case cases[] = {
        {status + "\r\nwhole", false, false},
        {status + "\r\nwho", false, false},
        {status + "\r\n", false, false},
        {"HTTP/1.0 200 OK\r\n\r\nwhole", false, false},
        {"HTTP/1.1 100 Continue\r\n\r\n" + status + "\r\nwhole", false, false},
        {status + "\r\nwhole", true, true},
        {status + "Content-Length: 5\r\n\r\nwhole", false, true},
        {status + "Content-Length: 5\r\n\r\nwho", true, false},
        {status + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", false, true},
        {status + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", true, false},
        {"HTTP/1.1 204 No Content\r\n\r\n", false, true},
    };
    const SystemClock clock;
    for (const Case &c : cases) {
        CAPTURE(c.answer_);
        CAPTURE(c.accepts_);
        const Server server(c.answer_, "");
        const HttpExchange exchange("127.0.0.1", server.port(), clock);
        MessageHead head;
        head.method_ = "GET";
        head.target_ = "/";
        Recorder sink(c.accepts_);
        const Result<void> result = exchange.run(head, "", clock.now() + kDeadline, sink);
        CHECK(result.has_value() == c.isWhole_);
        if (!result) {
            CHECK(result.error().code_ == ErrorCode::TargetFailed);
            CHECK(result.error().execution_ == Execution::OutcomeUnknown);
        }
    }
}

// Guards against memory that grows, and a call that is held to its deadline, with a target that
// sends bytes without end.
TEST_CASE("bytes without end fail the call long before its deadline")
{
    struct Case
    {
        std::string first_;
        std::string repeated_;
    };
    const std::string noise(65'536, 'x');
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const Case cases[] = {
        {"", noise},
        {status, noise},
        {status + "A: ", noise},
        {status, times("A: bbbbbbb\r\n", 5000)},
        {"", times("HTTP/1.1 100 Continue\r\n\r\n", 2000)},
        {status + "Content-Length: 1000000000000\r\n\r\n", noise},
        {status + "\r\n", noise},
        {status + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + noise + "\r\n"},
        {status + "Transfer-Encoding: chunked\r\n\r\n1;", noise},
        {status + "Transfer-Encoding: chunked\r\n\r\n0\r\n", times("A: bbbbbbb\r\n", 5000)},
    };
    const SystemClock clock;
    for (const Case &c : cases) {
        CAPTURE(c.first_);
        CAPTURE(c.repeated_.substr(0, 30));
        const Server server(c.first_, c.repeated_);
        const HttpExchange exchange("127.0.0.1", server.port(), clock);
        const TimePoint begin = clock.now();
        const Result<BufferedAnswer> result = exchange.get("/", begin + kDeadline);
        REQUIRE_FALSE(result);
        CHECK(result.error().code_ == ErrorCode::TargetFailed);
        CHECK(result.error().execution_ == Execution::OutcomeUnknown);
        CHECK(clock.now() - begin < kDeadline / 2);
    }
}

// Guards against a call that outlives its deadline with a target that says nothing.
TEST_CASE("a silent target fails the call at its deadline")
{
    const SystemClock clock;
    asio::io_context context;
    asio::ip::tcp::acceptor silent(context, {asio::ip::make_address("127.0.0.1"), 0});
    const HttpExchange exchange("127.0.0.1", silent.local_endpoint().port(), clock);
    const Result<BufferedAnswer> result =
        exchange.get("/", clock.now() + std::chrono::milliseconds(100));
    REQUIRE_FALSE(result);
    CHECK(result.error().code_ == ErrorCode::TargetTimeout);
}

// Guards against "outcome unknown" for a call that can't have reached the target.
TEST_CASE("a refused connection is not run")
{
    const SystemClock clock;
    asio::io_context context;
    asio::ip::tcp::acceptor closed(context, {asio::ip::make_address("127.0.0.1"), 0});
    const int port = closed.local_endpoint().port();
    closed.close();
    const Result<BufferedAnswer> result =
        HttpExchange("127.0.0.1", port, clock).get("/", clock.now() + kDeadline);
    REQUIRE_FALSE(result);
    CHECK(result.error().execution_ == Execution::NotRun);
}

} // namespace foxtailturn
