#pragma once

// Estimates the recent demand of callers in tokens per second.
//
//     DemandMeter demand;
//     demand.add(300, clock.now());
//     demand.perSecond(clock.now());
//
// The estimate only decides which peers units move to, never whether tokens may be spent, so
// floating-point rounding is acceptable here.

#include <chrono>
#include <cmath>
#include <cstdint>

#include "base/clock.h"

namespace foxtailturn {

// Not thread-safe.
class DemandMeter
{
public:
    // Records a request for tokens at now.
    void add(std::int64_t tokens, TimePoint now)
    {
        decay(now);
        recent_ += static_cast<double>(tokens);
    }

    // Returns the exponentially weighted mean rate in tokens per second.
    std::int64_t perSecond(TimePoint now)
    {
        decay(now);
        return static_cast<std::int64_t>(recent_ / kWindowSeconds);
    }

private:
    // Time constant of the exponential decay. Shares must follow demand within a second, so demand
    // of a second ago must have little weight.
    static constexpr double kWindowSeconds = 0.5;

    void decay(TimePoint now)
    {
        if (now <= countedAt_)
            return;
        const std::chrono::duration<double> elapsed = now - countedAt_;
        recent_ *= std::exp(-elapsed.count() / kWindowSeconds);
        countedAt_ = now;
    }

    double recent_ = 0;
    TimePoint countedAt_;
};

} // namespace foxtailturn
