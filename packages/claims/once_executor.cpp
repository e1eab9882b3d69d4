#include "claims/once_executor.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

const Logger kLog("claims");

tl::unexpected<Error> dispatchDeadlinePassed()
{
    return notRun(ErrorCode::DeadlineExceeded, "the dispatch deadline passed before the call");
}

std::optional<Error> validateKey(const std::string &key)
{
    if (key.empty())
        return Error{ErrorCode::IdempotencyKeyMissing, Execution::NotRun,
                     "this route requires an Idempotency-Key header"};
    if (key.size() > OnceExecutor::kMaxIdempotencyKey)
        return Error{ErrorCode::BadRequest, Execution::NotRun,
                     concat("the idempotency key is longer than ", OnceExecutor::kMaxIdempotencyKey,
                            " bytes")};
    return std::nullopt;
}

} // namespace

OnceExecutor::OnceExecutor(ClaimStore &store, const Clock &clock, const ClaimLimits &limits)
    : store_(store)
    , clock_(clock)
    , limits_(limits)
{ }

Result<OnceAnswer> OnceExecutor::execute(const OnceCall &call, OnceTarget &target)
{
    if (const auto error = validateKey(call.key_.idempotencyKey_))
        return tl::unexpected(*error);
    OnceCall bounded = call;
    const TimePoint attemptEnd = clock_.now() + limits_.attemptTimeout_;
    bounded.answerDeadline_ = std::min(call.answerDeadline_, attemptEnd);
    bounded.dispatchDeadline_ = std::min(call.dispatchDeadline_, bounded.answerDeadline_);
    if (clock_.now() >= bounded.dispatchDeadline_)
        return dispatchDeadlinePassed();
    const Result<BeginResult> start =
        store_.begin(call.key_, call.bodyDigest_, randomId(), bounded.dispatchDeadline_);
    if (!start)
        return tl::unexpected(start.error());
    if (const auto *recorded = std::get_if<RecordedAnswer>(&*start))
        return OnceAnswer{*recorded, true, true};
    return dispatch(std::get<HeldClaim>(*start), bounded, target);
}

Result<OnceAnswer> OnceExecutor::dispatch(const HeldClaim &held, const OnceCall &call,
                                          OnceTarget &target)
{
    if (clock_.now() >= call.dispatchDeadline_) {
        store_.release(held);
        return dispatchDeadlinePassed();
    }
    Result<RecordedAnswer> answer = target.call(call.dispatchDeadline_, call.answerDeadline_);
    if (!answer && answer.error().execution_ == Execution::NotRun) {
        store_.release(held);
        return tl::unexpected(std::move(answer).error());
    }
    if (!answer) {
        kLog.warn(concat("call failed after dispatch, claim stays unresolved, attempt=",
                         held.claim_.attemptId_));
        return tl::unexpected(std::move(answer).error());
    }
    const auto recorded = store_.finish(held, *answer, clock_.now() + limits_.recordTimeout_);
    if (!recorded)
        kLog.error(concat("answer not recorded: ", recorded.error().message_,
                          ", attempt=", held.claim_.attemptId_));
    return OnceAnswer{*std::move(answer), false, recorded.has_value()};
}

} // namespace foxtailturn
