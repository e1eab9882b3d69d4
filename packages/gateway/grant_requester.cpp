#include "gateway/grant_requester.h"

#include <algorithm>

namespace foxtailturn::gateway {

GrantRequester::GrantRequester(const Clock &clock, Sender send)
    : clock_(clock)
    , send_(std::move(send))
{ }

void GrantRequester::requestGrant(const std::string &owner, const std::string &workspace,
                                  std::int64_t charge, GrantHandler handler)
{
    const GrantRequest request{nextNumber_++, workspace, charge};
    const TimePoint deadline = clock_.now() + kGrantTimeout;
    pending_[request.number_] = {owner, request, deadline, deadline, std::move(handler)};
    send_(owner, request);
}

void GrantRequester::onAnswer(const GrantAnswer &answer, TimePoint receivedAt)
{
    const auto it = pending_.find(answer.number_);
    if (it == pending_.end())
        return;
    const TimePoint now = clock_.now();
    // After a suspension of this process, a grant that was charged long ago must not be used.
    if (receivedAt >= it->second.deadline_ || now >= usableUntil(it->second))
        return;
    const Pending pending = std::move(it->second);
    pending_.erase(it);
    if (answer.isGranted_)
        pending.handler_({});
    else if (answer.isOwner_)
        pending.handler_(notRun(ErrorCode::RateLimited, "the workspace is over its rate",
                                now + answer.retryAfter_));
    else
        pending.handler_(notRun(ErrorCode::LeaseExpired, "the entry owns no part of the quota",
                                now + kGrantTimeout));
}

void GrantRequester::resend(const std::string &owner)
{
    for (const auto &[number, pending] : pending_) {
        if (pending.owner_ == owner)
            send_(owner, pending.request_);
    }
}

std::set<std::string> GrantRequester::expire(TimePoint readySince)
{
    const TimePoint now = clock_.now();
    std::set<std::string> unresponsive;
    while (!pending_.empty() && now >= pending_.begin()->second.deadline_) {
        Pending &oldest = pending_.begin()->second;
        const bool isUnanswered = readySince >= oldest.deadline_;
        if (!isUnanswered && now < usableUntil(oldest)) {
            oldest.expireAt_ = std::min(now + kRecheckInterval, usableUntil(oldest));
            break;
        }
        const Pending pending = std::move(oldest);
        pending_.erase(pending_.begin());
        if (isUnanswered)
            unresponsive.insert(pending.owner_);
        pending.handler_(notRun(ErrorCode::LeaseExpired, "no answer of the quota's owner in time",
                                now + kGrantTimeout));
    }
    return unresponsive;
}

std::optional<TimePoint> GrantRequester::nextExpiry() const
{
    if (pending_.empty())
        return std::nullopt;
    return pending_.begin()->second.expireAt_;
}

} // namespace foxtailturn::gateway
