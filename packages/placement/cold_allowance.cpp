#include "placement/cold_allowance.h"

#include <algorithm>
#include <cmath>

namespace foxtailturn::placement {

namespace {

constexpr double kMaxRate = 10'000; // bounds the memory for grants

} // namespace

std::size_t permitsPerWindow(double rate)
{
    const double seconds = std::chrono::duration<double>(ColdAllowance::kWindow).count();
    const double bounded = std::isfinite(rate) ? std::clamp(rate, 0.0, kMaxRate) : 0.0;
    return static_cast<std::size_t>(std::max(std::floor(bounded * seconds), 1.0));
}

std::size_t ColdAllowance::recentGrants(TimePoint now)
{
    while (!grants_.empty() && grants_.front() + kWindow < now)
        grants_.pop_front();
    return grants_.size();
}

std::vector<PermitDecision> ColdAllowance::decide(std::vector<PendingPermit> requests,
                                                  const EngineState &engine, TimePoint now)
{
    std::stable_sort(requests.begin(), requests.end(),
                     [](const PendingPermit &a, const PendingPermit &b) {
                         return a.request_.priority_ < b.request_.priority_;
                     });
    std::vector<PermitDecision> decisions;
    decisions.reserve(requests.size());
    for (const PendingPermit &pending : requests)
        decisions.push_back({pending.source_, answerTo(pending.request_, engine, now)});
    return decisions;
}

PermitAnswer ColdAllowance::answerTo(const PermitRequest &request, const EngineState &engine,
                                     TimePoint now)
{
    if (!engine.isReachable_ || engine.startTimeMs_ != request.startTimeMs_)
        return {request.number_, false, kOtherRunRetry};
    if (now < grantsFrom_)
        return {request.number_, false, grantsFrom_ - now};
    const std::size_t limit = permitsPerWindow(request.rate_);
    if (recentGrants(now) >= limit) {
        const TimePoint opensAt = grants_[grants_.size() - limit] + kWindow;
        return {request.number_, false, opensAt - now + std::chrono::milliseconds(1)};
    }
    grants_.push_back(now);
    return {request.number_, true, Duration::zero()};
}

} // namespace foxtailturn::placement
