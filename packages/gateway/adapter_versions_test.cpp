#include "gateway/adapter_versions.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kGrace = AdapterVersions::kGrace;

// Targets that hold one version of the adapter m/a each.
struct Fixture
{
    explicit Fixture(const std::vector<std::int64_t> &copies)
        : targets_(copies.size())
    {
        for (std::size_t i = 0; i < copies.size(); ++i) {
            targets_[i].isAgentConnected_ = true;
            targets_[i].reportedAt_ = kStart;
            setVersion(i, copies[i]);
        }
    }

    void setVersion(std::size_t index, std::int64_t version)
    {
        targets_[index].report_.models_ = {{"m", {{"a", version}, {"other", 1}}}};
    }

    // Returns the indexes of the targets to update.
    std::vector<std::size_t> due(TimePoint now)
    {
        std::vector<Target *> all;
        for (Target &target : targets_)
            all.push_back(&target);
        std::vector<std::size_t> indexes;
        for (const AdapterUpdate &update : versions_.dueUpdates(all, now)) {
            CHECK(update.model_ == "m");
            CHECK(update.adapter_ == "a");
            indexes.push_back(static_cast<std::size_t>(update.target_ - targets_.data()));
        }
        return indexes;
    }

    std::vector<Target> targets_;
    AdapterVersions versions_;
};

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

// Guards against updates that always begin with the same copies, so that the others stay old.
TEST_CASE("the oldest copy is replaced first")
{
    Fixture fixture({3, 1, 2});
    fixture.versions_.declare({"m", "a", 4}, kStart);
    CHECK(fixture.due(kStart) == std::vector<std::size_t>{1});
    fixture.setVersion(1, 4);
    CHECK(fixture.due(kStart) == std::vector<std::size_t>{2});
    fixture.versions_.declare({"m", "a", 5}, kStart + kGrace);
    CHECK(fixture.due(kStart + kGrace) == std::vector<std::size_t>{2, 0});
}

// Guards against an adapter that no target serves because all its copies are replaced at once, and
// against copies that stay old.
TEST_CASE("copies are replaced one at a time until the version is required, then all")
{
    Fixture fixture({1, 1, 2});
    CHECK(fixture.due(kStart).empty());
    fixture.versions_.declare({"m", "a", 2}, kStart);
    CHECK(fixture.due(kStart).size() == 1);
    CHECK(fixture.due(kStart + kGrace) == std::vector<std::size_t>{0, 1});
    fixture.targets_[0].report_.loading_ = {"m/a"};
    CHECK(fixture.due(kStart).empty());
    CHECK(fixture.due(kStart + kGrace) == std::vector<std::size_t>{1});
    fixture.targets_[1].isAgentConnected_ = false;
    CHECK(fixture.due(kStart + kGrace).empty());
}

} // namespace foxtailturn::gateway
