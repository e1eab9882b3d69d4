#include "retry/quarantine_rows.h"

#include <doctest/doctest.h>

#include "storage/memory_platform.h"

namespace foxtailturn {
namespace {

const TimePoint kNoDeadline = TimePoint::max();

SuspectRecord recordOf(const std::string &crashId, UtcTime recordExpiry)
{
    SuspectRecord record{"f"};
    record.crashes_[crashId] = {recordExpiry};
    record.runs_["a"] = {1, RunState::Running, recordExpiry};
    return record;
}

// Guards against a new process that runs a quarantined request, crashes lost to concurrent
// writers, and rows that are never removed.
TEST_CASE("rows keep the crashes of all concurrent writers until they expire")
{
    MemoryTable table;
    ManualWallClock clock;
    QuarantineRows rows(table, clock);
    const UtcTime later = clock.now() + std::chrono::minutes(30);
    bool hasConflicted = false;
    table.setBeforeWrite([&](const std::string &) {
        if (!std::exchange(hasConflicted, true))
            REQUIRE(rows.store(recordOf("crash 1", later), kNoDeadline));
    });
    REQUIRE(rows.store(recordOf("crash 2", later), kNoDeadline));
    REQUIRE(table.write("quarantine/bad", "{}", kAbsent, kNoDeadline));
    const auto loaded = rows.load(kNoDeadline);
    REQUIRE(loaded);
    REQUIRE(loaded->size() == 1);
    CHECK(loaded->front().standing() == Standing::Quarantined);
    CHECK(loaded->front().runs_.empty());
    const auto writes = table.writeCount();
    CHECK(rows.store(recordOf("crash 2", later), kNoDeadline));
    CHECK(table.writeCount() == writes); // an unchanged row is not written
    CHECK(rows.removeExpired(10, kNoDeadline) == 0U);
    clock.advance(std::chrono::minutes(30));
    CHECK(rows.load(kNoDeadline)->empty());
    CHECK(rows.removeExpired(10, kNoDeadline) == 1U);
    table.setFault(TableFault::Down);
    CHECK(rows.load(kNoDeadline).error().code_ == ErrorCode::StoreUnavailable);
    CHECK(!rows.store(recordOf("crash 3", later), kNoDeadline));
}

} // namespace
} // namespace foxtailturn
