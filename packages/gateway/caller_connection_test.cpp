#include "callers/caller_connection.h"

#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "gateway/codec_testing.h"
#include "gateway/gateway_callers.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRouteTimeout(500);

ServingConfig oneRoute()
{
    ServingConfig config;
    config.revision_ = 1;
    Route route;
    route.name_ = "r";
    route.prefix_ = "/";
    route.kind_ = RouteKind::Idempotent;
    route.timeout_ = kRouteTimeout;
    route.objective_ = kRouteTimeout;
    route.backends_ = {{"s", 1}};
    config.routes_ = {route};
    config.services_["s"].name_ = "s";
    config.indexRoutes();
    return config;
}

class HeadCodec final : public PlainCodec
{
public:
    std::string targetHead(const MessageHead &, const TargetCall &, std::size_t) const override
    {
        return "GET / HTTP/1.1\r\n\r\n";
    }
    TargetReply decodeReply(const MessageHead &) const override
    {
        TargetReply reply;
        reply.isSigned_ = true;
        return reply;
    }
};

// One caller before a gateway without targets, in virtual time.
struct Fixture
{
    asio::io_context context_;
    ManualClock clock_;
    SystemWallClock wallClock_;
    EventLog log_{"entry", wallClock_, [](std::string_view bytes) { return bytes.size(); }};
    MetricRegistry metrics_;
    LoopMeter meter_{clock_, metrics_};
    HeadCodec codec_;
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

    void send()
    {
        asio::write(caller_, asio::buffer(std::string("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")));
    }

    // Has the loop run a handler for this long, and then those that are ready.
    void runBehind(Duration work)
    {
        (void)meter_.beginTurn();
        {
            const LoopMeter::Scope scope(&meter_, WorkKind::Reports);
            clock_.advance(work);
        }
        (void)meter_.beginTurn();
        context_.run_for(milliseconds(50));
        context_.restart();
    }

    [[nodiscard]] bool hasTimedOut() const
    {
        return metrics_.text().find(R"(reason="deadline_exceeded")") != std::string::npos;
    }
};

} // namespace

// Guards against a request that is passed on though its caller's time has passed in the entry, and
// against one that is given up too early.
TEST_CASE("a caller's time runs while its request waits for the loop")
{
    struct Case
    {
        Duration work_;
        bool hasTimedOut_;
    };
    for (const Case &c :
         {Case{milliseconds(0), false}, Case{kRouteTimeout - milliseconds(1), false},
          Case{kRouteTimeout, true}, Case{milliseconds(2400), true}}) {
        CAPTURE(c.work_.count());
        Fixture f;
        f.send();
        f.runBehind(c.work_);
        CHECK(f.hasTimedOut() == c.hasTimedOut_);
    }
}

// Guards against a wait for the loop that is counted though the request came later.
TEST_CASE("a request that the loop waited for has all its time")
{
    Fixture f;
    f.runBehind(milliseconds(2400));
    f.send();
    f.meter_.nothingReady();
    f.runBehind(Duration::zero());
    CHECK_FALSE(f.hasTimedOut());
}

