#include "gateway/target_connection.h"

#include <doctest/doctest.h>

#include "gateway/codec_testing.h"
#include "gateway/read_limits.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

struct Recorder final : ExchangeSink
{
    void onReplyHead(const MessageHead &head, const TargetReply &) override
    {
        status_ = head.status_;
    }
    void onReplyBody(std::string_view data) override
    {
        body_ += data;
        if (paused_)
            paused_->pause();
    }
    void onReplyEnd() override { ++ends_; }
    void onExchangeFailure(const Error &error) override { error_ = error; }

    int status_ = 0;
    std::string body_;
    int ends_ = 0;
    std::optional<Error> error_;
    std::shared_ptr<TargetConnection> paused_; // at each part of the body
};

// A loopback server whose responses the test writes by hand.
struct Fixture
{
    Fixture()
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , peer_(context_)
        , pool_(context_, codec_, clock_)
        , address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))
    { }

    std::shared_ptr<TargetConnection> connect()
    {
        auto connection = pool_.acquire(address_, clock_.now() + std::chrono::seconds(2));
        return connection;
    }

    void accept() { peer_ = acceptor_.accept(); }

    // Runs the loop until the condition holds, for two seconds at most.
    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const TimePoint until = clock_.now() + std::chrono::seconds(2);
        while (!condition() && clock_.now() < until) {
            context_.restart();
            context_.run_for(milliseconds(5));
        }
        return condition();
    }

    void reply(const std::string &text) { asio::write(peer_, asio::buffer(text)); }

    std::string readRequest()
    {
        runUntil([this] { return peer_.available() > 0; });
        std::string text(peer_.available(), '\0');
        asio::read(peer_, asio::buffer(text));
        return text;
    }

    asio::io_context context_;
    SystemClock clock_;
    PlainCodec codec_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket peer_;
    ConnectionPool pool_;
    std::string address_;
};

constexpr const char *kAnswer = "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("a connection is kept alive and reused")
{
    Fixture fixture;
    Recorder recorder;
    fixture.connect()->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, recorder);
    fixture.accept();
    CHECK(fixture.readRequest() == "GET / HTTP/1.1\r\n\r\n");
    fixture.reply(kAnswer);
    CHECK(fixture.runUntil([&] { return recorder.ends_ == 1; }));
    CHECK(recorder.body_ == "ok");
    Recorder second;
    fixture.connect()->exchange("GET /2 HTTP/1.1\r\n\r\n", "7", false, second);
    CHECK(fixture.readRequest() == "GET /2 HTTP/1.1\r\n\r\n");
    CHECK(fixture.pool_.opened() == 1);
    CHECK(fixture.pool_.reused() == 1);
}

TEST_CASE("a request is made up when it can be written, and only if it still may be")
{
    Fixture fixture;
    Recorder recorder;
    int calls = 0;
    const RequestWriter write = [&] {
        ++calls;
        return std::optional<std::string>("GET / HTTP/1.1\r\n\r\n");
    };
    fixture.connect()->exchange(write, "7", false, recorder);
    CHECK(calls == 0);
    fixture.accept();
    CHECK(fixture.readRequest() == "GET / HTTP/1.1\r\n\r\n");
    fixture.reply(kAnswer);
    CHECK(fixture.runUntil([&] { return recorder.ends_ == 1; }));
    fixture.connect()->exchange(write, "7", false, recorder);
    CHECK(calls == 2); // the connection is reused
    Recorder unsent;
    const auto connection = fixture.connect();
    connection->exchange(
        [&] {
            ++calls;
            connection->abandon();
            return std::optional<std::string>();
        },
        "7", false, unsent);
    CHECK(fixture.runUntil([&] { return calls == 3; }));
    CHECK_FALSE(connection->hasSent());
    CHECK_FALSE(unsent.error_);
    fixture.accept();
    char byte = 0;
    asio::error_code error;
    CHECK(fixture.peer_.receive(asio::buffer(&byte, 1), 0, error) == 0);
    CHECK(error == asio::error::eof);
}

TEST_CASE("what a target has sent is seen before the loop reads it")
{
    Fixture fixture;
    Recorder recorder;
    const auto connection = fixture.connect();
    CHECK_FALSE(connection->hasUnread());
    connection->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, recorder);
    fixture.accept();
    fixture.readRequest();
    CHECK_FALSE(connection->hasUnread());
    fixture.reply(kAnswer);
    CHECK(connection->hasUnread());
    CHECK(fixture.runUntil([&] { return recorder.ends_ == 1; }));
    CHECK_FALSE(connection->hasUnread());
    fixture.peer_.close();
    CHECK(connection->hasUnread());
}

