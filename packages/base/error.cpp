#include "base/error.h"

#include <array>
#include <utility>

namespace foxtailturn {

namespace {

struct CodeName
{
    ErrorCode code_;
    std::string_view name_;
};

constexpr std::array kCodeNames = {
    CodeName{ErrorCode::BadRequest, "bad_request"},
    CodeName{ErrorCode::Unauthenticated, "unauthenticated"},
    CodeName{ErrorCode::KeyWithdrawn, "key_withdrawn"},
    CodeName{ErrorCode::Forbidden, "forbidden"},
    CodeName{ErrorCode::RouteNotFound, "route_not_found"},
    CodeName{ErrorCode::ModelNotFound, "model_not_found"},
    CodeName{ErrorCode::PayloadTooLarge, "payload_too_large"},
    CodeName{ErrorCode::RateLimited, "rate_limited"},
    CodeName{ErrorCode::BurstExceeded, "burst_exceeded"},
    CodeName{ErrorCode::NoTarget, "no_target"},
    CodeName{ErrorCode::TargetDraining, "target_draining"},
    CodeName{ErrorCode::TargetFailed, "target_failed"},
    CodeName{ErrorCode::TargetCrashed, "target_crashed"},
    CodeName{ErrorCode::TargetTimeout, "target_timeout"},
    CodeName{ErrorCode::WrongAdapter, "wrong_adapter"},
    CodeName{ErrorCode::AdapterLoadFailed, "adapter_load_failed"},
    CodeName{ErrorCode::Overloaded, "overloaded"},
    CodeName{ErrorCode::DeadlineExceeded, "deadline_exceeded"},
    CodeName{ErrorCode::Cancelled, "cancelled"},
    CodeName{ErrorCode::Quarantined, "quarantined"},
    CodeName{ErrorCode::RetryBudgetExhausted, "retry_budget_exhausted"},
    CodeName{ErrorCode::IdempotencyKeyMissing, "idempotency_key_missing"},
    CodeName{ErrorCode::IdempotencyKeyReused, "idempotency_key_reused"},
    CodeName{ErrorCode::ClaimUnresolved, "claim_unresolved"},
    CodeName{ErrorCode::StoreUnavailable, "store_unavailable"},
    CodeName{ErrorCode::StoreConflict, "store_conflict"},
    CodeName{ErrorCode::LeaseExpired, "lease_expired"},
    CodeName{ErrorCode::StaleFencingNumber, "stale_fencing_number"},
    CodeName{ErrorCode::StaleConfiguration, "stale_configuration"},
    CodeName{ErrorCode::InvalidConfiguration, "invalid_configuration"},
    CodeName{ErrorCode::InvalidSettings, "invalid_settings"},
    CodeName{ErrorCode::ConnectionLost, "connection_lost"},
    CodeName{ErrorCode::ShuttingDown, "shutting_down"},
    CodeName{ErrorCode::Internal, "internal"},
};

} // namespace

std::string_view errorName(ErrorCode code)
{
    for (const CodeName &entry : kCodeNames) {
        if (entry.code_ == code)
            return entry.name_;
    }
    return "internal";
}

std::string_view executionName(Execution execution)
{
    return execution == Execution::NotRun ? "not_run" : "outcome_unknown";
}

std::optional<ErrorCode> errorCodeOf(std::string_view name)
{
    for (const CodeName &entry : kCodeNames) {
        if (entry.name_ == name)
            return entry.code_;
    }
    return std::nullopt;
}

tl::unexpected<Error> notRun(ErrorCode code, std::string message, std::optional<TimePoint> retryAt)
{
    return tl::unexpected(Error{code, Execution::NotRun, std::move(message), retryAt});
}

tl::unexpected<Error> outcomeUnknown(ErrorCode code, std::string message)
{
    return tl::unexpected(Error{code, Execution::OutcomeUnknown, std::move(message)});
}

} // namespace foxtailturn
