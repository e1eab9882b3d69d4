#include "adapters/popularity.h"

#include <cmath>
#include <numbers>

namespace foxtailturn {

namespace {

// Adapters with a lower decayed count are dropped, so that memory use is bounded by the active
// ones.
constexpr double kMinTrackedCount = 0.01;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Popularity::Popularity(Duration halfLife)
    : halfLife_(halfLife)
{ }

double Popularity::decayed(const Use &use, TimePoint now) const
{
    const double age = seconds(now - use.at_);
    return age <= 0 ? use.count_ : use.count_ * std::exp2(-age / seconds(halfLife_));
}

void Popularity::record(const AdapterId &id, TimePoint now)
{
    if (now >= nextRemovalAt_)
        removeIdle(now);
    Use &use = uses_[id];
    use = Use{decayed(use, now) + 1, now};
    total_ = Use{decayed(total_, now) + 1, now};
}

double Popularity::rate(const AdapterId &id, TimePoint now) const
{
    const auto it = uses_.find(id);
    if (it == uses_.end())
        return 0;
    return decayed(it->second, now) * std::numbers::ln2 / seconds(halfLife_);
}

double Popularity::totalRate(TimePoint now) const
{
    return decayed(total_, now) * std::numbers::ln2 / seconds(halfLife_);
}

void Popularity::removeIdle(TimePoint now)
{
    std::erase_if(uses_,
                  [&](const auto &entry) { return decayed(entry.second, now) < kMinTrackedCount; });
    nextRemovalAt_ = now + halfLife_;
}

} // namespace foxtailturn