// Guards against a reused connection whose answer is never read: a slow caller pauses it with the
// last bytes of an answer, and drains them when the connection is idle.
TEST_CASE("a connection that was paused at the end of an answer is read when it is reused")
{
    Fixture fixture;
    Recorder first;
    first.paused_ = fixture.connect();
    first.paused_->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, first);
    fixture.accept();
    fixture.readRequest();
    fixture.reply(kAnswer);
    CHECK(fixture.runUntil([&] { return first.ends_ == 1; }));
    Recorder second;
    fixture.connect()->exchange("GET /2 HTTP/1.1\r\n\r\n", "7", false, second);
    CHECK(fixture.pool_.reused() == 1);
    CHECK(fixture.readRequest() == "GET /2 HTTP/1.1\r\n\r\n");
    fixture.reply(kAnswer);
    CHECK(fixture.runUntil([&] { return second.ends_ == 1; }));
}

TEST_CASE("a check tells whether a target accepts connections, and keeps the connection")
{
    Fixture fixture;
    std::vector<Reachability> results;
    const auto check = [&] {
        fixture.pool_.check(fixture.address_, fixture.clock_.now() + std::chrono::seconds(2),
                            [&](Reachability result) { results.push_back(result); });
        const std::size_t count = results.size();
        fixture.runUntil([&] { return results.size() > count; });
    };
    CHECK_FALSE(fixture.pool_.hasOpenIdle(fixture.address_, fixture.clock_.now()));
    const TimePoint began = fixture.clock_.now();
    check();
    fixture.accept();
    CHECK(fixture.pool_.hasOpenIdle(fixture.address_, fixture.clock_.now()));
    CHECK_FALSE(fixture.pool_.hasOpenIdle(fixture.address_, began));
    Recorder recorder;
    fixture.connect()->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, recorder);
    CHECK(fixture.readRequest() == "GET / HTTP/1.1\r\n\r\n");
    CHECK(fixture.pool_.reused() == 1);
    CHECK_FALSE(fixture.pool_.hasOpenIdle(fixture.address_, fixture.clock_.now()));
    fixture.acceptor_.close();
    check();
    CHECK(results == std::vector{Reachability::Reachable, Reachability::Refused});
}

// Guards against forwarding the response to another request: a faulty target may send one late,
// where the next response is expected.
TEST_CASE("a response with another request id is skipped")
{
    Fixture fixture;
    Recorder recorder;
    fixture.connect()->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, recorder);
    fixture.accept();
    fixture.readRequest();
    fixture.reply("HTTP/1.1 500 No\r\nId: 6\r\nContent-Length: 3\r\n\r\nbad");
    fixture.reply(kAnswer);
    CHECK(fixture.runUntil([&] { return recorder.ends_ == 1; }));
    CHECK(recorder.status_ == 200);
    CHECK(recorder.body_ == "ok");
}

// Guards against an exchange that goes on until its deadline while a target sends interim responses
// or responses to other requests without end.
TEST_CASE("an exchange fails after too many bytes before its response")
{
    const std::string cases[] = {
        "HTTP/1.1 103 Early\r\nPad: " + std::string(60'000, 'x') + "\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 60000\r\n\r\n" + std::string(60'000, 'x'),
    };
    for (const std::string &skipped : cases) {
        Fixture fixture;
        Recorder recorder;
        fixture.connect()->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, recorder);
        fixture.accept();
        fixture.readRequest();
        std::size_t sent = 0;
        while (!recorder.error_ && sent < 4 * read_limits::kMaxSkippedBytes) {
            asio::error_code ignored; // the connection is reset in the end
            asio::write(fixture.peer_, asio::buffer(skipped), ignored);
            sent += skipped.size();
            fixture.runUntil([&] { return recorder.error_ || fixture.context_.poll() == 0; });
        }
        REQUIRE(recorder.error_);
        CHECK(recorder.error_->execution_ == Execution::OutcomeUnknown);
        CHECK(sent > read_limits::kMaxSkippedBytes);
        CHECK(recorder.status_ == 0);
    }
}

// Guards against the reuse of a connection that has received unsolicited bytes.
TEST_CASE("unsolicited bytes after a response close the connection")
{
    Fixture fixture;
    Recorder recorder;
    fixture.connect()->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, recorder);
    fixture.accept();
    fixture.readRequest();
    fixture.reply(std::string(kAnswer) + kAnswer);
    CHECK(fixture.runUntil([&] { return recorder.ends_ == 1; }));
    Recorder second;
    fixture.connect()->exchange("GET /2 HTTP/1.1\r\n\r\n", "7", false, second);
    CHECK(fixture.pool_.opened() == 2);
}

// Guards against requests that reach a target after their caller has left: bytes delayed by a
// network fault are delivered after an orderly close, but not after a reset (hunt-a942-15).
TEST_CASE("abandon() during an exchange resets the connection")
{
    Fixture fixture;
    Recorder recorder;
    const auto connection = fixture.connect();
    connection->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, recorder);
    fixture.accept();
    fixture.readRequest();
    connection->abandon();
    char byte = 0;
    asio::error_code error;
    fixture.peer_.read_some(asio::buffer(&byte, 1), error);
    CHECK(error == asio::error::connection_reset);
    CHECK_FALSE(recorder.error_);
}

