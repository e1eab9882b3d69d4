#include "gateway/adapter_versions.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kGrace = AdapterVersions::kGrace;

} // namespace

// Guards against a version that is required before its grace has passed, or never.
TEST_CASE("a version is required after its grace")
{
    AdapterVersions versions;
    CHECK(versions.newest("m/a") == 0);
    CHECK(versions.declare({"m", "a", 2}, kStart));
    CHECK_FALSE(versions.declare({"m", "a", 2}, kStart));
    CHECK_FALSE(versions.declare({"m", "a", 1}, kStart));
    CHECK(versions.newest("m/a") == 2);
    CHECK(versions.minVersion("m/a", kStart + kGrace - milliseconds(1)) == 0);
    CHECK(versions.minVersion("m/a", kStart + kGrace) == 2);
    CHECK(versions.minVersion("m/b", kStart + kGrace) == 0);
}

// Guards against requests on versions that are out of date for long, because newer ones follow so
// fast that none of them is ever required.
TEST_CASE("a version is required in time although newer ones follow")
{
    for (const int interval : {100, 1000, 2000, 4000}) {
        CAPTURE(interval);
        AdapterVersions versions;
        std::int64_t required = 0;
        TimePoint now = kStart;
        for (std::int64_t version = 2; version < 30; ++version) {
            versions.declare({"m", "a", version}, now);
            now += milliseconds(interval);
            // The versions were declared at kStart, kStart + interval and so on.
            if (now - kGrace >= kStart)
                required = 2 + (now - kGrace - kStart) / milliseconds(interval);
            CHECK(versions.minVersion("m/a", now) == std::min(required, version));
        }
        CHECK(versions.minVersion("m/a", now + kGrace) == 29);
    }
}

} // namespace foxtailturn::gateway
