#pragma once

// A workspace's rate and burst, divided among the entries by a ledger in the store.
//
//     QuotaShares shares("entry-1", clock);
//     shares.configure(config);
//     Result<void> admitted = shares.admit("w1", 2'000);       // RateLimited with retryAt_
//     if (std::optional<StoreWrite> write = shares.plan(rows)) // about once a second
//         store.write(*write, [&](WriteOutcome outcome) { shares.settle(outcome); });
//
// Each workspace has one row with the units of each entry; their sum never exceeds kTotalUnits. An
// entry lowers its own units before it writes them and raises them only after the store's
// acknowledgement, so the units in use never exceed those in the row. Units follow demand within
// two rounds. Spending needs no store: an outage leaves every entry with its last units.
//
// A part of the units, the pool, is lent to one entry at a time, its keeper. An entry whose own
// share is short asks the keeper for single charges, so that a clump of requests at one entry is
// not refused while the workspace as a whole is within its rate. The row names the keeper and its
// units; a keeper that has not written for kPoolReclaim is replaced. The workspaces' pools are
// spread over the entries. The more entries there are, the larger is the pool: a share of a
// sixtieth holds no request of usual size.
//
// Each entry also has a row of its own, which it writes every kWriteEvery without a condition: a
// sign of life that meets no other write, however many entries start at once. A sign counts once
// the rows were read after its acknowledgement, with the entry's units still there. Units of an
// entry without one for kReclaimAfter are taken by the others, on condition that its row is
// unchanged. An entry without a sign that counts for kSpendFor spends nothing, so a frozen or cut
// off one never adds to them.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "gateway/codec.h"
#include "gateway/life_signs.h"
#include "gateway/quota_row.h"
#include "gateway/quota_share.h"

namespace foxtailturn::gateway {

// Table and part of the rows that entries share.
constexpr const char *kFleetTable = "foxtailturn";
constexpr const char *kFleetPart = "fleet";

enum class WriteOutcome {
    Applied,
    Conflict, // certainly not applied
    Unknown, // may be applied now or later, if its condition still holds
};

// All workspaces of one entry. Not thread-safe.
class QuotaShares
{
public:
    static constexpr std::int64_t kTotalUnits = QuotaShare::kTotalUnits;
    // Beyond any pause that a VM survives; shorter than the time that an operator needs to notice
    // refusals after a VM was lost for good.
    static constexpr Duration kReclaimAfter = std::chrono::seconds(60);
    static constexpr Duration kSpendFor = std::chrono::seconds(50);
    static constexpr Duration kWriteEvery = std::chrono::seconds(12); // a sign of life
    // Least units of the pool. The entries' own part carries a workspace while its pool has no
    // keeper.
    static constexpr std::int64_t kPoolUnits = 500'000;
    // Entries up to which the pool has kPoolUnits. Beyond, an entry's own share shrinks with the
    // square of their number.
    static constexpr std::int64_t kFewEntries = 6;
    // A keeper gives nothing this long after its last write, others take over after kPoolReclaim.
    // The difference covers a write and the answers under way. Stores were out of reach of some
    // entries for 8 to 12 s, while other entries still reached those.
    static constexpr Duration kPoolSpendFor = std::chrono::seconds(20);
    static constexpr Duration kPoolReclaim = std::chrono::seconds(24);
    static constexpr Duration kPoolWriteEvery = std::chrono::seconds(6);
    // The next one in the order of succession waits this much longer.
    static constexpr Duration kSuccession = std::chrono::seconds(1);

    // holder names this entry's VM; the clock must outlive this object. tolerance is the excess in
    // tokens that the deployment grants a workspace in a window for being counted in many places;
    // the entries use half of it together.
    QuotaShares(std::string holder, const Clock &clock, std::int64_t tolerance = 0);

    // Takes the quotas of a configuration.
    void configure(const ServingConfig &config);

    // Charges a request. Error: RateLimited, with the time of the next attempt.
    [[nodiscard]] Result<void> admit(const std::string &workspace, std::int64_t charge);
    void giveBack(const std::string &workspace, std::int64_t charge);

    // Returns whom to ask for a charge that admit() refused; empty if no other entry keeps the
    // workspace's pool or its keeper does not answer.
    [[nodiscard]] std::string keeperToAsk(const std::string &workspace) const;

    // Takes a charge from a pool that this entry keeps, for another entry. Errors: RateLimited,
    // with the time of the next attempt; LeaseExpired if this entry does not keep the pool.
    [[nodiscard]] Result<void> grant(const std::string &workspace, std::int64_t charge);

    // Notes whether a keeper answers. While one does not, its pools count as empty and rounds come
    // sooner, to find its successor.
    void noteKeeper(const std::string &keeper, bool isAnswering);

