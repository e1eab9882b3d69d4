#include "net/loop_lag.h"

#include <doctest/doctest.h>

namespace foxtailturn {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A loop in virtual time.
class Loop
{
public:
    ManualClock clock_;
    LoopLag lag_{clock_.now()};

    // Takes a handler, starts it after a delay, and returns the lag that it sees.
    Duration handle(Duration work, Duration delay = Duration::zero())
    {
        lag_.beginTurn(clock_.now());
        return run(delay, work);
    }

    // The same for a handler that does not tell its start.
    void handleUntold(Duration work)
    {
        lag_.beginTurn(clock_.now());
        clock_.advance(work);
    }

    // The same for a handler that the loop waits for, with nothing ready before.
    Duration await(Duration wait, Duration work) { return run(beginLastWait(wait), work); }

    void awaitUntold(Duration wait, Duration work) { clock_.advance(beginLastWait(wait) + work); }

    // The process may be paused behind the poll.
    void pollNothing(Duration pause = Duration::zero())
    {
        lag_.beginTurn(clock_.now());
        clock_.advance(pause);
        lag_.nothingReady();
    }

private:
    Duration run(Duration delay, Duration work)
    {
        clock_.advance(delay);
        const TimePoint now = clock_.now();
        const Duration behind = now - lag_.readySince(now);
        clock_.advance(work);
        return behind;
    }

    // Waits in turns, and returns what is left for the one that ends with a handler.
    Duration beginLastWait(Duration wait)
    {
        pollNothing();
        for (; wait > LoopLag::kMaxWait; wait -= LoopLag::kMaxWait) {
            lag_.beginTurn(clock_.now());
            lag_.beginWait();
            clock_.advance(LoopLag::kMaxWait);
            lag_.nothingReady();
        }
        lag_.beginTurn(clock_.now());
        lag_.beginWait();
        return wait;
    }
};

} // namespace

// Guards against an idle loop that counts its waits against callers.
TEST_CASE("a handler that was waited for has no lag")
{
    Loop loop;
    CHECK(loop.await(seconds(5), milliseconds(0)) == Duration::zero());
    CHECK(loop.handle(milliseconds(0)) == Duration::zero());
    CHECK(loop.await(seconds(5), milliseconds(0)) == Duration::zero());
    CHECK(loop.await(milliseconds(7), milliseconds(0)) == Duration::zero());
}

// Guards against a wait that counts against callers as a handler did not tell when it ended, and
// against such a handler that is taken for a wait.
TEST_CASE("the lag behind a handler that does not tell its start is bounded by two waits")
{
    Loop loop;
    loop.awaitUntold(seconds(5) + milliseconds(10), milliseconds(0));
    CHECK(loop.handle(milliseconds(0)) == LoopLag::kMaxWait + milliseconds(10));
    loop.awaitUntold(seconds(5), milliseconds(300));
    loop.handleUntold(milliseconds(0));
    CHECK(loop.handle(milliseconds(0)) == 2 * LoopLag::kMaxWait + milliseconds(300));
    CHECK(loop.await(seconds(1), milliseconds(0)) == Duration::zero());
}

// Guards against a process that counts the time before its start.
TEST_CASE("a loop that has just begun has no lag")
{
    Loop loop;
    CHECK_FALSE(loop.lag_.needsPoll(loop.clock_.now()));
    CHECK(loop.handle(milliseconds(0)) == Duration::zero());
}

// Guards against a loop that is behind and does not know it.
TEST_CASE("a handler behind others sees the time since the loop last waited")
{
    Loop loop;
    CHECK(loop.await(seconds(1), milliseconds(300)) == Duration::zero());
    CHECK(loop.handle(milliseconds(200)) == milliseconds(300));
    loop.handleUntold(milliseconds(0));
    CHECK(loop.handle(milliseconds(400)) == milliseconds(500));
    CHECK(loop.handle(milliseconds(0)) == milliseconds(900));
    loop.handleUntold(milliseconds(600));
    CHECK(loop.handle(milliseconds(0)) == milliseconds(1500));
    CHECK(loop.await(LoopLag::kMinWait, milliseconds(0)) == Duration::zero());
}

// Guards against a pause of the process that is taken for a wait.
TEST_CASE("a handler that starts late behind others was not waited for")
{
    for (const Duration pause : {Duration(LoopLag::kMinWait), Duration(milliseconds(90))}) {
        CAPTURE(pause.count());
        Loop loop;
        CHECK(loop.await(seconds(1), milliseconds(300)) == Duration::zero());
        CHECK(loop.handle(milliseconds(0), pause) == milliseconds(300) + pause);
        loop.pollNothing(pause);
        CHECK(loop.handle(milliseconds(0)) == pause);
    }
}

// Guards against a lag that grows without end in a loop that waits for short times.
TEST_CASE("a poll that finds nothing ends the lag")
{
    Loop loop;
    CHECK(loop.await(seconds(1), milliseconds(4)) == Duration::zero());
    CHECK_FALSE(loop.lag_.needsPoll(loop.clock_.now()));
    CHECK(loop.handle(milliseconds(1)) == milliseconds(4));
    CHECK(loop.lag_.needsPoll(loop.clock_.now()));
    loop.pollNothing();
    CHECK_FALSE(loop.lag_.needsPoll(loop.clock_.now()));
    CHECK(loop.handle(milliseconds(1)) == Duration::zero());
    CHECK(loop.handle(milliseconds(0)) == milliseconds(1));
}

} // namespace foxtailturn
