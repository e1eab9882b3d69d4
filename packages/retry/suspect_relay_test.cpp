#include "retry/suspect_relay.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

using std::chrono::seconds;

SuspectRecord recordOf(const std::string &fingerprint, const std::string &crashId, UtcTime forgetAt)
{
    return {fingerprint, {{crashId, {forgetAt}}}};
}

} // namespace

// Guards against messages that go round between a relay and its processes for ever.
TEST_CASE("a relay passes on what it did not know, merged, and nothing else")
{
    ManualWallClock clock;
    SuspectRelay relay(clock);
    const UtcTime later = clock.now() + seconds(60);
    const SuspectRecord first = recordOf("f", "e1@1", later);
    const SuspectRecord second = recordOf("f", "e2@1", later);
    CHECK(relay.merge({first}) == std::vector{first});
    CHECK(relay.merge({first}).empty());
    const std::vector<SuspectRecord> both = relay.merge({second, recordOf("g", "e2@1", later)});
    REQUIRE(both.size() == 2);
    CHECK(both[0].standing() == Standing::Quarantined);
    CHECK(relay.merge(both).empty());
    CHECK(relay.records().size() == 2);
}

// Guards against a process that does not get the records that it lacks.
TEST_CASE("records are found by their digests until they change or expire")
{
    ManualWallClock clock;
    SuspectRelay relay(clock);
    const UtcTime later = clock.now() + seconds(60);
    const SuspectRecord first = recordOf("f", "e1@1", later);
    const SuspectRecord second = recordOf("g", "e1@1", later);
    const SuspectRecord changed = recordOf("f", "e1@1", later + seconds(1));
    CHECK(first.digest() != second.digest());
    CHECK(first.digest() != changed.digest());
    (void)relay.merge({first, second});
    CHECK(relay.digests() == std::vector{first.digest(), second.digest()});
    CHECK(relay.recordsOf({second.digest(), 1}) == std::vector{second});
    (void)relay.merge({changed});
    CHECK(relay.recordsOf({first.digest()}).empty());
    CHECK(relay.recordsOf({changed.digest()}) == std::vector{changed});
    clock.advance(seconds(60));
    CHECK(relay.recordsOf(relay.digests()) == std::vector{changed});
    clock.advance(seconds(1));
    CHECK(relay.digests().empty());
}

TEST_CASE("a relay keeps no expired records, and a bounded number of others")
{
    ManualWallClock clock;
    SuspectRelay relay(clock);
    CHECK(relay.merge({recordOf("old", "e1@1", clock.now())}).empty());
    (void)relay.merge({recordOf("short", "e1@1", clock.now() + seconds(1))});
    for (std::size_t i = 0; i < SuspectRelay::kMaxRecords; ++i)
        (void)relay.merge({recordOf(std::to_string(i), "e1@1", clock.now() + seconds(60))});
    const std::vector<SuspectRecord> records = relay.records();
    CHECK(records.size() == SuspectRelay::kMaxRecords);
    CHECK(records.back().fingerprint_ != "short");
    clock.advance(seconds(60));
    CHECK(relay.records().empty());
}

} // namespace foxtailturn
