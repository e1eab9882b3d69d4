#pragma once

// Cancels blocking reads whose deadline has passed.
//
//     auto watch = watchdog.watch([&context] { context.TryCancel(); });
//     watch->setDeadline(clock.now() + kFrameTimeout);   // before each read
//     reader->Read(&frame);
//     watch->close();   // the callback is not called afterwards

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "base/clock.h"

namespace foxtailturn {

// The deadline of a stream's blocking reads, and the callback that cancels the stream. close()
// waits for a running callback. Thread-safe.
class StreamWatch
{
public:
    explicit StreamWatch(std::function<void()> onExpired);

    // Sets the time from which the callback is due; it is called once per deadline. Thread-safe.
    void setDeadline(TimePoint deadline);

    // Disables the watch and waits for a running callback; the callback is not called afterwards.
    // Must not be called from the callback. Thread-safe.
    void close();

    // Calls the callback if the deadline has passed. Thread-safe.
    void check(TimePoint now);

private:
    std::mutex mutex_;
    std::function<void()> onExpired_;
    TimePoint deadline_ = TimePoint::max();
};

// Creates watches and calls the callbacks of the expired ones. Thread-safe.
class StreamWatchdog
{
public:
    // Returns a new watch. Close it before the data that the callback uses is destroyed.
    // Thread-safe.
    [[nodiscard]] std::shared_ptr<StreamWatch> watch(std::function<void()> onExpired);

    // Checks all watches; to be called periodically. Thread-safe.
    void check(TimePoint now);

private:
    std::mutex mutex_;
    std::vector<std::weak_ptr<StreamWatch>> watches_;
};

} // namespace foxtailturn
