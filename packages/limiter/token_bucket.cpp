#include "limiter/token_bucket.h"

#include <algorithm>

namespace foxtailturn {

namespace {

// rate * units * microseconds overflows 64 bits after one idle hour at a rate of 10,000.
using Int128 = __int128;

} // namespace

TokenBucket::TokenBucket(WorkspaceLimit limit, TimePoint now)
    : limit_(limit)
    , refilledAt_(now)
{ }

MicroTokens TokenBucket::level(TimePoint now)
{
    refill(now);
    return level_;
}

void TokenBucket::refill(TimePoint now)
{
    if (now <= refilledAt_)
        return;
    const Int128 elapsed = (now - refilledAt_).count();
    refilledAt_ = now;
    const Int128 product = elapsed * limit_.rate_ * units_ + remainder_;
    const Int128 refilled = product / kTotalUnits;
    remainder_ = static_cast<std::int64_t>(product % kTotalUnits);
    const Int128 room = capacity() - level_;
    level_ += static_cast<MicroTokens>(std::min(refilled, room));
    dropOverflow();
}

void TokenBucket::dropOverflow()
{
    level_ = std::min(level_, capacity());
    while (level_ + refundableSum_ > capacity()) {
        const auto oldest = refundableCharges_.begin();
        const MicroTokens drop = std::min(oldest->second, level_ + refundableSum_ - capacity());
        oldest->second -= drop;
        refundableSum_ -= drop;
        if (oldest->second == 0)
            refundableCharges_.erase(oldest);
    }
    if (level_ + refundableSum_ == capacity())
        remainder_ = 0;
}

void TokenBucket::setLimit(WorkspaceLimit limit, TimePoint now)
{
    refill(now);
    limit_ = limit;
    remainder_ = 0;
    dropOverflow();
}

void TokenBucket::addUnits(std::int64_t units, MicroTokens level, TimePoint now)
{
    refill(now);
    units_ += units;
    remainder_ = 0;
    level_ += std::min(level, limit_.burst_ * units);
    dropOverflow();
}

void TokenBucket::removeUnits(std::int64_t units, MicroTokens level, TimePoint now)
{
    refill(now);
    units_ -= units;
    level_ -= level;
    remainder_ = 0;
    dropOverflow();
}

bool TokenBucket::take(std::uint64_t id, MicroTokens amount, TimePoint now)
{
    refill(now);
    if (amount > level_)
        return false;
    level_ -= amount;
    if (amount > 0)
        refundableCharges_.emplace_hint(refundableCharges_.end(), id, amount);
    refundableSum_ += amount;
    return true;
}

void TokenBucket::settle(std::uint64_t id, MicroTokens refund, TimePoint now)
{
    refill(now);
    const auto it = refundableCharges_.find(id);
    if (it == refundableCharges_.end())
        return;
    level_ += std::clamp(refund, MicroTokens{0}, it->second);
    refundableSum_ -= it->second;
    refundableCharges_.erase(it);
}

TimePoint TokenBucket::availableAt(MicroTokens amount, TimePoint now)
{
    refill(now);
    if (amount <= level_)
        return now;
    if (amount > capacity())
        return TimePoint::max();
    const Int128 missing = Int128{amount - level_} * kTotalUnits - remainder_;
    const Int128 refillRate = Int128{limit_.rate_} * units_;
    return now + Duration(static_cast<std::int64_t>((missing + refillRate - 1) / refillRate));
}

} // namespace foxtailturn
