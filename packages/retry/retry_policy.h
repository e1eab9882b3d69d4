#pragma once

// Decides whether a failed attempt is retried.
//
//     const Result<TimePoint> retry =
//         policy.decide({failure, earlier, isRepeatable, deadline, workspace});
//     if (!retry)
//         return tl::unexpected(retry.error()); // its execution state covers all attempts
//     // otherwise start the next attempt, not before *retry

#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "retry/retry_budget.h"

namespace foxtailturn {

// A failed attempt of a request.
struct FailedAttempt
{
    Error failure_;
    // OutcomeUnknown if any previous attempt may have run.
    Execution previousExecution_ = Execution::NotRun;
    bool isRepeatable_ = false; // whether requests of the route may run more than once
    TimePoint callerDeadline_;
    std::string workspace_;

    bool operator==(const FailedAttempt &) const = default;
};

// Returns the execution state of two attempts combined: NotRun only if neither can have run.
// Thread-safe.
[[nodiscard]] Execution combinedExecution(Execution a, Execution b);

// Returns whether any other target would return the same error, so that a retry can't succeed.
// Thread-safe.
[[nodiscard]] bool isFinalRefusal(ErrorCode code);

// Thread-safe.
class RetryPolicy
{
public:
    // clock and budget must outlive the policy.
    RetryPolicy(const Clock &clock, RetryBudget &budget);

    // Returns the earliest time for the next attempt, and takes one retry from the workspace's
    // budget. Otherwise returns the error for the caller: the failure itself, or
    // RetryBudgetExhausted, with an execution state that covers all attempts. Final refusals are
    // not retried; OutcomeUnknown is retried only if the request is repeatable; no retry starts at
    // or after the caller's deadline. Thread-safe.
    [[nodiscard]] Result<TimePoint> decide(const FailedAttempt &attempt);

private:
    const Clock &clock_;
    RetryBudget &budget_;
};

} // namespace foxtailturn
