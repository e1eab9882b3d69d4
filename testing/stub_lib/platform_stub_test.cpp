#include "stub_lib/platform_stub.h"

#include <latch>

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "base/json.h"

namespace foxtailturn {
namespace {

constexpr const char *kHost = "127.0.0.1";

// Guards against a misspelt fault that a fault test would then run without.
TEST_CASE("POST /fault sets the faults of one or all services and refuses unknown ones")
{
    PlatformStub stub;
    httplib::Client client(kHost, stub.server().start(kHost, 0, 4));
    struct Case
    {
        const char *body_;
        int answer_;
        int rows_;
        int members_;
    };
    const Case cases[] = {
        {R"({"service": "rows", "down": true})", 200, 503, 200},
        {R"({"service": "row", "down": true})", 400, 503, 200},
        {R"({"dwon": true})", 400, 503, 200},
        {R"({"down": true})", 200, 503, 503},
        {R"({})", 200, 200, 200},
    };
    for (const Case &c : cases) {
        CAPTURE(c.body_);
        CHECK(client.Post("/fault", c.body_, "application/json")->status == c.answer_);
        CHECK(client.Get("/rows?prefix=")->status == c.rows_);
        CHECK(client.Get("/members")->status == c.members_);
    }
}

// Guards against a weight store that is faster than the platform's: loads beyond 8 share the rate.
TEST_CASE("weight loads share the rate beyond 8 in flight")
{
    struct Case
    {
        int loads_;
        double minSeconds_;
        double maxSeconds_;
    };
    const Case cases[] = {{1, 0.25, 0.40}, {8, 0.25, 0.40}, {16, 0.48, 0.75}};
    for (const Case &c : cases) {
        CAPTURE(c.loads_);
        WeightStore store;
        const auto start = std::chrono::steady_clock::now();
        std::vector<std::thread> threads;
        threads.reserve(static_cast<std::size_t>(c.loads_));
        for (int i = 0; i < c.loads_; ++i)
            threads.emplace_back([&] { store.load(); });
        for (std::thread &thread : threads)
            thread.join();
        const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
        CHECK(taken.count() >= c.minSeconds_);
        CHECK(taken.count() <= c.maxSeconds_);
        CHECK(store.maxInFlight() == c.loads_);
    }
}

// Returns the packets that were sent again on a client's open connection; 1 when it is closed.
int resentPackets(const httplib::Client &client)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    const bool isOpen = getsockopt(client.socket(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    return isOpen ? static_cast<int>(info.tcpi_total_retrans) : 1;
}

// Guards against a worker pool that is too small for the fleet's connections: each request is
// answered only when all have arrived. Also against a backlog that is too small: it loses packets
// of new connections, which are then sent again after 1 s or more.
TEST_CASE("hundreds of connections are served at once")
{
    constexpr int kConnections = 300;
    StubServer server;
    std::latch allArrived(kConnections);
    server.Get("/", [&](const httplib::Request &, httplib::Response &response) {
        allArrived.count_down();
        for (int i = 0; i < 2000 && !allArrived.try_wait(); ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        answerJson(response, allArrived.try_wait() ? 200 : 500, "{}");
    });
    const int port = server.start(kHost, 0);
    std::atomic<int> answered = 0;
    std::atomic<int> resent = 0;
    std::latch allReady(kConnections + 1);
    std::vector<std::thread> threads;
    threads.reserve(kConnections);
    for (int i = 0; i < kConnections; ++i) {
        threads.emplace_back([&] {
            httplib::Client client(kHost, port);
            client.set_read_timeout(std::chrono::seconds(20));
            client.set_keep_alive(true);
            allReady.arrive_and_wait();
            const httplib::Result result = client.Get("/");
            answered += result && result->status == 200 ? 1 : 0;
            resent += resentPackets(client);
        });
    }
    allReady.arrive_and_wait();
    for (std::thread &thread : threads)
        thread.join();
    CHECK(answered == kConnections);
    CHECK(resent == 0);
}

} // namespace
} // namespace foxtailturn
