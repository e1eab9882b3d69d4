#include "gateway/ledger_sync.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

// Guards against a store load that grows with the square of the fleet's size, and against parts
// without an owner that nobody takes over.
TEST_CASE("time between two reads")
{
    using std::chrono::milliseconds;
    struct Case
    {
        ReadConditions conditions_;
        Duration interval_;
    };
    const Case cases[] = {
        {{.canSpend_ = false, .lacksOwner_ = true, .entries_ = 21}, milliseconds(250)},
        {{.canSpend_ = true, .entries_ = 0}, milliseconds(3000)},
        {{.canSpend_ = true, .entries_ = 8}, milliseconds(6000)},
        {{.canSpend_ = true, .entries_ = 24}, milliseconds(12'000)},
        {{.canSpend_ = true, .entries_ = 420}, milliseconds(12'000)},
        {{.canSpend_ = true, .lacksOwner_ = true, .entries_ = 420}, milliseconds(12'000)},
        {{.canSpend_ = true, .lacksOwner_ = true, .isSuccessor_ = true, .entries_ = 420},
         milliseconds(1500)},
    };
    for (const Case &c : cases) {
        CAPTURE(c.conditions_.entries_);
        CHECK(readInterval(c.conditions_) == c.interval_);
    }
    // An owner may miss two renewals and still grants; its rows change between two reads of others.
    CHECK(3 * quota::QuotaParts::kRenewInterval < quota::QuotaParts::kShortTerms.grantFor_);
    CHECK(readInterval({.canSpend_ = true, .entries_ = 1000})
          < quota::QuotaParts::kShortTerms.reclaimAfter_);
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
