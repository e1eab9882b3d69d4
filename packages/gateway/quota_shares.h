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
// A part of the units belongs to a pool whose level is kept in the row itself. An entry whose own
// share is short takes single charges from it by a conditional write, so that a clump of requests
// at one entry is not refused while the workspace as a whole is within its rate.
//
// Units of an entry that has not written for kReclaimAfter are taken by the others. An entry that
// could not write for kSpendFor spends nothing, so a frozen or cut off one never adds to them.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"

namespace foxtailturn::gateway {

// Table and part of the rows that entries share.
constexpr const char *kFleetTable = "foxtailturn";
constexpr const char *kFleetPart = "fleet";

enum class WriteOutcome {
    Applied,
    Conflict, // certainly not applied
    Unknown, // may be applied now or later, if its condition still holds
};

// One entry's part of one workspace's quota. Not thread-safe.
class QuotaShare
{
public:
    // Time in which the demand follows a change to two thirds.
    static constexpr Duration kDemandWindow = std::chrono::seconds(2);

    explicit QuotaShare(TimePoint now)
        : refilledAt_(now)
        , measuredAt_(now)
    { }

    void setQuota(const TokenQuota &quota, TimePoint now);
    void setUnits(std::int64_t units, TimePoint now);

    // Sets the tokens by which the level may fall below zero. A debt is paid from the refill, so
    // the rate holds over time; it lets a small share serve two large requests in a row.
    void setTolerance(std::int64_t tokens) { tolerance_ = static_cast<double>(tokens); }
    [[nodiscard]] std::int64_t units() const { return units_; }

    // Takes the charge if level and tolerance hold it. A charge above both needs a full level and
    // leaves a larger debt: a small share must not refuse a large request for good.
    [[nodiscard]] bool take(std::int64_t charge, TimePoint now);

    // Gives back a charge whose request certainly did not run.
    void giveBack(std::int64_t charge, TimePoint now);

    // Returns when take() can succeed; nullopt when the share has no units.
    [[nodiscard]] std::optional<TimePoint> availableAt(std::int64_t charge, TimePoint now);

    // Counts a charge that was asked for, admitted or not.
    void count(std::int64_t charge, TimePoint now);

    // Returns the tokens asked for per second of late.
    [[nodiscard]] double demand(TimePoint now);

private:
    [[nodiscard]] double rate() const; // tokens per second
    [[nodiscard]] double capacity() const;
    void refill(TimePoint now);
    void decay(TimePoint now);

    TokenQuota quota_;
    std::int64_t units_ = 0;
    double tolerance_ = 0; // tokens
    double level_ = 0; // tokens; negative is a debt
    TimePoint refilledAt_;
    double demand_ = 0; // tokens per second
    TimePoint measuredAt_;
};

// All workspaces of one entry. Not thread-safe.
class QuotaShares
{
public:
    static constexpr std::int64_t kTotalUnits = 1'000'000;
    // Beyond any pause that a VM survives; shorter than the time that an operator needs to notice
    // refusals after a VM was lost for good.
    static constexpr Duration kReclaimAfter = std::chrono::seconds(60);
    static constexpr Duration kSpendFor = std::chrono::seconds(50);
    static constexpr Duration kWriteEvery = std::chrono::seconds(12); // at least
    // Units of the pool. The entries' own part carries a workspace at its usual demand through an
    // outage of the store.
    static constexpr std::int64_t kPoolUnits = 350'000;
    // A grant from the pool takes a read and a write of the store; a caller waits for it this long.
    static constexpr Duration kGrantTime = std::chrono::milliseconds(200);

    // Called once with the outcome of a grant.
    using GrantHandler = std::function<void(const Result<void> &granted)>;

    // holder names this entry's VM; the clock must outlive this object. tolerance is the excess in
    // tokens that the deployment grants a workspace in a window for being counted in many places;
    // the entries use half of it together.
    QuotaShares(std::string holder, const Clock &clock, std::int64_t tolerance = 0);

    // Takes the quotas of a configuration.
    void configure(const ServingConfig &config);

