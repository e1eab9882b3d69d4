#pragma once

// Row changes that an attempt couldn't confirm while the store failed, kept for later.
//
//     pending.add(key, released);           // the attempt gave up, its insert may still land
//     for (const PendingClaim &p : pending.all()) ...
//     pending.remove(p.claim_.attemptId_);  // once the row is settled

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "claims/claim.h"

namespace foxtailturn {

// A row change that is still to be made. claim_ is the wanted value: Released for an attempt that
// was never dispatched, Done for an answer that isn't recorded yet.
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
    // Bounds the memory: with answers of some KB each this is a few MB.
    static constexpr std::size_t kMaxEntries = 2'000;

    // Adds or replaces the change of an attempt. Returns false when the list is full. Thread-safe.
    bool add(const ClaimKey &key, const Claim &claim);

    // Returns the change of an attempt, or nullopt. Thread-safe.
    [[nodiscard]] std::optional<PendingClaim> find(const std::string &attemptId) const;

    // Returns all changes, by attempt id. Thread-safe.
    [[nodiscard]] std::vector<PendingClaim> all() const;

    // Removes the change of an attempt, if there is one. Thread-safe.
    void remove(const std::string &attemptId);

private:
    // One lock is enough: it is taken only when a store call failed or a claim is unresolved.
    mutable std::mutex mutex_;
    std::map<std::string, PendingClaim> entries_;
};

} // namespace foxtailturn
