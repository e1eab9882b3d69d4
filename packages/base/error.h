#pragma once

// Typed failures. Every fallible function returns Result<T>; an Error says what failed and whether
// the work it belongs to may have run.
//
//     Result<Row> row = table.read(key, deadline);
//     if (!row)
//         return tl::unexpected(row.error());

#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "base/clock.h"

namespace foxtailturn {

// Whether the work behind a failed call can have had an effect.
enum class Execution {
    NotRun, // certain: nothing ran and nothing will run later
    OutcomeUnknown, // it may have run, may still be running or may run later
};

// Codes appear in answers to callers, logs and metrics; errorName() gives their fixed text.
enum class ErrorCode {
    BadRequest,
    Unauthenticated,
    KeyWithdrawn,
    Forbidden,
    RouteNotFound,
    ModelNotFound,
    PayloadTooLarge,
    RateLimited,
    BurstExceeded,
    NoTarget,
    TargetDraining,
    TargetFailed,
    TargetCrashed,
    TargetTimeout,
    WrongAdapter,
    AdapterLoadFailed,
    Overloaded,
    DeadlineExceeded,
    Cancelled,
    Quarantined,
    RetryBudgetExhausted,
    IdempotencyKeyMissing,
    IdempotencyKeyReused,
    ClaimUnresolved,
    StoreUnavailable,
    StoreConflict,
    LeaseExpired,
    StaleFencingNumber,
    StaleConfiguration,
    InvalidConfiguration,
    InvalidSettings,
    ConnectionLost,
    ShuttingDown,
    Internal,
};

// Returns the stable snake_case name of a code, for example "rate_limited".
[[nodiscard]] std::string_view errorName(ErrorCode code);

// Returns "not_run" or "outcome_unknown".
[[nodiscard]] std::string_view executionName(Execution execution);

// Returns the code of a name given by errorName(); nullopt for any other text.
[[nodiscard]] std::optional<ErrorCode> errorCodeOf(std::string_view name);

// A failure. message_ is a short sentence for people; programs use code_ and execution_.
struct Error
{
    ErrorCode code_ = ErrorCode::Internal;
    Execution execution_ = Execution::OutcomeUnknown;
    std::string message_;
    std::optional<TimePoint> retryAt_ = std::nullopt; // when a retry can succeed, if known

    bool operator==(const Error &) const = default;
};

template <typename T>
using Result = tl::expected<T, Error>;

// Returns a failure whose work certainly did not run.
[[nodiscard]] tl::unexpected<Error> notRun(ErrorCode code, std::string message,
                                           std::optional<TimePoint> retryAt = std::nullopt);

// Returns a failure whose work may have run.
[[nodiscard]] tl::unexpected<Error> outcomeUnknown(ErrorCode code, std::string message);

} // namespace foxtailturn
