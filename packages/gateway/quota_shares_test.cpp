#include "gateway/quota_shares.h"

#include <memory>
#include <random>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kRate = 100'000;
constexpr std::int64_t kBurst = 100'000;
constexpr std::int64_t kOwnUnits = QuotaShares::kTotalUnits - QuotaShares::kPoolUnits;

ServingConfig configOf(std::int64_t rate = kRate, std::int64_t burst = kBurst)
{
    ServingConfig config;
    config.workspaces_ = {Workspace{"w", std::nullopt, TokenQuota{rate, burst, true, 200}}};
    return config;
}

// An in-memory store with conditional writes. delay() keeps a write for applyLate().
class FakeStore
{
public:
    explicit FakeStore(const Clock &clock)
        : clock_(clock)
    { }

    [[nodiscard]] StoreRows rows() const
    {
        StoreRows list;
        for (const auto &[key, row] : rows_)
            list.rows_.push_back(row);
        const auto now = clock_.now().time_since_epoch();
        list.nowMs_ = std::chrono::duration_cast<milliseconds>(now).count();
        return list;
    }

    bool apply(const StoreWrite &write)
    {
        for (const StoreRow &expected : write.expected_) {
            const auto it = rows_.find(expected.key_);
            if ((it == rows_.end() ? 0 : it->second.version_) != expected.version_)
                return false;
        }
        ++version_;
        for (StoreRow row : write.puts_) {
            row.version_ = version_;
            rows_[row.key_] = row;
        }
        for (const StoreRow &row : write.removes_)
            rows_.erase(row.key_);
        return true;
    }

    void delay(const StoreWrite &write) { late_.push_back(write); }

    void applyLate()
    {
        for (const StoreWrite &write : late_)
            apply(write);
        late_.clear();
    }

private:
    const Clock &clock_;
    std::map<std::string, StoreRow> rows_;
    std::vector<StoreWrite> late_;
    std::int64_t version_ = 0;
};

// Syncs one entry. After a liveness record the rows are read again and the ledgers are planned.
void syncEntry(QuotaShares &shares, FakeStore &store)
{
    do {
        if (const std::optional<StoreWrite> write = shares.plan(store.rows()))
            shares.finishWrite(store.apply(*write) ? WriteOutcome::Applied
                                                   : WriteOutcome::Conflict);
    } while (shares.needsRead());
}

struct Fleet
{
    explicit Fleet(int count, std::int64_t tolerance = 0)
    {
        for (int i = 0; i < count; ++i) {
            entries_.push_back(
                std::make_unique<QuotaShares>("e" + std::to_string(i), clock_, tolerance));
            entries_.back()->configure(configOf());
        }
    }

    void syncs(int count)
    {
        for (int i = 0; i < count; ++i) {
            for (const auto &entry : entries_)
                syncEntry(*entry, store_);
            clock_.advance(milliseconds(500));
        }
    }

    [[nodiscard]] QuotaShares *find(const std::string &name)
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (name == "e" + std::to_string(i))
                return entries_[i].get();
        }
        return nullptr;
    }

    // Charges as an entry does: to its own share, otherwise to the pool owner's pool.
    bool charge(QuotaShares &entry, std::int64_t tokens)
    {
        if (entry.admit("w", tokens))
            return true;
        QuotaShares *owner = find(entry.reachableOwner("w"));
        return owner != nullptr && owner->grant("w", tokens).has_value();
    }

    // Returns the total units of the entries that may spend. An entry without store access for
    // longer than kSpendFor still has units that others have reclaimed, but refuses to spend them.
    [[nodiscard]] std::int64_t spendableUnits()
    {
        std::int64_t total = 0;
        for (const auto &entry : entries_) {
            const Result<void> admitted = entry->admit("w", 0);
            const bool isLapsed = !admitted && admitted.error().code_ == ErrorCode::LeaseExpired;
            total += isLapsed ? 0 : entry->unitsOf("w");
        }
        return total;
    }

    // Returns the number of entries that would grant from the pool.
    [[nodiscard]] std::size_t grantingEntries()
    {
        std::size_t count = 0;
        for (const auto &entry : entries_) {
            const Result<void> granted = entry->grant("w", 0);
            count += granted || granted.error().code_ == ErrorCode::RateLimited ? 1 : 0;
        }
        return count;
    }

    [[nodiscard]] std::int64_t sum() const
    {
        std::int64_t total = 0;
        for (const auto &entry : entries_)
            total += entry->unitsOf("w");
        return total;
    }

    // Returns the total units of the pools that entries may grant from.
    [[nodiscard]] std::int64_t poolUnits() const
    {
        std::int64_t total = 0;
        for (const auto &entry : entries_)
            total += entry->poolUnitsOf("w");
        return total;
    }

    ManualClock clock_;
    FakeStore store_{clock_};
    std::vector<std::unique_ptr<QuotaShares>> entries_;
};

} // namespace

