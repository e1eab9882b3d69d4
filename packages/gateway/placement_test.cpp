#include "gateway/placement.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

// Engines e0, e1, ... with a connected agent and no running requests.
struct Engines
{
    explicit Engines(int count)
    {
        for (int i = 0; i < count; ++i) {
            TargetRecord record;
            record.instance_ = "e" + std::to_string(i);
            record.service_ = "s";
            record.address_ = "10.0.0.1:" + std::to_string(80 + i);
            registry_.list(record, kStart);
            setAdapters(i, {});
        }
    }

    void setAdapters(int index, const std::map<std::string, std::int64_t> &adapters)
    {
        EngineReport report;
        report.models_ = {{"m", adapters}};
        Target &target = at(index);
        target.report_ = report;
        target.reportedAt_ = kStart;
        target.isAgentConnected_ = true;
    }

    Target &at(int index) { return *registry_.find("e" + std::to_string(index)); }
    std::vector<Target *> list() { return registry_.availableTargets("s", kStart); }

    TargetRegistry registry_{milliseconds(1500)};
};

PlacementRequest requestFor(std::string adapter)
{
    PlacementRequest request;
    request.isEngine_ = true;
    request.model_ = "m";
    request.adapter_ = std::move(adapter);
    request.promptTokens_ = 1000;
    request.prefix_ = {{"p", 700}, {"q", 300}};
    return request;
}

} // namespace

// Guards against unneeded loads, and against a queue at the only engine with the adapter while
// others are idle.
TEST_CASE("an engine with the adapter is chosen until its queue costs more than a load")
{
    Engines engines(4);
    engines.setAdapters(2, {{"a1", 1}});
    const Placement placement;
    PlacementChoice choice = placement.choose(engines.list(), requestFor("a1"), kStart);
    CHECK(choice.target_ == &engines.at(2));
    CHECK_FALSE(choice.needsLoad_);
    engines.at(2).pendingPrompt_ = 200'000;
    choice = placement.choose(engines.list(), requestFor("a1"), kStart);
    CHECK(choice.target_ != &engines.at(2));
    CHECK(choice.needsLoad_);
}

// Guards against serving an older version once the newer one is required.
TEST_CASE("an engine with an older version has to load the new one")
{
    Engines engines(1);
    engines.setAdapters(0, {{"a1", 1}});
    PlacementRequest request = requestFor("a1");
    request.minVersion_ = 2;
    const Placement placement;
    CHECK(placement.choose(engines.list(), request, kStart).needsLoad_);
    engines.setAdapters(0, {{"a1", 2}});
    CHECK_FALSE(placement.choose(engines.list(), request, kStart).needsLoad_);
}

// Guards against loads of one adapter on several engines: requests wait for the load in progress.
TEST_CASE("an engine that is loading the adapter is preferred to a second load")
{
    Engines engines(8);
    engines.at(5).report_.loading_ = {"m/a1"};
    const Placement placement;
    const PlacementChoice choice = placement.choose(engines.list(), requestFor("a1"), kStart);
    CHECK(choice.target_ == &engines.at(5));
    CHECK(choice.needsLoad_);
}

// Guards against waiting for a load that has failed.
TEST_CASE("another engine is chosen after the load timeout")
{
    Engines engines(2);
    const Placement placement;
    const PlacementRequest request = requestFor("a1");
    Target *first = placement.choose(engines.list(), request, kStart).target_;
    first->requestedLoads_["m/a1"] = {kStart};
    CHECK(placement.choose(engines.list(), request, kStart + milliseconds(300)).target_ == first);
    const TimePoint late = kStart + placement.loadTimeout() + milliseconds(1);
    CHECK(placement.choose(engines.list(), request, late).target_ != first);
}

// Guards against a retry at a target that has just failed, and against no attempt at all when all
// targets are suspect.
TEST_CASE("tried targets are excluded, suspects are the last choice")
{
    Engines engines(3);
    for (int i = 0; i < 3; ++i)
        engines.setAdapters(i, {{"a1", 1}});
    const Placement placement;
    PlacementRequest request = requestFor("a1");
    engines.at(0).suspectUntil_ = kStart + milliseconds(100);
    engines.at(1).suspectUntil_ = kStart + milliseconds(100);
    CHECK(placement.choose(engines.list(), request, kStart).target_ == &engines.at(2));
    request.excluded_ = {"e2"};
    CHECK(placement.choose(engines.list(), request, kStart).target_ != nullptr);
    request.excluded_ = {"e0", "e1", "e2"};
    CHECK(placement.choose(engines.list(), request, kStart).target_ == nullptr);
}

