#include "entry/live_request.h"

#include <utility>

#include "entry/entry_server.h"
#include "entry/retry_guard.h"

namespace foxtailturn {

LiveRequest::LiveRequest(const Clock &clock, RequestObserver &observer, RetryGuard &guard,
                         std::function<std::shared_ptr<const Configuration>()> configuration,
                         std::atomic<std::uint64_t> &openRequests)
    : clock_(&clock)
    , observer_(&observer)
    , guard_(&guard)
    , configuration_(std::move(configuration))
    , openRequests_(&openRequests)
    , arrivedAt_(clock.now())
{
    ++*openRequests_;
}

LiveRequest::~LiveRequest()
{
    --*openRequests_;
}

Result<void> LiveRequest::check()
{
    if (clock_->now() >= context_.deadline_)
        return outcomeUnknown(ErrorCode::DeadlineExceeded,
                              "request did not finish by its deadline");
    if (context_.key_ == nullptr)
        return {};
    std::shared_ptr<const Configuration> current = configuration_();
    if (current == checkedConfiguration_)
        return {};
    if (!current->isKeyActive(context_.key_->id_))
        return outcomeUnknown(ErrorCode::KeyWithdrawn, "API key was withdrawn");
    checkedConfiguration_ = std::move(current);
    return {};
}

void LiveRequest::recordFirstByte()
{
    if (!std::exchange(firstByteRecorded_, true))
        observer_->onFirstByte(context_, clock_->now() - arrivedAt_);
}

void LiveRequest::complete(std::uint64_t usedTokens)
{
    if (std::exchange(ended_, true))
        return;
    if (context_.reservation_)
        context_.reservation_->settle(usedTokens);
    guard_->reportEnd(context_, true);
    observer_->onEnd(context_, nullptr, clock_->now() - arrivedAt_);
}

void LiveRequest::fail(const Error &error)
{
    if (std::exchange(ended_, true))
        return;
    // A request that may have run may have used all its reserved tokens, so they stay charged.
    if (context_.reservation_ && error.execution_ == Execution::NotRun)
        context_.reservation_->settle(0);
    guard_->reportEnd(context_, false);
    observer_->onEnd(context_, &error, clock_->now() - arrivedAt_);
}

Error LiveRequest::callerDisconnected()
{
    return {ErrorCode::Cancelled, Execution::OutcomeUnknown, "caller closed the connection"};
}

} // namespace foxtailturn
