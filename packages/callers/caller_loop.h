#pragma once

// An event loop in a thread of its own, on which callers are served.
//
//     CallerLoop loop(clock, memory::MemoryBounds::forMachine(bytes));
//     loop.start(service, "10.0.0.5:8080", maxConnections);
//     loop.drain();
//     while (loop.hasUnsentAnswers() && clock.now() < deadline) ...
//     loop.stop();
//
// A CallerService takes context(), memory() and jitter() from here.

#include <atomic>
#include <memory>
#include <random>
#include <string>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "base/error.h"
#include "base/metrics.h"
#include "callers/caller_connection.h"
#include "memory/memory_account.h"
#include "net/deferred_work.h"

namespace foxtailturn::callers {

class CallerLoop
{
public:
    // The clock must outlive the loop.
    CallerLoop(const Clock &clock, const memory::MemoryBounds &bounds);
    ~CallerLoop();
    CallerLoop(const CallerLoop &) = delete;
    CallerLoop &operator=(const CallerLoop &) = delete;

    // Accepts callers from now on, no more than maxConnections at a time. The service must outlive
    // the thread. Error: InvalidSettings when the address can't be used. Precondition: not started.
    // Not thread-safe.
    [[nodiscard]] Result<void> start(CallerService &service, const std::string &address,
                                     std::size_t maxConnections);

    // Connections close after their next answer. Thread-safe.
    void drain();

    // Returns whether callers have yet to take bytes of their answers, behind all that was posted
    // to the loop before. Thread-safe, but not for the loop's own thread.
    [[nodiscard]] bool hasUnsentAnswers();

    // Ends requests in progress and closes all connections. Not thread-safe.
    void stop();

    // Posting to it is thread-safe.
    asio::io_context &context() { return context_; }

    // For the loop's thread.
    memory::MemoryAccount &memory() { return *memory_; }

    // Returns a pseudo-random number from 0 to 1. For the loop's thread.
    [[nodiscard]] double jitter() { return std::uniform_real_distribution<double>()(random_); }

private:
    std::shared_ptr<memory::MemoryAccount> memory_;
    MetricRegistry metrics_;
    LoopMeter meter_;
    DeferredWork deferredWork_; // none; the loop asks for it
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> keepsRunning_;
    std::minstd_rand random_{std::random_device()()};
    std::unique_ptr<CallerListener> listener_;
    std::thread thread_;
};

} // namespace foxtailturn::callers
