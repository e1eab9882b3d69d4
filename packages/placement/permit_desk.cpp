#include "placement/permit_desk.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace foxtailturn::placement {

void PermitDesk::request(const std::string &engine, PermitRequest request, TimePoint now,
                         Handler handler)
{
    request.number_ = nextNumber_++;
    pending_.emplace(request.number_, Pending{engine, now, std::move(handler)});
    send_(engine, request);
}

void PermitDesk::end(std::map<std::int64_t, Pending>::iterator pending,
                     const PermitOutcome &outcome)
{
    const Handler handler = std::move(pending->second.handler_);
    pending_.erase(pending);
    handler(outcome);
}

void PermitDesk::onAnswer(const PermitAnswer &answer, TimePoint now)
{
    const auto pending = pending_.find(answer.number_);
    if (pending == pending_.end())
        return;
    const TimePoint validUntil = pending->second.requestedAt_ + kPermitLife;
    if (!answer.isGranted_)
        end(pending,
            {std::nullopt, now + std::clamp(answer.retryAfter_, Duration::zero(), kMaxRetry)});
    else if (now < validUntil)
        end(pending, {validUntil, {}});
    else
        end(pending, {std::nullopt, now});
}

void PermitDesk::onLinkLost(const std::string &engine, TimePoint now)
{
    std::vector<std::int64_t> lost;
    for (const auto &[number, pending] : pending_) {
        if (pending.engine_ == engine)
            lost.push_back(number);
    }
    for (const std::int64_t number : lost) {
        if (const auto pending = pending_.find(number); pending != pending_.end())
            end(pending, {std::nullopt, now + kSilentRetry});
    }
}

void PermitDesk::expire(TimePoint now)
{
    while (now >= nextExpiry())
        end(pending_.begin(), {std::nullopt, now + kSilentRetry});
}

TimePoint PermitDesk::nextExpiry() const
{
    return pending_.empty() ? TimePoint::max()
                            : pending_.begin()->second.requestedAt_ + kAnswerTimeout;
}

} // namespace foxtailturn::placement
