#include "gateway/grant_desk.h"

namespace foxtailturn::gateway {

GrantDesk::GrantDesk(const Clock &clock, Sender send)
    : clock_(clock)
    , send_(std::move(send))
{ }

void GrantDesk::ask(const std::string &keeper, const std::string &workspace, std::int64_t charge,
                    GrantHandler handler)
{
    const GrantRequest request{nextNumber_++, workspace, charge};
    pending_[request.number_] = {keeper, request, clock_.now() + kGrantTime, std::move(handler)};
    send_(keeper, request);
}

void GrantDesk::answer(const GrantAnswer &answer)
{
    const auto it = pending_.find(answer.number_);
    if (it == pending_.end())
        return;
    const TimePoint now = clock_.now();
    // After a suspension of this process, a grant that was charged long ago must not be used.
    if (now >= it->second.until_)
        return;
    const Pending pending = std::move(it->second);
    pending_.erase(it);
    if (answer.isGranted_)
        pending.handler_({});
    else
        pending.handler_(notRun(ErrorCode::RateLimited, "the workspace is over its rate",
                                now + answer.retryAfter_));
}

void GrantDesk::resend(const std::string &keeper)
{
    for (const auto &[number, pending] : pending_) {
        if (pending.keeper_ == keeper)
            send_(keeper, pending.request_);
    }
}

std::set<std::string> GrantDesk::expire()
{
    const TimePoint now = clock_.now();
    std::set<std::string> silent;
    while (!pending_.empty() && now >= pending_.begin()->second.until_) {
        const Pending pending = std::move(pending_.begin()->second);
        pending_.erase(pending_.begin());
        silent.insert(pending.keeper_);
        pending.handler_(notRun(ErrorCode::RateLimited, "no grant from the quota's pool in time",
                                now + kGrantTime));
    }
    return silent;
}

std::optional<TimePoint> GrantDesk::nextExpiry() const
{
    if (pending_.empty())
        return std::nullopt;
    return pending_.begin()->second.until_;
}

} // namespace foxtailturn::gateway
