#pragma once

// Ends blocking reads whose deadline has passed.
//
//     auto watch = watchdog.watch([&context] { context.TryCancel(); });
//     watch->setDeadline(clock.now() + kSilenceLimit);   // before each read
//     reader->Read(&frame);
//     // The callback is never called once `watch` is destroyed.

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "base/clock.h"

namespace foxtailturn {

// One read that is being watched. Its destruction waits for a callback that is running.
// Thread-safe.
class StreamWatch
{
public:
    explicit StreamWatch(std::function<void()> expire);

    // Sets the time at which the callback is called, once per deadline. Thread-safe.
    void setDeadline(TimePoint deadline);

    // Ends the watch; the callback is not called afterwards. Thread-safe.
    void close();

    // Calls the callback when the deadline has passed. Thread-safe.
    void check(TimePoint now);

private:
    std::mutex mutex_;
    std::function<void()> expire_;
    TimePoint deadline_ = TimePoint::max();
};

// Checks all watches each time check() is called. Thread-safe.
class StreamWatchdog
{
public:
    // Returns a new watch; the caller closes it before the callback's data goes away. Thread-safe.
    [[nodiscard]] std::shared_ptr<StreamWatch> watch(std::function<void()> expire);

    // Checks all watches; called by a controller. Thread-safe.
    void check(TimePoint now);

private:
    std::mutex mutex_;
    std::vector<std::weak_ptr<StreamWatch>> watches_;
};

} // namespace foxtailturn
