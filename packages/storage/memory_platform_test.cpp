#include "storage/memory_platform.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

const TimePoint kNoDeadline = TimePoint::max();

// Guards against a fake that is less strict than the real service, which would hide faults from the
// tests that use it.
TEST_CASE("MemoryTable writes only if the version is the expected one")
{
    MemoryTable table;
    const Result<RowVersion> first = table.write("k", "a", kAbsent, kNoDeadline);
    REQUIRE(first);
    CHECK(table.write("k", "b", kAbsent, kNoDeadline).error().code_ == ErrorCode::StoreConflict);
    CHECK(table.write("k", "b", *first, kNoDeadline));
    CHECK((*table.read("k", kNoDeadline))->value_ == "b");
}

TEST_CASE("MemoryTable faults have the documented effect and error")
{
    struct Case
    {
        TableFault fault_;
        Execution execution_;
        bool takesEffect_;
    };
    const Case cases[] = {
        {TableFault::Down, Execution::NotRun, false},
        {TableFault::LoseWriteAnswer, Execution::OutcomeUnknown, true},
        {TableFault::DropWrite, Execution::OutcomeUnknown, false},
    };
    for (const Case &c : cases) {
        MemoryTable table;
        table.setFault(c.fault_);
        const Result<RowVersion> written = table.write("k", "a", kAbsent, kNoDeadline);
        REQUIRE(!written);
        CHECK(written.error().execution_ == c.execution_);
        table.setFault(TableFault::None);
        CHECK((*table.read("k", kNoDeadline)).has_value() == c.takesEffect_);
    }
}

} // namespace
} // namespace foxtailturn
