#pragma once

// When a target that rejects requests gets the next ones, as one entry decides it.
//
//     TargetBackoff backoff;
//     backoff.recordRejection(now, retryAfter, jitter);    // from the target's answer
//     backoff.isClosed(now);          // it gets none: it said that it wants none until then
//     backoff.isAvoided(now);         // others are preferred
//     backoff.recordAcceptance();     // it has run a request
//
// Answers the load in which some targets of a service are full, or all are. A target that rejects
// is idle and would look like the best one, so it must lose its place: for as long as it says, and
// otherwise for a short time that doubles with each rejection. Work comes back one request at a
// time, twice as many after each that was run, and entries come back at different times.

#include <limits>
#include <optional>

#include "base/clock.h"

namespace foxtailturn::gateway {

// Value type. Not thread-safe.
class TargetBackoff
{
public:
    // Records that the target rejected a request without running it. retryAfter: how long it wants
    // no other; jitter: a random number from 0 to 1, which delays the return.
    void recordRejection(TimePoint now, std::optional<Duration> retryAfter, double jitter);

    // Records that the target has run a request.
    void recordAcceptance();

    // Returns whether the target wants no requests, and until when.
    [[nodiscard]] bool isClosed(TimePoint now) const { return now < closedUntil_; }
    [[nodiscard]] TimePoint closedUntil() const { return closedUntil_; }

    // Returns whether other targets should be preferred because the target has rejected a request,
    // and until when.
    [[nodiscard]] bool isAvoided(TimePoint now) const { return now < avoidedUntil_; }
    [[nodiscard]] TimePoint avoidedUntil() const { return avoidedUntil_; }

    // Returns whether the target has as many requests of this entry as it gets at a time after a
    // rejection.
    [[nodiscard]] bool isAtLimit(int inFlight) const { return inFlight >= limit_; }

    bool operator==(const TargetBackoff &) const = default;

private:
    static constexpr int kNoLimit = std::numeric_limits<int>::max();

    TimePoint closedUntil_{};
    TimePoint avoidedUntil_{};
    int rejections_ = 0; // in a row
    int limit_ = kNoLimit; // of requests at a time
};

} // namespace foxtailturn::gateway
