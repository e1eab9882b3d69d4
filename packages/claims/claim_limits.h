#pragma once

// Timeouts of the claim protocol and the delay between retries. All processes that share a table
// must use the same limits, as ClaimAdmin assumes that every agent observes its own.

#include "base/clock.h"

namespace foxtailturn {

// All values are durations; rows store only points in time computed from them.
struct ClaimLimits
{
    // Maximum time from the start of an attempt to the end of its call to the target. A call that
    // takes longer is aborted, since an operator may settle a claim once this time has passed.
    Duration attemptTimeout_ = std::chrono::seconds(60);
    // Added to attemptTimeout_ before a claim may be settled. Covers the drift between two VMs'
    // clocks over attemptTimeout_ and the delay between the last deadline check and the action it
    // guards.
    Duration settleMargin_ = std::chrono::seconds(5);
    // Timeout of one call to the table service.
    Duration tableCallTimeout_ = std::chrono::milliseconds(500);
    // Maximum time that the caller's answer is delayed by the attempts to record it.
    Duration recordTimeout_ = std::chrono::seconds(2);
    // Delay before a failed table call is retried.
    Duration retryDelay_ = std::chrono::milliseconds(50);
    // Retry delay given to a caller whose call failed because the table service is unavailable.
    Duration storeRetryAfter_ = std::chrono::seconds(2);
    // How long a finished claim is kept for resends. Must far exceed both the error of any VM's
    // wall clock and the longest delay of a write in flight.
    Duration retention_ = std::chrono::hours(48);

    bool operator==(const ClaimLimits &) const = default;
};

// Waits between retries. Tests implement it by advancing a manual clock.
class Waiter
{
public:
    virtual ~Waiter() = default;

    // Returns once the clock has reached the time. Thread-safe.
    virtual void waitUntil(TimePoint time) = 0;
};

// Blocks the calling thread.
class BlockingWaiter final : public Waiter
{
public:
    // The clock must outlive the waiter.
    explicit BlockingWaiter(const Clock &clock)
        : clock_(clock)
    { }

    // Sleeps in the calling thread. Thread-safe.
    void waitUntil(TimePoint time) override;

private:
    const Clock &clock_;
};

} // namespace foxtailturn
