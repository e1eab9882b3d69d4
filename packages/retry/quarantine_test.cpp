#include "retry/quarantine.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

#include <doctest/doctest.h>

#include "retry/isolation_gate.h"

namespace foxtailturn {
namespace {

constexpr Duration kMemory = std::chrono::minutes(30);

struct QuarantineWorld
{
    ManualClock clock_;
    ManualWallClock wallClock_;
    Quarantine a_{"a", {clock_, wallClock_}, kMemory};
    Quarantine b_{"b", {clock_, wallClock_}, kMemory};

    void advance(Duration step)
    {
        clock_.advance(step);
        wallClock_.advance(step);
    }

    [[nodiscard]] UtcTime soon() const { return wallClock_.now() + std::chrono::seconds(30); }

    // Sends a report from one process to the other and merges the reply.
    static void exchange(Quarantine &from, Quarantine &to, const SuspectRecord &report)
    {
        from.merge(to.merge(report));
    }
};

// Guards against a third crash, a quarantine that never ends, and a crash that is counted twice
// because two processes report it.
TEST_CASE("a request is a suspect after one crash and quarantined after two")
{
    QuarantineWorld world;
    CHECK(world.a_.admit("f") == Standing::Clear);
    world.a_.crashed("f", "crash 1");
    world.b_.merge(world.a_.crashed("f", "crash 1"));
    CHECK(world.b_.admit("f") == Standing::Suspect);
    world.a_.merge(world.b_.crashed("f", "crash 2"));
    const auto refused = world.a_.admit("f");
    REQUIRE(!refused);
    CHECK(refused.error().code_ == ErrorCode::Quarantined);
    CHECK(refused.error().execution_ == Execution::NotRun);
    CHECK(refused.error().retryAt_ == world.clock_.now() + kMemory);
    CHECK(world.a_.admit("g") == Standing::Clear);
    world.advance(kMemory);
    CHECK(world.a_.admit("f") == Standing::Clear);
    CHECK(world.a_.records().empty());
}

// Guards against harmless requests that remain suspects, and against stale reports that undo the
// clearing.
TEST_CASE("a request that ran to completion is cleared")
{
    QuarantineWorld world;
    const SuspectRecord old = world.a_.crashed("f", "crash 1");
    CHECK(!world.a_.completed("other"));
    const auto cleared = world.a_.completed("f");
    REQUIRE(cleared);
    world.b_.merge(*cleared);
    world.b_.merge(old);
    world.a_.merge(old);
    CHECK(world.a_.admit("f") == Standing::Clear);
    CHECK(world.b_.admit("f") == Standing::Clear);
    world.b_.crashed("f", "crash 2");
    CHECK(world.b_.admit("f") == Standing::Suspect);
}

// Guards against two copies of a suspect that run concurrently in two processes and crash two
// targets.
TEST_CASE("one copy of a suspect runs at a time")
{
    QuarantineWorld world;
    world.b_.merge(world.a_.crashed("f", "crash 1"));
    const auto fromA = world.a_.requestRun("f", world.soon());
    const auto fromB = world.b_.requestRun("f", world.soon());
    REQUIRE(fromA);
    REQUIRE(fromB);
    CHECK(!world.a_.requestRun("f", world.soon()));
    QuarantineWorld::exchange(world.b_, world.a_, *fromB);
    QuarantineWorld::exchange(world.a_, world.b_, *fromA);
    CHECK(world.b_.confirmRun("f") == false);
    CHECK(world.a_.confirmRun("f") == true);
    CHECK(world.b_.confirmRun("f") == false);
    world.b_.merge(world.a_.endRun("f"));
    CHECK(world.b_.confirmRun("f") == true);
    REQUIRE(world.a_.requestRun("f", world.soon()));
    world.a_.merge(*fromB); // a stale report in which b is waiting
    QuarantineWorld::exchange(world.a_, world.b_, world.a_.merge(*fromB));
    CHECK(world.a_.confirmRun("f") == false); // b is running, although a's holder id is smaller
    world.advance(std::chrono::minutes(1));
    CHECK(world.a_.confirmRun("f").error().code_ == ErrorCode::DeadlineExceeded);
    CHECK(world.a_.requestRun("f", world.soon())); // b's mark has expired
    CHECK(world.a_.confirmRun("f") == true);
}

// Guards against copies of a suspect that run concurrently in threads of one process.
TEST_CASE("only one thread of a process may run a suspect")
{
    QuarantineWorld world;
    std::atomic<int> confirmed = 0;
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int i = 0; i < 8; ++i) {
        threads.emplace_back([&, i] {
            world.a_.crashed("f", "crash 1");
            world.a_.crashed(std::to_string(i), "crash 1");
            if (world.a_.requestRun("f", world.soon()) && *world.a_.confirmRun("f"))
                ++confirmed;
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(confirmed == 1);
    CHECK(world.a_.records().size() == 9);
}

// Guards against a peer's copy of an ended run mark that overrides the new mark of the same
// process: the process has dropped the expired record, the peer still has it.
TEST_CASE("a new run mark overrides an earlier one that a peer still has")
{
    QuarantineWorld world;
    world.a_.crashed("f", "crash 1");
    REQUIRE(world.a_.requestRun("f", world.soon()));
    world.b_.merge(world.a_.endRun("f"));
    world.advance(kMemory / 2);
    world.b_.crashed("f", "crash 2");
    REQUIRE(world.b_.completed("f"));
    world.advance(kMemory / 2);
    CHECK(world.a_.records().empty());
    world.a_.crashed("f", "crash 3");
    QuarantineWorld::exchange(world.a_, world.b_, *world.a_.requestRun("f", world.soon()));
    CHECK(world.a_.confirmRun("f") == true);
}

// Guards against records that depend on the order or the repetition of reports.
TEST_CASE("merging is idempotent and commutative, and records round-trip through JSON")
{
    std::mt19937 random(1);
    const auto pick = [&random](int count) { return static_cast<int>(random() % count); };
    for (int round = 0; round < 300; ++round) {
        std::vector<SuspectRecord> reports;
        for (int i = 0; i < 4; ++i) {
            SuspectRecord report{"f"};
            report.crashes_[std::to_string(pick(3))] = {UtcTime(Duration(pick(3))), pick(2) == 0};
            report.runs_[std::to_string(pick(2))] = {static_cast<std::uint64_t>(pick(3)),
                                                     static_cast<RunState>(pick(3)),
                                                     UtcTime(Duration(pick(3)))};
            reports.push_back(report);
        }
        SuspectRecord once{"f"};
        for (const SuspectRecord &report : reports)
            once.merge(report);
        std::vector<SuspectRecord> again = reports;
        again.insert(again.end(), reports.begin(), reports.end());
        std::shuffle(again.begin(), again.end(), random);
        SuspectRecord other{"f"};
        for (const SuspectRecord &report : again)
            other.merge(report);
        CHECK(once == other);
        CHECK(SuspectRecord::ofJson(once.toJson()) == once);
    }
    for (const char *text : {"", "{}", R"({"fingerprint":"f","crashes":[],"runs":{}})",
                             R"({"fingerprint":"f","crashes":{"1":{}},"runs":{}})"})
        CHECK_MESSAGE(!SuspectRecord::ofJson(text), text);
}

// Guards against collisions of requests whose workspace, route and body differ but have the same
// concatenation.
TEST_CASE("fingerprints distinguish workspace, route and body")
{
    CHECK(requestFingerprint("ab", "c", "d") != requestFingerprint("a", "bc", "d"));
    CHECK(requestFingerprint("a", "bc", "d") != requestFingerprint("a", "b", "cd"));
    CHECK(requestFingerprint("a", "b", "c") == requestFingerprint("a", "b", "c"));
}

// Guards against ordinary requests that run alongside a suspect, and against a target that stays
// reserved for an attempt that no longer exists.
TEST_CASE("the gate admits a suspect exclusively")
{
    ManualClock clock;
    IsolationGate gate(clock);
    const TimePoint until = clock.now() + std::chrono::seconds(1);
    REQUIRE(gate.enter());
    CHECK(gate.enterAlone("s", until) == false);
    CHECK(gate.enter().error().execution_ == Execution::NotRun);
    CHECK(!gate.enterAlone("other", until));
    gate.leave();
    CHECK(gate.enterAlone("s", until) == true);
    clock.advance(std::chrono::seconds(5)); // an admission outlasts the reservation
    CHECK(!gate.enter());
    CHECK(!gate.enterAlone("s", clock.now() + std::chrono::seconds(1)));
    gate.leave();
    REQUIRE(gate.enter());
    CHECK(gate.enterAlone("s", clock.now() + std::chrono::seconds(1)) == false);
    gate.cancel("s");
    CHECK(gate.enter());
    CHECK(gate.enterAlone("s", clock.now() + std::chrono::seconds(1)) == false);
    clock.advance(std::chrono::seconds(1));
    CHECK(gate.enter());
    gate.reset();
    CHECK(gate.enterAlone("s", clock.now()) == true);
}

} // namespace
} // namespace foxtailturn
