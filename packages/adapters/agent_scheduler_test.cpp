#include "adapters/agent_scheduler.h"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

class TestLease final : public LeaseView
{
public:
    bool isHeld() const override { return held_; }
    FencingNumber fencingNumber() const override { return number_; }

    std::atomic<bool> held_ = true;
    std::atomic<FencingNumber> number_ = 1;
};

// A fake engine that answers orders at once and counts violations: a load beyond its slots, an
// unload in use, a run without its adapter.
class TestEngine final : public EngineOrders
{
public:
    explicit TestEngine(std::size_t slots)
        : slots_(slots)
    { }

    Result<void> load(const AdapterId &adapter, FencingNumber fencing, TimePoint) override
    {
        const std::lock_guard lock(mutex_);
        ++orders_;
        if (fencing < lowestFencing_)
            return notRun(ErrorCode::StaleFencingNumber, "stale");
        if (adapter.adapter_ == "broken")
            return notRun(ErrorCode::AdapterLoadFailed, "broken");
        loaded_.insert(adapter);
        breaches_ += loaded_.size() > slots_ ? 1 : 0;
        return {};
    }

    Result<void> unload(const AdapterId &adapter, FencingNumber, TimePoint) override
    {
        const std::lock_guard lock(mutex_);
        ++orders_;
        breaches_ += running_.contains(adapter) ? 1 : 0;
        loaded_.erase(adapter);
        return {};
    }

    Result<std::vector<EngineAdapter>> list(TimePoint) override
    {
        const std::lock_guard lock(mutex_);
        std::vector<EngineAdapter> lines;
        for (const AdapterId &adapter : loaded_)
            lines.push_back({adapter, static_cast<int>(running_.count(adapter))});
        return lines;
    }

    void run(const AdapterId &adapter)
    {
        {
            const std::lock_guard lock(mutex_);
            breaches_ += loaded_.contains(adapter) ? 0 : 1;
            running_.insert(adapter);
        }
        std::this_thread::yield();
        const std::lock_guard lock(mutex_);
        running_.erase(running_.find(adapter));
    }

    std::mutex mutex_;
    const std::size_t slots_;
    std::set<AdapterId> loaded_;
    std::multiset<AdapterId> running_;
    std::atomic<int> breaches_ = 0;
    std::atomic<int> orders_ = 0;
    FencingNumber lowestFencing_ = 0;
};

struct Fixture
{
    WorkRequest request(const std::string &id, const std::string &adapter)
    {
        return WorkRequest{.id_ = id,
                           .workspace_ = "w",
                           .adapter_ = {adapter, "1"},
                           .deadline_ = clock_.now() + std::chrono::seconds(20)};
    }

    SystemClock clock_;
    TestEngine engine_{4};
    TestLease lease_;
    AgentSettings settings_{.slots_ = 4, .maxRunning_ = 3};
};

// Guards against an adapter evicted in use, a lost wake-up and a leaked pin, with real threads.
TEST_CASE("AgentScheduler runs requests of many threads on loaded adapters only")
{
    Fixture f;
    AgentScheduler scheduler(f.settings_, f.clock_, f.engine_, f.lease_);
    std::atomic<int> done = 0;
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int t = 0; t < 8; ++t) {
        threads.emplace_back([&, t] {
            for (int i = 0; i < 100; ++i) {
                const std::string id = std::to_string(t) + "-" + std::to_string(i);
                const WorkRequest request = f.request(id, std::to_string((i * 7 + t) % 10));
                const Result<RunPermit> permit = scheduler.acquire(request);
                if (!permit)
                    continue;
                f.engine_.run(request.adapter_);
                ++done;
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(done == 800);
    CHECK(f.engine_.breaches_ == 0);
    CHECK(scheduler.isIdle());
}

// Guards against an agent that gives orders, or admits work, outside its lease.
TEST_CASE("AgentScheduler gives no order without its lease")
{
    Fixture f;
    f.lease_.held_ = false;
    AgentScheduler scheduler(f.settings_, f.clock_, f.engine_, f.lease_);
    const Result<RunPermit> permit = scheduler.acquire(f.request("r", "a"));
    REQUIRE(!permit);
    CHECK(permit.error().code_ == ErrorCode::LeaseExpired);
    CHECK(permit.error().execution_ == Execution::NotRun);
    CHECK(f.engine_.orders_ == 0);
    f.lease_.held_ = true;
    CHECK(scheduler.acquire(f.request("r", "a")));
}

// Guards against an agent that goes on after a newer incarnation took over its target.
TEST_CASE("AgentScheduler stops after a stale fencing number")
{
    Fixture f;
    f.engine_.lowestFencing_ = 2;
    AgentScheduler scheduler(f.settings_, f.clock_, f.engine_, f.lease_);
    const Result<RunPermit> refused = scheduler.acquire(f.request("r", "a"));
    REQUIRE(!refused);
    CHECK(refused.error().code_ == ErrorCode::StaleFencingNumber);
    const int orders = f.engine_.orders_;
    CHECK(!scheduler.acquire(f.request("r", "b")));
    CHECK(f.engine_.orders_ == orders);
    f.lease_.number_ = 2;
    CHECK(scheduler.acquire(f.request("r", "a")));
}

// Guards against callers that hang, or work that is cut, when an agent stops as planned.
TEST_CASE("AgentScheduler drains: running requests keep their permits, others are refused")
{
    Fixture f;
    auto scheduler = std::make_unique<AgentScheduler>(f.settings_, f.clock_, f.engine_, f.lease_);
    Result<RunPermit> running = scheduler->acquire(f.request("r1", "a"));
    REQUIRE(running);
    scheduler->drain();
    const Result<RunPermit> refused = scheduler->acquire(f.request("r2", "a"));
    REQUIRE(!refused);
    CHECK(refused.error().code_ == ErrorCode::TargetDraining);
    CHECK(!scheduler->isIdle());
    CHECK(scheduler->snapshot().draining_);
    running->release();
    CHECK(scheduler->isIdle());
}

// Guards against an acquire() that blocks past its deadline while its adapter cannot be loaded.
TEST_CASE("AgentScheduler ends a wait at the deadline and on cancel")
{
    Fixture f;
    f.settings_.maxRunning_ = 1;
    AgentScheduler scheduler(f.settings_, f.clock_, f.engine_, f.lease_);
    const Result<RunPermit> running = scheduler.acquire(f.request("r1", "a"));
    WorkRequest late = f.request("r2", "a");
    late.deadline_ = f.clock_.now() + std::chrono::milliseconds(30);
    const Result<RunPermit> shed = scheduler.acquire(late);
    REQUIRE(!shed);
    CHECK(shed.error().code_ == ErrorCode::DeadlineExceeded);
    std::thread canceller([&] {
        while (!scheduler.cancel("r3"))
            std::this_thread::yield();
    });
    const Result<RunPermit> cancelled = scheduler.acquire(f.request("r3", "a"));
    canceller.join();
    REQUIRE(!cancelled);
    CHECK(cancelled.error().code_ == ErrorCode::Cancelled);
}

} // namespace
} // namespace foxtailturn
