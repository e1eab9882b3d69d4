#include "agent/target_lease.h"

#include <doctest/doctest.h>

#include "storage/memory_platform.h"

namespace foxtailturn {
namespace {

const TimePoint kNoDeadline = TimePoint::max();

struct Agent
{
    Agent(const std::string &self, const Clock &clock, MemoryTable &table)
        : holder_(self, kLeaseLength, clock, table)
        , lease_("engine-1", self, clock, table, holder_)
    {
        REQUIRE(holder_.acquire({}, kNoDeadline));
    }

    LeaseHolder holder_;
    TargetLease lease_;
};

// Guards against two agents sending orders to an engine that ignores fencing numbers.
TEST_CASE("a new incarnation acquires the next number only after the previous lease has ended")
{
    ManualClock clock;
    MemoryTable table;
    Agent first("agent#1", clock, table);
    first.lease_.tick();
    CHECK(first.lease_.fencingNumber() == 1);
    CHECK(first.lease_.isHeld());

    Agent second("agent#2", clock, table);
    second.lease_.tick();
    CHECK(!second.lease_.isHeld());
    REQUIRE(first.holder_.release(kNoDeadline));
    second.lease_.tick();
    CHECK(second.lease_.fencingNumber() == 2);
    CHECK(second.lease_.isHeld());
    CHECK(!first.lease_.isHeld());
}

// Guards against an agent that never detects that its write was applied.
TEST_CASE("a lost write response is resolved by reading the row")
{
    ManualClock clock;
    MemoryTable table;
    Agent agent("agent#1", clock, table);
    table.setFault(TableFault::LoseWriteAnswer);
    agent.lease_.tick();
    CHECK(!agent.lease_.isHeld());
    table.setFault(TableFault::None);
    agent.lease_.tick();
    CHECK(agent.lease_.fencingNumber() == 1);
}

// Guards against orders of a process that was suspended beyond the end of its lease.
TEST_CASE("a suspended agent loses the right to send orders")
{
    ManualClock clock;
    MemoryTable table;
    Agent agent("agent#1", clock, table);
    agent.lease_.tick();
    clock.advance(kLeaseLength);
    CHECK(!agent.lease_.isHeld());
}

} // namespace
} // namespace foxtailturn
