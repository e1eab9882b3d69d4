#pragma once

// The run of an engine as its sidecar sees it: reachable or not, and since when.
//
//     EngineWatch watch;
//     if (watch.onReport(report.startTimeMs_, ageByWallClock, now) || watch.onFailure(now))
//         server.sendAll(encode(watch.state(now)));
//
// An engine that was out of reach for longer than one lost answer may have become cold meanwhile,
// also under the same incarnation.

#include <optional>

#include "base/clock.h"
#include "placement/permit.h"

namespace foxtailturn::placement {

// Not thread-safe.
class EngineWatch
{
public:
    // An engine that was unreachable for less counts as running on.
    static constexpr Duration kMinOutage = std::chrono::milliseconds(300);

    // Record a report of the engine, or that it gave none. age, of the incarnation, counts only in
    // the first report. Each returns whether entries must be told.
    bool onReport(std::int64_t startTimeMs, Duration age, TimePoint now);
    bool onFailure(TimePoint now);

    // Returns whether there was a report or a failure.
    [[nodiscard]] bool isKnown() const { return upSince_.has_value() || downSince_.has_value(); }
    [[nodiscard]] bool isReachable() const { return upSince_ && !downSince_; }
    [[nodiscard]] EngineState state(TimePoint now) const;

private:
    std::int64_t startTimeMs_ = 0;
    std::optional<TimePoint> upSince_;
    std::optional<TimePoint> downSince_;
};

} // namespace foxtailturn::placement
