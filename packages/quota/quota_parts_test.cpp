#include "quota/quota_parts.h"

#include <random>

#include <doctest/doctest.h>

#include "quota/quota_testing.h"

namespace foxtailturn::quota {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakeStore;
using testing::Fleet;

constexpr std::int64_t kRate = 100'000;
constexpr std::int64_t kBurst = 100'000;

std::size_t distinctOwners(const QuotaParts &entry)
{
    const std::vector<std::string> owners = entry.ownersOf("w");
    return std::set<std::string>(owners.begin(), owners.end()).size();
}

} // namespace

// Guards against parts without an owner, and against a workspace that loses its whole rate with one
// entry.
TEST_CASE("entries that start together own all parts, each part another entry")
{
    for (const int count : {1, 2, 3, 4, 21, 68}) {
        CAPTURE(count);
        Fleet fleet(count);
        fleet.syncAll(6);
        CHECK(fleet.units() == QuotaShare::kTotalUnits);
        CHECK(distinctOwners(fleet.entry(0)) == std::min(count, QuotaParts::kParts));
        CHECK(fleet.entry(static_cast<std::size_t>(count) - 1).canSpend());
    }
}

// Guards against an entry that is useless because all parts have owners already.
TEST_CASE("an entry that joins can charge by asking the owners")
{
    Fleet fleet(5);
    fleet.kill(4);
    fleet.syncAll(10);
    fleet.restart(4);
    fleet.syncAll(4);
    CHECK(fleet.entry(4).canSpend());
    CHECK(fleet.entry(4).unitsOf("w") == 0);
    CHECK(fleet.charge(4, 10'000));
    CHECK_FALSE(fleet.entry(4).lacksOwner());
}

// Guards against spending beyond the quota when the store loses answers, applies writes late,
// reports conflicts or is unreachable for an entry, and when processes end and start again. The
// parts never have two owners that grant, and the admitted tokens stay within rate and burst.
TEST_CASE("random faults never give a part to two entries")
{
    std::size_t successions = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto chance = [&random](unsigned percent) { return random() % 100 < percent; };
        Fleet fleet(seed % 3 == 0 ? 12 : 5);
        double admitted = 0;
        const TimePoint start = fleet.clock_.now();
        std::size_t disconnected = fleet.size(); // index of the entry without store access
        std::vector<std::string> owners(QuotaParts::kParts);
        for (int step = 0; step < 2400; ++step) {
            fleet.clock_.advance(milliseconds(random() % 100));
            if (chance(10))
                fleet.store_.applyLate();
            if (step % 800 == 0)
                disconnected = random() % (fleet.size() + 1);
            const std::size_t index = random() % fleet.size();
            if (step % 400 == 399)
                fleet.restart(index);
            for (int i = 0; i < 8; ++i) // about 1.6 times the rate
                admitted += fleet.charge(index, 1'000) ? 1'000 : 0;
            REQUIRE(fleet.units() <= QuotaShare::kTotalUnits);
            if (index == disconnected || !chance(40))
                continue;
            QuotaParts &entry = fleet.entry(index);
            fleet.observeStoreClock(entry, milliseconds(random() % 500));
            entry.update(fleet.store_.rows());
            const std::vector<std::string> now = entry.ownersOf("w");
            for (std::size_t part = 0; part < now.size(); ++part)
                successions += !owners[part].empty() && now[part] != owners[part] ? 1 : 0;
            owners = now;
            for (const std::string &owner : entry.allOtherOwners())
                entry.setOwnerAnswering(owner, true);
            const std::optional<StoreWrite> write = entry.plan();
            if (!write)
                continue;
            if (chance(20)) {
                fleet.store_.delay(*write);
                entry.finishWrite(WriteOutcome::Unknown, 0);
            } else if (chance(20)) {
                fleet.store_.apply(*write);
                entry.finishWrite(WriteOutcome::Unknown, 0);
            } else {
                const bool isApplied = fleet.store_.apply(*write);
                entry.finishWrite(isApplied ? WriteOutcome::Applied : WriteOutcome::Conflict,
                                  fleet.store_.version());
            }
            REQUIRE(fleet.units() <= QuotaShare::kTotalUnits);
        }
        const double elapsed = std::chrono::duration<double>(fleet.clock_.now() - start).count();
        CHECK(admitted <= kRate * elapsed + kBurst);
        CHECK(admitted > kRate * elapsed / 2); // the parts are used at all
    }
    CHECK(successions > 10); // the random schedules include changes of owners
}

// Guards against spending beyond the quota, and against parts that nobody grants from, behind a
// store that comes back from a copy: the copy may name an owner of before, or none.
TEST_CASE("restores of the store never give a part to two entries")
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto chance = [&random](unsigned percent) { return random() % 100 < percent; };
        Fleet fleet(seed % 3 == 0 ? 12 : 5);
        std::size_t disconnected = fleet.size(); // index of the entry without store access
        for (int step = 0; step < 4800; ++step) {
            fleet.clock_.advance(milliseconds(random() % 100));
            if (step % 800 == 0)
                disconnected = random() % (fleet.size() + 1);
            if (step % 500 == 499)
                fleet.store_.restore(random() % 12);
            const std::size_t index = random() % fleet.size();
            if (index == disconnected || !chance(40))
                continue;
            QuotaParts &entry = fleet.entry(index);
            fleet.observeStoreClock(entry, milliseconds(random() % 500));
            entry.update(fleet.store_.rows());
            for (const std::string &owner : entry.allOtherOwners())
                entry.setOwnerAnswering(owner, true);
            const std::optional<StoreWrite> write = entry.plan();
            if (!write)
                continue;
            const bool isApplied = fleet.store_.apply(*write);
            if (chance(20))
                entry.finishWrite(WriteOutcome::Unknown, 0);
            else
                entry.finishWrite(isApplied ? WriteOutcome::Applied : WriteOutcome::Conflict,
                                  fleet.store_.version());
            REQUIRE(fleet.units() <= QuotaShare::kTotalUnits);
        }
        // Long enough for each term, with nobody cut off.
        fleet.syncAll(200);
        CHECK(fleet.units() == QuotaShare::kTotalUnits);
    }
}