    // Charges a request. Error: RateLimited, with the time of the next attempt.
    [[nodiscard]] Result<void> admit(const std::string &workspace, std::int64_t charge);
    void giveBack(const std::string &workspace, std::int64_t charge);

    // Returns whether the pool may hold a charge that admit() refused, as far as is known here.
    [[nodiscard]] bool mayGrant(const std::string &workspace, std::int64_t charge) const;

    // Asks the pool for a charge with the next round. handler gets RateLimited when the pool is
    // empty or the store does not answer in time.
    void requestGrant(const std::string &workspace, std::int64_t charge, GrantHandler handler);
    [[nodiscard]] bool hasGrantRequests() const;

    // Refuses grants whose time is over.
    void expireGrants();

    // Works out the next write from the rows of kFleetTable/kFleetPart; nullopt if none is needed.
    // Units that shrink are given up at once. Precondition: the last write was settled.
    [[nodiscard]] std::optional<StoreWrite> plan(const StoreRows &rows);

    // Tells the outcome of the last planned write.
    void settle(WriteOutcome outcome);

    // Returns whether some share is too small for its demand, so that a round soon pays.
    [[nodiscard]] bool wantsRound();

    // Returns the largest number of entries that share a workspace, as of the last round.
    [[nodiscard]] int entryCount() const;

    // Returns whether each workspace with a quota has units that were written in time.
    [[nodiscard]] bool canSpend() const;

    [[nodiscard]] std::int64_t unitsOf(const std::string &workspace) const;

    // Returns the tokens asked for per second of late.
    [[nodiscard]] std::int64_t demandOf(const std::string &workspace);

private:
    struct Entry
    {
        std::int64_t units_ = 0;
        std::int64_t demand_ = 0; // tokens per second
        std::int64_t beat_ = 0; // changes with each write of the entry
    };

    using Holders = std::map<std::string, Entry>;

    struct Seen
    {
        std::int64_t beat_ = 0;
        TimePoint since_{};
    };

    // The pool's level at a time of the store's clock.
    struct Pool
    {
        double level_ = 0; // tokens; negative is a debt
        std::int64_t atMs_ = 0;
    };

    // A row of the ledger.
    struct Row
    {
        Holders holders_;
        std::optional<Pool> pool_;
    };

    struct GrantRequest
    {
        std::int64_t charge_ = 0;
        TimePoint until_{};
        GrantHandler handler_;
        bool isInWrite_ = false;
    };

    struct Ledger
    {
        explicit Ledger(TimePoint now)
            : share_(now)
        { }

        TokenQuota quota_;
        QuotaShare share_;
        TimePoint spendUntil_{}; // by the last acknowledged write
        TimePoint writeAt_{}; // next write that keeps the units alive
        std::int64_t unresolvedVersion_ = -1; // row version that an unanswered write expected
        std::map<std::string, Seen> seen_; // other entries
        std::int64_t planned_ = -1; // units in the write under way; -1: not in it
        std::int64_t plannedVersion_ = 0;
        bool isShort_ = false; // wants more units than it has
        int entries_ = 1; // in the row
        std::vector<GrantRequest> grants_; // oldest first
        TimePoint poolAt_{}; // the pool holds nothing before this time
    };

    static Row decode(const std::string &value);
    static std::string encode(const Row &row);
    [[nodiscard]] double poolRate(const Ledger &ledger) const;
    [[nodiscard]] bool planGrants(Ledger &ledger, Row &row, std::int64_t nowMs);
    void finishGrants(Ledger &ledger, WriteOutcome outcome);
    void dropSilent(Ledger &ledger, Holders &holders) const;
    [[nodiscard]] std::int64_t wantedUnits(Ledger &ledger, const Holders &holders) const;
    [[nodiscard]] std::optional<Row> planLedger(Ledger &ledger, Row row, std::int64_t version,
                                                std::int64_t nowMs);

    std::string holder_;
    const Clock &clock_;
    std::int64_t tolerance_; // tokens, of all entries together
    std::map<std::string, Ledger> ledgers_; // by workspace
    TimePoint sentAt_{}; // of the write under way
};

} // namespace foxtailturn::gateway