    // Gives up all pools with the next write, for an entry that is about to stop.
    void release() { isReleasing_ = true; }

    // Returns the entry that keeps a workspace's pool, as of the last round; empty for none.
    [[nodiscard]] std::string keeperOf(const std::string &workspace) const;

    // Returns all entries that keep a pool, as of the last round, without this one.
    [[nodiscard]] std::set<std::string> keepers() const;

    // Returns whether this entry keeps a pool.
    [[nodiscard]] bool keepsPool() const;

    // Works out the next write from the rows of kFleetTable/kFleetPart; nullopt if none is needed.
    // Units that shrink are given up at once. Preconditions: the last write was settled; the rows
    // were read after that, or were sent with its conflict.
    [[nodiscard]] std::optional<StoreWrite> plan(const StoreRows &rows);

    // Tells the outcome of the last planned write.
    void settle(WriteOutcome outcome);

    // Returns whether a sign of life waits for the rows to be read.
    [[nodiscard]] bool needsRead() const { return isSignAcknowledged_; }

    // Returns whether a round soon pays: a share is too small for its demand, or a pool has no
    // keeper that answers.
    [[nodiscard]] bool wantsRound();

    // Returns the units that the pool should have with this many entries.
    [[nodiscard]] static std::int64_t poolUnitsFor(std::size_t entries);

    // Returns the units of the pool that this entry keeps; 0 for none.
    [[nodiscard]] std::int64_t poolUnitsOf(const std::string &workspace) const;

    // Returns the largest number of entries that share a workspace, as of the last round.
    [[nodiscard]] int entryCount() const;

    // Returns whether each workspace with a quota has units that were written in time.
    [[nodiscard]] bool canSpend() const;

    [[nodiscard]] std::int64_t unitsOf(const std::string &workspace) const;

    // Returns the tokens asked for per second of late.
    [[nodiscard]] std::int64_t demandOf(const std::string &workspace);

private:
    using Holders = std::map<std::string, QuotaHolding>;

    // Since when a keeper's last write is known.
    struct Seen
    {
        std::int64_t beat_ = 0;
        TimePoint since_{};
    };

    struct Ledger
    {
        explicit Ledger(TimePoint now)
            : share_(now)
            , pool_(now)
        { }

        TokenQuota quota_;
        QuotaShare share_;
        TimePoint spendUntil_{}; // by the last sign of life that counts
        std::int64_t unresolvedVersion_ = -1; // row version that an unanswered write expected
        std::int64_t planned_ = -1; // units in the write under way; -1: not in it
        std::int64_t plannedVersion_ = 0;
        bool isShort_ = false; // wants more units than it has
        int entries_ = 1; // in the row
        QuotaShare pool_; // while this entry keeps the pool
        TimePoint poolUntil_{}; // this entry may give from the pool
        TimePoint poolWriteAt_{}; // next write that keeps the pool
        bool isPoolPlanned_ = false; // the write under way takes or keeps the pool
        std::int64_t plannedPool_ = 0; // units of the pool in the write under way
        std::string keeper_; // as of the last row
        Seen keeperSeen_;
        bool isKeeperSilent_ = false;
    };

    [[nodiscard]] bool planPool(Ledger &ledger, const std::string &workspace, QuotaRow &row);
    void takePool(Ledger &ledger);
    [[nodiscard]] int rankOf(const std::string &workspace, const QuotaRow &row) const;
    [[nodiscard]] bool dropSilent(Holders &holders, std::set<std::string> &dropped) const;
    [[nodiscard]] bool hasQuota() const;
    [[nodiscard]] StoreWrite planSign();
    [[nodiscard]] StoreWrite planLedgers(const StoreRows &rows);
    [[nodiscard]] std::int64_t wantedUnits(Ledger &ledger, const Holders &holders) const;
    [[nodiscard]] std::optional<QuotaRow> planLedger(Ledger &ledger, const std::string &workspace,
                                                     QuotaRow row, std::int64_t version,
                                                     std::set<std::string> &dropped);

    std::string holder_;
    const Clock &clock_;
    std::int64_t tolerance_; // tokens, of all entries together
    std::map<std::string, Ledger> ledgers_; // by workspace
    LifeSigns signs_; // of all entries
    std::int64_t signCount_ = 0;
    bool isSignPlanned_ = false; // the write under way is a sign of life
    bool isSignAcknowledged_ = false; // but the rows were not read since
    TimePoint signSentAt_{}; // of the last acknowledged one
    TimePoint signAt_{}; // next one
    bool isReleasing_ = false;
    TimePoint startedAt_;
    TimePoint sentAt_{}; // of the write under way
};

} // namespace foxtailturn::gateway
