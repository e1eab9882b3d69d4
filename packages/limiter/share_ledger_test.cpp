#include "limiter/share_ledger.h"

#include <doctest/doctest.h>

#include "storage/memory_platform.h"

namespace foxtailturn {
namespace {

const TimePoint kNoDeadline = TimePoint::max();

struct FixedLease final : LeaseStatus
{
    [[nodiscard]] bool isHeld() const override { return isHeld_; }
    bool isHeld_ = true;
};

// Guards against units that are counted twice or not at all when the answer to a write is lost.
TEST_CASE("take grants all units exactly once under each table fault")
{
    for (TableFault fault :
         {TableFault::Down, TableFault::DropWrite, TableFault::LoseWriteAnswer}) {
        CAPTURE(static_cast<int>(fault));
        MemoryTable table;
        ShareLedger ledger(table);
        const FixedLease lease;
        table.setFault(fault);
        const Result<LedgerGrant> first = ledger.take("w", "a", lease, kNoDeadline);
        CHECK(first.has_value() == (fault == TableFault::LoseWriteAnswer));
        table.setFault(TableFault::None);
        CHECK(ledger.take("w", "a", lease, kNoDeadline)->takenUnits_ == kTotalUnits);
        CHECK(*ledger.take("w", "b", lease, kNoDeadline) == LedgerGrant{0, false});
        CHECK(ledger.read("w", kNoDeadline)->spareUnits_ == 0);
    }
}

// Guards against a holder that enters the row again after it was settled: its transfers would then
// be settled a second time.
TEST_CASE("take writes nothing if the lease is not held")
{
    MemoryTable table;
    ShareLedger ledger(table);
    FixedLease lease;
    lease.isHeld_ = false;
    CHECK(ledger.take("w", "a", lease, kNoDeadline).error().code_ == ErrorCode::LeaseExpired);
    CHECK(table.writeCount() == 0);
}

// Holders a and b end together. a had sent 300,000 units to b and 100,000 to c, b 50,000 to c, and
// c 20,000 to b. c therefore keeps 130,000 units.
TEST_CASE("settle requires all reports and adds the units of ended holders to the spare units")
{
    MemoryTable table;
    ShareLedger ledger(table);
    const FixedLease lease;
    for (const char *holder : {"a", "b", "c"})
        REQUIRE(ledger.take("w", holder, lease, kNoDeadline));
    const Result<LedgerRow> before = ledger.read("w", kNoDeadline);
    const std::set<std::string> ended =
        endedHolders(*before, {LeaseRow{"c", LeaseState::Live, 1, 1, {}}});
    CHECK(ended == std::set<std::string>{"a", "b"});
    const NetReport partial{"w", "c", {{"a", -100'000}}};
    const NetReport complete{"w", "c", {{"a", -100'000}, {"b", -30'000}}};

    for (const auto &reports : {std::vector<NetReport>{}, std::vector{partial}}) {
        const Result<Settlement> missing = ledger.settle("w", ended, reports, kNoDeadline);
        CHECK(missing->missingReporters_ == std::vector<std::string>{"c"});
        CHECK(*ledger.read("w", kNoDeadline) == *before);
    }
    for (std::int64_t reclaimed : {870'000, 0}) // the second settlement repeats the first
        CHECK(ledger.settle("w", ended, {complete}, kNoDeadline)->reclaimedUnits_ == reclaimed);
    const LedgerRow expected{870'000, {{"c", HolderGrant{130'000, 0}}}};
    CHECK(*ledger.read("w", kNoDeadline) == expected);
    CHECK(ledger.take("w", "c", lease, kNoDeadline)->takenUnits_ == 870'000);
}

// Guards against a settlement that lacks the report of a holder that joined in the meantime.
TEST_CASE("settle fails if the row changes concurrently")
{
    MemoryTable table;
    ShareLedger ledger(table);
    const FixedLease lease;
    REQUIRE(ledger.take("w", "a", lease, kNoDeadline));
    table.setBeforeWrite([&](const std::string &) {
        table.setBeforeWrite(nullptr);
        REQUIRE(ledger.take("w", "b", lease, kNoDeadline));
    });
    CHECK(ledger.settle("w", {"a"}, {}, kNoDeadline).error().code_ == ErrorCode::StoreConflict);
    CHECK(ledger.settle("w", {"a"}, {}, kNoDeadline)->missingReporters_
          == std::vector<std::string>{"b"});
}

// Guards against granting more than the total from a corrupt row.
TEST_CASE("a row whose units do not sum to the total is rejected")
{
    MemoryTable table;
    ShareLedger ledger(table);
    const std::string value = R"({"spare": 5, "holders": {"a": {"granted": 1, "taken": 1}}})";
    REQUIRE(table.write("limits/w", value, kAbsent, kNoDeadline));
    CHECK(ledger.read("w", kNoDeadline).error().code_ == ErrorCode::InvalidConfiguration);
}

} // namespace
} // namespace foxtailturn
