#pragma once

// Calendar time for rows that other VMs read. Clock counts from the VM's boot and means nothing on
// another VM, so a deadline that is stored in a table row or sent to a peer is a UtcTime.
//
//     claim.expiresAt_ = wallClock.now() + kRetention;
//
// The clocks of two VMs differ. Use it only where an error of some seconds does no harm; deadlines
// inside one process are TimePoints of Clock.

#include <atomic>
#include <chrono>

#include "base/clock.h"

namespace foxtailturn {

using UtcTime = std::chrono::sys_time<Duration>;

// Source of the calendar time. Implementations are thread-safe.
class WallClock
{
public:
    virtual ~WallClock() = default;

    // Returns the time in UTC; it may jump when the VM's clock is corrected. Thread-safe.
    [[nodiscard]] virtual UtcTime now() const = 0;
};

// The operating system's calendar time.
class SystemWallClock final : public WallClock
{
public:
    // Returns the system's time. Thread-safe.
    [[nodiscard]] UtcTime now() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    }
};

// A wall clock that moves only when told to. For tests and for benches in virtual time.
class ManualWallClock final : public WallClock
{
public:
    // Returns the time set so far. Thread-safe.
    [[nodiscard]] UtcTime now() const override { return UtcTime(Duration(micros_.load())); }

    // Moves the clock. Thread-safe.
    void advance(Duration step) { micros_.fetch_add(step.count()); }

private:
    std::atomic<Duration::rep> micros_ = 1'800'000'000'000'000;
};

} // namespace foxtailturn
