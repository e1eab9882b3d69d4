#pragma once

// The quotas of all workspaces, each divided into parts that entries own.
//
//     QuotaParts parts({"entry-1@10.0.0.7", 190}, clock);
//     parts.configure({{"w1", {.rate_ = 100'000, .burst_ = 200'000}}});
//     parts.update(rows);                              // all rows of the fleet's partition
//     if (std::optional<StoreWrite> write = parts.plan())
//         store.write(*write, [&](WriteOutcome outcome, std::int64_t version) {
//             parts.finishWrite(outcome, version); });
//     if (!parts.admit("w1", 2'000))                   // no part of this entry covers the charge
//         askOneOf(parts.otherOwners("w1"));           // which calls grant("w1", 2'000) there
//
// Each part has a row that names its owner. The owner alone charges requests against the part: its
// own ones, and those for which other entries ask it. All other entries hold nothing, so the number
// of writers of a row does not grow with the fleet, and a workspace whose requests are spread over
// many entries is refused nothing that it is entitled to.
//
// An owner writes its rows each kRenewInterval, on condition that they are unchanged, and grants
// until PartTerms::grantFor_ after it sent its last write that was applied. The row tells that time
// by the store's clock. Another entry takes over a part that was not renewed for
// PartTerms::reclaimAfter_, on the same condition, however long that entry itself has run. So a
// part never has two owners that grant, whatever writes or answers are lost or late, and whichever
// process is suspended (spec/part.pml). A lost owner takes its part of the rate along until the
// takeover; the other parts have other owners. Granting needs no store access for grantFor_. How
// much a lost owner granted is unknown, so a new owner starts with what the part has gained since
// that owner's term ended, and with the burst if the workspace never had an owner.
//
// A store that comes back from a copy (StorePosition) has lost the last writes. An owner that may
// grant writes its rows again; nobody else can own them. Any other part may have an owner whose row
// is lost, so nobody takes it, or goes on with it, for a whole term after the restore. An entry
// that starts after the restore knows nothing of it, and takes what the copy says.
//
// DutyOrder tells which entry takes a part first. Each entry writes a record of itself for it.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/store_rows.h"
#include "quota/duty_order.h"
#include "quota/entry_records.h"
#include "quota/part_row.h"
#include "quota/quota_share.h"
#include "quota/store_clock.h"

namespace foxtailturn::quota {

// Table and partition of the rows that entries share.
constexpr const char *kFleetTable = "foxtailturn";
constexpr const char *kFleetPartition = "fleet";

// How long the owner of a part grants after its last write, and how long others wait for a change
// of its row before they take it over. The difference covers a write and the answers in flight.
struct PartTerms
{
    Duration grantFor_{};
    Duration reclaimAfter_{};

    bool operator==(const PartTerms &) const = default;
};

// The entry that a QuotaParts object belongs to.
struct EntryIdentity
{
    std::string name_;
    std::int64_t milliCores_ = 0; // processor share of its VM

    bool operator==(const EntryIdentity &) const = default;
};

// One entry's view of all parts. Not thread-safe.
class QuotaParts
{
public:
    // Most parts of a quota. The loss of an owner costs a workspace one part of its rate.
    static constexpr int kParts = 4;
    // Half of the parts are soon taken over from a lost owner, but still granted from while some
    // entries are refused by the store for 8 to 12 s; the other half outlasts a long outage.
    static constexpr PartTerms kShortTerms{std::chrono::seconds(20), std::chrono::seconds(24)};
    static constexpr PartTerms kLongTerms{std::chrono::seconds(50), std::chrono::seconds(60)};
    static constexpr Duration kRenewInterval = std::chrono::seconds(6);
    // Each further entry in the order of succession waits this much longer.
    static constexpr Duration kSuccessionStep = std::chrono::seconds(1);
    // Entries that start together first wait until all of them have written their records.
    static constexpr Duration kSettleTime = std::chrono::seconds(1);
    static constexpr Duration kRecordInterval = std::chrono::seconds(20);
    // The store accepts at most 100 rows in a write; each part counts twice.
    static constexpr std::size_t kMaxPartsPerWrite = 40;

    // Returns the number of parts of a quota: kParts, or as many as the burst covers requests. Each
    // part may go into debt for one request, so more parts would exceed a small burst.
    [[nodiscard]] static int partsOf(const TokenQuota &quota);

    // Returns the terms of a part, from 0 to kParts - 1.
    [[nodiscard]] static PartTerms termsOf(int part)
    {
        return part < kParts / 2 ? kShortTerms : kLongTerms;
    }

    // The clock must outlive this object. tolerance is the number of tokens by which the deployment
    // lets a workspace exceed its quota per window, because several entries charge it; the owners
    // use half of it.
    QuotaParts(EntryIdentity self, const Clock &clock, std::int64_t tolerance = 0);

    // Sets the quotas of all workspaces. A workspace without one, or with a rate of 0, is not
    // limited.
    void configure(const std::map<std::string, TokenQuota> &quotas);

    // Charges a request, in tokens, against a part that this entry owns. Errors: RateLimited, with
    // the earliest time of a retry; LeaseExpired if it owns none.
    [[nodiscard]] Result<void> admit(const std::string &workspace, std::int64_t charge);

    // Charges a request of another entry; as admit().
    [[nodiscard]] Result<void> grant(const std::string &workspace, std::int64_t charge);

    // Refunds a charge of a request that certainly did not run. A charge that another entry granted
    // goes to a part of this entry; without one it is lost, which errs on the safe side.
    void refund(const std::string &workspace, std::int64_t charge);

