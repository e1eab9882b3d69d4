#pragma once

// Scheduling of one target's work at its agent: adapters are loaded and pinned, requests wait in
// fair order, and those past their deadline are refused. Worker threads use it like this:
//
//     AgentScheduler scheduler(settings, clock, engineOrders, lease);
//     Result<RunPermit> permit = scheduler.acquire(request); // blocks
//     if (!permit)
//         return tl::unexpected(permit.error()); // always NotRun: the target saw nothing
//     runOnEngine(request); // the adapter stays in its slot until permit is destroyed
//
// Graceful shutdown: drain(), wait until isIdle(), destroy. Every Error of acquire() is NotRun:
//   TargetDraining     drain() was called; try another target
//   ShuttingDown       the scheduler is being destroyed
//   Overloaded         too many requests wait here; retryAt_ is set
//   DeadlineExceeded   the request's stored deadline passed before it could start
//   AdapterLoadFailed  the load failed or the adapter is in back-off until retryAt_
//   LeaseExpired       the agent's lease is not held
//   StaleFencingNumber the engine follows an agent with a larger fencing number
//   Cancelled          cancel() was called

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "adapters/agent_core.h"
#include "adapters/engine_orders.h"
#include "adapters/work_request.h"
#include "base/clock.h"
#include "base/error.h"

namespace foxtailturn {

class AgentSchedulerState;

// The right to run one request, with its adapter pinned. Movable; releases the capacity
// on destruction. May be destroyed by another thread than the one that acquired it, and after the
// scheduler.
class RunPermit
{
public:
    RunPermit(RunPermit &&other) noexcept;
    RunPermit &operator=(RunPermit &&other) noexcept;
    RunPermit(const RunPermit &) = delete;
    RunPermit &operator=(const RunPermit &) = delete;
    ~RunPermit();

    // Returns whether the request had to wait for its adapter to be loaded. Thread-safe.
    [[nodiscard]] bool stalled() const { return stalled_; }

    // Releases the permit before its destruction. Later calls do nothing.
    void release();

private:
    friend class AgentScheduler;
    RunPermit(std::shared_ptr<AgentSchedulerState> state, std::string requestId, bool stalled);

    std::shared_ptr<AgentSchedulerState> state_;
    std::string requestId_;
    bool stalled_ = false;
};

// Thread-safe. Owns the threads that give orders to the engine; no lock is held during an order.
class AgentScheduler
{
public:
    // clock, orders and lease must outlive this object. Starts the order threads, which first read
    // the engine's list; nothing is admitted that needs an adapter before that succeeded.
    AgentScheduler(const AgentSettings &settings, const Clock &clock, EngineOrders &orders,
                   const LeaseView &lease);
    AgentScheduler(const AgentScheduler &) = delete;
    AgentScheduler &operator=(const AgentScheduler &) = delete;

    // Ends all waiting acquire() calls with ShuttingDown and waits for orders in progress.
    // Precondition: no acquire() is called any more.
    ~AgentScheduler();

    // Blocks until the request may run, and returns its permit; or returns a typed NotRun error at
    // the latest at request.deadline_. Precondition: request.id_ neither waits nor runs here.
    // Thread-safe.
    [[nodiscard]] Result<RunPermit> acquire(const WorkRequest &request);

    // Ends the wait of a request with Cancelled. Returns false if it does not wait. Thread-safe.
    bool cancel(const std::string &requestId);

    // Sets a workspace's weight in fair shares, more than 0; 1 unless set. Thread-safe.
    void setWeight(const std::string &workspace, double weight);

    // Stops admission for good: waiting and later requests end with TargetDraining, running ones
    // finish. Thread-safe.
    void drain();

    // Returns whether nothing runs or waits. Thread-safe.
    [[nodiscard]] bool isIdle() const;

    // Reads the engine's list again at once. Call it when the engine may have restarted or changed
    // its loaded adapters. Thread-safe.
    void engineChanged();

    // Returns the current state for heartbeats and state dumps. Thread-safe.
    [[nodiscard]] AgentSnapshot snapshot() const;

private:
    std::shared_ptr<AgentSchedulerState> state_;
};

} // namespace foxtailturn