// Guards against an entry that gets no share after its start and refuses all requests.
TEST_CASE("entries that start together share all units within a few syncs")
{
    Fleet fleet(4);
    fleet.syncs(8);
    CHECK(fleet.sum() <= kOwnUnits);
    CHECK(fleet.sum() > kOwnUnits * 9 / 10);
    for (const auto &entry : fleet.entries_)
        CHECK(entry->unitsOf("w") > kOwnUnits / 8);
}

// Guards against an entry among many that never gets a share because each change is below the
// minimum that is written.
TEST_CASE("many entries get about equal shares")
{
    constexpr int kMany = 24;
    Fleet fleet(kMany);
    fleet.syncs(30);
    const std::int64_t ownUnits = QuotaShares::kTotalUnits - QuotaShares::poolUnitsFor(kMany);
    CHECK(fleet.sum() <= ownUnits);
    for (const auto &entry : fleet.entries_) {
        CHECK(entry->unitsOf("w") > ownUnits / kMany / 2);
        CHECK(entry->unitsOf("w") < ownUnits / kMany * 2);
    }
    CHECK(fleet.poolUnits() == QuotaShares::poolUnitsFor(kMany));
}

// Guards against an entry that joins a large fleet and finds no units left.
TEST_CASE("an entry that joins many others gets a share")
{
    Fleet fleet(40);
    fleet.syncs(30);
    QuotaShares late("late", fleet.clock_);
    late.configure(configOf());
    syncEntry(late, fleet.store_);
    CHECK(late.unitsOf("w") > 0);
    CHECK(late.canSpend());
}

