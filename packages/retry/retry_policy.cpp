#include "retry/retry_policy.h"

#include <algorithm>
#include <array>

#include "base/log.h"

namespace foxtailturn {

namespace {

// Includes StoreUnavailable: the other agents use the same store, and the error tells the caller
// when to retry. Excludes Overloaded and TargetDraining: another target may have capacity.
constexpr std::array kFinalRefusals = {
    ErrorCode::BadRequest,
    ErrorCode::Unauthenticated,
    ErrorCode::KeyWithdrawn,
    ErrorCode::Forbidden,
    ErrorCode::RouteNotFound,
    ErrorCode::ModelNotFound,
    ErrorCode::PayloadTooLarge,
    ErrorCode::RateLimited,
    ErrorCode::Cancelled,
    ErrorCode::Quarantined,
    ErrorCode::RetryBudgetExhausted,
    ErrorCode::IdempotencyKeyMissing,
    ErrorCode::IdempotencyKeyReused,
    ErrorCode::ClaimUnresolved,
    ErrorCode::StoreUnavailable,
    ErrorCode::InvalidConfiguration,
};

} // namespace

Execution combinedExecution(Execution a, Execution b)
{
    const bool isNotRun = a == Execution::NotRun && b == Execution::NotRun;
    return isNotRun ? Execution::NotRun : Execution::OutcomeUnknown;
}

bool isFinalRefusal(ErrorCode code)
{
    return std::find(kFinalRefusals.begin(), kFinalRefusals.end(), code) != kFinalRefusals.end();
}

RetryPolicy::RetryPolicy(const Clock &clock, RetryBudget &budget)
    : clock_(clock)
    , budget_(budget)
{ }

Result<TimePoint> RetryPolicy::decide(const FailedAttempt &attempt)
{
    Error error = attempt.failure_;
    error.execution_ = combinedExecution(attempt.previousExecution_, error.execution_);
    if (isFinalRefusal(error.code_))
        return tl::unexpected(error);
    if (error.execution_ == Execution::OutcomeUnknown && !attempt.isRepeatable_)
        return tl::unexpected(error);
    const TimePoint now = clock_.now();
    const TimePoint startAt = std::max(now, attempt.failure_.retryAt_.value_or(now));
    if (startAt >= attempt.callerDeadline_)
        return tl::unexpected(error);
    if (budget_.tryRetry(attempt.workspace_))
        return startAt;
    error.message_ = concat("no retry left in the workspace's budget after ",
                            errorName(error.code_), ": ", error.message_);
    error.code_ = ErrorCode::RetryBudgetExhausted;
    return tl::unexpected(error);
}

} // namespace foxtailturn
