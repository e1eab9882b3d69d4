#include "gateway/store_client.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

// Guards against a configuration that is late after connections to the store went silent: the limit
// covers the long poll, the margin of its call and the call after it. A longer poll saves calls.
TEST_CASE("a long poll ends so long before the limit that another call fits in")
{
    using std::chrono::milliseconds;
    CHECK(longPollTimeoutFor(milliseconds(3000)) == milliseconds(2000));
    CHECK(longPollTimeoutFor(milliseconds(5000)) == milliseconds(4000));
    CHECK(longPollTimeoutFor(milliseconds(1500)) > Duration::zero());
}

} // namespace foxtailturn::gateway
