#include "memory/memory_bounds.h"

#include <doctest/doctest.h>

namespace foxtailturn::memory {
namespace {

constexpr std::size_t kMegabyte = 1'000'000;

TEST_CASE("the bounds follow from the memory of the VM")
{
    const MemoryBounds bounds = MemoryBounds::forMachine(120 * kMegabyte);
    CHECK(bounds == MemoryBounds{.pauseAt_ = 18'000'000, .max_ = 24'000'000});
    CHECK(bounds.answerPauseAt(0) == 262'144U);
    CHECK(bounds.answerPauseAt(bounds.pauseAt_ / 2) == 16'384U);
}

TEST_CASE("callers leave descriptors for targets")
{
    struct Case
    {
        std::size_t descriptors_;
        std::size_t callers_;
    };
    const Case cases[] = {{0, 16}, {200, 16}, {400, 80}, {3075, 1150}};
    for (const Case &each : cases)
        CHECK(maxCallerConnections(each.descriptors_) == each.callers_);
}

} // namespace
} // namespace foxtailturn::memory
