#include "memory/memory_account.h"

#include <doctest/doctest.h>

namespace foxtailturn::memory {
namespace {

TEST_CASE("a hold gives its bytes back")
{
    const auto owner = MemoryAccount::create(MemoryBounds::forMachine(1000));
    MemoryAccount &account = *owner;
    {
        MemoryHold request(account, MemoryKind::Request, 5);
        MemoryHold answer(account, MemoryKind::UnsentAnswer, 7);
        request.set(3);
        CHECK(account.total() == 10U);
        CHECK(account.held(MemoryKind::Request) == 3U);
        CHECK(account.held(MemoryKind::UnsentAnswer) == 7U);
    }
    for (const MemoryKind kind : kMemoryKinds)
        CHECK(account.held(kind) == 0U);
    CHECK(account.total() == 0U);
}

} // namespace
} // namespace foxtailturn::memory
