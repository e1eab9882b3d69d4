#include "routing/router.h"

#include <map>

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

// A router over three live targets; report() sets the load and the resident adapters of one.
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

std::unique_ptr<PlacementPolicy> makeAdapterAware()
{
    return adapterAwarePlacement(PlacementSettings{});
}

// Guards against a retry at a target that has already refused the request, and against a wrong
// error when no target is left.
TEST_CASE("the router excludes tried targets and returns NoTarget when none is left")
{
    using PolicyFactory = std::unique_ptr<PlacementPolicy> (*)();
    const PolicyFactory factories[] = {makeAdapterAware, leastLoadedPlacement,
                                       consistentHashPlacement, [] { return randomPlacement(1); }};
    for (const PolicyFactory factory : factories) {
        Fixture f(factory());
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
            CHECK(view.load_ == 0); // each Placement removed its request from the count
    }
}

// Guards against loading an adapter at one target while it is resident at another with capacity.
TEST_CASE("targets with a resident copy are preferred while they are not overloaded")
{
    for (const char *holder : {"t1", "t2", "t3"}) {
        CAPTURE(holder);
        Fixture f(makeAdapterAware());
        f.report(holder, 10, {{"a", "1"}});
        CHECK(f.choose("a") == holder);
        f.report(holder, 60, {{"a", "1"}});
        CHECK(f.choose("a") != holder);
    }
}

// Guards against entries that load the same adapter at different targets, and against adapters
// that change their target when another target is lost.
TEST_CASE("adapters that are not resident have a stable target and are spread over all targets")
{
    Fixture firstEntry(makeAdapterAware());
    Fixture secondEntry(makeAdapterAware());
    std::map<std::string, int> counts;
    for (int i = 0; i < 300; ++i) {
        const std::string adapter = std::to_string(i);
        const std::string target = firstEntry.choose(adapter);
        CHECK(secondEntry.choose(adapter) == target);
        CHECK(secondEntry.choose(adapter, {target == "t1" ? "t2" : "t1"}) == target);
        ++counts[target];
    }
    for (const auto &[target, count] : counts)
        CHECK(count > 50);
}

// Guards against requests with a common prefix that miss the engine's prefix cache because they go
// to different targets, and against a hint that causes an adapter load.
TEST_CASE("prefix hints select among resident copies")
{
    Fixture f(makeAdapterAware());
    f.report("t1", 0, {{"a", "1"}});
    f.report("t2", 0, {{"a", "1"}});
    std::set<std::string> usedTargets;
    for (std::uint64_t hint = 0; hint < 20; ++hint) {
        const std::string target = f.choose("a", {}, hint);
        CHECK(f.choose("a", {}, hint) == target);
        usedTargets.insert(target);
    }
    CHECK(usedTargets == std::set<std::string>{"t1", "t2"});
}

// Guards against unnecessary traffic between data centres.
TEST_CASE("the entry's data centre is preferred among equal targets")
{
    Fixture f(makeAdapterAware());
    for (const char *name : {"t1", "t2", "t3"})
        f.report(name, 0, {{"a", "1"}});
    CHECK(f.choose("a") == "t2");
    CHECK(f.choose("") == "t2"); // a service without adapters
}

} // namespace
} // namespace foxtailturn
