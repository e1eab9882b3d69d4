#include "limiter/share_policy.h"

#include <algorithm>

namespace foxtailturn {

namespace {

using Int128 = __int128;

// An imbalance below 1/divisor of the whole is not corrected: units in flight do not refill, so
// needless transfers lower the effective rate. The threshold is higher for a holder with a waiting
// request, which asks many times a second: measured over such short times, demand fluctuates
// strongly. Other requests are rare.
constexpr std::int64_t kMinImbalanceDivisorWaiting = 4;
constexpr std::int64_t kMinImbalanceDivisor = 16;

std::int64_t ceilDivide(std::int64_t value, std::int64_t divisor)
{
    return (value + divisor - 1) / divisor;
}

// Returns by how much the requester's amount is below its part of the sum, divided in proportion to
// demand; 0 if that is a small fraction of whole.
std::int64_t shortfall(std::int64_t ownAmount, std::int64_t peerAmount, Int128 whole,
                       const OwnShare &share, const ShareRequest &request)
{
    const Int128 demand = Int128{share.demand_} + request.demand_;
    if (demand == 0)
        return 0;
    const Int128 part = (Int128{ownAmount} + peerAmount) * request.demand_ / demand;
    const Int128 missing = part - peerAmount;
    const Int128 minDivisor =
        request.missingLevel_ > 0 ? kMinImbalanceDivisorWaiting : kMinImbalanceDivisor;
    if (missing * minDivisor < whole)
        return 0;
    return static_cast<std::int64_t>(std::min<Int128>(missing, ownAmount));
}

// Returns whether the tokens for the holder's own waiting request are excluded from the offer. They
// are if both sides have a waiting request: otherwise, in a workspace over its rate, the two would
// take the tokens from each other endlessly. The exception is a request that exceeds the capacity
// of the requester's units; then the request that has waited longer has precedence.
bool keepsOwnReserve(const OwnShare &own, const ShareRequest &request)
{
    const bool exceedsCapacity = request.missingUnits_ > 0;
    return own.reserved_ > 0 && (!exceedsCapacity || own.waitedMicros_ >= request.waitedMicros_);
}

} // namespace

ShareOffer decideOffer(const OwnShare &own, const ShareRequest &request, std::int64_t burst)
{
    const MicroTokens reserved = keepsOwnReserve(own, request) ? own.reserved_ : 0;
    const std::int64_t reservedUnits = ceilDivide(reserved, burst);
    const MicroTokens freeLevel = std::max<MicroTokens>(0, own.level_ - reserved);
    const std::int64_t freeUnits = std::max<std::int64_t>(0, own.units_ - reservedUnits);

    const Int128 totalUnits = Int128{own.units_} + request.units_;
    const MicroTokens levelByDemand =
        shortfall(own.level_, request.level_, totalUnits * burst, own, request);
    MicroTokens level =
        std::clamp<MicroTokens>(std::max(levelByDemand, request.missingLevel_), 0, freeLevel);
    std::int64_t units = shortfall(own.units_, request.units_, totalUnits, own, request);
    units = std::max({units, request.missingUnits_, ceilDivide(level, burst)});
    units = std::clamp<std::int64_t>(units, 0, freeUnits);
    level = std::min(level, burst * units);
    // Tokens above the capacity of the remaining units are transferred rather than discarded.
    level = std::max(level, own.level_ - burst * (own.units_ - units));
    return {units, level};
}

} // namespace foxtailturn
