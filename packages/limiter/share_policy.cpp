#include "limiter/share_policy.h"

#include <algorithm>

namespace foxtailturn {

namespace {

using Wide = __int128;

// Smaller imbalances are left alone: units in flight do not refill, so needless transfers cost
// rate.
constexpr std::int64_t kImbalanceParts = 16;

std::int64_t divideUp(std::int64_t value, std::int64_t divisor)
{
    return (value + divisor - 1) / divisor;
}

// Returns how far the requester is below its part by demand of what both sides have.
std::int64_t shortfall(std::int64_t own, std::int64_t theirs, const OwnShare &share,
                       const ShareRequest &request)
{
    const Wide demand = Wide{share.demand_} + request.demand_;
    if (demand == 0)
        return 0;
    const Wide part = (Wide{own} + theirs) * request.demand_ / demand;
    const Wide missing = part - theirs;
    if (missing * kImbalanceParts < Wide{own} + theirs)
        return 0;
    return static_cast<std::int64_t>(std::min<Wide>(missing, own));
}

// Between two waiting requests the one that has waited longer goes first; else two holders could
// take the same tokens from each other forever.
bool keepsOwnReserve(const OwnShare &own, const ShareRequest &request)
{
    return own.reserved_ > 0 && own.waitedMicros_ >= request.waitedMicros_;
}

} // namespace

ShareOffer decideOffer(const OwnShare &own, const ShareRequest &request, std::int64_t burst)
{
    const MicroTokens reserved = keepsOwnReserve(own, request) ? own.reserved_ : 0;
    const std::int64_t keptUnits = divideUp(reserved, burst);
    const MicroTokens free = std::max<MicroTokens>(0, own.level_ - reserved);
    const std::int64_t freeUnits = std::max<std::int64_t>(0, own.units_ - keptUnits);

    const MicroTokens byDemand = shortfall(own.level_, request.level_, own, request);
    MicroTokens level = std::clamp<MicroTokens>(std::max(byDemand, request.needLevel_), 0, free);
    std::int64_t units = shortfall(own.units_, request.units_, own, request);
    units = std::max({units, request.needUnits_, divideUp(level, burst)});
    units = std::clamp<std::int64_t>(units, 0, freeUnits);
    level = std::min(level, burst * units);
    // Level that the remaining units cannot hold goes along instead of being dropped.
    level = std::max(level, own.level_ - burst * (own.units_ - units));
    return {units, level};
}

} // namespace foxtailturn
