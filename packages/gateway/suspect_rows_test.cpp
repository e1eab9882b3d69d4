#include "gateway/suspect_rows.h"

#include <doctest/doctest.h>

#include "quota/quota_testing.h"

namespace foxtailturn::gateway {

namespace {

using quota::testing::FakeStore;

// One entry with its view of the rows in the store.
struct Entry
{
    explicit Entry(const std::string &name)
        : quarantine_(name, {clock_, wallClock_}, std::chrono::seconds(60))
        , rows_(quarantine_, wallClock_)
    { }

    void recordCrash(const std::string &fingerprint, const std::string &crashId)
    {
        rows_.report(quarantine_.crashed(fingerprint, crashId));
    }

    // Returns whether the write was applied. An empty one is not sent.
    bool write(FakeStore &store)
    {
        StoreWrite write;
        rows_.addTo(write);
        if (write.puts_.empty())
            return false;
        const bool isApplied = store.apply(write);
        rows_.finishWrite(isApplied ? WriteOutcome::Applied : WriteOutcome::Conflict,
                          store.version());
        return isApplied;
    }

    ManualClock clock_;
    ManualWallClock wallClock_;
    Quarantine quarantine_;
    SuspectRows rows_;
};

} // namespace

TEST_CASE("a record that one entry writes reaches another, also over a conflict")
{
    FakeStore store;
    Entry a("a");
    Entry b("b");
    a.recordCrash("f", "engine-1@1");
    CHECK(a.write(store));
    CHECK_FALSE(a.write(store)); // nothing is left to write
    b.recordCrash("f", "engine-2@1");
    CHECK_FALSE(b.write(store));
    CHECK(b.rows_.update(store.rows().rows_).size() == 1);
    CHECK_FALSE(b.quarantine_.admit("f"));
    CHECK(b.write(store));
    CHECK(a.quarantine_.admit("f"));
    CHECK(a.rows_.update(store.rows().rows_).size() == 1);
    CHECK_FALSE(a.quarantine_.admit("f"));
    CHECK(a.rows_.update(store.rows().rows_).empty()); // no change since
}

// Guards against a crash that other entries never learn of because it was recorded during a write.
TEST_CASE("a record that is reported during a write is written by the next one")
{
    FakeStore store;
    Entry a("a");
    a.recordCrash("f", "engine-1@1");
    StoreWrite write;
    a.rows_.addTo(write);
    a.recordCrash("f", "engine-2@1");
    a.recordCrash("g", "engine-2@1");
    CHECK(store.apply(write));
    CHECK(a.rows_.finishWrite(WriteOutcome::Applied, store.version()) == 1);
    CHECK(a.write(store));
    Entry b("b");
    CHECK(b.rows_.update(store.rows().rows_).size() == 2);
    CHECK_FALSE(b.quarantine_.admit("f"));
    CHECK(b.quarantine_.admit("g") == Standing::Suspect);
    CHECK_FALSE(a.write(store));
}

// Guards against rows that stay in the store for ever.
TEST_CASE("rows of expired records are removed with the next write")
{
    FakeStore store;
    Entry a("a");
    Entry b("b");
    a.recordCrash("old", "engine-1@1");
    CHECK(a.write(store));
    b.wallClock_.advance(std::chrono::seconds(60));
    CHECK(b.rows_.update(store.rows().rows_).empty());
    CHECK_FALSE(b.write(store)); // not worth a write of its own
    b.recordCrash("new", "engine-2@1");
    CHECK(b.write(store));
    CHECK(store.rows().rows_.size() == 1);
    CHECK_FALSE(b.rows_.isStored("old"));
    // A row that has changed meanwhile stays.
    a.wallClock_.advance(std::chrono::seconds(61));
    CHECK(a.rows_.update(store.rows().rows_).size() == 1);
    Entry c("c");
    c.wallClock_.advance(std::chrono::seconds(120));
    CHECK(c.rows_.update(store.rows().rows_).empty());
    a.recordCrash("new", "engine-3@1");
    CHECK(a.write(store));
    c.recordCrash("other", "engine-4@1");
    CHECK_FALSE(c.write(store));
    CHECK(c.rows_.update(store.rows().rows_).size() == 1);
    CHECK(c.write(store));
    CHECK(c.rows_.isStored("new"));
}

// Guards against an entry whose writes conflict for ever because a row it has seen was removed.
TEST_CASE("a record is written although its row was removed")
{
    FakeStore store;
    Entry a("a");
    a.recordCrash("f", "engine-1@1");
    CHECK(a.write(store));
    StoreWrite removal;
    removal.removes_ = store.rows().rows_;
    CHECK(store.apply(removal));
    a.recordCrash("f", "engine-2@1");
    CHECK_FALSE(a.write(store));
    CHECK(a.write(store));
    CHECK(store.apply(removal));
    CHECK(a.rows_.update(store.rows().rows_).empty());
    CHECK_FALSE(a.rows_.isStored("f"));
}

// Guards against a write that the store refuses each time because it has more entries than the
// store takes: the renewals of quota parts are in the same write.
TEST_CASE("many records are written in several writes")
{
    constexpr std::size_t kMaxEntries = 100; // as the users' platform says
    constexpr int kRecords = 130;
    FakeStore store;
    Entry a("a");
    for (int i = 0; i < kRecords; ++i)
        a.recordCrash("f" + std::to_string(i), "engine-1@1");
    int writes = 0;
    while (a.rows_.hasReports() && writes < kRecords) {
        StoreWrite write;
        for (int part = 0; part < 40; ++part) {
            const std::string key = "part/" + std::to_string(writes) + "/" + std::to_string(part);
            write.puts_.push_back({quota::kFleetTable, quota::kFleetPartition, key, "x"});
            write.expected_.push_back({quota::kFleetTable, quota::kFleetPartition, key, "", 0});
        }
        a.rows_.addTo(write);
        CHECK(write.puts_.size() + write.expected_.size() + write.removes_.size() <= kMaxEntries);
        REQUIRE(store.apply(write));
        a.rows_.finishWrite(WriteOutcome::Applied, store.version());
        ++writes;
    }
    CHECK_FALSE(a.rows_.hasReports());
    for (int i = 0; i < kRecords; ++i)
        CHECK(a.rows_.isStored("f" + std::to_string(i)));
}

// Guards against a record that is lost with the answer to its write.
TEST_CASE("a record whose write was not applied, or may not have been, is written again")
{
    for (const WriteOutcome outcome : {WriteOutcome::Conflict, WriteOutcome::Unknown}) {
        FakeStore store;
        Entry a("a");
        a.recordCrash("f", "engine-1@1");
        StoreWrite write;
        a.rows_.addTo(write);
        CHECK(a.rows_.finishWrite(outcome, 0) == 0);
        CHECK(a.write(store));
    }
}

// Guards against a suspect that crashes further targets because a restore of the store took its
// record.
TEST_CASE(
    "a record that a copy of the store lacks is written again by the entry that wrote it, once")
{
    FakeStore store;
    Entry a("a");
    Entry b("b");
    a.recordCrash("f", "engine-1@1");
    REQUIRE(a.write(store));
    REQUIRE(b.rows_.update(store.rows().rows_).size() == 1);
    store.restore(1);
    static_cast<void>(a.rows_.updateCopy(store.rows().rows_));
    static_cast<void>(b.rows_.updateCopy(store.rows().rows_));
    CHECK_FALSE(b.rows_.hasReports());
    CHECK(a.write(store));
    CHECK_FALSE(a.write(store));
    Entry c("c");
    CHECK(c.rows_.update(store.rows().rows_).size() == 1);
    store.put("other", "row");
    store.restore(1); // a copy that has the record
    static_cast<void>(a.rows_.updateCopy(store.rows().rows_));
    CHECK_FALSE(a.rows_.hasReports());
}

} // namespace foxtailturn::gateway
