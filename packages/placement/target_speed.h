#pragma once

// Compares the speed of a service's targets.
//
//     const SpeedScale scale(stepTimes);   // of all targets of the service, as their sidecars
//     report const Duration time = scale.timeAt(target.speed_, work);
//
// The typical target is the median one. A target within kDeadBand of it counts as equally fast, so
// that measuring errors don't change choices among targets that are alike.

#include <optional>
#include <vector>

#include "base/clock.h"

namespace foxtailturn::placement {

// How fast a target decodes, as its sidecar measures it.
struct TargetSpeed
{
    Duration stepTime_{}; // per token; zero: unknown
    bool isStalled_ = false;

    bool operator==(const TargetSpeed &) const = default;
};

// Immutable, so all calls are thread-safe.
class SpeedScale
{
public:
    static constexpr double kDeadBand = 1.4;
    static constexpr double kMaxSlowness = 4;
    // How much of a stall is still to come on average, and how much slower the target is in it.
    static constexpr Duration kStallLeft = std::chrono::milliseconds(300);
    static constexpr double kStallSlowness = 2.5;
    // Targets with a known speed that a comparison needs.
    static constexpr std::size_t kMinTargets = 3;

    // Zero step times are unknown and left out.
    explicit SpeedScale(std::vector<Duration> stepTimes);

    // Returns how many times longer the target takes than the typical one: 1 within the dead band
    // or if either is unknown.
    [[nodiscard]] double slownessOf(const TargetSpeed &speed) const;

    // Returns how long work takes on the target that takes the given time on the typical one.
    [[nodiscard]] Duration timeAt(const TargetSpeed &speed, Duration work) const;

    // Returns the step time of the typical target; zero if it is unknown.
    [[nodiscard]] Duration typical() const { return typical_; }

private:
    Duration typical_{};
};

} // namespace foxtailturn::placement
