#include "claims/pending_claims.h"

namespace foxtailturn {

bool PendingClaims::add(const ClaimKey &key, const Claim &claim)
{
    const std::lock_guard lock(mutex_);
    if (entries_.size() >= kMaxEntries && entries_.count(claim.attemptId_) == 0)
        return false;
    entries_[claim.attemptId_] = PendingClaim{key, claim};
    return true;
}

std::optional<PendingClaim> PendingClaims::find(const std::string &attemptId) const
{
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(attemptId);
    return it == entries_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<PendingClaim> PendingClaims::all() const
{
    const std::lock_guard lock(mutex_);
    std::vector<PendingClaim> list;
    list.reserve(entries_.size());
    for (const auto &[attemptId, entry] : entries_)
        list.push_back(entry);
    return list;
}

void PendingClaims::remove(const std::string &attemptId)
{
    const std::lock_guard lock(mutex_);
    entries_.erase(attemptId);
}

} // namespace foxtailturn
