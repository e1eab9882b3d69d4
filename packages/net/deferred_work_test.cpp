#include "net/deferred_work.h"

#include <doctest/doctest.h>

namespace foxtailturn {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Steps that take kTimePerStep each.
class Steps final : public WorkSource
{
public:
    static constexpr microseconds kTimePerStep{300};

    Steps(ManualClock &clock, int waiting)
        : clock_(clock)
        , waiting_(waiting)
    { }

    [[nodiscard]] bool isWaiting() const override { return waiting_ > 0; }
    [[nodiscard]] WorkKind kind() const override { return WorkKind::Reports; }

    void step() override
    {
        --waiting_;
        ++done_;
        clock_.advance(kTimePerStep);
    }

    ManualClock &clock_;
    int waiting_ = 0;
    int done_ = 0;
};

constexpr int kMany = 100'000;

} // namespace

// Guards against a slice that holds up the event loop, and against sources that starve behind the
// ones before them.
TEST_CASE("a slice is bounded; sources go in order, and each has a step")
{
    ManualClock clock;
    DeferredWork work(clock);
    Steps first(clock, kMany);
    Steps second(clock, kMany);
    work.add(first);
    work.add(second);
    for (int slice = 1; slice <= 10; ++slice) {
        const TimePoint start = clock.now();
        work.runSlice();
        CHECK(clock.now() - start <= DeferredWork::kSliceTime + 2 * Steps::kTimePerStep);
        CHECK(first.done_ == slice * 7);
        CHECK(second.done_ == slice);
    }
    first.waiting_ = 0;
    work.runSlice();
    CHECK(second.done_ == 17);
    second.waiting_ = 0;
    CHECK_FALSE(work.isWaiting());
    work.runSlice();
    CHECK(first.done_ + second.done_ == 87);
}

// Guards against knowledge that is never worked in while callers keep the loop busy, and against
// a share of the time that callers would miss.
TEST_CASE("a loop that always has something ready works for a small share of the time")
{
    ManualClock clock;
    DeferredWork work(clock);
    Steps steps(clock, kMany);
    work.add(steps);
    const TimePoint start = clock.now();
    Duration longest{};
    while (clock.now() - start < milliseconds(1000)) {
        clock.advance(microseconds(100)); // a handler of a caller
        const TimePoint before = clock.now();
        work.runShare();
        longest = std::max(longest, clock.now() - before);
    }
    CHECK(longest <= DeferredWork::kBusySliceTime + Steps::kTimePerStep);
    const Duration spent = steps.done_ * Steps::kTimePerStep;
    CHECK(spent >= milliseconds(30));
    CHECK(spent <= milliseconds(70));
}

// Guards against a slice in the midst of callers' handlers as soon as work arrives.
TEST_CASE("the share of a busy loop begins after the interval, counted from when work waits")
{
    ManualClock clock;
    DeferredWork work(clock);
    Steps steps(clock, 0);
    work.add(steps);
    work.runShare();
    clock.advance(DeferredWork::kBusyInterval * 5);
    steps.waiting_ = kMany;
    work.runShare();
    CHECK(steps.done_ == 0);
    clock.advance(DeferredWork::kBusyInterval - microseconds(1));
    work.runShare();
    CHECK(steps.done_ == 0);
    clock.advance(microseconds(1));
    work.runShare();
    CHECK(steps.done_ > 0);
    work.runSlice(); // counts anew
    const int done = steps.done_;
    clock.advance(DeferredWork::kBusyInterval);
    work.runShare();
    CHECK(steps.done_ == done);
}

TEST_CASE("a removed source has no further steps")
{
    ManualClock clock;
    DeferredWork work(clock);
    Steps steps(clock, kMany);
    work.add(steps);
    work.remove(steps);
    CHECK_FALSE(work.isWaiting());
    work.runSlice();
    CHECK(steps.done_ == 0);
}

} // namespace foxtailturn
