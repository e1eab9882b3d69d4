#include "quota/quota_share.h"

#include <algorithm>

namespace foxtailturn::quota {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double QuotaShare::rate() const
{
    return static_cast<double>(quota_.rate_) * static_cast<double>(units_)
        / static_cast<double>(kTotalUnits);
}

double QuotaShare::capacity() const
{
    return static_cast<double>(quota_.burst_) * static_cast<double>(units_)
        / static_cast<double>(kTotalUnits);
}

void QuotaShare::refill(TimePoint now)
{
    level_ = std::min(capacity(), level_ + rate() * secondsOf(now - refilledAt_));
    refilledAt_ = now;
}

void QuotaShare::setQuota(const TokenQuota &quota, TimePoint now)
{
    refill(now);
    quota_ = quota;
    refill(now);
}

void QuotaShare::setUnits(std::int64_t units, TimePoint now)
{
    refill(now);
    units_ = units;
    refill(now);
}

void QuotaShare::addUnused(Duration time)
{
    level_ = std::min(capacity(), level_ + rate() * secondsOf(time));
}

double QuotaShare::neededLevel(std::int64_t charge) const
{
    // Charges up to the tolerance all need the same level. If small charges needed a lower level
    // than large ones, they would starve the large requests of a workspace over its rate.
    const double needed = static_cast<double>(charge) - tolerance_;
    return std::max(std::min(needed, capacity()), 0.0);
}

bool QuotaShare::take(std::int64_t charge, TimePoint now)
{
    refill(now);
    if (units_ == 0 || level_ < neededLevel(charge))
        return false;
    level_ -= static_cast<double>(charge);
    return true;
}

void QuotaShare::refund(std::int64_t charge, TimePoint now)
{
    refill(now);
    level_ = std::min(capacity(), level_ + static_cast<double>(charge));
}

std::optional<TimePoint> QuotaShare::availableAt(std::int64_t charge, TimePoint now)
{
    refill(now);
    if (rate() <= 0)
        return std::nullopt;
    const double missing = neededLevel(charge) - level_;
    const std::chrono::duration<double> wait(std::max(missing, 0.0) / rate());
    return now + std::chrono::ceil<Duration>(wait);
}

} // namespace foxtailturn::quota
