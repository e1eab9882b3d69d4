#include "routing/router.h"

#include <map>

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

// Three targets, each live, with the given load and adapters.
struct Fixture
{
    explicit Fixture(std::unique_ptr<PlacementPolicy> policy)
        : router_(clock_, directory_, std::move(policy))
    {
        std::vector<TargetInfo> infos;
        for (const char *name : {"t1", "t2", "t3"})
            infos.push_back(
                {name, "engines", name == std::string("t2") ? "near" : "far", "", false});
        directory_.setTargets(infos);
        for (const TargetInfo &info : infos)
            report(info.name_, 0);
    }

    void report(const std::string &name, std::size_t running, std::vector<AdapterId> resident = {})
    {
        directory_.heartbeat(TargetReport{.name_ = name,
                                          .incarnation_ = "i",
                                          .sequence_ = ++sequence_,
                                          .running_ = running,
                                          .maxRunning_ = 16,
                                          .resident_ = std::move(resident),
                                          .loading_ = {}});
    }

    std::string choose(const std::string &adapter, const std::set<std::string> &excluded = {},
                       std::optional<std::uint64_t> hint = std::nullopt)
    {
        const AdapterId id{adapter, adapter.empty() ? "" : "1"};
        return router_
            .choose(
                {.group_ = "engines", .dataCentre_ = "near", .adapter_ = id, .prefixHint_ = hint},
                excluded)
            ->target()
            .name_;
    }

    ManualClock clock_;
    TargetDirectory directory_{clock_};
    Router router_;
    std::uint64_t sequence_ = 0;
};

std::unique_ptr<PlacementPolicy> ours()
{
    return adapterAwarePlacement(PlacementSettings{});
}

// Guards against a retry at the target that just refused, and against an untyped failure.
TEST_CASE("Router excludes tried targets and ends with NoTarget")
{
    using Make = std::unique_ptr<PlacementPolicy> (*)();
    const Make makes[] = {ours, leastLoadedPlacement, consistentHashPlacement,
                          [] { return randomPlacement(1); }};
    for (const Make make : makes) {
        Fixture f(make());
        std::set<std::string> tried;
        for (int i = 0; i < 3; ++i)
            CHECK(tried.insert(f.choose("a", tried)).second);
        const Result<Placement> none = f.router_.choose(
            {.group_ = "engines", .dataCentre_ = "near", .adapter_ = {"a", "1"}}, tried);
        REQUIRE(!none);
        CHECK(none.error().code_ == ErrorCode::NoTarget);
        CHECK(none.error().execution_ == Execution::NotRun);
        CHECK(none.error().retryAt_ > f.clock_.now());
        for (const TargetView &view : f.directory_.all())
            CHECK(view.load_ == 0); // each Placement ended its count
    }
}

// Guards against loads of adapters that are resident elsewhere.
TEST_CASE("resident copies go first while they are not overloaded")
{
    for (const char *holder : {"t1", "t2", "t3"}) {
        CAPTURE(holder);
        Fixture f(ours());
        f.report(holder, 10, {{"a", "1"}});
        CHECK(f.choose("a") == holder);
        f.report(holder, 60, {{"a", "1"}});
        CHECK(f.choose("a") != holder);
    }
}

// Guards against entries that load one absent adapter at several targets, and against adapters
// that all move when one target is gone.
TEST_CASE("absent adapters have a stable target that differs between adapters")
{
    Fixture one(ours());
    Fixture two(ours());
    std::map<std::string, int> counts;
    for (int i = 0; i < 300; ++i) {
        const std::string adapter = std::to_string(i);
        const std::string target = one.choose(adapter);
        CHECK(two.choose(adapter) == target);
        CHECK(two.choose(adapter, {target == "t1" ? "t2" : "t1"}) == target);
        ++counts[target];
    }
    for (const auto &[target, count] : counts)
        CHECK(count > 50);
}

// Guards against a prefix cache that is never met, and against a hint that causes a load.
TEST_CASE("prefix hints select among resident copies")
{
    Fixture f(ours());
    f.report("t1", 0, {{"a", "1"}});
    f.report("t2", 0, {{"a", "1"}});
    std::set<std::string> used;
    for (std::uint64_t hint = 0; hint < 20; ++hint) {
        const std::string target = f.choose("a", {}, hint);
        CHECK(f.choose("a", {}, hint) == target);
        used.insert(target);
    }
    CHECK(used == std::set<std::string>{"t1", "t2"});
}

// Guards against traffic between data centres without need.
TEST_CASE("the nearest data centre decides between equal targets")
{
    Fixture f(ours());
    for (const char *name : {"t1", "t2", "t3"})
        f.report(name, 0, {{"a", "1"}});
    CHECK(f.choose("a") == "t2");
    CHECK(f.choose("") == "t2"); // a plain service
}

} // namespace
} // namespace foxtailturn
