#include "gateway/loop_lag.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A loop in virtual time.
struct Loop
{
    ManualClock clock_;
    LoopLag lag_{clock_.now()};

    // Waits for a handler, starts it, and returns the lag that it sees.
    Duration handle(Duration wait, Duration work)
    {
        lag_.beginTurn(clock_.now());
        clock_.advance(wait);
        const TimePoint now = clock_.now();
        const Duration behind = now - lag_.readySince(now);
        clock_.advance(work);
        return behind;
    }

    // The same for a handler that does not tell its start.
    void handleUntold(Duration wait, Duration work)
    {
        lag_.beginTurn(clock_.now());
        clock_.advance(wait + work);
    }

    void pollNothing()
    {
        lag_.beginTurn(clock_.now());
        lag_.nothingReady(clock_.now());
    }
};

} // namespace

// Guards against an idle loop that counts its waits against callers.
TEST_CASE("a handler that was waited for has no lag")
{
    Loop loop;
    CHECK(loop.handle(seconds(5), milliseconds(0)) == Duration::zero());
    CHECK(loop.handle(seconds(5), milliseconds(0)) == Duration::zero());
    loop.handleUntold(seconds(5), milliseconds(0));
    CHECK(loop.handle(Duration::zero(), milliseconds(0)) == Duration::zero());
    loop.handleUntold(seconds(5), milliseconds(0));
    loop.handleUntold(Duration::zero(), milliseconds(0));
    CHECK(loop.handle(seconds(1), milliseconds(0)) == Duration::zero());
}

// Guards against a process that counts the time before its start.
TEST_CASE("a loop that has just begun has no lag")
{
    Loop loop;
    CHECK_FALSE(loop.lag_.needsPoll(loop.clock_.now()));
    CHECK(loop.handle(Duration::zero(), milliseconds(0)) == Duration::zero());
}

// Guards against a loop that is behind and does not know it.
TEST_CASE("a handler behind others sees the time since the loop last waited")
{
    Loop loop;
    CHECK(loop.handle(seconds(1), milliseconds(300)) == Duration::zero());
    CHECK(loop.handle(Duration::zero(), milliseconds(200)) == milliseconds(300));
    loop.handleUntold(Duration::zero(), milliseconds(0));
    CHECK(loop.handle(Duration::zero(), milliseconds(400)) == milliseconds(500));
    CHECK(loop.handle(Duration::zero(), milliseconds(0)) == milliseconds(900));
    CHECK(loop.handle(LoopLag::kMinWait, milliseconds(0)) == Duration::zero());
}

// Guards against a lag that grows without end in a loop that waits for short times.
TEST_CASE("a poll that finds nothing ends the lag")
{
    Loop loop;
    CHECK(loop.handle(seconds(1), milliseconds(4)) == Duration::zero());
    CHECK_FALSE(loop.lag_.needsPoll(loop.clock_.now()));
    CHECK(loop.handle(Duration::zero(), milliseconds(1)) == milliseconds(4));
    CHECK(loop.lag_.needsPoll(loop.clock_.now()));
    loop.pollNothing();
    CHECK_FALSE(loop.lag_.needsPoll(loop.clock_.now()));
    CHECK(loop.handle(Duration::zero(), milliseconds(1)) == Duration::zero());
    CHECK(loop.handle(Duration::zero(), milliseconds(0)) == milliseconds(1));
}

} // namespace foxtailturn::gateway