// Guards against a part that has no owner for a term because a restore took its owner's row back.
TEST_CASE("owners that grant write their rows again behind a restore, and go on granting")
{
    Fleet fleet(5);
    fleet.syncAll(8);
    REQUIRE(fleet.units() == QuotaShare::kTotalUnits);
    const std::vector<std::string> owners = fleet.entry(0).ownersOf("w");
    fleet.store_.restore(1000); // an empty store
    fleet.syncAll(4);
    CHECK(fleet.units() == QuotaShare::kTotalUnits);
    CHECK(fleet.entry(0).ownersOf("w") == owners);
    fleet.restart(4);
    fleet.syncAll(2);
    CHECK(fleet.entry(4).ownersOf("w") == owners);
    fleet.syncAll(60, seconds(1)); // they renew as ever
    CHECK(fleet.units() == QuotaShare::kTotalUnits);
    CHECK(fleet.entry(0).ownersOf("w") == owners);
}

// Guards against a suspended or disconnected owner that grants from parts that others have taken.
TEST_CASE("an owner that cannot write stops granting before its parts are taken over")
{
    Fleet fleet(2);
    fleet.syncAll(8);
    REQUIRE(fleet.entry(0).unitsOf("w") == QuotaShare::kTotalUnits / 2);
    bool hadShort = false;
    for (int i = 0; i < 200; ++i) {
        fleet.clock_.advance(milliseconds(500));
        fleet.sync(1);
        REQUIRE(fleet.units() <= QuotaShare::kTotalUnits);
        hadShort = hadShort || fleet.entry(1).unitsOf("w") == QuotaShare::kTotalUnits * 3 / 4;
    }
    CHECK(hadShort); // the parts with short terms were taken over first
    CHECK(fleet.entry(1).unitsOf("w") == QuotaShare::kTotalUnits);
    const Result<void> refused = fleet.entry(0).admit("w", 10);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code_ == ErrorCode::LeaseExpired);
}

