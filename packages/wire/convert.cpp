#include "wire/convert.h"

#include <algorithm>

namespace foxtailturn {

namespace {

// Bounds the durations received from a peer, so that adding it to a time point cannot overflow.
constexpr std::uint64_t kMaxRemainingMicros = 24ULL * 3600 * 1'000'000;

} // namespace

wire::Failure toWire(const Error &error, TimePoint now)
{
    wire::Failure failure;
    failure.set_code(std::string(errorName(error.code_)));
    failure.set_not_run(error.execution_ == Execution::NotRun);
    failure.set_message(error.message_);
    if (error.retryAt_)
        failure.set_retry_after_micros(
            std::max<std::uint64_t>(1, remainingMicros(*error.retryAt_, now)));
    return failure;
}

Error fromWire(const wire::Failure &failure, TimePoint now)
{
    Error error;
    error.code_ = errorCodeOf(failure.code()).value_or(ErrorCode::Internal);
    error.execution_ = failure.not_run() ? Execution::NotRun : Execution::OutcomeUnknown;
    error.message_ = failure.message();
    if (failure.retry_after_micros() > 0)
        error.retryAt_ = deadlineOf(failure.retry_after_micros(), now);
    return error;
}

std::uint64_t remainingMicros(TimePoint deadline, TimePoint now)
{
    if (deadline <= now)
        return 0;
    return std::min<std::uint64_t>(static_cast<std::uint64_t>((deadline - now).count()),
                                   kMaxRemainingMicros);
}

TimePoint deadlineOf(std::uint64_t remainingMicros, TimePoint now)
{
    return now + Duration(std::min(remainingMicros, kMaxRemainingMicros));
}

} // namespace foxtailturn
