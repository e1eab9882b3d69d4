#include "gateway/cached_prefixes.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

// Guards against a restarted target that is taken for the one that had the prefix.
TEST_CASE("each start of a target has a cache of its own")
{
    TargetRecord record;
    record.instance_ = "e0";
    record.startTimeMs_ = 1;
    CachedPrefixes cached;
    cached.record(5, CachedPrefixes::startOf(record));
    CHECK(cached.contains(5, CachedPrefixes::startOf(record)));
    record.startTimeMs_ = 2;
    CHECK_FALSE(cached.contains(5, CachedPrefixes::startOf(record)));
    CHECK(cached.contains(5));
    CHECK_FALSE(cached.contains(6));
}

// Guards against memory that grows without limit, and against the loss of prefixes in use.
TEST_CASE("the pairs that were used least recently go first")
{
    CachedPrefixes cached(3);
    cached.record(1, 10);
    cached.record(1, 11);
    cached.record(2, 10);
    cached.record(1, 10); // used again
    cached.record(3, 10);
    CHECK(cached.pairs() == 3);
    CHECK(cached.contains(1, 10));
    CHECK_FALSE(cached.contains(1, 11));
    CHECK(cached.contains(2, 10));
    cached.record(4, 10);
    CHECK_FALSE(cached.contains(2)); // no empty prefix stays
    for (std::uint64_t prefix = 100; prefix < 10'000; ++prefix)
        cached.record(prefix, prefix % 7);
    CHECK(cached.pairs() == 3);
    CHECK(cached.contains(9'999, 9'999 % 7));
}

} // namespace foxtailturn::gateway
