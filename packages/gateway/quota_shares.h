#pragma once

// A workspace's rate and burst, divided among the entries by a ledger in the store.
//
//     QuotaShares shares("entry-1", clock);
//     shares.configure(config);
//     Result<void> admitted = shares.admit("w1", 2'000);       // RateLimited with retryAt_
//     if (std::optional<StoreWrite> write = shares.plan(rows)) // at each sync
//         store.write(*write, [&](WriteOutcome outcome) { shares.finishWrite(outcome); });
//
// Each workspace has one row with the units of each entry; their sum never exceeds kTotalUnits. An
// entry lowers its own units before it writes them and raises them only after the store's
// acknowledgement, so the units in use never exceed those in the row. Units follow demand within
// two syncs. Spending needs no store access: during an outage each entry goes on spending its last
// units, for up to kSpendFor after its last liveness record.
//
// Part of the units forms a pool, which one entry at a time, the pool owner, grants from. An entry
// whose own share does not cover a request asks the owner for a grant of its charge, so that a
// burst of requests at one entry is not refused while the workspace as a whole is within its rate.
// The row names the owner and the pool's units; an owner that has not written for kPoolReclaim is
// replaced. The workspaces' pools are spread over the entries. The pool grows with the number of
// entries, since a sixtieth of the quota is too small for a request of usual size.
//
// Each entry also writes a liveness record, a row of its own, every kLivenessInterval. This write
// is unconditional, so it conflicts with no other, however many entries start at once. A record
// takes effect once the entry has read the rows after its acknowledgement and still holds units in
// them. The units of an entry whose record has not changed for kReclaimAfter are reclaimed by the
// others, on condition that the record is still unchanged. An entry spends nothing later than
// kSpendFor after it sent its last record that took effect, so a suspended or disconnected entry
// never spends units that were reclaimed.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "gateway/codec.h"
#include "gateway/liveness_tracker.h"
#include "gateway/quota_row.h"
#include "gateway/quota_share.h"

namespace foxtailturn::gateway {

// Table and partition of the rows that entries share.
constexpr const char *kFleetTable = "foxtailturn";
constexpr const char *kFleetPartition = "fleet";

enum class WriteOutcome {
    Applied,
    Conflict, // certainly not applied
    Unknown, // may be applied now or later, if its condition still holds
};

// The quota shares of one entry, for all workspaces. Not thread-safe.
class QuotaShares
{
public:
    static constexpr std::int64_t kTotalUnits = QuotaShare::kTotalUnits;
    // Longer than any suspension that a VM survives; shorter than the time in which an operator
    // notices refusals after a VM was lost for good.
    static constexpr Duration kReclaimAfter = std::chrono::seconds(60);
    static constexpr Duration kSpendFor = std::chrono::seconds(50);
    static constexpr Duration kLivenessInterval = std::chrono::seconds(12); // liveness record
    // Minimum units of the pool. The entries' own shares carry a workspace while its pool has no
    // owner.
    static constexpr std::int64_t kPoolUnits = 500'000;
    // Up to this many entries the pool has kPoolUnits. With more entries, each entry's own share
    // shrinks with the square of their number.
    static constexpr std::int64_t kSmallFleetEntries = 6;
    // A pool owner stops granting this long after its last write; others take over after
    // kPoolReclaim. The difference covers a write and the answers in flight. Some entries have lost
    // the store for 8 to 12 s while other entries could still reach them, so owners have to go on
    // granting through such an outage.
    static constexpr Duration kPoolSpendFor = std::chrono::seconds(20);
    static constexpr Duration kPoolReclaim = std::chrono::seconds(24);
    static constexpr Duration kPoolWriteInterval = std::chrono::seconds(6);
    // Each further entry in the order of succession waits this much longer before it takes the
    // pool.
    static constexpr Duration kSuccessionStep = std::chrono::seconds(1);

    // holder is this entry's name; the clock must outlive this object. tolerance is the number of
    // tokens by which the deployment lets a workspace exceed its quota per window, because several
    // entries charge it independently; all entries together use half of it.
    QuotaShares(std::string holder, const Clock &clock, std::int64_t tolerance = 0);

    // Applies the workspaces' quotas of a configuration.
    void configure(const ServingConfig &config);

    // Charges a request, in tokens. Errors, with the earliest time of a retry where one is known:
    // RateLimited; LeaseExpired if this entry's share was not renewed in time.
    [[nodiscard]] Result<void> admit(const std::string &workspace, std::int64_t charge);
    void refund(const std::string &workspace, std::int64_t charge);

    // Returns the pool owner to request a grant from after admit() refused a charge; empty if no
    // other entry owns the workspace's pool, the owner does not answer, or this entry's share has
    // expired.
    [[nodiscard]] std::string reachableOwner(const std::string &workspace) const;

    // Takes a charge for another entry from a pool that this entry owns. Errors: RateLimited, with
    // the earliest time of a retry; LeaseExpired if this entry does not own the pool.
    [[nodiscard]] Result<void> grant(const std::string &workspace, std::int64_t charge);

