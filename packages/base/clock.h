#pragma once

// Time for all packages. Decisions take a Clock and never read the system's time themselves, so
// that tests can inject a ManualClock.
//
//     const TimePoint deadline = clock.now() + kCallTimeout;
//     if (clock.now() >= deadline) { ... }
//
// Stored values are always deadlines (TimePoint), never durations.

#include <atomic>
#include <chrono>

namespace foxtailturn {

using Duration = std::chrono::microseconds;

// Tag for time points of CLOCK_BOOTTIME. Unlike steady_clock it goes on while the VM is suspended,
// so a lease deadline that passed during a pause is seen as passed.
struct BootTime
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootTime>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std name
};

using TimePoint = BootTime::time_point;

// Source of the current time. Implementations are thread-safe.
class Clock
{
public:
    virtual ~Clock() = default;

    // Returns the current time. Never decreases. Thread-safe.
    [[nodiscard]] virtual TimePoint now() const = 0;
};

// The operating system's CLOCK_BOOTTIME.
class SystemClock final : public Clock
{
public:
    // Returns the time since boot, suspension included. Thread-safe.
    [[nodiscard]] TimePoint now() const override;
};

// A clock that moves only when told to. For tests and for benches in virtual time.
class ManualClock final : public Clock
{
public:
    // Returns the time set so far. Thread-safe.
    [[nodiscard]] TimePoint now() const override { return TimePoint(Duration(micros_.load())); }

    // Moves the clock forward. Precondition: step >= 0. Thread-safe.
    void advance(Duration step) { micros_.fetch_add(step.count()); }

private:
    std::atomic<Duration::rep> micros_ = 1'000'000;
};

} // namespace foxtailturn
