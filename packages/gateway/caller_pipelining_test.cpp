// Requests that follow others on a caller's connection.

#include <string>

#include <doctest/doctest.h>

#include "callers/caller_connection.h"
#include "gateway/codec_testing.h"
#include "gateway/gateway_callers.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

ServingConfig oneRoute()
{
    ServingConfig config;
    config.revision_ = 1;
    Route route;
    route.name_ = "r";
    route.prefix_ = "/";
    route.kind_ = RouteKind::Idempotent;
    route.timeout_ = milliseconds(500);
    route.objective_ = milliseconds(500);
    route.backends_ = {{"s", 1}};
    config.routes_ = {route};
    config.services_["s"].name_ = "s";
    config.indexRoutes();
    return config;
}

// One caller before a gateway without targets, which refuses each request as it is placed.
struct Fixture
{
    asio::io_context context_;
    ManualClock clock_;
    SystemWallClock wallClock_;
    EventLog log_{"entry", wallClock_, [](std::string_view bytes) { return bytes.size(); }};
    MetricRegistry metrics_;
    LoopMeter meter_{clock_, metrics_};
    PlainCodec codec_;
    Gateway gateway_{{context_, codec_, clock_, wallClock_, log_, metrics_}, GatewayOptions()};
    GatewayCallers service_{gateway_};
    callers::CallerListener listener_{service_, meter_};
    asio::ip::tcp::socket caller_{context_};
    std::shared_ptr<callers::CallerConnection> connection_;

    Fixture()
    {
        gateway_.configure(oneRoute());
        asio::ip::tcp::acceptor acceptor(
            context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        caller_.connect(acceptor.local_endpoint());
        connection_ =
            std::make_shared<callers::CallerConnection>(listener_, service_, acceptor.accept());
        connection_->start();
    }

    void receive(const std::string &bytes)
    {
        asio::write(caller_, asio::buffer(bytes));
        context_.run_for(milliseconds(50));
        context_.restart();
    }

    [[nodiscard]] bool hasCounted(int requests) const
    {
        const std::string line =
            R"(requests_total{reason="no_target",route_kind="idempotent",status="503"} )"
            + std::to_string(requests) + "\n";
        return metrics_.text().find(line) != std::string::npos;
    }
};

constexpr const char *kRequest = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char *kLastRequest = "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

} // namespace

// Guards against a request that runs though its caller was told that its connection closes
// (RFC 9112 section 9.6), and against one that is left out before that.
TEST_CASE("requests are served up to the one that closes the connection")
{
    struct Case
    {
        std::string bytes_;
        bool isDraining_;
        int served_;
    };
    const std::string request = kRequest;
    const std::string last = kLastRequest;
    const Case cases[] = {
        {request + request, false, 2}, {request + last, false, 2},
        {last + request, false, 1},    {request + last + request + request, false, 2},
        {request + request, true, 1},
    };
    for (const Case &c : cases) {
        CAPTURE(c.bytes_);
        CAPTURE(c.isDraining_);
        Fixture f;
        if (c.isDraining_)
            f.listener_.drain();
        f.receive(c.bytes_);
        CHECK(f.hasCounted(c.served_));
    }
}

} // namespace foxtailturn::gateway