// Guards against refusals during a store outage.
TEST_CASE("granting needs no store access")
{
    Fleet fleet(4);
    fleet.syncAll(8);
    fleet.clock_.advance(seconds(12)); // longer than the outages of single entries
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK(fleet.entry(i).canSpend());
        CHECK(fleet.charge(i, 20'000));
    }
    CHECK(fleet.units() == QuotaShare::kTotalUnits);
    fleet.clock_.advance(seconds(18)); // a long outage of the store as a whole
    for (std::size_t i = 0; i < fleet.size(); ++i)
        CHECK(fleet.charge(i, 10'000));
    CHECK(fleet.units() == QuotaShare::kTotalUnits / 2);
}

// Guards against refusals for seconds after all entries were killed at once, and against writes
// that meet each other then.
TEST_CASE("entries that restart together grant after their first write")
{
    Fleet fleet(29);
    fleet.syncAll(30);
    const int conflicts = fleet.store_.conflicts();
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.restart(i);
    std::vector<std::optional<StoreWrite>> writes;
    const StoreRows rows = fleet.store_.rows();
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.entry(i).update(rows);
        writes.push_back(fleet.entry(i).plan());
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (!writes[i])
            continue;
        const bool isApplied = fleet.store_.apply(*writes[i]);
        fleet.entry(i).finishWrite(isApplied ? WriteOutcome::Applied : WriteOutcome::Conflict,
                                   fleet.store_.version());
    }
    CHECK(fleet.store_.conflicts() == conflicts);
    CHECK(fleet.units() == QuotaShare::kTotalUnits);
    fleet.clock_.advance(milliseconds(200));
    fleet.syncAll(1);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        CHECK(fleet.entry(i).canSpend());
}

// Guards against a fleet that can't grant for another term because all processes were restarted
// while parts belonged to entries that are gone.
TEST_CASE("a term that has run out stays run out when all entries are restarted")
{
    Fleet fleet(12);
    fleet.syncAll(30);
    std::set<std::string> owners;
    for (const std::string &owner : fleet.entry(0).ownersOf("w"))
        owners.insert(owner);
    REQUIRE(owners.size() == QuotaParts::kParts);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (owners.contains(Fleet::nameOf(i)))
            fleet.kill(i);
    }
    fleet.clock_.advance(QuotaParts::kShortTerms.reclaimAfter_);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isUp(i))
            fleet.restart(i);
    }
    fleet.syncAll(8); // 4 s
    CHECK(fleet.units() == QuotaShare::kTotalUnits / 2);
    fleet.clock_.advance(QuotaParts::kLongTerms.reclaimAfter_
                         - QuotaParts::kShortTerms.reclaimAfter_ - seconds(4));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isUp(i))
            fleet.restart(i);
    }
    fleet.syncAll(8);
    CHECK(fleet.units() == QuotaShare::kTotalUnits);
}

