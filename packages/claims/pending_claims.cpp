#include "claims/pending_claims.h"

namespace foxtailturn {

bool PendingClaims::add(const ClaimKey &key, const Claim &claim)
{
    const std::lock_guard lock(mutex_);
    if (changes_.size() >= kMaxChanges && changes_.count(claim.attemptId_) == 0)
        return false;
    changes_[claim.attemptId_] = PendingClaim{key, claim};
    return true;
}

std::optional<PendingClaim> PendingClaims::find(const std::string &attemptId) const
{
    const std::lock_guard lock(mutex_);
    const auto it = changes_.find(attemptId);
    return it == changes_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<PendingClaim> PendingClaims::all() const
{
    const std::lock_guard lock(mutex_);
    std::vector<PendingClaim> changes;
    changes.reserve(changes_.size());
    for (const auto &[attemptId, change] : changes_)
        changes.push_back(change);
    return changes;
}

void PendingClaims::remove(const std::string &attemptId)
{
    const std::lock_guard lock(mutex_);
    changes_.erase(attemptId);
}

} // namespace foxtailturn
