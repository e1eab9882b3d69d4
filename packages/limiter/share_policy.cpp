#include "limiter/share_policy.h"

#include <algorithm>

namespace foxtailturn {

namespace {

using Wide = __int128;

// An imbalance below 1/divisor of the whole is not corrected: units in flight do not refill, so
// needless transfers lower the effective rate. The threshold is higher for a holder with a waiting
// request, which asks many times a second: measured over such short times, demand fluctuates
// strongly. Other requests are rare.
constexpr std::int64_t kImbalancePartsWaiting = 4;
constexpr std::int64_t kImbalanceParts = 16;

std::int64_t divideUp(std::int64_t value, std::int64_t divisor)
{
    return (value + divisor - 1) / divisor;
}

// Returns by how much the requester's amount is below its part of the sum, divided in proportion to
// demand; 0 if that is a small fraction of whole.
std::int64_t shortfall(std::int64_t own, std::int64_t theirs, Wide whole, const OwnShare &share,
                       const ShareRequest &request)
{
    const Wide demand = Wide{share.demand_} + request.demand_;
    if (demand == 0)
        return 0;
    const Wide part = (Wide{own} + theirs) * request.demand_ / demand;
    const Wide missing = part - theirs;
    const Wide parts = request.needLevel_ > 0 ? kImbalancePartsWaiting : kImbalanceParts;
    if (missing * parts < whole)
        return 0;
    return static_cast<std::int64_t>(std::min<Wide>(missing, own));
}

// Returns whether the tokens for the holder's own waiting request are excluded from the offer. They
// are if both sides have a waiting request: otherwise, in a workspace over its rate, the two would
// take the tokens from each other endlessly. The exception is a request that exceeds the capacity
// of the requester's units; then the request that has waited longer has precedence.
bool keepsOwnReserve(const OwnShare &own, const ShareRequest &request)
{
    const bool mustPull = request.needUnits_ > 0;
    return own.reserved_ > 0 && (!mustPull || own.waitedMicros_ >= request.waitedMicros_);
}

} // namespace

ShareOffer decideOffer(const OwnShare &own, const ShareRequest &request, std::int64_t burst)
{
    const MicroTokens reserved = keepsOwnReserve(own, request) ? own.reserved_ : 0;
    const std::int64_t keptUnits = divideUp(reserved, burst);
    const MicroTokens free = std::max<MicroTokens>(0, own.level_ - reserved);
    const std::int64_t freeUnits = std::max<std::int64_t>(0, own.units_ - keptUnits);

    const Wide bothUnits = Wide{own.units_} + request.units_;
    const MicroTokens byDemand =
        shortfall(own.level_, request.level_, bothUnits * burst, own, request);
    MicroTokens level = std::clamp<MicroTokens>(std::max(byDemand, request.needLevel_), 0, free);
    std::int64_t units = shortfall(own.units_, request.units_, bothUnits, own, request);
    units = std::max({units, request.needUnits_, divideUp(level, burst)});
    units = std::clamp<std::int64_t>(units, 0, freeUnits);
    level = std::min(level, burst * units);
    // Tokens above the capacity of the remaining units are transferred rather than discarded.
    level = std::max(level, own.level_ - burst * (own.units_ - units));
    return {units, level};
}

} // namespace foxtailturn