// Guards against tokens of a killed process that its successor has again.
TEST_CASE("a part that is resumed starts with an empty bucket")
{
    Fleet fleet(1);
    fleet.syncAll(10);
    CHECK(fleet.charge(0, 20'000));
    fleet.restart(0);
    fleet.sync(0);
    CHECK(fleet.entry(0).canSpend());
    CHECK_FALSE(fleet.charge(0, 1'000));
}

// Guards against refusals at the first start of a deployment, whose entries are ready at once.
TEST_CASE("the parts of a workspace that never had an owner start with the burst")
{
    Fleet fleet(1);
    fleet.syncAll(3, milliseconds(500)); // the last sync takes the parts
    REQUIRE(fleet.entry(0).unitsOf("w") == QuotaShare::kTotalUnits);
    std::int64_t admitted = 0;
    while (fleet.charge(0, 1'000))
        admitted += 1'000;
    CHECK(admitted >= kBurst);
    CHECK(admitted <= kBurst + kRate / 2); // what 0.5 s brings
}

namespace {

// Ends the only entry and charges what another one, which starts in its place after pause, admits
// as soon as it owns the short-term parts.
std::int64_t admittedAfterTakeover(Fleet &fleet, Duration pause)
{
    fleet.clock_.advance(pause);
    fleet.restart(1);
    while (fleet.entry(1).unitsOf("w") < QuotaShare::kTotalUnits / 2) {
        fleet.clock_.advance(milliseconds(100));
        fleet.sync(1);
    }
    std::int64_t admitted = 0;
    while (fleet.charge(1, 100))
        admitted += 100;
    return admitted;
}

} // namespace

// Guards against refusals after a takeover for the time that the bucket takes to fill, although
// nobody has granted from the part since the last owner's term ended.
TEST_CASE("a part that is taken after its owner's term holds what the time since then brought")
{
    Fleet fleet(2);
    fleet.kill(1);
    fleet.syncAll(10);
    REQUIRE(fleet.entry(0).unitsOf("w") == QuotaShare::kTotalUnits);
    while (fleet.charge(0, 100)) { }
    fleet.kill(0);
    // The terms leave 4 s between the last grant and the takeover, in which a part is filled.
    const std::int64_t admitted = admittedAfterTakeover(fleet, seconds(0));
    CHECK(admitted >= kBurst / 2 - 100);
    CHECK(admitted <= kBurst / 2 + kRate / 10);
}

// Guards against tokens that the leaving owner has granted already, and against empty buckets long
// after it left.
TEST_CASE("a part that was given up holds what the time since then brought")
{
    for (const milliseconds pause : {milliseconds(0), milliseconds(400), milliseconds(60'000)}) {
        CAPTURE(pause.count());
        Fleet fleet(2);
        fleet.kill(1);
        fleet.syncAll(10);
        while (fleet.charge(0, 100)) { }
        const TimePoint releasedAt = fleet.clock_.now();
        fleet.entry(0).release();
        fleet.sync(0);
        fleet.kill(0);
        const std::int64_t admitted = admittedAfterTakeover(fleet, pause);
        const double unused =
            std::chrono::duration<double>(fleet.clock_.now() - releasedAt).count();
        const auto gained = std::min(kBurst, static_cast<std::int64_t>(kRate * unused));
        CHECK(admitted <= gained);
        CHECK(admitted >= gained * 9 / 10);
    }
}

// Guards against needless store calls in a deployment without quotas.
TEST_CASE("nothing is written while no workspace has a quota")
{
    ManualClock clock;
    QuotaParts parts({"e0", 200}, clock);
    parts.update(StoreRows());
    CHECK_FALSE(parts.plan());
    parts.configure({{"w", TokenQuota{}}});
    parts.update(StoreRows());
    CHECK_FALSE(parts.plan());
    CHECK(parts.nextWriteAt() == TimePoint::max());
    CHECK(parts.canSpend());
    CHECK(parts.admit("w", 1'000'000));
    parts.configure({{"w", TokenQuota{kRate, kBurst, true, 200}}});
    parts.update(StoreRows());
    CHECK(parts.plan());
}

// Guards against store calls that grow with the requests: between the renewals nothing is written.
TEST_CASE("an owner renews each six seconds, without a read, and other entries write their records")
{
    Fleet fleet(6);
    fleet.syncAll(12);
    const int before = fleet.store_.writes();
    fleet.syncAll(120); // one minute
    // 4 owners at most with 11 renewals each, 6 records in each 20 s, most of them in a renewal.
    CHECK(fleet.store_.writes() - before <= 4 * 11 + 6 * 3);
    CHECK(fleet.store_.conflicts() == 0);
    QuotaParts &owner = *fleet.find(fleet.entry(0).ownersOf("w")[0]);
    CHECK_FALSE(owner.needsRead());
    fleet.clock_.advance(QuotaParts::kRenewInterval);
    const std::optional<StoreWrite> renewal = owner.plan(); // without update()
    REQUIRE(renewal);
    CHECK(fleet.store_.apply(*renewal));
}

// Guards against a part that is taken from an owner that is alive again: both would grant from it.
TEST_CASE("a part is taken over only if its row is unchanged")
{
    Fleet fleet(2);
    fleet.syncAll(8);
    fleet.clock_.advance(QuotaParts::kShortTerms.reclaimAfter_ + QuotaParts::kSuccessionStep);
    QuotaParts &live = fleet.entry(1);
    const std::optional<StoreWrite> takeover = live.plan();
    REQUIRE(takeover);
    fleet.sync(0);
    // It keeps its parts and takes one over from the other entry, which has not written either.
    CHECK(fleet.entry(0).unitsOf("w") == QuotaShare::kTotalUnits * 3 / 4);
    CHECK_FALSE(fleet.store_.apply(*takeover));
    live.finishWrite(WriteOutcome::Conflict, 0);
    live.updateSome(fleet.store_.rows());
    CHECK(fleet.units() <= QuotaShare::kTotalUnits);
}

// Guards against a stopped owner whose parts nobody grants from for a long time.
TEST_CASE("an owner that stops gives up its parts, and another entry takes them")
{
    Fleet fleet(5);
    fleet.syncAll(8);
    const std::string leaving = fleet.entry(0).ownersOf("w")[0];
    QuotaParts &owner = *fleet.find(leaving);
    CHECK(owner.nextWriteAt() > fleet.clock_.now());
    owner.release();
    CHECK(owner.nextWriteAt() <= fleet.clock_.now()); // also if a sync is in progress
    const std::optional<StoreWrite> write = owner.plan();
    REQUIRE(write);
    CHECK_FALSE(owner.admit("w", 1));
    CHECK(fleet.store_.apply(*write));
    owner.finishWrite(WriteOutcome::Applied, fleet.store_.version());
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (Fleet::nameOf(i) == leaving)
            fleet.kill(i);
    }
    fleet.syncAll(6);
    CHECK(fleet.units() == QuotaShare::kTotalUnits);
    for (const StoreRow &row : fleet.store_.rows().rows_)
        CHECK(row.key_ != EntryRecords::keyOf(leaving));
}

// Guards against callers that wait for an owner that does not answer, and against an entry that
// reports ready although it can charge nothing.
TEST_CASE("owners that do not answer are left out")
{
    Fleet fleet(5);
    fleet.syncAll(8);
    const std::vector<std::string> owners = fleet.entry(0).ownersOf("w");
    std::size_t idle = 0;
    while (std::find(owners.begin(), owners.end(), Fleet::nameOf(idle)) != owners.end())
        ++idle;
    QuotaParts &entry = fleet.entry(idle);
    CHECK(entry.otherOwners("w").size() == 4);
    CHECK_FALSE(entry.lacksOwner());
    entry.setOwnerAnswering(owners[1], false);
    CHECK(entry.otherOwners("w").size() == 3);
    CHECK(entry.lacksOwner());
    CHECK(entry.canSpend());
    for (const std::string &owner : owners)
        entry.setOwnerAnswering(owner, false);
    CHECK(entry.otherOwners("w").empty());
    CHECK_FALSE(entry.canSpend());
}

// Guards against a workspace that gets a multiple of a small burst, since each part goes into debt
// for one request, and against a change of the number of parts that gives out more than the quota.
TEST_CASE("a small burst has fewer parts")
{
    CHECK(QuotaParts::partsOf({100, 0, true, 10}) == 1);
    CHECK(QuotaParts::partsOf({100, 10, true, 10}) == 1);
    CHECK(QuotaParts::partsOf({100, 39, true, 10}) == 3);
    CHECK(QuotaParts::partsOf({100, 4000, false, 1}) == QuotaParts::kParts);
    Fleet fleet(3, {10, 10, true, 10});
    fleet.syncAll(20);
    int served = 0;
    for (std::size_t i = 0; i < 9; ++i)
        served += fleet.charge(i % 3, 10) ? 1 : 0;
    CHECK(served == 1);
    for (const TokenQuota &quota : {TokenQuota{10, 1'000, true, 10}, TokenQuota{10, 5, true, 10}}) {
        for (std::size_t i = 0; i < 3; ++i)
            fleet.entry(i).configure({{"w", quota}});
        fleet.syncAll(8);
        CHECK(fleet.units() == QuotaShare::kTotalUnits);
    }
}

// Guards against a refund that is lost or that exceeds the quota.
TEST_CASE("a refund raises the level up to the capacity")
{
    Fleet fleet(1);
    fleet.syncAll(10);
    QuotaParts &entry = fleet.entry(0);
    for (int i = 0; i < QuotaParts::kParts; ++i)
        CHECK(entry.admit("w", kBurst / QuotaParts::kParts));
    CHECK_FALSE(entry.admit("w", 20'000));
    entry.refund("w", 20'000);
    CHECK(entry.admit("w", 20'000));
    entry.refund("w", 10 * kBurst);
    CHECK(entry.admit("w", kBurst / QuotaParts::kParts));
    CHECK_FALSE(entry.admit("w", 20'000));
}

// Guards against an entry that trusts what others write: a row names at most an owner.
TEST_CASE("malformed rows leave a part without an owner")
{
    for (const char *value : {"", "[", "[]", "{}", R"({"owner":7})", R"({"owner":["e0"]})"}) {
        CAPTURE(value);
        Fleet fleet(1);
        for (int i = 0; i < QuotaParts::kParts; ++i)
            fleet.store_.put(PartRow::keyOf("w", i), value);
        fleet.sync(0);
        CHECK(fleet.units() == 0);
        fleet.syncAll(6);
        CHECK(fleet.units() == QuotaShare::kTotalUnits);
    }
}

// Guards against a read that lags behind a write: it must not make an owner give up or take a part.
TEST_CASE("rows older than those known are ignored")
{
    Fleet fleet(2);
    fleet.syncAll(1);
    const StoreRows old = fleet.store_.rows();
    fleet.syncAll(7);
    const std::vector<std::string> owners = fleet.entry(0).ownersOf("w");
    fleet.entry(0).update(old);
    CHECK(fleet.entry(0).ownersOf("w") == owners);
    CHECK(fleet.units() == QuotaShare::kTotalUnits);
}

// Guards against a write beyond the store's limit of 100 rows, and against parts that are never
// written because of it.
TEST_CASE("an entry with many workspaces writes its parts in several steps")
{
    ManualClock clock;
    FakeStore store;
    QuotaParts parts({"e0", 200}, clock);
    std::map<std::string, TokenQuota> quotas;
    for (int i = 0; i < 64; ++i)
        quotas["w" + std::to_string(i)] = {kRate, kBurst, true, 200};
    parts.configure(quotas);
    for (int i = 0; i < 16; ++i) {
        parts.update(store.rows());
        if (const std::optional<StoreWrite> write = parts.plan()) {
            REQUIRE(write->expected_.size() + write->puts_.size() + write->removes_.size() <= 100);
            REQUIRE(store.apply(*write));
            parts.finishWrite(WriteOutcome::Applied, store.version());
            if (write->expected_.size() == QuotaParts::kMaxPartsPerWrite)
                CHECK(parts.needsRead()); // the next step is due at once
        }
        clock.advance(milliseconds(250));
    }
    for (const auto &[workspace, quota] : quotas)
        CHECK(parts.unitsOf(workspace) == QuotaShare::kTotalUnits);
}

} // namespace foxtailturn::quota
