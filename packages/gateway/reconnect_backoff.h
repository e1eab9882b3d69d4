#pragma once

// Waiting times between the connection attempts of one link: exponential with jitter, so that links
// that were lost together don't connect together.
//
//     ReconnectBackoff backoff(hash64(randomId()));
//     timer.expires_after(backoff.next(now)); // after a failed attempt or a lost connection
//     backoff.recordConnected(now);

#include <optional>
#include <random>

#include "base/clock.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class ReconnectBackoff
{
public:
    static constexpr Duration kBase = std::chrono::milliseconds(100);
    static constexpr int kMaxDoublings = 4;
    // A connection that is lost sooner counts like a failed attempt, since each one costs both ends
    // a full report.
    static constexpr Duration kStableTime = std::chrono::seconds(5);

    // Different seeds give different times.
    explicit ReconnectBackoff(std::uint64_t seed)
        : random_(seed)
    { }

    // Returns the time until the next attempt: from half to one and a half of a mean that doubles
    // with each failed attempt since the last connection, or with each connection that was not
    // stable.
    [[nodiscard]] Duration next(TimePoint now);

    void recordConnected(TimePoint now) { connectedAt_ = now; }

private:
    std::minstd_rand random_;
    int failures_ = 0;
    int lostLinks_ = 0; // in a row, without a stable one between them
    std::optional<TimePoint> connectedAt_; // empty while not connected
};

} // namespace foxtailturn::gateway
