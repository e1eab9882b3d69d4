#pragma once

// The times of an entry's graceful shutdown, and which requests it still takes.
//
//     const ShutdownSchedule schedule(clock.now(), settings.stopGrace_);
//     if (!schedule.admits(clock.now(), request.deadline_))
//         refuse(request);         // it did not run; another entry takes it
//
// Answers the load of a planned stop: the load balancer sends new connections for a while, and kept
// ones bring requests at any time. A request that the process could not end before it is killed is
// better served by another entry.

#include "base/clock.h"

namespace foxtailturn::gateway {

// Immutable value type. Thread-safe.
class ShutdownSchedule
{
public:
    // Time for the release: one read and one write of the store.
    static constexpr Duration kReleaseTime = std::chrono::milliseconds(200);

    // begin: when the process was told to stop; it is killed grace later.
    ShutdownSchedule(TimePoint begin, Duration grace);

    // Returns until when new connections are accepted and any request is taken. The load balancer
    // has removed the entry by then, if the grace allows that.
    [[nodiscard]] TimePoint acceptUntil() const { return acceptUntil_; }

    // Returns when the process gives up what it owns in the store, at the latest.
    [[nodiscard]] TimePoint releaseAt() const { return releaseAt_; }

    // Returns when the requests that are still under way are ended, with an answer where that is
    // possible.
    [[nodiscard]] TimePoint cutAt() const { return cutAt_; }

    // Returns whether a request that is read now is taken: a late one is, if its deadline has
    // passed before cutAt(), so that it can't be cut.
    [[nodiscard]] bool admits(TimePoint now, TimePoint deadline) const
    {
        return now < acceptUntil_ || deadline <= cutAt_;
    }

    bool operator==(const ShutdownSchedule &) const = default;

private:
    TimePoint acceptUntil_;
    TimePoint releaseAt_;
    TimePoint cutAt_;
};

} // namespace foxtailturn::gateway
