#include "callers/caller_loop.h"

#include <asio.hpp>
#include <doctest/doctest.h>

namespace foxtailturn::callers {
namespace {

constexpr std::size_t kBodyLimit = 1000;
constexpr std::size_t kLargeAnswer = 16'777'216; // more than the buffers of sockets

// Answers with the body of the request.
class Echo final : public CallerService
{
public:
    explicit Echo(CallerLoop &loop)
        : loop_(loop)
    { }

    asio::io_context &context() override { return loop_.context(); }
    memory::MemoryAccount &memory() override { return loop_.memory(); }
    [[nodiscard]] TimePoint now() const override { return clock_.now(); }
    [[nodiscard]] CallerLimits limits() const override
    {
        return {.maxHeaderBytes_ = 500,
                .maxBodyBytes_ = kBodyLimit,
                .idleTimeout_ = std::chrono::milliseconds(300)};
    }
    [[nodiscard]] double jitter() override { return loop_.jitter(); }
    [[nodiscard]] Admission admit(const MessageHead &, std::string body, TimePoint,
                                  AnswerSink &answer) override
    {
        if (body == "refuse")
            return Refusal{503, "", "overloaded"};
        if (body == "large")
            body.resize(kLargeAnswer, 'x');
        return std::make_shared<EchoExchange>(std::move(body), answer);
    }
    [[nodiscard]] std::string requestIdOf(const MessageHead &) const override { return {}; }
    [[nodiscard]] std::string workspaceOf(const MessageHead &) const override { return {}; }
    [[nodiscard]] std::string refusalText(const Refusal &refusal) const override
    {
        return "HTTP/1.1 " + std::to_string(refusal.status_)
            + (refusal.closesConnection_ ? " closes " : " ") + refusal.code_
            + "\r\nContent-Length: 0\r\n\r\n";
    }
    void countRefusal(const Refusal &) override { }
    void logUnreadRequest(const Refusal &) override { }
    void recordShed(std::string_view, const memory::Holder &, std::size_t) override { }
    void recordAcceptFailure(const std::string &) override { }

private:
    class EchoExchange final : public Exchange
    {
    public:
        EchoExchange(std::string body, AnswerSink &answer)
            : body_(std::move(body))
            , answer_(answer)
        { }

        void start() override
        {
            answer_.sendAnswer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_.size())
                               + "\r\n\r\n" + body_);
            answer_.endAnswer();
        }
        void cancel() override { }
        void shutDown() override { }
        void onAnswerDrained() override { }

    private:
        std::string body_;
        AnswerSink &answer_;
    };

    CallerLoop &loop_;
    SystemClock clock_;
};

struct Fixture
{
    SystemClock clock_;
    CallerLoop loop_{clock_, memory::MemoryBounds::forMachine(1'000'000'000)};
    Echo echo_{loop_};
    asio::io_context context_;
    asio::ip::tcp::endpoint address_;

    explicit Fixture(std::size_t maxConnections = 8)
    {
        {
            const asio::ip::tcp::acceptor probe(
                context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            address_ = probe.local_endpoint();
        }
        REQUIRE(loop_.start(echo_, "127.0.0.1:" + std::to_string(address_.port()), maxConnections));
    }

    ~Fixture() { loop_.stop(); }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(context_);
        socket.connect(address_);
        return socket;
    }

    static std::string post(const std::string &fields, const std::string &body)
    {
        return "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body;
    }

    // Returns the first line of the answer, and the body if there is one.
    std::string send(const std::string &request)
    {
        asio::ip::tcp::socket socket = connect();
        asio::error_code ignored; // closed after a refusal
        asio::write(socket, asio::buffer(request), ignored);
        std::string text;
        asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ignored);
        return text.substr(0, text.find("\r\n"));
    }
};

} // namespace

TEST_CASE("requests are answered, or refused with the reason")
{
    struct Case
    {
        std::string request_;
        std::string answer_;
    };
    const std::string over(kBodyLimit + 1, 'x');
    const Case cases[] = {
        {Fixture::post("Content-Length: 2\r\n", "ab"), "HTTP/1.1 200 OK"},
        {Fixture::post("Content-Length: 6\r\n", "refuse"), "HTTP/1.1 503 overloaded"},
        {Fixture::post("Content-Length: 1001\r\n", ""), "HTTP/1.1 413 closes payload_too_large"},
        {Fixture::post("Transfer-Encoding: chunked\r\n", "3e9\r\n" + over + "\r\n"),
         "HTTP/1.1 413 closes payload_too_large"},
        {Fixture::post("A: " + std::string(600, 'x') + "\r\n", ""),
         "HTTP/1.1 431 closes payload_too_large"},
        {"nonsense\r\n\r\n", "HTTP/1.1 400 closes bad_request"},
        {"GET / HTTP/1.0\r\n\r\n", "HTTP/1.1 200 OK"},
        {"GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400 closes bad_request"},
        {"GET / HTTP/1.0\r\nHost: a\r\nHost: b\r\n\r\n", "HTTP/1.1 400 closes bad_request"},
        {"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 400 closes bad_request"},
        {Fixture::post("Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
                       "Content-Length: 2\r\n",
                       "ab"),
         "HTTP/1.1 200 OK"},
    };
    Fixture f;
    for (const Case &each : cases) {
        CAPTURE(each.request_.substr(0, 80));
        CHECK(f.send(each.request_) == each.answer_);
    }
}

// Guards against a crowd of idle connections that shuts out the next caller.
TEST_CASE("an idle connection is closed for a new one")
{
    Fixture f(4);
    constexpr std::size_t kIdle = 20;
    std::vector<asio::ip::tcp::socket> idle;
    idle.reserve(kIdle);
    for (std::size_t i = 0; i < kIdle; ++i)
        idle.push_back(f.connect());
    CHECK(f.send(Fixture::post("Content-Length: 2\r\n", "ab")) == "HTTP/1.1 200 OK");
}

// Guards against an idle timeout that cuts the answer of a slow caller.
TEST_CASE("a caller that reads slowly gets its whole answer")
{
    Fixture f;
    asio::ip::tcp::socket caller = f.connect();
    asio::write(caller, asio::buffer(Fixture::post("Content-Length: 5\r\n", "large")));
    std::string piece(kLargeAnswer / 16, ' ');
    std::size_t size = 0;
    asio::error_code error;
    while (!error && size < kLargeAnswer) {
        std::this_thread::sleep_for(std::chrono::milliseconds(80));
        size += asio::read(caller, asio::buffer(piece), error);
    }
    CHECK(size >= kLargeAnswer);
}

TEST_CASE("answers that are not read are told, and given up by a stop")
{
    Fixture f;
    CHECK(!f.loop_.hasUnsentAnswers());
    asio::ip::tcp::socket caller = f.connect();
    const std::string request = Fixture::post("Content-Length: 1000\r\n", std::string(1000, 'x'));
    caller.non_blocking(true);
    for (int i = 0; i < 20'000 && !f.loop_.hasUnsentAnswers(); ++i) {
        asio::error_code full;
        asio::write(caller, asio::buffer(request), full);
    }
    CHECK(f.loop_.hasUnsentAnswers());
    f.loop_.stop();
}

} // namespace foxtailturn::callers
