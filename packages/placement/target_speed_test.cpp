#include "placement/target_speed.h"

#include <doctest/doctest.h>

namespace foxtailturn::placement {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

std::vector<Duration> stepTimes(std::initializer_list<int> micros)
{
    std::vector<Duration> times;
    for (const int time : micros)
        times.emplace_back(time);
    return times;
}

} // namespace

TEST_CASE("targets are compared with the typical one")
{
    struct Case
    {
        const char *name_;
        std::vector<Duration> others_;
        int stepTime_;
        double slowness_;
    };
    const std::vector<Case> cases = {
        {"slow", stepTimes({4000, 4000, 8800, 4000}), 8000, 2},
        {"fast", stepTimes({8000, 8000, 4000}), 4000, 0.5},
        {"alike", stepTimes({4000, 4100, 3800}), 5200, 1},
        {"unknown", stepTimes({4000, 4000, 4000}), 0, 1},
        {"too few to compare", stepTimes({0, 4000, 0, 4000}), 9000, 1},
        {"odd", stepTimes({4000, 4000, 4000}), 900'000, SpeedScale::kMaxSlowness},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        CHECK(SpeedScale(c.others_).slownessOf({microseconds(c.stepTime_)})
              == doctest::Approx(c.slowness_));
    }
}

TEST_CASE("a stall adds at most what is left of it")
{
    const SpeedScale scale(stepTimes({4000, 4000, 4000}));
    const TargetSpeed stalled{microseconds(4000), true};
    CHECK(scale.timeAt(stalled, milliseconds(100)) == milliseconds(250));
    CHECK(scale.timeAt(stalled, milliseconds(1000)) == milliseconds(1300));
    CHECK(scale.timeAt({microseconds(4000)}, milliseconds(100)) == milliseconds(100));
    CHECK(scale.timeAt({microseconds(8000)}, milliseconds(100)) == milliseconds(200));
}

} // namespace foxtailturn::placement
