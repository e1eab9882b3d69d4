#pragma once

// Lets operators settle unresolved claims, and removes expired ones.
//
//     Result<std::vector<ObservedClaim>> open = admin.listUnresolved("be-central");
//     // check at the target whether the call ran; not before open->front().settleFrom_:
//     admin.settle(open->front(), RecordedAnswer{200, "application/json", "{}"}); // it ran
//     admin.settle(open->front(), std::nullopt);                               // it did not run
//
// Protection of a running attempt: the monotonic clocks of two VMs can't be compared, so only the
// observer's clock is used. An attempt ends at most ClaimLimits::attemptTimeout_ after it started,
// and it started before its row could be seen. settle() is therefore refused until attemptTimeout_
// + settleMargin_ after the observation, and writes only if the row still has the version that was
// observed. If the attempt finishes first, settle() fails; if it finishes later, it overwrites the
// settlement unless a resend has already taken the row over.

#include <optional>
#include <string>
#include <vector>

#include "claims/claim.h"
#include "claims/claim_limits.h"
#include "claims/claim_store.h"

namespace foxtailturn {

// An unresolved claim as this process read it.
struct ObservedClaim
{
    ClaimKey key_;
    Claim claim_;
    RowVersion version_ = kAbsent;
    TimePoint settleFrom_; // earliest time for settle(), on this process's clock

    bool operator==(const ObservedClaim &) const = default;
};

// Thread-safe; keeps no state.
class ClaimAdmin
{
public:
    ClaimAdmin(const ClaimServices &services, const ClaimLimits &limits);

    // Returns the claims in state Claimed of a workspace, or of all when it is empty; running calls
    // are among them. Scans all rows with the prefix. Error: StoreUnavailable. Thread-safe.
    [[nodiscard]] Result<std::vector<ObservedClaim>> listUnresolved(const std::string &workspace);

    // Returns the claim of a key if it is unresolved. Error: StoreUnavailable. Thread-safe.
    [[nodiscard]] Result<std::optional<ObservedClaim>> observe(const ClaimKey &key);

    // Settles an observed claim. With an answer, resends get this answer; without one, the call
    // counts as not run and a resend may run it. Errors: ClaimUnresolved (NotRun, with retryAt_)
    // before settleFrom_; StoreConflict (NotRun) if the row has changed since; StoreUnavailable
    // (OutcomeUnknown) if the write can't be confirmed: observe again. Thread-safe.
    Result<void> settle(const ObservedClaim &observed, const std::optional<RecordedAnswer> &answer);

    // Removes the finished claims of a workspace (all when empty) whose stored expiry has passed,
    // at most maxRemovals. Returns the number removed. Scans all rows with the prefix: call it
    // rarely and from few processes. Error: StoreUnavailable. Thread-safe.
    Result<std::size_t> removeExpired(const std::string &workspace, std::size_t maxRemovals);

private:
    [[nodiscard]] Result<std::vector<Row>> scan(const std::string &workspace);
    [[nodiscard]] TimePoint callDeadline() const;
    [[nodiscard]] std::optional<ObservedClaim> toObservedClaim(const Row &row,
                                                               TimePoint observedAt) const;

    ClaimServices services_;
    ClaimLimits limits_;
};

} // namespace foxtailturn
