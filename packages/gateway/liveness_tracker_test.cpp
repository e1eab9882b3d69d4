#include "gateway/liveness_tracker.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::seconds;

constexpr Duration kTimeout = seconds(60);

StoreRows rowsOf(const std::map<std::string, std::int64_t> &versions)
{
    StoreRows rows;
    rows.rows_.push_back({"t", "p", "quota/w", "x", 99});
    for (const auto &[entry, version] : versions)
        rows.rows_.push_back({"t", "p", LivenessTracker::keyOf(entry), "1", version});
    return rows;
}

} // namespace

// Guards against an entry whose units are reclaimed although it is alive.
TEST_CASE("an entry is unresponsive once its record has not changed for the given time")
{
    LivenessTracker tracker;
    const TimePoint start = TimePoint{} + seconds(1000);
    tracker.read(rowsOf({{"e0", 5}, {"e1", 6}}), start);
    tracker.read(rowsOf({{"e0", 5}, {"e1", 7}}), start + seconds(30));
    CHECK_FALSE(tracker.isUnresponsive("e0", kTimeout, start + seconds(59)));
    CHECK(tracker.isUnresponsive("e0", kTimeout, start + seconds(60)));
    CHECK_FALSE(tracker.isUnresponsive("e1", kTimeout, start + seconds(89)));
    CHECK(tracker.isUnresponsive("e1", kTimeout, start + seconds(90)));
    CHECK(tracker.versionOf("e1") == 7);
    tracker.read(rowsOf({{"e0", 8}}), start + seconds(61));
    CHECK_FALSE(tracker.isUnresponsive("e0", kTimeout, start + seconds(62)));
    CHECK(tracker.versionOf("e1") == 0); // its record was removed
}

// Guards against an entry that never wrote a record and holds its units forever.
TEST_CASE("an entry without a record becomes unresponsive and is later no longer tracked")
{
    LivenessTracker tracker;
    const TimePoint start = TimePoint{} + seconds(1000);
    CHECK_FALSE(tracker.isUnresponsive("e0", kTimeout, start));
    tracker.track("e0", start);
    tracker.read(rowsOf({}), start + seconds(60));
    tracker.track("e0", start + seconds(60));
    CHECK(tracker.isUnresponsive("e0", kTimeout, start + seconds(60)));
    CHECK(tracker.versionOf("e0") == 0);
    tracker.read(rowsOf({}), start + seconds(200));
    CHECK_FALSE(tracker.isUnresponsive("e0", kTimeout, start + seconds(200)));
}

} // namespace foxtailturn::gateway