// Guards against reporting NotRun for a request that may have run, and the reverse.
TEST_CASE("a failure tells whether the target may have received the request")
{
    Fixture fixture;
    Recorder sent;
    fixture.connect()->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, sent);
    fixture.accept();
    fixture.readRequest();
    fixture.peer_.close();
    CHECK(fixture.runUntil([&] { return sent.error_.has_value(); }));
    CHECK(sent.error_->execution_ == Execution::OutcomeUnknown);

    fixture.acceptor_.close();
    Recorder unsent;
    fixture.connect()->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, unsent);
    CHECK(fixture.runUntil([&] { return unsent.error_.has_value(); }));
    CHECK(unsent.error_->execution_ == Execution::NotRun);
}

// Guards against taking a truncated response for a complete one.
TEST_CASE("a truncated response fails; one without a length ends when the connection closes")
{
    struct Case
    {
        std::string answer_;
        bool isWhole_;
    };
    const Case cases[] = {
        {"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 5\r\n\r\nab", false},
        {"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false},
        {"HTTP/1.1 200 OK\r\nId: 7\r\n\r\nab", true},
        {"not http at all\r\n\r\n", false},
    };
    for (const Case &c : cases) {
        CAPTURE(c.answer_);
        Fixture fixture;
        Recorder recorder;
        fixture.connect()->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, recorder);
        fixture.accept();
        fixture.readRequest();
        fixture.reply(c.answer_);
        fixture.peer_.shutdown(asio::ip::tcp::socket::shutdown_send);
        CHECK(fixture.runUntil([&] { return recorder.ends_ + recorder.error_.has_value() > 0; }));
        CHECK((recorder.ends_ == 1) == c.isWhole_);
    }
}

// Guards against a target that closes within the head of its response, which would then be taken
// for a response without a body.
TEST_CASE("a response whose head is cut at any byte fails")
{
    for (const std::string before : {"", "HTTP/1.1 103 Early\r\n\r\n"}) {
        const std::string head = before + "HTTP/1.1 200 OK\r\nId: 7\r\nConnection: close\r\n\r\n";
        for (std::size_t size = before.size(); size < head.size(); ++size) {
            CAPTURE(head.substr(0, size));
            Fixture fixture;
            Recorder recorder;
            fixture.connect()->exchange("GET / HTTP/1.1\r\n\r\n", "7", false, recorder);
            fixture.accept();
            fixture.readRequest();
            fixture.reply(head.substr(0, size));
            fixture.peer_.shutdown(asio::ip::tcp::socket::shutdown_send);
            CHECK(fixture.runUntil([&] { return recorder.error_.has_value(); }));
            CHECK(recorder.error_->execution_ == Execution::OutcomeUnknown);
            CHECK(recorder.status_ == 0);
            CHECK(recorder.ends_ == 0);
        }
    }
}

// Guards against sending the next request where the target still expects the rest of a body: it may
// respond before it has read a long body.
TEST_CASE("after an early response the rest of the body is still sent")
{
    Fixture fixture;
    Recorder recorder;
    const std::string body(8'000'000, 'x');
    fixture.connect()->exchange("POST / HTTP/1.1\r\n\r\n" + body, "7", false, recorder);
    fixture.accept();
    fixture.runUntil([&] { return fixture.peer_.available() > 0; });
    fixture.reply(kAnswer);
    CHECK(fixture.runUntil([&] { return recorder.ends_ == 1; }));
    std::size_t received = 0;
    std::vector<char> buffer(1'000'000);
    fixture.runUntil([&] {
        asio::error_code error;
        while (fixture.peer_.available() > 0)
            received += fixture.peer_.read_some(asio::buffer(buffer), error);
        return received >= body.size();
    });
    CHECK(received == body.size() + std::string("POST / HTTP/1.1\r\n\r\n").size());
    fixture.connect();
    CHECK(fixture.pool_.opened() == 2);
}

// Guards against forwarding a request after its caller has left when the event loop is late.
TEST_CASE("hasPeerClosed() detects a close that the event loop has not handled yet")
{
    Fixture fixture;
    asio::ip::tcp::socket socket(fixture.context_);
    socket.connect(fixture.acceptor_.local_endpoint());
    fixture.accept();
    const auto stream = ByteStream::create(std::move(socket));
    CHECK_FALSE(stream->hasPeerClosed());
    fixture.peer_.close();
    CHECK(fixture.runUntil([&] { return stream->hasPeerClosed(); }));
    stream->close();
    CHECK(stream->hasPeerClosed());
}

TEST_CASE("endpointOf() accepts only an IP address with a port")
{
    CHECK(endpointOf("10.0.0.1:80"));
    for (const std::string bad : {"", "10.0.0.1", "host:80", "10.0.0.1:0", "10.0.0.1:99999",
                                  "10.0.0.1:80x", "10.0.0.1:+80", "10.0.0.1: 80", ":80"}) {
        CAPTURE(bad);
        CHECK_FALSE(endpointOf(bad));
    }
}

} // namespace foxtailturn::gateway
