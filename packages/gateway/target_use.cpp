#include "gateway/target_use.h"

#include <utility>

#include "gateway/gateway.h"

namespace foxtailturn::gateway {

TargetUse::TargetUse(Gateway &gateway, const AdmittedRequest &request)
    : gateway_(gateway)
    , request_(request)
{ }

Target *TargetUse::target() const
{
    return instance_.empty() ? nullptr : gateway_.targets().find(instance_);
}

std::string TargetUse::adapter() const
{
    return adapterName(request_.caller_.model_, request_.caller_.adapter_);
}

void TargetUse::begin(Target &target, PlacementRequest placement)
{
    instance_ = target.record_.instance_;
    placement_ = std::move(placement);
    sentAt_ = gateway_.now();
    hasFirstBytes_ = false;
    wasOnlyPrefill_ = target.pendingCount_ == 0 && target.report_.prefilling_ == 0;
    const std::int64_t cached =
        gateway_.placement(request_.service_).cachedTokens(target, placement_);
    uncachedTokens_ = request_.caller_.promptTokens_ - cached;
    if (placement_.isEngine_)
        gateway_.serving().prompt(cached, uncachedTokens_);
    ++target.inFlight_;
    ++target.pendingCount_;
    target.pendingPrompt_ += uncachedTokens_;
    if (!request_.caller_.adapter_.empty())
        gateway_.reportAdapterUse(target, adapter(), true);
}

void TargetUse::recordFirstBytes(bool isStream)
{
    if (std::exchange(hasFirstBytes_, true))
        return;
    Placement &placement = gateway_.placement(request_.service_);
    if (Target *used = target()) {
        endPending(*used);
        gateway_.targets().succeeded(*used);
        placement.recordCachedPrefix(*used, placement_);
    }
    const TimePoint now = gateway_.now();
    if (wasOnlyPrefill_ && isStream)
        placement.recordPrefillTime(uncachedTokens_, now - sentAt_);
}

void TargetUse::endPending(Target &target) const
{
    --target.pendingCount_;
    target.pendingPrompt_ -= uncachedTokens_;
}

void TargetUse::end()
{
    if (Target *used = target()) {
        --used->inFlight_;
        if (!hasFirstBytes_)
            endPending(*used);
        if (!request_.caller_.adapter_.empty())
            gateway_.reportAdapterUse(*used, adapter(), false);
    }
    instance_.clear();
}

} // namespace foxtailturn::gateway
