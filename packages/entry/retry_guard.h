#pragma once

// Retries of a request, and the care for requests that may crash targets.
//
//     RetryGuard guard(self, clock, policy, budget, quarantine, announce);
//     Result<void> admitted = guard.admit(context);          // Quarantined, or waits its turn
//     Result<TimePoint> again = guard.decide(context, failure, earlier);
//     guard.targetCrashed(context, "engine-3");               // before the caller gets its answer
//     guard.ended(context, completed);

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "base/error.h"
#include "entry/request_context.h"
#include "retry/quarantine.h"
#include "retry/retry_budget.h"
#include "retry/retry_policy.h"

namespace foxtailturn {

// Gives crashes of one target that are seen within a short time the same id, so that a request with
// several copies in flight counts a crash once. Thread-safe.
class CrashIds
{
public:
    // clock must outlive this object.
    explicit CrashIds(const Clock &clock);

    // Returns the id of a crash of the target that was seen now. Thread-safe.
    [[nodiscard]] std::string idOf(const std::string &target);

private:
    struct Crash
    {
        std::string id_;
        TimePoint sameUntil_;
    };

    const Clock *clock_;
    std::mutex mutex_;
    std::map<std::string, Crash> last_; // by target
};

// Sends a record to all peers and merges their answers; waits until the deadline at most.
using SuspectExchange = std::function<void(const SuspectRecord &record, TimePoint deadline)>;

// Thread-safe.
class RetryGuard
{
public:
    // All references must outlive the guard.
    RetryGuard(const Clock &clock, const WallClock &wallClock, RetryPolicy &policy,
               RetryBudget &budget, Quarantine &quarantine, SuspectExchange exchange);

    // Counts the request towards its workspace's retry budget and checks its fingerprint. A suspect
    // is marked solo and waits until no other copy runs. Errors, NotRun: Quarantined,
    // DeadlineExceeded, Overloaded. Thread-safe.
    [[nodiscard]] Result<void> admit(RequestContext &context);

    // Returns from when the request may be sent again, or the error for the caller, whose
    // execution state covers all attempts. earlier: state of the attempts before. Thread-safe.
    [[nodiscard]] Result<TimePoint> decide(const RequestContext &context, const Error &failure,
                                           Execution earlier);

    // Tells that the target crashed while it ran the request; returns once the peers know. Call it
    // before the caller gets its answer. Thread-safe.
    void targetCrashed(const RequestContext &context, const std::string &target);

    // Admits the request again after a crash; errors as for admit(), but OutcomeUnknown.
    // Thread-safe.
    [[nodiscard]] Result<void> readmit(RequestContext &context);

    // Tells that the request ended; completed: its answer was whole. Thread-safe.
    void ended(const RequestContext &context, bool completed);

private:
    [[nodiscard]] Result<void> checkSuspect(RequestContext &context);
    [[nodiscard]] Result<void> waitForTurn(RequestContext &context);
    [[nodiscard]] TimePoint exchangeDeadline() const;

    const Clock *clock_;
    const WallClock *wallClock_;
    RetryPolicy *policy_;
    RetryBudget *budget_;
    Quarantine *quarantine_;
    SuspectExchange exchange_;
    CrashIds crashIds_;
};

} // namespace foxtailturn
