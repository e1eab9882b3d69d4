#include "entry/retry_guard.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

const Logger kLog("quarantine");

constexpr auto kSameCrashWindow = std::chrono::seconds(2);
// The round trip to a peer takes milliseconds; a peer that does not reply within this time does not
// delay the caller any longer.
constexpr auto kExchangeTimeout = std::chrono::milliseconds(300);
constexpr auto kRunPollInterval = std::chrono::milliseconds(20);

std::string workspaceOf(const RequestContext &context)
{
    return context.workspace_ == nullptr ? "" : context.workspace_->id_;
}

} // namespace

CrashIds::CrashIds(const Clock &clock)
    : clock_(&clock)
{ }

std::string CrashIds::crashIdOf(const std::string &target)
{
    const TimePoint now = clock_->now();
    const std::lock_guard lock(mutex_);
    Crash &crash = latestCrashes_[target];
    if (crash.id_.empty() || now >= crash.windowEnd_)
        crash.id_ = concat(target, "#", randomId());
    crash.windowEnd_ = now + kSameCrashWindow;
    return crash.id_;
}

RetryGuard::RetryGuard(const Clock &clock, const WallClock &wallClock, RetryPolicy &policy,
                       RetryBudget &budget, Quarantine &quarantine, SuspectExchange exchange)
    : clock_(&clock)
    , wallClock_(&wallClock)
    , policy_(&policy)
    , budget_(&budget)
    , quarantine_(&quarantine)
    , exchange_(std::move(exchange))
    , crashIds_(clock)
{ }

TimePoint RetryGuard::exchangeDeadline() const
{
    return clock_->now() + kExchangeTimeout;
}

Result<void> RetryGuard::admit(RequestContext &context)
{
    budget_->onRequest(workspaceOf(context));
    return checkSuspect(context);
}

Result<void> RetryGuard::checkSuspect(RequestContext &context)
{
    const Result<Standing> standing = quarantine_->admit(context.fingerprint_);
    if (!standing)
        return tl::unexpected(standing.error());
    return *standing == Standing::Suspect ? waitForRun(context) : Result<void>{};
}

Result<void> RetryGuard::waitForRun(RequestContext &context)
{
    const Duration remaining = context.deadline_ - clock_->now();
    const auto runRequest =
        quarantine_->requestRun(context.fingerprint_, wallClock_->now() + remaining);
    if (!runRequest)
        return notRun(ErrorCode::Overloaded, "another copy of this request is being tried",
                      clock_->now() + std::chrono::seconds(1));
    context.solo_ = true;
    for (;;) {
        exchange_(*runRequest, exchangeDeadline());
        const Result<bool> mayRun = quarantine_->confirmRun(context.fingerprint_);
        if (mayRun && *mayRun)
            return {};
        const bool isDeadlinePassed = clock_->now() >= context.deadline_;
        if (!mayRun || isDeadlinePassed) {
            exchange_(quarantine_->endRun(context.fingerprint_), exchangeDeadline());
            context.solo_ = false;
            if (!mayRun)
                return tl::unexpected(mayRun.error());
            return notRun(ErrorCode::DeadlineExceeded, "another copy of this request ran too long");
        }
        std::this_thread::sleep_for(kRunPollInterval);
    }
}

Result<TimePoint> RetryGuard::decide(const RequestContext &context, const Error &failure,
                                     Execution earlierExecution)
{
    return policy_->decide({failure, earlierExecution, context.route_->repeatable_,
                            context.deadline_, workspaceOf(context)});
}

void RetryGuard::reportCrash(const RequestContext &context, const std::string &target)
{
    kLog.warn(concat("target crashed, target=", target, " request=", context.request_.id_));
    exchange_(quarantine_->crashed(context.fingerprint_, crashIds_.crashIdOf(target)),
              exchangeDeadline());
}

Result<void> RetryGuard::readmit(RequestContext &context)
{
    if (context.solo_) {
        exchange_(quarantine_->endRun(context.fingerprint_), exchangeDeadline());
        context.solo_ = false;
    }
    const Result<void> admitted = checkSuspect(context);
    if (admitted)
        return {};
    Error error = admitted.error();
    error.execution_ = Execution::OutcomeUnknown;
    return tl::unexpected(error);
}

void RetryGuard::reportEnd(const RequestContext &context, bool completed)
{
    if (context.fingerprint_.empty())
        return;
    if (completed) {
        const auto cleared = quarantine_->completed(context.fingerprint_);
        if (cleared)
            exchange_(*cleared, exchangeDeadline());
    }
    if (context.solo_)
        exchange_(quarantine_->endRun(context.fingerprint_), exchangeDeadline());
}

} // namespace foxtailturn
