#include "placement/engine_watch.h"

#include <doctest/doctest.h>
#include <vector>

namespace foxtailturn::placement {

using std::chrono::milliseconds;

namespace {

struct Observation
{
    int at_ = 0; // milliseconds
    std::int64_t startTimeMs_ = 0; // 0: no answer
    bool isNews_ = false;
    bool isReachable_ = false;
    int upMs_ = 0;
};

struct Case
{
    const char *name_;
    std::vector<Observation> observations_;
};

constexpr int kAgeMs = 60'000; // of the incarnation by the wall clock

} // namespace

TEST_CASE("an engine counts as started when its incarnation changes or it returns")
{
    const Case cases[] = {
        {"runs when the sidecar starts",
         {{0, 7, true, true, kAgeMs}, {120, 7, false, true, 60'120}}},
        {"restarts between two polls", {{0, 7, true, true, kAgeMs}, {120, 8, true, true, 0}}},
        {"one answer is lost",
         {{0, 7, true, true, kAgeMs}, {100, 0, true, false, 0}, {140, 7, true, true, 60'140}}},
        {"returns under the same incarnation",
         {{0, 7, true, true, kAgeMs},
          {100, 0, true, false, 0},
          {140, 0, false, false, 0},
          {400, 7, true, true, 0},
          {520, 7, false, true, 120}}},
        {"restarts within a short outage",
         {{0, 7, true, true, kAgeMs}, {100, 0, true, false, 0}, {140, 8, true, true, 0}}},
        {"starts after its sidecar", {{0, 0, true, false, 0}, {40, 8, true, true, 0}}},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        EngineWatch watch;
        CHECK_FALSE(watch.isKnown());
        for (const Observation &seen : c.observations_) {
            CAPTURE(seen.at_);
            const TimePoint now = TimePoint{} + std::chrono::hours(1) + milliseconds(seen.at_);
            const bool isNews = seen.startTimeMs_ == 0
                ? watch.onFailure(now)
                : watch.onReport(seen.startTimeMs_, milliseconds(kAgeMs), now);
            CHECK(isNews == seen.isNews_);
            CHECK(watch.state(now).isReachable_ == seen.isReachable_);
            CHECK(watch.state(now).upFor_ == milliseconds(seen.upMs_));
        }
    }
}

TEST_CASE("a wall clock that was set back makes no negative age")
{
    EngineWatch watch;
    const TimePoint now = TimePoint{} + std::chrono::hours(1);
    CHECK(watch.onReport(7, -std::chrono::hours(2), now));
    CHECK(watch.state(now).upFor_ == Duration::zero());
}

} // namespace foxtailturn::placement
