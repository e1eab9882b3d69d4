#pragma once

// Time limits of the claim protocol and the waiting between tries. All processes that share a
// table use the same limits: ClaimAdmin relies on those of the agents.

#include "base/clock.h"

namespace foxtailturn {

// Lengths of time; what is stored is always a deadline computed from them.
struct ClaimLimits
{
    // Longest time from the start of an attempt to the end of its call. An operator may settle a
    // claim only when this has surely passed, so a longer call is cut off here.
    Duration attemptTime_ = std::chrono::seconds(60);
    // Covers the drift between two VMs' clocks over attemptTime_ and the time between the last
    // check of a deadline and its effect.
    Duration settleMargin_ = std::chrono::seconds(5);
    // Longest wait for one call of the table service.
    Duration tableTime_ = std::chrono::milliseconds(500);
    // How long the caller's answer may wait for its recording.
    Duration recordTime_ = std::chrono::seconds(2);
    // Wait between two tries of a failed table call.
    Duration retryPause_ = std::chrono::milliseconds(50);
    // When a caller refused because of the store may come again.
    Duration storeRetryAfter_ = std::chrono::seconds(2);
    // How long a finished claim is kept for resends. It must be far longer than the error of any
    // VM's calendar and than a delayed write may take.
    Duration retention_ = std::chrono::hours(48);

    bool operator==(const ClaimLimits &) const = default;
};

// Waits between tries. A test's waiter moves its clock instead.
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
