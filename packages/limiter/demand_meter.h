#pragma once

// Estimates the recent demand of callers in tokens per second.
//
//     DemandMeter demand;
//     demand.add(300, clock.now());
//     demand.tokensPerSecond(clock.now());
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
        decayedTokens_ += static_cast<double>(tokens);
    }

    // Returns the exponentially weighted mean rate in tokens per second.
    std::int64_t tokensPerSecond(TimePoint now)
    {
        decay(now);
        return static_cast<std::int64_t>(decayedTokens_ / kTimeConstantSeconds);
    }

private:
    // Time constant of the exponential decay. Shares must follow demand within a second, so demand
    // of a second ago must have little weight.
    static constexpr double kTimeConstantSeconds = 0.5;

    void decay(TimePoint now)
    {
        if (now <= decayedAt_)
            return;
        const std::chrono::duration<double> elapsed = now - decayedAt_;
        decayedTokens_ *= std::exp(-elapsed.count() / kTimeConstantSeconds);
        decayedAt_ = now;
    }

    double decayedTokens_ = 0;
    TimePoint decayedAt_;
};

} // namespace foxtailturn
