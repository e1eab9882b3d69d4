#include "entry/error_response.h"

#include <doctest/doctest.h>

#include "base/json.h"

namespace foxtailturn {
namespace {

constexpr auto kNotRun = Execution::NotRun;
constexpr auto kUnknown = Execution::OutcomeUnknown;
constexpr std::int64_t kNoRetry = -1; // no Retry-After header

// Guards against a response that makes the caller resend work that may have run, retry a permanent
// error, or attribute its own invalid request to the service.
TEST_CASE("status, execution and Retry-After of each code")
{
    struct Case
    {
        ErrorCode code_;
        Execution execution_;
        int status_;
        const char *type_;
        std::int64_t retryAfter_;
    };
    const Case cases[] = {
        {ErrorCode::BadRequest, kNotRun, 400, "invalid_request_error", kNoRetry},
        {ErrorCode::IdempotencyKeyMissing, kNotRun, 400, "invalid_request_error", kNoRetry},
        {ErrorCode::BurstExceeded, kNotRun, 400, "invalid_request_error", kNoRetry},
        {ErrorCode::Unauthenticated, kNotRun, 401, "authentication_error", kNoRetry},
        {ErrorCode::KeyWithdrawn, kNotRun, 401, "authentication_error", kNoRetry},
        {ErrorCode::KeyWithdrawn, kUnknown, 401, "authentication_error", kNoRetry},
        {ErrorCode::Forbidden, kNotRun, 403, "permission_error", kNoRetry},
        {ErrorCode::RouteNotFound, kNotRun, 404, "invalid_request_error", kNoRetry},
        {ErrorCode::ModelNotFound, kNotRun, 404, "invalid_request_error", kNoRetry},
        {ErrorCode::ClaimUnresolved, kUnknown, 409, "conflict_error", kNoRetry},
        {ErrorCode::PayloadTooLarge, kNotRun, 413, "invalid_request_error", kNoRetry},
        {ErrorCode::IdempotencyKeyReused, kNotRun, 422, "invalid_request_error", kNoRetry},
        {ErrorCode::Quarantined, kNotRun, 422, "invalid_request_error", kNoRetry},
        {ErrorCode::RateLimited, kNotRun, 429, "rate_limit_error", 1},
        {ErrorCode::Internal, kUnknown, 500, "internal_error", kNoRetry},
        {ErrorCode::TargetTimeout, kUnknown, 504, "timeout_error", kNoRetry},
        {ErrorCode::DeadlineExceeded, kNotRun, 504, "timeout_error", kNoRetry},
        {ErrorCode::NoTarget, kNotRun, 503, "service_unavailable", 1},
        {ErrorCode::TargetDraining, kNotRun, 503, "service_unavailable", 1},
        {ErrorCode::AdapterLoadFailed, kNotRun, 503, "service_unavailable", 1},
        {ErrorCode::Overloaded, kNotRun, 503, "service_unavailable", 1},
        {ErrorCode::StoreUnavailable, kNotRun, 503, "service_unavailable", 1},
        {ErrorCode::LeaseExpired, kNotRun, 503, "service_unavailable", 1},
        {ErrorCode::StaleConfiguration, kNotRun, 503, "service_unavailable", 1},
        {ErrorCode::ShuttingDown, kNotRun, 503, "service_unavailable", 1},
        {ErrorCode::RetryBudgetExhausted, kNotRun, 503, "service_unavailable", 1},
        {ErrorCode::ConnectionLost, kUnknown, 502, "service_unavailable", kNoRetry},
        {ErrorCode::TargetFailed, kUnknown, 502, "service_unavailable", kNoRetry},
        {ErrorCode::TargetCrashed, kUnknown, 502, "service_unavailable", kNoRetry},
        {ErrorCode::WrongAdapter, kUnknown, 502, "service_unavailable", kNoRetry},
        {ErrorCode::RetryBudgetExhausted, kUnknown, 502, "service_unavailable", kNoRetry},
    };
    const ManualClock clock;
    for (const Case &c : cases) {
        const std::string name(errorName(c.code_));
        CAPTURE(name);
        const HttpError answer = toHttpError({c.code_, c.execution_, "why"}, "r1", clock.now());
        CHECK(answer.status_ == c.status_);
        CHECK(answer.retryAfterSeconds_.value_or(kNoRetry) == c.retryAfter_);
        const Json expected = {{"type", c.type_},
                               {"code", name},
                               {"message", "why"},
                               {"request_id", "r1"},
                               {"execution", executionName(c.execution_)}};
        CHECK(Json::parse(answer.body_) == Json{{"error", expected}});
    }
}

// Guards against callers that retry before the tokens are available, and, after a value of 0, all
// immediately.
TEST_CASE("Retry-After is rounded up to whole seconds")
{
    struct Case
    {
        std::int64_t micros_;
        std::int64_t seconds_;
    };
    const Case cases[] = {
        {-5'000'000, 1}, {0, 1}, {1, 1}, {1'000'000, 1}, {1'000'001, 2}, {90'000'000, 90},
    };
    const ManualClock clock;
    for (const Case &c : cases) {
        CAPTURE(c.micros_);
        const Error error{ErrorCode::RateLimited, kNotRun, "", clock.now() + Duration(c.micros_)};
        CHECK(toHttpError(error, "r1", clock.now()).retryAfterSeconds_ == c.seconds_);
    }
}

// Guards against an exception while an error response is written.
TEST_CASE("a message that is not valid UTF-8 still yields valid JSON")
{
    const Error error{ErrorCode::TargetFailed, kUnknown, "bad \xff byte"};
    CHECK(Json::accept(toHttpError(error, "r\xfe", TimePoint()).body_));
}

} // namespace
} // namespace foxtailturn
