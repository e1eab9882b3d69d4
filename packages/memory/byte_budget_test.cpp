#include "memory/byte_budget.h"

#include <doctest/doctest.h>

namespace foxtailturn::memory {

TEST_CASE("bytes are taken up to the bound and given back")
{
    ByteBudget budget(100);
    {
        const auto first = budget.tryTake(60);
        REQUIRE(first);
        CHECK(!budget.tryTake(41));
        const auto second = budget.tryTake(40);
        REQUIRE(second);
        CHECK(!budget.tryTake(1));
        CHECK(budget.taken() == 100);
    }
    CHECK(budget.taken() == 0);
}

// Guards against a bound that refuses a single request whatever the load.
TEST_CASE("a single holder may have any number of bytes")
{
    ByteBudget budget(100);
    const auto alone = budget.tryTake(1000);
    REQUIRE(alone);
    CHECK(!budget.tryTake(1));
}

} // namespace foxtailturn::memory
