#pragma once

// Runs controllers: small functions called again and again at an interval.
//
//     ControllerLoop loop(2);
//     loop.every(std::chrono::milliseconds(500), [&] { heartbeats.tick(); });
//     ...
//     loop.stop();

#include <functional>
#include <memory>

#include "base/clock.h"

namespace foxtailturn {

// A few threads over one asio::io_context. A controller never runs twice at the same time; its next
// run starts one interval after the last one ended. Thread-safe.
class ControllerLoop
{
public:
    // Starts the threads. Precondition: threads >= 1.
    explicit ControllerLoop(int threads);
    ~ControllerLoop();
    ControllerLoop(const ControllerLoop &) = delete;
    ControllerLoop &operator=(const ControllerLoop &) = delete;

    // Calls tick at once and then again after each interval until stop(). Thread-safe.
    void every(Duration interval, std::function<void()> tick);

    // Calls task once, soon. Thread-safe.
    void post(std::function<void()> task);

    // Waits for running controllers and ends the threads; later calls have no effect. Must not be
    // called from a controller. Thread-safe.
    void stop();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace foxtailturn
