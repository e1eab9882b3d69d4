#include "limiter/token_bucket.h"

#include <algorithm>

namespace foxtailturn {

namespace {

// rate * units * microseconds overflows 64 bits after one idle hour at a rate of 10,000.
using Wide = __int128;

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
    const Wide elapsed = (now - refilledAt_).count();
    refilledAt_ = now;
    const Wide product = elapsed * limit_.rate_ * units_ + carry_;
    const Wide gained = product / kTotalUnits;
    carry_ = static_cast<std::int64_t>(product % kTotalUnits);
    const Wide room = capacity() - level_;
    level_ += static_cast<MicroTokens>(std::min(gained, room));
    dropOverflow();
}

void TokenBucket::dropOverflow()
{
    level_ = std::min(level_, capacity());
    while (level_ + refundableSum_ > capacity()) {
        const auto oldest = refundable_.begin();
        const MicroTokens drop = std::min(oldest->second, level_ + refundableSum_ - capacity());
        oldest->second -= drop;
        refundableSum_ -= drop;
        if (oldest->second == 0)
            refundable_.erase(oldest);
    }
    if (level_ + refundableSum_ == capacity())
        carry_ = 0;
}

void TokenBucket::setLimit(WorkspaceLimit limit, TimePoint now)
{
    refill(now);
    limit_ = limit;
    carry_ = 0;
    dropOverflow();
}

void TokenBucket::addUnits(std::int64_t units, MicroTokens level, TimePoint now)
{
    refill(now);
    units_ += units;
    carry_ = 0;
    level_ += std::min(level, limit_.burst_ * units);
    dropOverflow();
}

void TokenBucket::removeUnits(std::int64_t units, MicroTokens level, TimePoint now)
{
    refill(now);
    units_ -= units;
    level_ -= level;
    carry_ = 0;
    dropOverflow();
}

bool TokenBucket::take(std::uint64_t id, MicroTokens amount, TimePoint now)
{
    refill(now);
    if (amount > level_)
        return false;
    level_ -= amount;
    if (amount > 0)
        refundable_.emplace_hint(refundable_.end(), id, amount);
    refundableSum_ += amount;
    return true;
}

void TokenBucket::settle(std::uint64_t id, MicroTokens refund, TimePoint now)
{
    refill(now);
    const auto it = refundable_.find(id);
    if (it == refundable_.end())
        return;
    level_ += std::clamp(refund, MicroTokens{0}, it->second);
    refundableSum_ -= it->second;
    refundable_.erase(it);
}

TimePoint TokenBucket::availableAt(MicroTokens amount, TimePoint now)
{
    refill(now);
    if (amount <= level_)
        return now;
    if (amount > capacity())
        return TimePoint::max();
    const Wide missing = Wide{amount - level_} * kTotalUnits - carry_;
    const Wide speed = Wide{limit_.rate_} * units_;
    return now + Duration(static_cast<std::int64_t>((missing + speed - 1) / speed));
}

} // namespace foxtailturn
