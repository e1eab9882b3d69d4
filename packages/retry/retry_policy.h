#pragma once

// Decides whether a failed attempt is sent again.
//
//     const Result<TimePoint> retry = policy.decide({failure, earlier, isRepeatable, deadline,
//     ws}); if (!retry)
//         return tl::unexpected(retry.error()); // for the caller, with a true execution state
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
    Execution earlier_ = Execution::NotRun; // OutcomeUnknown if any attempt before may have run
    bool isRepeatable_ = false; // whether the route's work may run twice
    TimePoint callerDeadline_;
    std::string workspace_;

    bool operator==(const FailedAttempt &) const = default;
};

// Returns the state of two attempts together: NotRun only if neither can have run. Thread-safe.
[[nodiscard]] Execution combinedExecution(Execution a, Execution b);

// Returns whether another target would give the same refusal, so that a retry is useless.
// Thread-safe.
[[nodiscard]] bool isFinalRefusal(ErrorCode code);

// Thread-safe.
class RetryPolicy
{
public:
    // clock and budget must outlive the policy.
    RetryPolicy(const Clock &clock, RetryBudget &budget);

    // Returns the time from which the request may be sent again; this takes one retry from the
    // workspace's budget. Otherwise the error for the caller: the failure itself, or
    // RetryBudgetExhausted; its execution state covers all attempts. Rules: final refusals are not
    // retried; OutcomeUnknown is retried only if repeatable; nothing is retried at or after the
    // caller's deadline. Thread-safe.
    [[nodiscard]] Result<TimePoint> decide(const FailedAttempt &attempt);

private:
    const Clock &clock_;
    RetryBudget &budget_;
};

} // namespace foxtailturn
