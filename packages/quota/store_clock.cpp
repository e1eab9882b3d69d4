#include "quota/store_clock.h"

namespace foxtailturn::quota {

namespace {

using std::chrono::milliseconds;

// Bounds the arithmetic; no term is as long.
constexpr std::int64_t kMaxDistanceMs = 86'400'000;

} // namespace

void StoreClock::observe(std::int64_t storeMs, TimePoint sentAt, TimePoint answeredAt)
{
    if (storeMs <= 0)
        return;
    storeMs_ = storeMs;
    sentAt_ = sentAt;
    answeredAt_ = answeredAt;
}

std::int64_t StoreClock::latest(TimePoint now) const
{
    if (storeMs_ == 0)
        return 0;
    return storeMs_ + std::chrono::ceil<milliseconds>(now - sentAt_).count();
}

std::optional<TimePoint> StoreClock::latestLocal(std::int64_t storeMs) const
{
    if (storeMs_ == 0 || storeMs <= 0)
        return std::nullopt;
    const bool isNear = storeMs > storeMs_ ? storeMs - storeMs_ <= kMaxDistanceMs
                                           : storeMs_ - storeMs <= kMaxDistanceMs;
    if (!isNear)
        return std::nullopt;
    return answeredAt_ + milliseconds(storeMs - storeMs_);
}

} // namespace foxtailturn::quota
