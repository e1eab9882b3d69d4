#include "gateway/shutdown_schedule.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kBegin{std::chrono::seconds(100)};

} // namespace

// Guards against a process that is killed while it answers, and against requests that are cut long
// before they would have to be.
TEST_CASE("requests are cut in the last sixth of the grace, before the kill")
{
    for (const int grace : {0, 200, 1000, 2000, 4000, 8000, 60'000}) {
        CAPTURE(grace);
        const ShutdownSchedule schedule(kBegin, milliseconds(grace));
        CHECK(schedule.cutAt() >= kBegin + milliseconds(grace) * 5 / 6);
        CHECK(schedule.cutAt() <= kBegin + milliseconds(grace));
        CHECK(schedule.acceptUntil() <= schedule.releaseAt());
        CHECK(schedule.releaseAt() <= std::max(schedule.cutAt(), schedule.acceptUntil()));
    }
    const ShutdownSchedule schedule(kBegin, milliseconds(8000));
    CHECK(schedule.acceptUntil() == kBegin + milliseconds(2700));
    CHECK(schedule.releaseAt() == kBegin + milliseconds(7000));
    CHECK(schedule.cutAt() == kBegin + milliseconds(7200));
}

// Guards against requests that are taken late in the grace and cut at its end.
TEST_CASE("a late request is taken if it ends before the process does")
{
    struct Case
    {
        int nowMs_; // since the beginning
        int deadlineMs_;
        bool isAdmitted_;
    };
    const Case cases[] = {
        {0, 60'000, true},   {2699, 60'000, true},  {2700, 60'000, false},
        {2700, 7201, false}, {2700, 7200, true},    {5000, 6000, true},
        {7199, 7200, true},  {7000, 15'000, false}, {7300, 7400, false},
    };
    const ShutdownSchedule schedule(kBegin, milliseconds(8000));
    for (const Case &c : cases) {
        CAPTURE(c.nowMs_);
        CAPTURE(c.deadlineMs_);
        CHECK(schedule.admits(kBegin + milliseconds(c.nowMs_), kBegin + milliseconds(c.deadlineMs_))
              == c.isAdmitted_);
    }
}

} // namespace foxtailturn::gateway