    // Returns the other owners of the workspace's parts that answer.
    [[nodiscard]] std::vector<std::string> otherOwners(const std::string &workspace) const;

    // Returns all other owners, whether they answer or not.
    [[nodiscard]] std::set<std::string> allOtherOwners() const;

    // Records whether another owner answers. An owner does not until this is called.
    void setOwnerAnswering(const std::string &owner, bool isAnswering);
    [[nodiscard]] bool isAnswering(const std::string &owner) const
    {
        return answering_.contains(owner);
    }

    // Gives up all parts with the next write, for an entry that is about to stop.
    void release() { isReleasing_ = true; }

    // Records what an answer of the store showed of its clock; see StoreClock.
    void observeStoreClock(std::int64_t storeMs, TimePoint sentAt, TimePoint answeredAt)
    {
        storeClock_.observe(storeMs, sentAt, answeredAt);
    }

    // Applies all rows of kFleetTable/kFleetPartition, as read. Rows older than those known are
    // ignored, but in a new era.
    void update(const StoreRows &rows);

    // Applies the current rows that the store returned with a conflict. Precondition: they are of
    // era().
    void updateSome(const StoreRows &rows);

    // Returns the era of the rows that are known; 0 before the first read.
    [[nodiscard]] std::int64_t era() const { return era_.value_or(0); }

    // Plans the next write; nullopt if none is due. Precondition: finishWrite() was called for the
    // last one.
    [[nodiscard]] std::optional<StoreWrite> plan();

    // Applies the outcome of the last planned write; version is the store's version of an applied
    // write. Precondition: the store was in era() when it applied it; else the outcome is unknown.
    void finishWrite(WriteOutcome outcome, std::int64_t version);

    // Returns whether the rows must be read before the next write.
    [[nodiscard]] bool needsRead() const { return needsRead_; }

    // Returns when the next write is due without a further read.
    [[nodiscard]] TimePoint nextWriteAt() const;

    // Returns whether a part of a limited workspace has no owner that answers.
    [[nodiscard]] bool lacksOwner() const;

    // Returns whether this entry is among the first to take over such a part.
    [[nodiscard]] bool isSuccessor() const;

    // Returns whether each limited workspace has a part that can be charged.
    [[nodiscard]] bool canSpend() const;

    // Returns the number of entries that are alive, at least 1.
    [[nodiscard]] int entryCount() const;

    // Returns the units, of QuotaShare::kTotalUnits, that this entry may charge.
    [[nodiscard]] std::int64_t unitsOf(const std::string &workspace) const;

    // Returns the owner of each part, empty for none.
    [[nodiscard]] std::vector<std::string> ownersOf(const std::string &workspace) const;

private:
    struct Part
    {
        PartRow row_;
        std::int64_t version_ = 0; // of the row; 0: no row
        TimePoint changedAt_{}; // when this entry saw the row change; epoch: never read
        std::optional<QuotaShare> share_; // while this entry owns the part
        TimePoint grantUntil_{};
        TimePoint renewAt_{};
        // A restore may have taken the row of a later owner back, who may still grant.
        bool isDoubtful_ = false;
    };

    struct Ledger
    {
        TokenQuota quota_;
        std::vector<Part> parts_;
    };

    struct Planned
    {
        std::string workspace_;
        std::size_t part_ = 0;
        PartRow row_;
        std::optional<TimePoint> unusedSince_; // as unusedSince() tells
    };

    [[nodiscard]] Ledger *limitedLedger(const std::string &workspace);
    [[nodiscard]] bool mayGrant(const Part &part) const;
    [[nodiscard]] bool hasUsableOwner(const Part &part) const;
    [[nodiscard]] bool hasQuota() const;
    [[nodiscard]] TimePoint renewedAt(const Part &part) const;
    [[nodiscard]] std::optional<TimePoint> unusedSince(const Ledger &ledger, int index) const;
    [[nodiscard]] std::map<std::string, std::int64_t> entriesInService() const;
    [[nodiscard]] std::optional<TimePoint> takeAt(const std::string &workspace, int part) const;
    [[nodiscard]] std::optional<PartRow> nextRow(const std::string &workspace, int part);
    void planPart(StoreWrite &write, const std::string &workspace, int index, const PartRow &next);
    void planRecord(StoreWrite &write);
    void applyRow(Part &part, const StoreRow &row);
    void applyAbsence(Part &part, std::int64_t storeVersion);
    void applyCopy(Part &part, const StoreRow *row);
    void startGrants(const Planned &planned);
    void applyQuota(const Ledger &ledger, QuotaShare &share) const;

    EntryIdentity self_;
    const Clock &clock_;
    std::int64_t tolerance_;
    TimePoint startedAt_;
    std::optional<std::int64_t> era_; // nullopt: nothing was read
    TimePoint restoredAt_{}; // when this entry saw the era begin; epoch: in none but its first
    std::map<std::string, Ledger> ledgers_; // by workspace
    EntryRecords records_;
    StoreClock storeClock_;
    DutyOrder order_;
    std::set<std::string> answering_;
    std::vector<Planned> planned_;
    TimePoint sentAt_{}; // of the planned write
    TimePoint recordDueAt_{};
    std::int64_t recordCounter_ = 0;
    bool isRecordPlanned_ = false;
    bool needsRead_ = true;
    bool isReleasing_ = false;
};

} // namespace foxtailturn::quota
