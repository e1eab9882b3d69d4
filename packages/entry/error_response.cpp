#include "entry/error_response.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "base/json.h"

namespace foxtailturn {

namespace {

struct StatusRule
{
    ErrorCode code_;
    int status_;
    std::string_view type_;
};

constexpr std::string_view kInvalidRequest = "invalid_request_error";
constexpr std::string_view kUnavailable = "service_unavailable";

// Codes that are not listed map to 503 if the request did not run and to 502 otherwise.
constexpr std::array kRules = {
    StatusRule{ErrorCode::BadRequest, 400, kInvalidRequest},
    StatusRule{ErrorCode::IdempotencyKeyMissing, 400, kInvalidRequest},
    // The request is larger than the workspace's burst and fails on each retry, so the status must
    // not be 503.
    StatusRule{ErrorCode::BurstExceeded, 400, kInvalidRequest},
    StatusRule{ErrorCode::Unauthenticated, 401, "authentication_error"},
    StatusRule{ErrorCode::KeyWithdrawn, 401, "authentication_error"},
    StatusRule{ErrorCode::Forbidden, 403, "permission_error"},
    StatusRule{ErrorCode::RouteNotFound, 404, kInvalidRequest},
    StatusRule{ErrorCode::ModelNotFound, 404, kInvalidRequest},
    StatusRule{ErrorCode::ClaimUnresolved, 409, "conflict_error"},
    StatusRule{ErrorCode::IdempotencyKeyReused, 422, kInvalidRequest},
    StatusRule{ErrorCode::PayloadTooLarge, 413, kInvalidRequest},
    StatusRule{ErrorCode::RateLimited, 429, "rate_limit_error"},
    StatusRule{ErrorCode::Quarantined, 422, kInvalidRequest},
    StatusRule{ErrorCode::TargetTimeout, 504, "timeout_error"},
    StatusRule{ErrorCode::DeadlineExceeded, 504, "timeout_error"},
    StatusRule{ErrorCode::Internal, 500, "internal_error"},
};

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

std::int64_t secondsUntil(TimePoint retryAt, TimePoint now)
{
    const std::int64_t micros = std::max<std::int64_t>(0, (retryAt - now).count());
    return std::max<std::int64_t>(1, (micros + kMicrosPerSecond - 1) / kMicrosPerSecond);
}

StatusRule ruleFor(const Error &error)
{
    for (const StatusRule &rule : kRules) {
        if (rule.code_ == error.code_)
            return rule;
    }
    const int status = error.execution_ == Execution::NotRun ? 503 : 502;
    return {error.code_, status, kUnavailable};
}

} // namespace

HttpError toHttpError(const Error &error, const std::string &requestId, TimePoint now)
{
    const StatusRule rule = ruleFor(error);
    Json detail;
    detail["type"] = rule.type_;
    detail["code"] = errorName(error.code_);
    detail["message"] = error.message_;
    detail["request_id"] = requestId;
    detail["execution"] = executionName(error.execution_);
    HttpError answer;
    answer.status_ = rule.status_;
    answer.body_ = Json{{"error", detail}}.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (error.retryAt_)
        answer.retryAfterSeconds_ = secondsUntil(*error.retryAt_, now);
    else if (rule.status_ == 429 || rule.status_ == 503)
        answer.retryAfterSeconds_ = 1;
    return answer;
}

} // namespace foxtailturn
