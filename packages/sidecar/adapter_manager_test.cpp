#include "sidecar/adapter_manager.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

EngineReport engineReport(std::int64_t sequence, std::map<std::string, std::int64_t> adapters)
{
    EngineReport report;
    report.startTimeMs_ = 1;
    report.sequence_ = sequence;
    report.models_ = {{"m", std::move(adapters)}};
    return report;
}

LoadRequest loadRequestFor(std::string name, std::int64_t version = 0)
{
    return {std::move(name), version, "i-1", 2};
}

struct TestManager : AdapterManager
{
    TestManager()
        : AdapterManager("vm", 100)
    { }

    void onOutcomeAndReport(OrderOutcome outcome, const EngineReport &report, TimePoint now)
    {
        onOrderOutcome(outcome, now);
        onReport(report, now);
    }
};

} // namespace

// Guards against an order based on a report that is older than the last order.
TEST_CASE("one order is sent at a time, on a newer report, with the engine's order count")
{
    TestManager manager;
    manager.requestLoad(loadRequestFor("m/a1"), kStart);
    CHECK_FALSE(manager.nextOrder(kStart)); // no report yet
    manager.onReport(engineReport(7, {}), kStart);
    const std::optional<EngineOrder> order = manager.nextOrder(kStart);
    REQUIRE(order);
    CHECK(*order == EngineOrder{OrderKind::Load, "m", "a1", "i-1", "vm", 100, 7});
    CHECK_FALSE(manager.nextOrder(kStart));
    manager.onOutcomeAndReport(OrderOutcome::Accepted, engineReport(8, {{"a1", 1}}), kStart);
    CHECK_FALSE(manager.nextOrder(kStart));
    CHECK_FALSE(manager.hasPendingLoads());
}

// Guards against an engine that crashes because it was ordered to load more adapters than it has
// slots for.
TEST_CASE("a full engine evicts its least popular unused adapter first")
{
    TestManager manager;
    manager.onReport(engineReport(1, {{"hot", 1}, {"cold", 1}}), kStart);
    for (int i = 0; i < 3; ++i) {
        manager.onUseNotice(1, {"m/hot", true}, kStart);
        manager.onUseNotice(1, {"m/hot", false}, kStart);
    }
    const TimePoint later = kStart + seconds(1);
    manager.requestLoad(loadRequestFor("m/new"), later);
    std::optional<EngineOrder> order = manager.nextOrder(later);
    REQUIRE(order);
    CHECK(order->kind_ == OrderKind::Unload);
    CHECK(order->adapter_ == "cold");
    manager.onOutcomeAndReport(OrderOutcome::Accepted, engineReport(2, {{"hot", 1}}), later);
    order = manager.nextOrder(later);
    REQUIRE(order);
    CHECK(order->kind_ == OrderKind::Load);
}

// Guards against the eviction of an adapter in use.
TEST_CASE("adapters in use are not evicted, and the load request is refused after its timeout")
{
    TestManager manager;
    manager.onReport(engineReport(1, {{"a", 1}, {"b", 1}}), kStart);
    manager.onUseNotice(1, {"m/a", true}, kStart);
    manager.onUseNotice(2, {"m/b", true}, kStart);
    const TimePoint later = kStart + seconds(5);
    manager.requestLoad(loadRequestFor("m/new"), later);
    CHECK_FALSE(manager.nextOrder(later));
    CHECK(manager.reportForEntries(later).evictionCost_ > 1);
    const TimePoint late = later + AdapterManager::kLoadRequestTimeout;
    CHECK(manager.takeRefusedLoads(late) == std::vector<std::string>{"m/new"});
    CHECK(manager.takeRefusedLoads(late).empty());
    manager.removeEntry(2, late); // closing the connection ends its requests
    manager.requestLoad(loadRequestFor("m/new"), late + seconds(1));
    manager.onReport(engineReport(1, {{"a", 1}, {"b", 1}}), late + seconds(1));
    const std::optional<EngineOrder> order = manager.nextOrder(late + seconds(1));
    REQUIRE(order);
    CHECK(order->adapter_ == "b");
}

// Guards against evicting an adapter after its load has finished and before the requests that wait
// for it arrive: on a day of heavy load 178 requests reached an engine that had just evicted their
// adapter.
TEST_CASE("an adapter that was just loaded is not evicted")
{
    TestManager manager;
    manager.onReport(engineReport(1, {{"a", 1}}), kStart);
    manager.onUseNotice(1, {"m/a", true}, kStart);
    manager.requestLoad(loadRequestFor("m/b"), kStart);
    REQUIRE(manager.nextOrder(kStart));
    const TimePoint arrived = kStart + milliseconds(700);
    manager.onOutcomeAndReport(OrderOutcome::Accepted, engineReport(2, {{"a", 1}, {"b", 1}}),
                               arrived);
    manager.requestLoad(loadRequestFor("m/c"), arrived);
    CHECK_FALSE(manager.nextOrder(arrived));
    const TimePoint later = arrived + AdapterManager::kMinIdleBeforeEviction + milliseconds(1);
    manager.onReport(engineReport(2, {{"a", 1}, {"b", 1}}), later);
    const std::optional<EngineOrder> order = manager.nextOrder(later);
    REQUIRE(order);
    CHECK(order->adapter_ == "b");
}