    // Records whether a pool owner answers. While it does not, reachableOwner() omits it, and
    // wantsEarlySync() requests an early sync to find its successor.
    void setOwnerAnswering(const std::string &owner, bool isAnswering);

    // Releases all pools with the next write, for an entry that is about to stop.
    void release() { isReleasing_ = true; }

    // Returns the owner of a workspace's pool, as of the last sync; empty for none.
    [[nodiscard]] std::string ownerOf(const std::string &workspace) const;

    // Returns all other entries that own a pool, as of the last sync.
    [[nodiscard]] std::set<std::string> poolOwners() const;

    // Returns whether this entry owns a pool, as of the last sync.
    [[nodiscard]] bool ownsPool() const;

    // Plans the next write from the rows of kFleetTable/kFleetPartition; nullopt if none is needed.
    // Units that the write lowers are no longer spent from now on. Preconditions: finishWrite() was
    // called for the last write; the rows were read after that, or were returned with its conflict.
    [[nodiscard]] std::optional<StoreWrite> plan(const StoreRows &rows);

    // Applies the outcome of the last planned write.
    void finishWrite(WriteOutcome outcome);

    // Returns whether the rows must be read for an acknowledged liveness record to take effect.
    [[nodiscard]] bool needsRead() const { return isLivenessAcknowledged_; }

    // Returns whether an early sync is useful: a share is too small for its demand, or a pool has
    // no owner that answers.
    [[nodiscard]] bool wantsEarlySync();

    // Returns the units that the pool should have with this many entries.
    [[nodiscard]] static std::int64_t poolUnitsFor(std::size_t entries);

    // Returns the units of the workspace's pool if this entry may grant from it, otherwise 0.
    [[nodiscard]] std::int64_t poolUnitsOf(const std::string &workspace) const;

    // Returns the maximum number of entries that share a workspace, as of the last sync.
    [[nodiscard]] int entryCount() const;

    // Returns whether each workspace with a quota has units here that have not expired.
    [[nodiscard]] bool canSpend() const;

    [[nodiscard]] std::int64_t unitsOf(const std::string &workspace) const;

    // Returns the recent demand in tokens per second.
    [[nodiscard]] std::int64_t demandOf(const std::string &workspace);

private:
    using Holders = std::map<std::string, QuotaHolding>;

    // The pool owner's last write, and when this entry first read it.
    struct OwnerWrite
    {
        std::int64_t counter_ = 0;
        TimePoint firstSeenAt_{};
    };

    struct Ledger
    {
        explicit Ledger(TimePoint now)
            : share_(now)
            , pool_(now)
        { }

        TokenQuota quota_;
        QuotaShare share_;
        TimePoint spendUntil_{}; // extended by each liveness record that takes effect
        std::int64_t unresolvedVersion_ = -1; // row version expected by a write of unknown outcome
        std::int64_t plannedUnits_ = -1; // units in the write in flight; -1 if not part of it
        std::int64_t plannedVersion_ = 0;
        bool isUnderAllocated_ = false; // wants more units than it has
        int entries_ = 1; // holders in the row
        QuotaShare pool_; // used while this entry owns the pool
        TimePoint poolUntil_{}; // this entry may grant from the pool until then
        TimePoint poolWriteAt_{}; // when to renew the ownership
        bool isPoolPlanned_ = false; // the write in flight takes, renews or releases the pool
        std::int64_t plannedPoolUnits_ = 0; // the pool's units in the write in flight
        std::string owner_; // as of the last row read or written
        OwnerWrite ownerWrite_;
        bool isOwnerUnresponsive_ = false;
    };

    [[nodiscard]] bool planPool(Ledger &ledger, const std::string &workspace, QuotaRow &row);
    void takePool(Ledger &ledger);
    [[nodiscard]] int rankOf(const std::string &workspace, const QuotaRow &row) const;
    [[nodiscard]] bool dropUnresponsive(Holders &holders, std::set<std::string> &dropped) const;
    [[nodiscard]] bool hasQuota() const;
    [[nodiscard]] StoreWrite planLivenessRecord();
    [[nodiscard]] StoreWrite planLedgers(const StoreRows &rows);
    [[nodiscard]] std::int64_t wantedUnits(Ledger &ledger, const Holders &holders) const;
    [[nodiscard]] std::optional<QuotaRow> planLedger(Ledger &ledger, const std::string &workspace,
                                                     QuotaRow row, std::int64_t version,
                                                     std::set<std::string> &dropped);

    std::string holder_;
    const Clock &clock_;
    std::int64_t tolerance_; // tokens, of all entries together
    std::map<std::string, Ledger> ledgers_; // by workspace
    LivenessTracker liveness_; // liveness records of all entries
    std::int64_t livenessCounter_ = 0;
    bool isLivenessPlanned_ = false; // the write in flight is a liveness record
    bool isLivenessAcknowledged_ = false; // and the rows were not read since
    TimePoint livenessSentAt_{}; // of the last acknowledged liveness record
    TimePoint livenessDueAt_{}; // when the next liveness record is due
    bool isReleasing_ = false;
    TimePoint startedAt_;
    TimePoint sentAt_{}; // of the write in flight
};

} // namespace foxtailturn::gateway
