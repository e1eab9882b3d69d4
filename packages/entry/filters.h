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

// Authenticates the caller unless the route is open. Removes the API key from the query and refuses
// requests with the key in the path or the body, so that no target receives it. Errors:
// Unauthenticated, KeyWithdrawn, StaleConfiguration, BadRequest.
class KeyFilter final : public Filter
{
public:
    // confirmedUntil returns the time until which the configuration is considered current. clock
    // must outlive the filter.
    KeyFilter(const Clock &clock, std::function<TimePoint()> confirmedUntil);
    Result<void> apply(RequestContext &context) const override;

private:
    const Clock *clock_;
    std::function<TimePoint()> confirmedUntil_;
};

// Resolves the model name of a model route to an adapter version and rewrites the body for the
// engine. Errors: BadRequest, ModelNotFound, Forbidden.
class ModelFilter final : public Filter
{
public:
    Result<void> apply(RequestContext &context) const override;
};

// Requires an idempotency key on routes whose requests must not run twice. Errors:
// IdempotencyKeyMissing, BadRequest.
class IdempotencyFilter final : public Filter
{
public:
    Result<void> apply(RequestContext &context) const override;
};

// Refuses quarantined requests and lets only one copy at a time of a request run that is suspected
// of crashing targets. Errors: those of RetryGuard::admit().
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
