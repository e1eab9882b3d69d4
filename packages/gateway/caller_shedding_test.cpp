#include <string>

#include <doctest/doctest.h>

#include "callers/caller_connection.h"
#include "gateway/codec_testing.h"
#include "gateway/gateway_callers.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBodyLimit = 200'000;
constexpr std::size_t kMaxConnections = 4;
const std::string kHead = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: ";

class StatusCodec final : public PlainCodec
{
public:
    std::string refusal(const Refusal &refusal) const override
    {
        return "HTTP/1.1 " + std::to_string(refusal.status_) + " x\r\nContent-Length: 0\r\n\r\n";
    }
};

// A listener with 1 MB of memory, so that 200 kB may be held, before no target. Time stands still.
struct Fixture
{
    asio::io_context context_;
    ManualClock clock_;
    SystemWallClock wallClock_;
    EventLog log_{"entry", wallClock_, [](std::string_view bytes) { return bytes.size(); }};
    MetricRegistry metrics_;
    LoopMeter meter_{clock_, metrics_};
    StatusCodec codec_;
    Gateway gateway_{{context_, codec_, clock_, wallClock_, log_, metrics_},
                     {.name_ = "entry", .dataCentre_ = "", .memoryMb_ = 1}};
    GatewayCallers service_{gateway_};
    callers::CallerListener listener_{service_, meter_};
    std::string address_;

    Fixture()
    {
        ServingConfig config;
        config.revision_ = 1;
        config.limits_.maxBodyBytes_ = kBodyLimit;
        gateway_.configure(std::move(config));
        {
            const asio::ip::tcp::acceptor probe(
                context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            address_ = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
        }
        REQUIRE(listener_.listen(address_));
        listener_.limitConnections(kMaxConnections);
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(context_);
        socket.connect(*endpointOf(address_));
        run();
        return socket;
    }

    // Sends a body of an announced length, or only the first bytes of it.
    asio::ip::tcp::socket sendBody(std::size_t length, std::size_t sent)
    {
        asio::ip::tcp::socket socket = connect();
        asio::write(
            socket,
            asio::buffer(kHead + std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x')));
        run();
        return socket;
    }

    void run()
    {
        context_.restart();
        context_.run_for(milliseconds(30));
    }

    [[nodiscard]] std::size_t held() { return gateway_.memory().total(); }

    [[nodiscard]] static std::string read(asio::ip::tcp::socket &socket)
    {
        std::string text(socket.available(), ' ');
        asio::read(socket, asio::buffer(text));
        return text;
    }

    [[nodiscard]] static bool isClosed(asio::ip::tcp::socket &socket)
    {
        asio::error_code error;
        char byte = 0;
        socket.non_blocking(true);
        socket.read_some(asio::buffer(&byte, 1), error);
        return error && error != asio::error::would_block;
    }
};

} // namespace

TEST_CASE("what is read is counted and given back")
{
    Fixture f;
    {
        const auto caller = f.sendBody(kBodyLimit, 50'000);
        CHECK(f.held() >= 50'000);
        CHECK(f.held() < 52'000);
    }
    f.run();
    CHECK(f.held() == 0);
    auto whole = f.sendBody(1000, 1000);
    CHECK(f.held() == 0);
}

// Guards against a crowd that takes the memory of ordinary callers.
TEST_CASE("a large body waits while memory is short, and a small one is read")
{
    Fixture f;
    const std::size_t pauseAt = f.gateway_.memory().bounds().pauseAt_;
    const auto first = f.sendBody(60'000, 40'000);
    const auto second = f.sendBody(kBodyLimit, kBodyLimit - 1);
    CHECK(f.held() > pauseAt);
    auto small = f.sendBody(2, 2);
    CHECK(f.read(small).starts_with("HTTP/1.1 4"));
    f.clock_.advance(std::chrono::seconds(2));
    f.context_.restart();
    f.context_.run_for(milliseconds(250));
    CHECK(f.held() < pauseAt);
}

TEST_CASE("the largest unfinished request is refused when the bound is exceeded")
{
    Fixture f;
    auto large = f.sendBody(kBodyLimit, 140'000);
    auto small = f.sendBody(60'000, 40'000);
    CHECK(f.read(large).empty());
    auto last = f.sendBody(60'000, 50'000);
    CHECK(f.held() <= f.gateway_.memory().bounds().max_);
    CHECK(f.read(large).starts_with("HTTP/1.1 503"));
    CHECK(f.read(small).empty());
    CHECK(f.read(last).empty());
    CHECK(f.metrics_.text().find(R"(shed_callers_total{reason="unfinished_request"} 1)")
          != std::string::npos);
}

TEST_CASE("a body over the limit gets 413, announced or not")
{
    Fixture f;
    auto announced = f.sendBody(kBodyLimit + 1, 0);
    CHECK(f.read(announced).starts_with("HTTP/1.1 413"));
    auto chunked = f.connect();
    asio::write(chunked,
                asio::buffer("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "fffff\r\n"
                             + std::string(kBodyLimit + 1, 'x')));
    f.run();
    CHECK(f.read(chunked).starts_with("HTTP/1.1 413"));
    CHECK(f.held() == 0);
}

TEST_CASE("an unused connection is closed for a new one, before one that is read")
{
    Fixture f;
    auto reading = f.sendBody(100, 10);
    auto unused = f.connect();
    f.clock_.advance(milliseconds(1));
    auto third = f.connect();
    auto fourth = f.connect();
    auto fifth = f.connect();
    CHECK(f.listener_.connections() == kMaxConnections);
    CHECK(f.isClosed(unused));
    CHECK_FALSE(f.isClosed(reading));
    CHECK_FALSE(f.isClosed(fifth));
}

} // namespace foxtailturn::gateway
