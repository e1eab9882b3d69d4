#pragma once

// Creates, finishes and releases claim rows for the attempts of an agent. OnceExecutor uses it to
// run a whole call.
//
//     Result<BeginResult> start = store.begin(key, digest, randomId(), dispatchDeadline);
//     if (start && std::holds_alternative<HeldClaim>(*start)) {
//         // this attempt alone may call the target, before dispatchDeadline
//         store.finish(std::get<HeldClaim>(*start), answer, clock.now() + limits.recordTimeout_);
//     }
//     store.repairPending(); // about once a second
//
// Lost answers: after a write whose answer is lost, the row is read back and, if necessary, written
// again. Every write is conditional on the row's version, so at most one of the writes that expect
// the same version takes effect, however late the others arrive.
//
// Delayed insert: an attempt that can't confirm its insert before the dispatch deadline fails as
// not_run and is added to the list of pending claims. repairPending() then gives the row another
// version (it writes a Released row if there is none), after which the delayed insert can no longer
// take effect. If the process dies before that and the insert is applied later, the key stays
// unresolved until an operator settles it.

#include <variant>

#include "base/clock.h"
#include "base/error.h"
#include "claims/claim.h"
#include "claims/claim_limits.h"
#include "claims/pending_claims.h"
#include "storage/platform.h"

namespace foxtailturn {

// A claim held by one attempt, which alone may call the target, once.
struct HeldClaim
{
    ClaimKey key_;
    Claim claim_; // as written, in state Claimed
    RowVersion version_ = kAbsent;

    bool operator==(const HeldClaim &) const = default;
};

// Result of begin(): the claim if the caller may run the call, or the recorded answer if it ran.
using BeginResult = std::variant<HeldClaim, RecordedAnswer>;

// Dependencies of the classes in this package. The referenced objects must outlive their users.
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

    // Claims the key for the attempt. Blocks until the result is known or the deadline has passed.
    // Preconditions: attemptId is new and comes from randomId(); bodyDigest is from sha256Hex().
    // Errors: IdempotencyKeyReused (NotRun) if the row has another digest; ClaimUnresolved
    // (OutcomeUnknown) if another attempt holds the row; StoreUnavailable (NotRun, with retryAt_)
    // if the claim can't be made or confirmed in time. Thread-safe.
    [[nodiscard]] Result<BeginResult> begin(const ClaimKey &key, const std::string &bodyDigest,
                                            const std::string &attemptId, TimePoint deadline);

    // Releases the claim, so that a resend can take it over. Precondition: the target has received
    // nothing from this attempt and never will. Tries once; if that fails, repairPending() retries.
    // Thread-safe.
    void release(const HeldClaim &held);

    // Records the answer for resends. Retries until the deadline; if that fails, the claim stays
    // unresolved and repairPending() retries. Overwrites an operator's settlement of the same
    // attempt, because the attempt has the actual answer. Errors: StoreUnavailable if not recorded;
    // StoreConflict when the row belongs to another attempt; both OutcomeUnknown. Thread-safe.
    Result<void> finish(const HeldClaim &held, const RecordedAnswer &answer, TimePoint deadline);

    // Tries each pending change once; stops at the first one that can't be confirmed. Returns the
    // number still pending. Call it about once a second and before a planned stop. Thread-safe.
    std::size_t repairPending();

private:
    // What begin() does next, given the row that it read.
    struct Decision
    {
        std::optional<Result<BeginResult>>
            result_; // nullopt: write again with expected_ as the expected version
        RowVersion expected_ = kAbsent;
    };

    enum class WriteResult { Confirmed, Superseded, Unconfirmed };

    [[nodiscard]] Decision decide(const ClaimKey &key, const Claim &own,
                                  const std::optional<Row> &row) const;
    [[nodiscard]] Decision decideForOtherAttempt(const Claim &own, const Claim &found,
                                                 RowVersion version) const;
    [[nodiscard]] Error storeUnavailable() const;
    [[nodiscard]] TimePoint callDeadline() const;
    [[nodiscard]] Claim withState(const Claim &claim, ClaimState state) const;
    [[nodiscard]] WriteResult writeOnce(const std::string &row, const Claim &claim,
                                        RowVersion expected);
    [[nodiscard]] WriteResult tryRelease(const PendingClaim &pending);
    [[nodiscard]] WriteResult tryFinish(const PendingClaim &pending);
    void addPending(const ClaimKey &key, const Claim &claim);
    void waitBeforeRetry(TimePoint deadline);

    ClaimServices services_;
    ClaimLimits limits_;
    PendingClaims pending_;
};

} // namespace foxtailturn
