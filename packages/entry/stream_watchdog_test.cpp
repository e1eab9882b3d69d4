#include "entry/stream_watchdog.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

namespace foxtailturn {
namespace {

// Guards against a healthy stream that is cancelled early, or an unresponsive one that is cancelled
// twice.
TEST_CASE("the callback is called once per deadline and not before it")
{
    ManualClock clock;
    StreamWatchdog watchdog;
    int calls = 0;
    const auto watch = watchdog.watch([&calls] { ++calls; });
    clock.advance(std::chrono::hours(1));
    watchdog.check(clock.now());
    CHECK(calls == 0);

    for (int round = 1; round <= 2; ++round) {
        const TimePoint deadline = clock.now() + std::chrono::seconds(1);
        watch->setDeadline(deadline);
        watchdog.check(deadline - Duration(1));
        CHECK(calls == round - 1);
        watchdog.check(deadline);
        watchdog.check(deadline + std::chrono::hours(1));
        CHECK(calls == round);
        clock.advance(std::chrono::seconds(2));
    }
}

// Guards against a stream that is cancelled at its old deadline after a frame has extended it.
TEST_CASE("a later deadline replaces the earlier one")
{
    const ManualClock clock;
    StreamWatchdog watchdog;
    int calls = 0;
    const auto watch = watchdog.watch([&calls] { ++calls; });
    watch->setDeadline(clock.now() + std::chrono::seconds(1));
    watch->setDeadline(clock.now() + std::chrono::seconds(3));
    watchdog.check(clock.now() + std::chrono::seconds(2));
    CHECK(calls == 0);
    watchdog.check(clock.now() + std::chrono::seconds(3));
    CHECK(calls == 1);
}

// Guards against a callback that uses destroyed data.
TEST_CASE("a closed or destroyed watch is never called")
{
    const ManualClock clock;
    StreamWatchdog watchdog;
    int calls = 0;
    const auto closed = watchdog.watch([&calls] { ++calls; });
    auto destroyed = watchdog.watch([&calls] { ++calls; });
    closed->setDeadline(clock.now());
    destroyed->setDeadline(clock.now());
    closed->close();
    destroyed.reset();
    watchdog.check(clock.now());
    closed->setDeadline(clock.now());
    watchdog.check(clock.now());
    CHECK(calls == 0);
}

// Guards against close() that returns while the callback still runs in another thread.
TEST_CASE("no callback runs after close has returned")
{
    const ManualClock clock;
    StreamWatchdog watchdog;
    std::atomic<bool> stopped = false;
    std::thread checker([&] {
        while (!stopped)
            watchdog.check(clock.now());
    });
    for (int round = 0; round < 500; ++round) {
        std::atomic<bool> isOpen = true;
        std::atomic<int> lateCalls = 0;
        const auto watch = watchdog.watch([&] {
            std::this_thread::yield();
            if (!isOpen)
                ++lateCalls;
        });
        watch->setDeadline(clock.now());
        if (round % 2 == 0)
            std::this_thread::yield();
        watch->close();
        isOpen = false;
        CHECK(lateCalls == 0);
    }
    stopped = true;
    checker.join();
}

} // namespace
} // namespace foxtailturn
