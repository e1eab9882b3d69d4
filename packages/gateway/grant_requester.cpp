#include "gateway/grant_requester.h"

namespace foxtailturn::gateway {

GrantRequester::GrantRequester(const Clock &clock, Sender send)
    : clock_(clock)
    , send_(std::move(send))
{ }

void GrantRequester::requestGrant(const std::string &owner, const std::string &workspace,
                                  std::int64_t charge, GrantHandler handler)
{
    const GrantRequest request{nextNumber_++, workspace, charge};
    pending_[request.number_] = {owner, request, clock_.now() + kGrantTimeout, std::move(handler)};
    send_(owner, request);
}

void GrantRequester::onAnswer(const GrantAnswer &answer)
{
    const auto it = pending_.find(answer.number_);
    if (it == pending_.end())
        return;
    const TimePoint now = clock_.now();
    // After a suspension of this process, a grant that was charged long ago must not be used.
    if (now >= it->second.deadline_)
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

std::set<std::string> GrantRequester::expire()
{
    const TimePoint now = clock_.now();
    std::set<std::string> unresponsive;
    while (!pending_.empty() && now >= pending_.begin()->second.deadline_) {
        const Pending pending = std::move(pending_.begin()->second);
        pending_.erase(pending_.begin());
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
    return pending_.begin()->second.deadline_;
}

} // namespace foxtailturn::gateway
