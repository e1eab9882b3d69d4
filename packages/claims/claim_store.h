#pragma once

// Claim rows as an agent's attempts use them. OnceExecutor drives it; see there for a whole call.
//
//     Result<ClaimStart> start = store.begin(key, digest, randomId(), dispatchDeadline);
//     if (start && std::holds_alternative<ClaimHold>(*start)) {
//         // this attempt alone may call the target, before dispatchDeadline
//         store.finish(std::get<ClaimHold>(*start), answer, clock.now() + limits.recordTime_);
//     }
//     store.repairPending(); // about once a second
//
// Lost answers: a write whose answer is lost is settled by reading the row back and writing again.
// All writes of an attempt to one row expect the same version, so at most one of them takes effect,
// however late the others arrive.
//
// Delayed insert: an attempt that can't settle its insert before the dispatch deadline gives up as
// not_run and is added to the list of pending claims. repairPending() then moves the row on to
// another version (it writes a Released row if there is none), after which the delayed insert can
// no longer take effect. Should the process die before that and the insert land after all, the key
// stays unresolved until an operator settles it.

#include <variant>

#include "base/clock.h"
#include "base/error.h"
#include "claims/claim.h"
#include "claims/claim_limits.h"
#include "claims/pending_claims.h"
#include "storage/platform.h"

namespace foxtailturn {

// Right of one attempt to call the target once.
struct ClaimHold
{
    ClaimKey key_;
    Claim claim_; // as written, in state Claimed
    RowVersion version_ = kAbsent;

    bool operator==(const ClaimHold &) const = default;
};

// What begin() found: the right to run, or the answer of the call that ran.
using ClaimStart = std::variant<ClaimHold, RecordedAnswer>;

// What the packages' classes need from outside. All references must outlive their users.
struct ClaimServices
{
    TableService &table_;
    const Clock &clock_;
    const WallClock &wallClock_;
    Waiter &waiter_;
};

// Thread-safe; holds no lock during a table call.
class ClaimStore
{
public:
    ClaimStore(const ClaimServices &services, const ClaimLimits &limits);

    // Claims the key for the attempt. Blocks until settled or until the deadline.
    // Preconditions: attemptId is new and comes from randomId(); bodyDigest is from sha256Hex().
    // Errors: IdempotencyKeyReused (NotRun) if the row has another digest; ClaimUnresolved
    // (OutcomeUnknown) if another attempt holds the row; StoreUnavailable (NotRun, with retryAt_)
    // if the claim can't be made or settled in time. Thread-safe.
    [[nodiscard]] Result<ClaimStart> begin(const ClaimKey &key, const std::string &bodyDigest,
                                           const std::string &attemptId, TimePoint deadline);

    // Gives the claim up, so that a resend can take it over. Precondition: the target surely
    // received nothing, and this attempt won't call it any more. Tries once; if that fails,
    // repairPending() goes on. Thread-safe.
    void release(const ClaimHold &hold);

    // Records the answer for resends. Retries until the deadline; if that fails, the claim stays
    // unresolved and repairPending() goes on. Overwrites an operator's settlement of the same
    // attempt, because the attempt knows better. Errors: StoreUnavailable when not recorded yet;
    // StoreConflict when the row belongs to another attempt; both OutcomeUnknown. Thread-safe.
    Result<void> finish(const ClaimHold &hold, const RecordedAnswer &answer, TimePoint deadline);

    // Tries each pending change once; stops at the first that the store prevents. Returns the
    // number still pending. Call it about once a second and before a planned stop. Thread-safe.
    std::size_t repairPending();

private:
    // What one look at a row means for an attempt that wants to begin.
    struct Decision
    {
        std::optional<Result<ClaimStart>> end_; // nothing: write again, expecting expected_
        RowVersion expected_ = kAbsent;
    };

    enum class Progress { Settled, Superseded, Unsettled };

    [[nodiscard]] Decision decide(const ClaimKey &key, const Claim &own,
                                  const std::optional<Row> &row) const;
    [[nodiscard]] Decision decideForeign(const Claim &own, const Claim &found,
                                         RowVersion version) const;
    [[nodiscard]] Error storeRefusal() const;
    [[nodiscard]] TimePoint callDeadline() const;
    [[nodiscard]] Claim withState(const Claim &claim, ClaimState state) const;
    [[nodiscard]] Progress writeOnce(const std::string &row, const Claim &claim,
                                     RowVersion expected);
    [[nodiscard]] Progress tryRelease(const PendingClaim &pending);
    [[nodiscard]] Progress tryFinish(const PendingClaim &pending);
    void keepPending(const ClaimKey &key, const Claim &claim);
    void pause(TimePoint deadline);

    ClaimServices services_;
    ClaimLimits limits_;
    PendingClaims pending_;
};

} // namespace foxtailturn
