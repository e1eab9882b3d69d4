#include "gateway/placement.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

// Engines e0, e1, ... with an agent and an empty batch.
struct Engines
{
    explicit Engines(int count)
    {
        for (int i = 0; i < count; ++i) {
            TargetRecord record;
            record.instance_ = "e" + std::to_string(i);
            record.service_ = "s";
            record.address_ = "10.0.0.1:" + std::to_string(80 + i);
            book_.list(record, kStart);
            hold(i, {});
        }
    }

    void hold(int index, const std::map<std::string, std::int64_t> &adapters)
    {
        EngineReport report;
        report.models_ = {{"m", adapters}};
        Target &target = at(index);
        target.report_ = report;
        target.reportedAt_ = kStart;
        target.isAgentLinked_ = true;
    }

    Target &at(int index) { return *book_.find("e" + std::to_string(index)); }
    std::vector<Target *> list() { return book_.ofService("s", kStart); }

    TargetBook book_{milliseconds(1500)};
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

// Guards against loads that are not needed, and against a queue at the one holder while others
// idle.
TEST_CASE("the holder of the adapter is chosen until its queue outweighs a load")
{
    Engines engines(4);
    engines.hold(2, {{"a1", 1}});
    const Placement placement;
    PlacementChoice choice = placement.choose(engines.list(), requestFor("a1"), kStart);
    CHECK(choice.target_ == &engines.at(2));
    CHECK_FALSE(choice.needsLoad_);
    engines.at(2).pendingPrompt_ = 200'000;
    choice = placement.choose(engines.list(), requestFor("a1"), kStart);
    CHECK(choice.target_ != &engines.at(2));
    CHECK(choice.needsLoad_);
}

// Guards against an older version once the newer one is required.
TEST_CASE("a holder of an older version has to load")
{
    Engines engines(1);
    engines.hold(0, {{"a1", 1}});
    PlacementRequest request = requestFor("a1");
    request.leastVersion_ = 2;
    const Placement placement;
    CHECK(placement.choose(engines.list(), request, kStart).needsLoad_);
    engines.hold(0, {{"a1", 2}});
    CHECK_FALSE(placement.choose(engines.list(), request, kStart).needsLoad_);
}

// Guards against entries that ask several engines for one adapter: the load that is on its way
// is waited for.
TEST_CASE("an engine that already loads the adapter is preferred to another load")
{
    Engines engines(8);
    engines.at(5).report_.loading_ = {"m/a1"};
    const Placement placement;
    const PlacementChoice choice = placement.choose(engines.list(), requestFor("a1"), kStart);
    CHECK(choice.target_ == &engines.at(5));
    CHECK(choice.needsLoad_);
}

// Guards against waiting for a load that failed.
TEST_CASE("after the patience another engine is asked")
{
    Engines engines(2);
    const Placement placement;
    const PlacementRequest request = requestFor("a1");
    Target *first = placement.choose(engines.list(), request, kStart).target_;
    first->loadsAsked_["m/a1"] = kStart;
    CHECK(placement.choose(engines.list(), request, kStart + milliseconds(300)).target_ == first);
    const TimePoint late = kStart + placement.loadPatience() + milliseconds(1);
    CHECK(placement.choose(engines.list(), request, late).target_ != first);
}

// Guards against a second attempt at the target that just failed, and against none at all when all
// are suspect.
TEST_CASE("tried targets are excluded, suspects are the last choice")
{
    Engines engines(3);
    for (int i = 0; i < 3; ++i)
        engines.hold(i, {{"a1", 1}});
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

// Guards against requests for adapters at engines that nobody can order.
TEST_CASE("without an agent only engines that hold the adapter are eligible")
{
    Engines engines(2);
    engines.at(0).isAgentLinked_ = false;
    engines.at(1).isAgentLinked_ = false;
    const Placement placement;
    CHECK(placement.choose(engines.list(), requestFor("a1"), kStart).target_ == nullptr);
    engines.hold(1, {{"a1", 1}});
    engines.at(1).isAgentLinked_ = false;
    CHECK(placement.choose(engines.list(), requestFor("a1"), kStart).target_ == &engines.at(1));
}

// Guards against a wait for a model at an engine that is full with another one.
TEST_CASE("an engine that holds another model is passed over")
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

// Guards against reading a shared prompt again although an engine keeps it.
TEST_CASE("kept parts count as long as all parts before them are kept")
{
    Placement placement;
    const PlacementRequest request = requestFor("a1");
    CHECK(placement.keptTokens("e0", request) == 0);
    placement.remember("e0", request, kStart);
    CHECK(placement.keptTokens("e0", request) == 1000);
    CHECK(placement.keptTokens("e1", request) == 0);
    PlacementRequest other = request;
    other.prefix_[0].id_ = "x";
    CHECK(placement.keptTokens("e0", other) == 0);
    CHECK(placement.keptTokens("e0", requestFor("a2")) == 0); // kept per adapter
    placement.forget("e0");
    CHECK(placement.keptTokens("e0", request) == 0);
}

// Guards against one slow sample that changes every decision.
TEST_CASE("prefill rate and load time are learned slowly")
{
    Placement placement;
    const double before = placement.tokensPerMilli();
    placement.observePrefill(5000, milliseconds(120));
    CHECK(placement.tokensPerMilli() > before);
    CHECK(placement.tokensPerMilli() < 50);
    placement.observePrefill(10, milliseconds(1)); // too short to tell
    const Duration patience = placement.loadPatience();
    placement.observeLoad(milliseconds(1000));
    CHECK(placement.loadPatience() > patience);
    CHECK(placement.loadPatience() <= milliseconds(1500));
}

// Guards against all requests at one plain service while others idle.
TEST_CASE("plain services: the smallest part of busy slots, the own data centre first")
{
    TargetBook book(milliseconds(1500));
    for (const std::string name : {"a", "b"}) {
        TargetRecord record;
        record.instance_ = name;
        record.service_ = "s";
        record.dataCentre_ = name == "a" ? "far" : "near";
        record.slots_ = 6;
        book.list(record, kStart);
    }
    PlacementRequest request;
    request.dataCentre_ = "near";
    const Placement placement;
    CHECK(placement.choose(book.ofService("s", kStart), request, kStart).target_ == book.find("b"));
    book.find("b")->inFlight_ = 2;
    CHECK(placement.choose(book.ofService("s", kStart), request, kStart).target_ == book.find("a"));
}

} // namespace foxtailturn::gateway