// Guards against waiting for an adapter at an engine whose agent is not connected.
TEST_CASE("without an agent only engines with the adapter are eligible")
{
    Engines engines(2);
    engines.at(0).isAgentConnected_ = false;
    engines.at(1).isAgentConnected_ = false;
    const Placement placement;
    CHECK(placement.choose(engines.list(), requestFor("a1"), kStart).target_ == nullptr);
    engines.setAdapters(1, {{"a1", 1}});
    engines.at(1).isAgentConnected_ = false;
    CHECK(placement.choose(engines.list(), requestFor("a1"), kStart).target_ == &engines.at(1));
}

// Guards against waiting for a model at an engine that hosts another one.
TEST_CASE("an engine that hosts another model is not eligible")
{
    Engines engines(2);
    engines.at(0).report_.models_ = {{"other", {}}};
    const Placement placement;
    CHECK(placement.choose(engines.list(), requestFor("a1"), kStart).target_ == &engines.at(1));
    engines.at(1).report_.models_ = {{"other", {}}};
    CHECK(placement.choose(engines.list(), requestFor("a1"), kStart).target_ == nullptr);
    engines.at(1).report_.models_.clear(); // restarted empty
    CHECK(placement.choose(engines.list(), requestFor("a1"), kStart).target_ == &engines.at(1));
}

// Guards against a second prefill of a shared prefix although an engine has it in its KV cache.
TEST_CASE("a cached part counts only if all parts before it are cached")
{
    Placement placement;
    const PlacementRequest request = requestFor("a1");
    Engines engines(2);
    CHECK(placement.cachedTokens(engines.at(0), request) == 0);
    placement.recordCachedPrefix(engines.at(0), request);
    CHECK(placement.cachedTokens(engines.at(0), request) == 1000);
    CHECK(placement.cachedTokens(engines.at(1), request) == 0);
    PlacementRequest other = request;
    other.prefix_[0].id_ = "x";
    CHECK(placement.cachedTokens(engines.at(0), other) == 0);
    CHECK(placement.cachedTokens(engines.at(0), requestFor("a2")) == 0); // the cache is per adapter
    TargetRecord restarted = engines.at(0).record_;
    ++restarted.startTimeMs_;
    engines.registry_.list(restarted, kStart);
    CHECK(placement.cachedTokens(engines.at(0), request) == 0);
}

// Guards against a single outlier that changes every placement.
TEST_CASE("prefill rate and load time follow samples gradually")
{
    Placement placement;
    const double before = placement.tokensPerMs();
    placement.recordPrefillTime(5000, milliseconds(120));
    CHECK(placement.tokensPerMs() > before);
    CHECK(placement.tokensPerMs() < 50);
    placement.recordPrefillTime(10, milliseconds(1)); // too short: ignored
    const Duration timeout = placement.loadTimeout();
    placement.recordLoadTime(milliseconds(1000));
    CHECK(placement.loadTimeout() > timeout);
    CHECK(placement.loadTimeout() <= milliseconds(1500));
}

// Guards against sending all requests to one target of a plain service while others are idle.
TEST_CASE(
    "plain services: the lowest share of busy slots, with a preference for the own data centre")
{
    TargetRegistry registry(milliseconds(1500));
    for (const std::string name : {"a", "b"}) {
        TargetRecord record;
        record.instance_ = name;
        record.service_ = "s";
        record.dataCentre_ = name == "a" ? "far" : "near";
        record.slots_ = 6;
        registry.list(record, kStart);
    }
    PlacementRequest request;
    request.dataCentre_ = "near";
    const Placement placement;
    CHECK(placement.choose(registry.availableTargets("s", kStart), request, kStart).target_
          == registry.find("b"));
    registry.find("b")->inFlight_ = 2;
    CHECK(placement.choose(registry.availableTargets("s", kStart), request, kStart).target_
          == registry.find("a"));
}

} // namespace foxtailturn::gateway
