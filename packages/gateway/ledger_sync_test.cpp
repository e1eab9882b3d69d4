#include "gateway/ledger_sync.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

// Guards against a store load that grows with the square of the fleet's size, and against a pool
// owner that loses its pool because its syncs are too far apart.
TEST_CASE("delay before a sync")
{
    using std::chrono::milliseconds;
    struct Case
    {
        SyncConditions conditions_;
        Duration pause_;
    };
    const Case cases[] = {
        {{.canSpend_ = false, .wantsEarlySync_ = true, .entries_ = 21}, milliseconds(150)},
        {{.canSpend_ = true, .wantsEarlySync_ = false, .entries_ = 8}, milliseconds(6000)},
        {{.canSpend_ = true, .wantsEarlySync_ = true, .entries_ = 8}, milliseconds(3000)},
        {{.canSpend_ = true, .wantsEarlySync_ = false, .entries_ = 24}, milliseconds(12000)},
        // Unlimited, the delay would be 160 s at 420 entries, and each share would expire.
        {{.canSpend_ = true, .wantsEarlySync_ = false, .entries_ = 420},
         QuotaShares::kLivenessInterval},
        {{.canSpend_ = true, .ownsPool_ = true, .entries_ = 24}, QuotaShares::kPoolWriteInterval},
        {{.canSpend_ = true, .wantsEarlySync_ = true, .ownsPool_ = true, .entries_ = 0},
         milliseconds(1500)},
    };
    for (const Case &c : cases) {
        CAPTURE(c.conditions_.entries_);
        CHECK(delayBeforeSync(c.conditions_) == c.pause_);
    }
    const Duration slowest =
        delayBeforeSync({.canSpend_ = true, .ownsPool_ = true, .entries_ = 1000});
    CHECK(2 * slowest < QuotaShares::kPoolSpendFor); // one sync may fail
}

// Guards against entries whose writes conflict again and again, and against an entry that waits
// long although few others write.
TEST_CASE("delay after conflicts")
{
    using std::chrono::milliseconds;
    CHECK(delayAfterConflict(1) == Duration::zero());
    CHECK(delayAfterConflict(2) == milliseconds(16));
    CHECK(delayAfterConflict(4) == milliseconds(64));
    CHECK(delayAfterConflict(100) == delayAfterConflict(7));
    CHECK(delayAfterConflict(100) > milliseconds(400)); // enough for 68 entries that start together
}

} // namespace foxtailturn::gateway
