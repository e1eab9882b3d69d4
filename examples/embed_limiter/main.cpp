// Embeds the limiter alone: one holder with an in-memory table admits requests of one workspace
// until its burst is used up.

#include <iostream>

#include "lease/lease_holder.h"
#include "limiter/limiter.h"
#include "limiter/share_ledger.h"
#include "storage/memory_platform.h"

using namespace foxtailturn;

int main()
{
    const std::string workspace = "acme";
    const std::string self = "example#1";
    SystemClock clock;
    MemoryTable table;
    LeaseHolder lease(self, kLeaseLength, clock, table);
    const TimePoint deadline = clock.now() + std::chrono::seconds(1);
    if (!lease.acquire({}, deadline))
        return 1;

    Limiter limiter(self, clock, lease);
    limiter.setLimit(workspace, {.rate_ = 10, .burst_ = 1'000});
    ShareLedger ledger(table);
    const Result<LedgerGrant> grant = ledger.take(workspace, self, lease, deadline);
    if (!grant)
        return 1;
    limiter.onGrant(workspace, *grant);

    int admitted = 0;
    while (limiter.reserve(workspace, 100, Attempt::First))
        ++admitted;
    std::cout << "admitted " << admitted << " requests of 100 tokens from a burst of 1000\n";
    return admitted == 10 ? 0 : 1;
}
