#pragma once

// Fixtures shared by this package's tests.

#include "base/clock.h"
#include "base/hash.h"
#include "base/wall_clock.h"
#include "claims/claim_store.h"
#include "claims/once_executor.h"
#include "storage/memory_platform.h"

namespace foxtailturn {

// Advances a manual clock instead of blocking.
class ClockWaiter final : public Waiter
{
public:
    explicit ClockWaiter(ManualClock &clock)
        : clock_(clock)
    { }

    void waitUntil(TimePoint time) override
    {
        if (time > clock_.now())
            clock_.advance(time - clock_.now());
    }

private:
    ManualClock &clock_;
};

// The table and the clocks shared by all agents of a test.
struct ClaimFixture
{
    MemoryTable table_;
    ManualClock clock_;
    ManualWallClock wallClock_;
    ClockWaiter waiter_{clock_};

    ClaimServices services() { return {table_, clock_, wallClock_, waiter_}; }
    ClaimServices servicesOn(TableService &table) { return {table, clock_, wallClock_, waiter_}; }
};

inline OnceCall bookingCall(const Clock &clock, const std::string &body = "slot 7")
{
    const ClaimKey key{"be-central", "book-slot", "order 17/4"};
    return {key, sha256Hex(body), clock.now() + std::chrono::seconds(5),
            clock.now() + std::chrono::seconds(20)};
}

} // namespace foxtailturn