// Guards against a request that reaches a target after its caller's time, as the connection to the
// target was handled late.
TEST_CASE("a request whose time passes before its target is connected is not sent")
{
    for (const Duration late : {Duration(milliseconds(0)), Duration(kRouteTimeout * 3)}) {
        CAPTURE(late.count());
        Fixture f;
        asio::ip::tcp::acceptor target(
            f.context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        TargetRecord record;
        record.instance_ = "t";
        record.service_ = "s";
        record.address_ = "127.0.0.1:" + std::to_string(target.local_endpoint().port());
        f.gateway_.targets().list(record, f.clock_.now());
        f.send();
        for (int i = 0; i < 100 && f.gateway_.pool().opened() == 0; ++i)
            f.context_.run_one_for(milliseconds(10));
        REQUIRE(f.gateway_.pool().opened() == 1);
        f.clock_.advance(late);
        f.context_.run_for(milliseconds(100));
        asio::ip::tcp::socket peer = target.accept();
        CHECK((peer.available() > 0) == (late == Duration::zero()));
    }
}

// Guards against a request that reaches a target after its caller's close, which the loop has not
// handled yet.
TEST_CASE("a request whose caller leaves before its target is connected is not sent")
{
    Fixture f;
    asio::ip::tcp::acceptor target(f.context_,
                                   asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    TargetRecord record;
    record.instance_ = "t";
    record.service_ = "s";
    record.address_ = "127.0.0.1:" + std::to_string(target.local_endpoint().port());
    f.gateway_.targets().list(record, f.clock_.now());
    f.send();
    for (int i = 0; i < 100 && f.gateway_.pool().opened() == 0; ++i)
        f.context_.run_one_for(milliseconds(10));
    REQUIRE(f.gateway_.pool().opened() == 1);
    f.caller_.close();
    f.context_.run_for(milliseconds(100));
    asio::ip::tcp::socket peer = target.accept();
    char byte = 0;
    asio::error_code error;
    const std::size_t size = peer.receive(asio::buffer(&byte, 1), 0, error);
    CHECK(size == 0);
    CHECK(error == asio::error::eof); // a request that was sent is reset
}

// Guards against an entry that takes its own delay for a target's silence, and sends the request to
// another target in the turn in which the first one gets it.
TEST_CASE("a target that has just been sent a request is not silent")
{
    Fixture f;
    ServingConfig config = oneRoute();
    config.revision_ = 2;
    config.routes_[0].timeout_ = std::chrono::seconds(5);
    config.routes_[0].maxAttempts_ = 3;
    config.indexRoutes();
    f.gateway_.configure(std::move(config));
    std::vector<asio::ip::tcp::acceptor> targets;
    for (int i = 0; i < 2; ++i) {
        targets.emplace_back(f.context_,
                             asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        TargetRecord record;
        record.instance_ = "t" + std::to_string(i);
        record.service_ = "s";
        record.address_ = "127.0.0.1:" + std::to_string(targets.back().local_endpoint().port());
        f.gateway_.targets().list(record, f.clock_.now());
    }
    f.send();
    for (int i = 0; i < 100 && f.gateway_.pool().opened() == 0; ++i)
        f.context_.run_one_for(milliseconds(10));
    REQUIRE(f.gateway_.pool().opened() == 1);
    std::this_thread::sleep_for(milliseconds(800)); // the loop is behind
    f.clock_.advance(milliseconds(800));
    f.context_.run_for(milliseconds(100));
    int reached = 0;
    for (asio::ip::tcp::acceptor &target : targets) {
        target.non_blocking(true);
        asio::error_code none;
        asio::ip::tcp::socket peer = target.accept(none);
        reached += !none && peer.available() > 0 ? 1 : 0;
    }
    CHECK(reached == 1);
}

// Guards against an answer of a crashed target that is passed on as complete because the target
// runs again when its close is handled.
TEST_CASE("an answer that the close ends is complete only if the close is handled in time")
{
    for (const Duration late : {milliseconds(0), milliseconds(300)}) {
        CAPTURE(late.count());
        Fixture f;
        asio::ip::tcp::acceptor target(
            f.context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        TargetRecord record;
        record.instance_ = "t";
        record.service_ = "s";
        record.address_ = "127.0.0.1:" + std::to_string(target.local_endpoint().port());
        f.gateway_.targets().list(record, f.clock_.now());
        f.send();
        f.context_.run_for(milliseconds(50));
        asio::ip::tcp::socket peer = target.accept();
        std::string request(4096, '\0');
        request.resize(peer.receive(asio::buffer(request))); // unread bytes would reset the close
        asio::write(peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nhalf")));
        f.context_.run_for(milliseconds(50));
        peer.close(); // and the target listens again
        std::this_thread::sleep_for(late);
        f.context_.run_for(milliseconds(100));
        f.caller_.non_blocking(true);
        std::string answer(4096, '\0');
        asio::error_code none;
        answer.resize(f.caller_.read_some(asio::buffer(answer), none));
        CAPTURE(answer);
        CHECK(answer.ends_with("0\r\n\r\n") == (late == Duration::zero()));
    }
}

} // namespace foxtailturn::gateway
