#pragma once

// Row changes that could not be confirmed because the table service failed, kept for retries.
//
//     pending.add(key, released);           // its insert may still take effect
//     for (const PendingClaim &p : pending.all()) ...
//     pending.remove(p.claim_.attemptId_);  // once the change is confirmed

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "claims/claim.h"

namespace foxtailturn {

// A row change to retry. claim_ is the value to write: Released for an attempt that never called
// the target, Done for an answer that isn't recorded yet.
struct PendingClaim
{
    ClaimKey key_;
    Claim claim_;

    bool operator==(const PendingClaim &) const = default;
};

// The pending changes of one process, by attempt id. They are lost with the process; the rows then
// stay unresolved until an operator settles them. Thread-safe.
class PendingClaims
{
public:
    // Limits memory use to a few MB with answers of some KB each.
    static constexpr std::size_t kMaxChanges = 2'000;

    // Adds or replaces the change of an attempt. Returns false when the list is full. Thread-safe.
    bool add(const ClaimKey &key, const Claim &claim);

    // Returns the change of an attempt, or nullopt. Thread-safe.
    [[nodiscard]] std::optional<PendingClaim> find(const std::string &attemptId) const;

    // Returns all changes, by attempt id. Thread-safe.
    [[nodiscard]] std::vector<PendingClaim> all() const;

    // Removes the change of an attempt, if there is one. Thread-safe.
    void remove(const std::string &attemptId);

private:
    // Contention is low: the lock is taken only after a failed store call, for an unresolved claim
    // and by repairPending().
    mutable std::mutex mutex_;
    std::map<std::string, PendingClaim> changes_;
};

} // namespace foxtailturn
