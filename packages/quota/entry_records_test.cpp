#include "quota/entry_records.h"

#include <doctest/doctest.h>

namespace foxtailturn::quota {

namespace {

std::vector<StoreRow> rowsOf(const std::string &entry, std::int64_t version)
{
    return {{"t", "p", EntryRecords::keyOf(entry), EntryRecords::encode({version, 190}), version},
            {"t", "p", "part/w/0", "{}", 9}};
}

} // namespace

TEST_CASE("decode restores an encoded record and reads malformed ones as zeros")
{
    CHECK(EntryRecords::decode(EntryRecords::encode({7, 190})) == EntryRecord{7, 190});
    for (const char *value : {"", "12", "[1]", R"({"writes":"x","milli_cores":1.5})"}) {
        CAPTURE(value);
        CHECK(EntryRecords::decode(value) == EntryRecord{});
    }
}

// Guards against duties that wait for an entry that has gone.
TEST_CASE("an entry is alive until its record has not changed for the given time")
{
    ManualClock clock;
    EntryRecords records;
    records.update(rowsOf("e0", 1), clock.now());
    CHECK(records.alive(clock.now()) == std::map<std::string, std::int64_t>{{"e0", 190}});
    clock.advance(EntryRecords::kAliveFor - Duration(1));
    records.update(rowsOf("e0", 1), clock.now());
    CHECK(records.alive(clock.now()).size() == 1);
    clock.advance(Duration(1));
    CHECK(records.alive(clock.now()).empty());
    records.update(rowsOf("e0", 2), clock.now());
    CHECK(records.alive(clock.now()).size() == 1);
    records.update({}, clock.now());
    CHECK(records.alive(clock.now()).empty());
}

// Guards against rows that grow with each entry that ever lived.
TEST_CASE("a record that has not changed for long is to be removed")
{
    ManualClock clock;
    EntryRecords records;
    records.update(rowsOf("e0", 5), clock.now());
    clock.advance(EntryRecords::kRemoveAfter - Duration(1));
    CHECK(records.expired(clock.now()).empty());
    clock.advance(Duration(1));
    CHECK(records.expired(clock.now()) == std::map<std::string, std::int64_t>{{"e0", 5}});
}

} // namespace foxtailturn::quota
