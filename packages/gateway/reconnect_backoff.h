#pragma once

// Waiting times between the connection attempts of one link: exponential with jitter, so that links
// that were lost together don't connect together.
//
//     ReconnectBackoff backoff(hash64(randomId()));
//     timer.expires_after(backoff.next());    // after a failed attempt or a lost connection
//     backoff.reset();                        // once connected

#include <random>

#include "base/clock.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class ReconnectBackoff
{
public:
    static constexpr Duration kBase = std::chrono::milliseconds(100);
    static constexpr int kMaxDoublings = 4;

    // Different seeds give different times.
    explicit ReconnectBackoff(std::uint64_t seed)
        : random_(seed)
    { }

    // Returns the time until the next attempt: from half to one and a half of a mean that doubles
    // with each call.
    [[nodiscard]] Duration next();

    void reset() { failures_ = 0; }

private:
    std::minstd_rand random_;
    int failures_ = 0;
};

} // namespace foxtailturn::gateway
