#pragma once

// Decides on retries, and isolates requests that are suspected of crashing targets.
//
//     RetryGuard guard(clock, wallClock, policy, budget, quarantine, exchange);
//     Result<void> admitted = guard.admit(context);   // a suspect waits for other copies
//     Result<TimePoint> retryAt = guard.decide(context, failure, earlierExecution);
//     guard.reportCrash(context, "engine-3");         // before the caller gets its answer
//     guard.reportEnd(context, completed);

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

// Assigns one id to crashes of a target that are detected shortly after each other, so that a crash
// counts once for a request with several copies in flight. Thread-safe.
class CrashIds
{
public:
    // clock must outlive this object.
    explicit CrashIds(const Clock &clock);

    // Returns the id of a crash of the target that is detected now. Thread-safe.
    [[nodiscard]] std::string crashIdOf(const std::string &target);

private:
    struct Crash
    {
        std::string id_;
        TimePoint windowEnd_;
    };

    const Clock *clock_;
    std::mutex mutex_;
    std::map<std::string, Crash> latestCrashes_; // by target
};

// Sends a record to all peers and merges their replies; blocks until the deadline at most.
using SuspectExchange = std::function<void(const SuspectRecord &record, TimePoint deadline)>;

// Thread-safe.
class RetryGuard
{
public:
    // All references must outlive the guard.
    RetryGuard(const Clock &clock, const WallClock &wallClock, RetryPolicy &policy,
               RetryBudget &budget, Quarantine &quarantine, SuspectExchange exchange);

    // Counts the request towards its workspace's retry budget and looks its fingerprint up in the
    // quarantine. A suspect request is marked solo and blocks until no other copy of it runs.
    // Errors, NotRun: Quarantined, DeadlineExceeded, Overloaded. Thread-safe.
    [[nodiscard]] Result<void> admit(RequestContext &context);

    // Returns the time from which the request may be retried, or the error for the caller, whose
    // execution state covers all attempts. earlierExecution is the combined state of the attempts
    // before the failed one. Thread-safe.
    [[nodiscard]] Result<TimePoint> decide(const RequestContext &context, const Error &failure,
                                           Execution earlierExecution);

    // Reports that the target crashed while the request was in flight; returns once the peers have
    // replied or the exchange has timed out. Call it before the caller gets its answer, so that a
    // resent request finds the peers informed. Thread-safe.
    void reportCrash(const RequestContext &context, const std::string &target);

    // Checks the request against the quarantine again before its retry after a crash. Errors as for
    // admit(), but OutcomeUnknown. Thread-safe.
    [[nodiscard]] Result<void> readmit(RequestContext &context);

    // Reports the end of the request; completed is true if its answer was complete. Thread-safe.
    void reportEnd(const RequestContext &context, bool completed);

private:
    [[nodiscard]] Result<void> checkSuspect(RequestContext &context);
    [[nodiscard]] Result<void> waitForRun(RequestContext &context);
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
