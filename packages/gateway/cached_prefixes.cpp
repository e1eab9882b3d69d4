#include "gateway/cached_prefixes.h"

#include "base/hash.h"

namespace foxtailturn::gateway {

std::uint64_t CachedPrefixes::startOf(const TargetRecord &record)
{
    return hash64(record.instance_, static_cast<std::uint64_t>(record.startTimeMs_));
}

void CachedPrefixes::record(std::uint64_t prefix, std::uint64_t start)
{
    const auto [it, isNew] = targets_[prefix].try_emplace(start);
    if (!isNew) {
        uses_.splice(uses_.begin(), uses_, it->second);
        return;
    }
    uses_.push_front({prefix, start});
    it->second = uses_.begin();
    if (uses_.size() > maxPairs_)
        removeOldest();
}

void CachedPrefixes::removeOldest()
{
    const Use oldest = uses_.back();
    uses_.pop_back();
    const auto it = targets_.find(oldest.prefix_);
    it->second.erase(oldest.start_);
    if (it->second.empty())
        targets_.erase(it);
}

bool CachedPrefixes::contains(std::uint64_t prefix, std::uint64_t start) const
{
    const auto it = targets_.find(prefix);
    return it != targets_.end() && it->second.contains(start);
}

} // namespace foxtailturn::gateway
