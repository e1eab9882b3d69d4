#include "retry/quarantine.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

#include <doctest/doctest.h>

#include "retry/isolation_gate.h"

namespace foxtailturn {
namespace {

constexpr Duration kCrashRetention = std::chrono::minutes(30);

struct QuarantineFixture
{
    ManualClock clock_;
    ManualWallClock wallClock_;
    Quarantine a_{"a", {clock_, wallClock_}, kCrashRetention};
    Quarantine b_{"b", {clock_, wallClock_}, kCrashRetention};

    void advance(Duration step)
    {
        clock_.advance(step);
        wallClock_.advance(step);
    }

    [[nodiscard]] UtcTime runDeadline() const
    {
        return wallClock_.now() + std::chrono::seconds(30);
    }

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
    QuarantineFixture fixture;
    CHECK(fixture.a_.admit("f") == Standing::Clear);
    fixture.a_.crashed("f", "crash 1");
    fixture.b_.merge(fixture.a_.crashed("f", "crash 1"));
    CHECK(fixture.b_.admit("f") == Standing::Suspect);
    fixture.a_.merge(fixture.b_.crashed("f", "crash 2"));
    const auto refused = fixture.a_.admit("f");
    REQUIRE(!refused);
    CHECK(refused.error().code_ == ErrorCode::Quarantined);
    CHECK(refused.error().execution_ == Execution::NotRun);
    CHECK(refused.error().retryAt_ == fixture.clock_.now() + kCrashRetention);
    CHECK(fixture.a_.admit("g") == Standing::Clear);
    fixture.advance(kCrashRetention);
    CHECK(fixture.a_.admit("f") == Standing::Clear);
    CHECK(fixture.a_.records().empty());
}

// Guards against harmless requests that remain suspects, and against stale reports that undo the
// clearing.
TEST_CASE("a request that ran to completion is cleared")
{
    QuarantineFixture fixture;
    const SuspectRecord old = fixture.a_.crashed("f", "crash 1");
    CHECK(!fixture.a_.completed("other"));
    const auto cleared = fixture.a_.completed("f");
    REQUIRE(cleared);
    fixture.b_.merge(*cleared);
    fixture.b_.merge(old);
    fixture.a_.merge(old);
    CHECK(fixture.a_.admit("f") == Standing::Clear);
    CHECK(fixture.b_.admit("f") == Standing::Clear);
    fixture.b_.crashed("f", "crash 2");
    CHECK(fixture.b_.admit("f") == Standing::Suspect);
}

// Guards against two copies of a suspect that run concurrently in two processes and crash two
// targets.
TEST_CASE("one copy of a suspect runs at a time")
{
    QuarantineFixture fixture;
    fixture.b_.merge(fixture.a_.crashed("f", "crash 1"));
    const auto fromA = fixture.a_.requestRun("f", fixture.runDeadline());
    const auto fromB = fixture.b_.requestRun("f", fixture.runDeadline());
    REQUIRE(fromA);
    REQUIRE(fromB);
    CHECK(!fixture.a_.requestRun("f", fixture.runDeadline()));
    QuarantineFixture::exchange(fixture.b_, fixture.a_, *fromB);
    QuarantineFixture::exchange(fixture.a_, fixture.b_, *fromA);
    CHECK(fixture.b_.confirmRun("f") == false);
    CHECK(fixture.a_.confirmRun("f") == true);
    CHECK(fixture.b_.confirmRun("f") == false);
    fixture.b_.merge(fixture.a_.endRun("f"));
    CHECK(fixture.b_.confirmRun("f") == true);
    REQUIRE(fixture.a_.requestRun("f", fixture.runDeadline()));
    fixture.a_.merge(*fromB); // a stale report in which b is waiting
    QuarantineFixture::exchange(fixture.a_, fixture.b_, fixture.a_.merge(*fromB));
    CHECK(fixture.a_.confirmRun("f") == false); // b is running, although a's holder id is smaller
    fixture.advance(std::chrono::minutes(1));
    CHECK(fixture.a_.confirmRun("f").error().code_ == ErrorCode::DeadlineExceeded);
    CHECK(fixture.a_.requestRun("f", fixture.runDeadline())); // b's mark has expired
    CHECK(fixture.a_.confirmRun("f") == true);
}

// Guards against copies of a suspect that run concurrently in threads of one process.
TEST_CASE("only one thread of a process may run a suspect")
{
    QuarantineFixture fixture;
    std::atomic<int> confirmed = 0;
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int i = 0; i < 8; ++i) {
        threads.emplace_back([&, i] {
            fixture.a_.crashed("f", "crash 1");
            fixture.a_.crashed(std::to_string(i), "crash 1");
            if (fixture.a_.requestRun("f", fixture.runDeadline()) && *fixture.a_.confirmRun("f"))
                ++confirmed;
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    CHECK(confirmed == 1);
    CHECK(fixture.a_.records().size() == 9);
}

// Guards against a peer's copy of an ended run mark that overrides the new mark of the same
// process: the process has dropped the expired record, the peer still has it.
TEST_CASE("a new run mark overrides an earlier one that a peer still has")
{
    QuarantineFixture fixture;
    fixture.a_.crashed("f", "crash 1");
    REQUIRE(fixture.a_.requestRun("f", fixture.runDeadline()));
    fixture.b_.merge(fixture.a_.endRun("f"));
    fixture.advance(kCrashRetention / 2);
    fixture.b_.crashed("f", "crash 2");
    REQUIRE(fixture.b_.completed("f"));
    fixture.advance(kCrashRetention / 2);
    CHECK(fixture.a_.records().empty());
    fixture.a_.crashed("f", "crash 3");
    QuarantineFixture::exchange(fixture.a_, fixture.b_,
                                *fixture.a_.requestRun("f", fixture.runDeadline()));
    CHECK(fixture.a_.confirmRun("f") == true);
}

// Guards against records that depend on the order or the repetition of reports.
TEST_CASE("merging is idempotent and commutative, and records round-trip through JSON")
{
    std::mt19937 random(1);
    const auto randomBelow = [&random](int count) { return static_cast<int>(random() % count); };
    for (int round = 0; round < 300; ++round) {
        std::vector<SuspectRecord> reports;
        for (int i = 0; i < 4; ++i) {
            SuspectRecord report{"f"};
            report.crashes_[std::to_string(randomBelow(3))] = {UtcTime(Duration(randomBelow(3))),
                                                               randomBelow(2) == 0};
            report.runs_[std::to_string(randomBelow(2))] = {
                static_cast<std::uint64_t>(randomBelow(3)), static_cast<RunState>(randomBelow(3)),
                UtcTime(Duration(randomBelow(3)))};
            reports.push_back(report);
        }
        SuspectRecord once{"f"};
        for (const SuspectRecord &report : reports)
            once.merge(report);
        std::vector<SuspectRecord> shuffledTwice = reports;
        shuffledTwice.insert(shuffledTwice.end(), reports.begin(), reports.end());
        std::shuffle(shuffledTwice.begin(), shuffledTwice.end(), random);
        SuspectRecord other{"f"};
        for (const SuspectRecord &report : shuffledTwice)
            other.merge(report);
        CHECK(once == other);
        CHECK(SuspectRecord::ofJson(once.toJson()) == once);
    }
    for (const char *text : {"", "{}", R"({"fingerprint":"f","crashes":[],"runs":{}})",
                             R"({"fingerprint":"f","crashes":{"1":{}},"runs":{}})", "[]", "7",
                             R"({"fingerprint":1,"crashes":{},"runs":{}})",
                             R"({"fingerprint":"f","crashes":{"1":3},"runs":{}})",
                             R"({"fingerprint":"f","crashes":{},"runs":{},"kind":"other"})",
                             R"({"fingerprint":"f","crashes":{},"runs":{},"kind":1})",
                             R"({"fingerprint":"f","crashes":{"1":{"cleared":0,"forget_at_us":1}},
                                 "runs":{}})",
                             R"({"fingerprint":"f","crashes":{"1":{"cleared":true,
                                 "forget_at_us":-1}},"runs":{}})",
                             R"({"fingerprint":"f","crashes":{},"runs":{"1":{"sequence":1,
                                 "state":3,"until_us":1}}})",
                             R"({"fingerprint":"f","crashes":{},"runs":{"1":{"sequence":1.5,
                                 "state":1,"until_us":1}}})"})
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