// Guards against refusals in a large fleet, where each share is too small for a request of usual
// size, while the workspace as a whole is within its rate.
TEST_CASE("large requests to many entries are served within the rate")
{
    struct Case
    {
        int entries_;
        std::int64_t charge_; // tokens
    };
    const Case cases[] = {{4, 9'000}, {21, 9'000}, {68, 9'000}, {68, 600}};
    for (const Case &c : cases) {
        CAPTURE(c.entries_);
        CAPTURE(c.charge_);
        Fleet fleet(c.entries_);
        fleet.syncs(30);
        std::mt19937 random(7);
        constexpr std::int64_t kOffered = kRate * 8 / 10; // tokens per second
        const Duration pause = Duration(seconds(1)) * c.charge_ / kOffered;
        const TimePoint end = fleet.clock_.now() + seconds(60);
        TimePoint syncAt = fleet.clock_.now();
        int refused = 0;
        int asked = 0;
        while (fleet.clock_.now() < end) {
            fleet.clock_.advance(pause);
            ++asked;
            refused +=
                fleet.charge(*fleet.entries_[random() % fleet.entries_.size()], c.charge_) ? 0 : 1;
            if (fleet.clock_.now() < syncAt)
                continue;
            for (const auto &entry : fleet.entries_)
                syncEntry(*entry, fleet.store_);
            syncAt = fleet.clock_.now() + seconds(3);
        }
        CHECK(refused * 100 <= asked);
    }
}

// Guards against refusals within the rate when all traffic of a workspace arrives at one entry.
TEST_CASE("units follow the demand")
{
    Fleet fleet(4);
    fleet.syncs(8);
    for (int i = 0; i < 40; ++i) {
        for (int k = 0; k < 8; ++k)
            static_cast<void>(fleet.entries_[0]->admit("w", 5'000));
        fleet.syncs(1);
    }
    CHECK(fleet.entries_[0]->unitsOf("w") > kOwnUnits * 7 / 10);
    CHECK(fleet.sum() <= kOwnUnits);
}

// Guards against spending beyond the quota when the store loses answers, applies writes late,
// reports conflicts or is unreachable for an entry. The units in use never exceed the total, at
// most one entry grants from the pool, and the admitted tokens stay within rate and burst.
TEST_CASE("random store faults never raise the sum of the units")
{
    std::size_t successions = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto chance = [&random](unsigned percent) { return random() % 100 < percent; };
        Fleet fleet(seed % 3 == 0 ? 12 : 5); // with 12 entries the pool's units change as well
        double admitted = 0;
        const TimePoint start = fleet.clock_.now();
        std::size_t disconnected = fleet.entries_.size(); // index of the entry without store access
        std::string owner;
        for (int step = 0; step < 2400; ++step) {
            fleet.clock_.advance(milliseconds(random() % 100));
            if (chance(10))
                fleet.store_.applyLate();
            if (step % 800 == 0)
                disconnected = random() % (fleet.entries_.size() + 1);
            const std::size_t index = random() % fleet.entries_.size();
            QuotaShares &entry = *fleet.entries_[index];
            for (int i = 0; i < 8; ++i) // about 1.6 times the rate
                admitted += fleet.charge(entry, 1'000) ? 1'000 : 0;
            REQUIRE(fleet.grantingEntries() <= 1);
            if (index == disconnected || !chance(40))
                continue;
            const std::optional<StoreWrite> write = entry.plan(fleet.store_.rows());
            const std::string known = entry.ownsPool() ? "e" + std::to_string(index) : owner;
            successions += !owner.empty() && known != owner ? 1 : 0;
            owner = known;
            if (!write)
                continue;
            if (chance(20)) {
                fleet.store_.delay(*write);
                entry.finishWrite(WriteOutcome::Unknown);
            } else if (chance(20)) {
                fleet.store_.apply(*write);
                entry.finishWrite(WriteOutcome::Unknown);
            } else {
                entry.finishWrite(fleet.store_.apply(*write) ? WriteOutcome::Applied
                                                             : WriteOutcome::Conflict);
            }
            REQUIRE(fleet.spendableUnits() <= kOwnUnits);
            REQUIRE(fleet.spendableUnits() + fleet.poolUnits() <= QuotaShares::kTotalUnits);
        }
        const double elapsed = std::chrono::duration<double>(fleet.clock_.now() - start).count();
        CHECK(admitted <= kRate * elapsed + kBurst);
        CHECK(admitted > kRate * elapsed / 4); // the units and the pool are used at all
    }
    CHECK(successions > 10); // the random schedules include changes of the pool owner
}

// Guards against a suspended or disconnected entry that spends units which others have reclaimed.
TEST_CASE("an entry that cannot write stops spending before its units are reclaimed")
{
    Fleet fleet(2);
    fleet.syncs(8);
    QuotaShares &suspended = *fleet.entries_[0];
    QuotaShares &live = *fleet.entries_[1];
    CHECK(suspended.admit("w", 10));
    bool wasBoth = false;
    for (int i = 0; i < 200; ++i) {
        fleet.clock_.advance(milliseconds(500));
        syncEntry(live, fleet.store_);
        const bool hasAll = live.unitsOf("w") > kOwnUnits * 9 / 10;
        const Result<void> spent = suspended.admit("w", 10);
        wasBoth = wasBoth || (hasAll && spent);
    }
    CHECK_FALSE(wasBoth);
    CHECK(live.unitsOf("w") > kOwnUnits * 9 / 10);
    const Result<void> refused = suspended.admit("w", 10);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code_ == ErrorCode::LeaseExpired);
}

// Guards against refusals during a store outage that is shorter than kSpendFor.
TEST_CASE("spending needs no store access")
{
    Fleet fleet(2);
    fleet.syncs(8);
    fleet.clock_.advance(seconds(30));
    CHECK(fleet.entries_[0]->admit("w", 10));
}

// Guards against an entry that reports ready, or waits a regular interval for its next sync, while
// it still has to refuse requests: units read from the row may be spent only after a write of this
// process.
TEST_CASE("a restarted entry can spend after its first write")
{
    Fleet fleet(2);
    fleet.syncs(8);
    QuotaShares restarted("e0", fleet.clock_);
    restarted.configure(configOf());
    std::optional<StoreWrite> write = restarted.plan(fleet.store_.rows());
    REQUIRE(write);
    CHECK_FALSE(restarted.canSpend());
    restarted.finishWrite(WriteOutcome::Unknown);
    CHECK_FALSE(restarted.canSpend());
    write = restarted.plan(fleet.store_.rows());
    REQUIRE(write);
    CHECK(write->expected_.empty());
    restarted.finishWrite(fleet.store_.apply(*write) ? WriteOutcome::Applied
                                                     : WriteOutcome::Conflict);
    CHECK_FALSE(restarted.canSpend()); // others may have reclaimed its units before that write
    REQUIRE(restarted.needsRead());
    static_cast<void>(restarted.plan(fleet.store_.rows()));
    CHECK(restarted.unitsOf("w") > 0);
    CHECK(restarted.canSpend());
}

// Guards against refusals for seconds after all entries were killed at once: the entries' first
// writes conflicted with each other, and slow entries lost every time.
TEST_CASE("entries that restart together can spend although their writes conflict")
{
    Fleet fleet(29);
    fleet.syncs(30);
    std::vector<std::unique_ptr<QuotaShares>> restarted;
    std::vector<std::optional<StoreWrite>> writes;
    const auto syncConcurrently = [&] {
        const StoreRows rows = fleet.store_.rows();
        writes.clear();
        for (const auto &entry : restarted)
            writes.push_back(entry->plan(rows));
        for (std::size_t i = 0; i < restarted.size(); ++i) {
            if (writes[i])
                restarted[i]->finishWrite(fleet.store_.apply(*writes[i]) ? WriteOutcome::Applied
                                                                         : WriteOutcome::Conflict);
        }
    };
    for (std::size_t i = 0; i < fleet.entries_.size(); ++i) {
        restarted.push_back(std::make_unique<QuotaShares>("e" + std::to_string(i), fleet.clock_));
        restarted.back()->configure(configOf());
    }
    syncConcurrently();
    syncConcurrently();
    for (const auto &entry : restarted)
        CHECK(entry->canSpend());
}

// Guards against needless store calls in a deployment without quotas.
TEST_CASE("nothing is written while no workspace has a quota")
{
    ManualClock clock;
    QuotaShares shares("e0", clock);
    CHECK_FALSE(shares.plan(StoreRows()));
    shares.configure(configOf(0, 0));
    CHECK_FALSE(shares.plan(StoreRows()));
    CHECK(shares.canSpend());
    shares.configure(configOf());
    CHECK(shares.plan(StoreRows()));
}

// Guards against units that are reclaimed from an entry that is alive again: both it and the entry
// that reclaimed them would spend them.
TEST_CASE("units are reclaimed only if the entry's liveness record is unchanged")
{
    Fleet fleet(2);
    fleet.syncs(8);
    QuotaShares &disconnected = *fleet.entries_[0];
    QuotaShares &live = *fleet.entries_[1];
    std::optional<StoreWrite> reclaim;
    for (int i = 0; i < 200 && (!reclaim || reclaim->removes_.empty()); ++i) {
        fleet.clock_.advance(milliseconds(500));
        reclaim = live.plan(fleet.store_.rows());
        if (reclaim && reclaim->removes_.empty())
            live.finishWrite(fleet.store_.apply(*reclaim) ? WriteOutcome::Applied
                                                          : WriteOutcome::Conflict);
    }
    REQUIRE(reclaim);
    REQUIRE_FALSE(reclaim->removes_.empty());
    syncEntry(disconnected, fleet.store_);
    CHECK(disconnected.admit("w", 10));
    CHECK_FALSE(fleet.store_.apply(*reclaim));
    live.finishWrite(WriteOutcome::Conflict);
    CHECK(fleet.sum() <= QuotaShares::kTotalUnits);
}

// Guards against a refusal at one entry while the workspace as a whole is within its rate, and
// against a pool that grants more than it holds.
TEST_CASE("the pool grants what an entry's share does not cover")
{
    Fleet fleet(4);
    fleet.syncs(12);
    REQUIRE(fleet.grantingEntries() == 1);
    QuotaShares *owner = nullptr;
    QuotaShares *entry = nullptr;
    for (const auto &each : fleet.entries_)
        (each->reachableOwner("w").empty() ? owner : entry) = each.get();
    REQUIRE(owner != nullptr);
    REQUIRE(entry != nullptr);
    fleet.clock_.advance(seconds(2)); // the pool is full
    while (entry->admit("w", 1'000)) { }
    int granted = 0;
    while (owner->grant("w", 1'000))
        ++granted;
    CHECK(granted == 50); // the pool's part of the burst
    const Result<void> refused = owner->grant("w", 1'000);
    REQUIRE_FALSE(refused);
    REQUIRE(refused.error().retryAt_);
    fleet.clock_.advance(*refused.error().retryAt_ - fleet.clock_.now());
    CHECK(owner->grant("w", 1'000));
    CHECK_FALSE(entry->grant("w", 1)); // only the pool owner grants
}

// Guards against a pool owner that refuses a request at its own entry which its pool covers.
TEST_CASE("the pool owner uses the pool for its own requests")
{
    Fleet fleet(1);
    fleet.syncs(12);
    fleet.clock_.advance(seconds(2));
    int admitted = 0;
    while (fleet.entries_[0]->admit("w", 1'000))
        ++admitted;
    CHECK(admitted == 100);
    // Guards against a retry delay of twice the needed length, computed from the share's half of
    // the rate without the pool's.
    const Result<void> refused = fleet.entries_[0]->admit("w", 1'000);
    REQUIRE_FALSE(refused);
    REQUIRE(refused.error().retryAt_);
    fleet.clock_.advance(*refused.error().retryAt_ - fleet.clock_.now());
    CHECK(fleet.entries_[0]->admit("w", 1'000));
}

// Guards against a pool that is lost with its owner, against two owners at a time, and against one
// entry that owns all pools.
TEST_CASE("an unresponsive pool owner is replaced after it has stopped granting")
{
    constexpr int kEntries = 4;
    constexpr int kWorkspaces = 16;
    ManualClock clock;
    FakeStore store(clock);
    ServingConfig config;
    for (int i = 0; i < kWorkspaces; ++i)
        config.workspaces_.push_back(
            Workspace{"w" + std::to_string(i), std::nullopt, TokenQuota{kRate, kBurst, true, 200}});
    std::vector<std::unique_ptr<QuotaShares>> entries;
    for (int i = 0; i < kEntries; ++i) {
        entries.push_back(std::make_unique<QuotaShares>("e" + std::to_string(i), clock));
        entries.back()->configure(config);
    }
    const auto ownedPools = [&](QuotaShares &entry) {
        int count = 0;
        for (const Workspace &workspace : config.workspaces_) {
            const Result<void> granted = entry.grant(workspace.name_, 0);
            count += granted || granted.error().code_ == ErrorCode::RateLimited ? 1 : 0;
        }
        return count;
    };
    for (int i = 0; i < 20; ++i) {
        for (const auto &entry : entries)
            syncEntry(*entry, store);
        clock.advance(milliseconds(500));
    }
    int sum = 0;
    for (const auto &entry : entries) {
        CHECK(ownedPools(*entry) > 0);
        sum += ownedPools(*entry);
    }
    CHECK(sum == kWorkspaces);
    QuotaShares &unresponsive = *entries[0];
    const int lost = ownedPools(unresponsive);
    Duration unownedTime = Duration::zero();
    for (int i = 0; i < 70; ++i) {
        for (const auto &entry : entries) {
            if (entry.get() != &unresponsive)
                syncEntry(*entry, store);
        }
        sum = 0;
        for (const auto &entry : entries)
            sum += ownedPools(*entry);
        REQUIRE(sum <= kWorkspaces);
        unownedTime += sum < kWorkspaces ? milliseconds(500) : milliseconds(0);
        clock.advance(milliseconds(500));
    }
    CHECK(ownedPools(unresponsive) == 0);
    CHECK(sum == kWorkspaces);
    CHECK(lost > 0);
    CHECK(unownedTime <= QuotaShares::kPoolReclaim);
    CHECK(unresponsive.ownsPool()); // it has not read the new row yet
    syncEntry(unresponsive, store);
    CHECK_FALSE(unresponsive.ownsPool());
}

// Guards against a pool that stays without an owner after a planned stop.
TEST_CASE("a pool owner that stops releases its pool to the others")
{
    Fleet fleet(3);
    fleet.syncs(12);
    REQUIRE(fleet.grantingEntries() == 1);
    QuotaShares *owner = nullptr;
    for (const auto &each : fleet.entries_) {
        if (each->reachableOwner("w").empty())
            owner = each.get();
    }
    REQUIRE(owner != nullptr);
    owner->release();
    syncEntry(*owner, fleet.store_);
    CHECK(fleet.grantingEntries() == 0);
    fleet.syncs(2);
    CHECK(fleet.grantingEntries() == 1);
    CHECK_FALSE(owner->reachableOwner("w").empty());
}

// Guards against grant requests to an unresponsive pool owner, each of which makes a caller wait.
TEST_CASE("no grant is requested from a pool owner that does not answer")
{
    Fleet fleet(2);
    fleet.syncs(12);
    QuotaShares *entry = nullptr;
    for (const auto &each : fleet.entries_) {
        if (!each->reachableOwner("w").empty())
            entry = each.get();
    }
    REQUIRE(entry != nullptr);
    const std::string owner = entry->reachableOwner("w");
    CHECK_FALSE(entry->wantsEarlySync());
    entry->setOwnerAnswering(owner, false);
    CHECK(entry->reachableOwner("w").empty());
    CHECK(entry->wantsEarlySync());
    entry->setOwnerAnswering(owner, true);
    CHECK(entry->reachableOwner("w") == owner);
    CHECK(entry->poolOwners() == std::set<std::string>{owner});
}

// Guards against malformed rows that would give an entry more than the whole quota.
TEST_CASE("malformed rows give an entry no more than the whole quota")
{
    ManualClock clock;
    for (const std::string value :
         {"", "x", "[1]", R"({"holders":{"e0":[99000000,1,1]}})",
          R"({"holders":{"e0":["1",2,3],"e1":7},"pool":3})", R"({"pool":{"keeper":7,"beat":"x"}})",
          R"({"holders":1e400})"}) {
        CAPTURE(value);
        QuotaShares shares("e0", clock);
        shares.configure(configOf());
        StoreRows rows;
        rows.rows_ = {{kFleetTable, kFleetPartition, "quota/w", value, 3, false}};
        if (shares.plan(rows))
            shares.finishWrite(WriteOutcome::Applied);
        CHECK(shares.unitsOf("w") <= QuotaShares::kTotalUnits);
    }
}

} // namespace foxtailturn::gateway