// Guards against an order that is never sent again after its answer was lost.
TEST_CASE("an unanswered order is sent again with the same order count")
{
    TestManager manager;
    manager.onReport(engineReport(4, {}), kStart);
    manager.requestLoad(loadRequestFor("m/a"), kStart);
    const std::optional<EngineOrder> first = manager.nextOrder(kStart);
    manager.onOutcomeAndReport(OrderOutcome::Unknown, engineReport(4, {}), kStart);
    const std::optional<EngineOrder> second = manager.nextOrder(kStart);
    REQUIRE(second);
    CHECK(*first == *second);
}

// Guards against a sidecar whose orders are all rejected, since an earlier process on its VM used a
// higher fencing token.
TEST_CASE("a stale fencing token is raised; other outcomes keep it")
{
    TestManager manager;
    manager.onReport(engineReport(1, {}), kStart);
    for (const OrderOutcome outcome :
         {OrderOutcome::Accepted, OrderOutcome::Rejected, OrderOutcome::Unknown}) {
        manager.onOrderOutcome(outcome, kStart);
        CHECK(manager.fencingToken() == 100);
    }
    manager.onOrderOutcome(OrderOutcome::StaleToken, kStart);
    CHECK(manager.fencingToken() > 100);
}

// Guards against adapter loads on an engine that restarted without its model, and against orders
// for its old incarnation.
TEST_CASE("a restarted engine loads its model first; earlier load requests are discarded")
{
    TestManager manager;
    manager.onReport(engineReport(9, {}), kStart);
    manager.requestLoad(loadRequestFor("m/a"), kStart);
    EngineReport empty;
    empty.startTimeMs_ = 2;
    manager.onReport(empty, kStart);
    CHECK_FALSE(manager.nextOrder(kStart));
    manager.requestLoad(loadRequestFor("m/a"), kStart);
    const std::optional<EngineOrder> order = manager.nextOrder(kStart);
    REQUIRE(order);
    CHECK(order->model_ == "m");
    CHECK(order->adapter_.empty());
    manager.onOrderOutcome(OrderOutcome::OtherInstance, kStart);
    manager.onReport(empty, kStart);
    CHECK_FALSE(manager.nextOrder(kStart));
}

// Guards against an engine that crashes because a second model does not fit into its memory.
TEST_CASE("a model is loaded only by an engine that holds none")
{
    TestManager manager;
    manager.onReport(engineReport(1, {}), kStart);
    manager.requestLoad(loadRequestFor("other/a"), kStart);
    manager.requestLoad(loadRequestFor("other"), kStart);
    CHECK_FALSE(manager.nextOrder(kStart));
    CHECK(manager.takeRefusedLoads(kStart + AdapterManager::kLoadRequestTimeout).size() == 2);
}

// Guards against too many concurrent loads on one engine, and against orders while it is busy or
// draining.
TEST_CASE("concurrent loads are bounded; busy and draining engines get no order")
{
    TestManager manager;
    EngineReport report = engineReport(1, {});
    report.loading_ = {"m/1", "m/2", "m/3", "m/4"};
    manager.onReport(report, kStart);
    manager.requestLoad({"m/5", 0, "i-1", 8}, kStart);
    CHECK_FALSE(manager.nextOrder(kStart));
    CHECK(manager.hasPendingLoads());
    for (const bool isBusy : {true, false}) {
        report = engineReport(1, {});
        report.isBusy_ = isBusy;
        report.isDraining_ = !isBusy;
        manager.onReport(report, kStart);
        CHECK_FALSE(manager.nextOrder(kStart));
    }
}

// Guards against an old version that is never replaced because an adapter of that name is loaded.
TEST_CASE("a newer version replaces the older one")
{
    TestManager manager;
    manager.onReport(engineReport(1, {{"a", 1}, {"b", 1}}), kStart);
    manager.requestLoad(loadRequestFor("m/a", 2), kStart);
    manager.requestLoad(loadRequestFor("m/b", 1), kStart); // already satisfied
    const std::optional<EngineOrder> order = manager.nextOrder(kStart);
    REQUIRE(order);
    CHECK(order->kind_ == OrderKind::Load);
    CHECK(order->adapter_ == "a");
    CHECK(manager.reportForEntries(kStart).engine_.loading_ == std::vector<std::string>{"m/a"});
}

} // namespace foxtailturn::gateway
