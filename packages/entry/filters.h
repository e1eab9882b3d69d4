#pragma once

// The filters of the entry, in the order of the chain.

#include <functional>

#include "entry/filter.h"
#include "entry/retry_guard.h"

namespace foxtailturn {

// Finds the route and sets the deadline. Errors: RouteNotFound, BadRequest.
class RouteFilter final : public Filter
{
public:
    // clock must outlive the filter.
    explicit RouteFilter(const Clock &clock);
    Result<void> apply(RequestContext &context) const override;

private:
    const Clock *clock_;
};

// Authenticates the caller unless the route is open, and makes sure that the target will not see
// the key. Errors: Unauthenticated, KeyWithdrawn, StaleConfiguration, BadRequest.
class KeyFilter final : public Filter
{
public:
    // confirmedUntil returns the time up to which the configuration counts as current. clock must
    // outlive the filter.
    KeyFilter(const Clock &clock, std::function<TimePoint()> confirmedUntil);
    Result<void> apply(RequestContext &context) const override;

private:
    const Clock *clock_;
    std::function<TimePoint()> confirmedUntil_;
};

// Resolves the model of a model route and writes the body for the engine. Errors: BadRequest,
// ModelNotFound, Forbidden.
class ModelFilter final : public Filter
{
public:
    Result<void> apply(RequestContext &context) const override;
};

// Requires an idempotency key on routes that may run only once. Errors: IdempotencyKeyMissing,
// BadRequest.
class IdempotencyFilter final : public Filter
{
public:
    Result<void> apply(RequestContext &context) const override;
};

// Holds back requests that may crash targets. Errors: those of RetryGuard::admit().
class SuspectFilter final : public Filter
{
public:
    // guard must outlive the filter.
    explicit SuspectFilter(RetryGuard &guard);
    Result<void> apply(RequestContext &context) const override;

private:
    RetryGuard *guard_;
};

// Reserves tokens from the workspace's share. Errors: those of TokenLimiter::reserve().
class LimitFilter final : public Filter
{
public:
    // limiter must outlive the filter.
    explicit LimitFilter(TokenLimiter &limiter);
    Result<void> apply(RequestContext &context) const override;

private:
    TokenLimiter *limiter_;
};

} // namespace foxtailturn
