#include "sidecar/adapter_keeper.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

EngineReport reportOf(std::int64_t sequence, std::map<std::string, std::int64_t> adapters)
{
    EngineReport report;
    report.bornMs_ = 1;
    report.sequence_ = sequence;
    report.models_ = {{"m", std::move(adapters)}};
    return report;
}

LoadRequest wantOf(std::string name, std::int64_t version = 0)
{
    return {std::move(name), version, "i-1", 2};
}

struct Keeper : AdapterKeeper
{
    Keeper()
        : AdapterKeeper("vm", 100)
    { }

    void answer(OrderOutcome outcome, const EngineReport &report, TimePoint now)
    {
        onAnswer(outcome, now);
        onReport(report, now);
    }
};

} // namespace

// Guards against an order based on a report that is older than the last order.
TEST_CASE("one order is sent at a time, on a newer report, with the engine's order count")
{
    Keeper keeper;
    keeper.want(wantOf("m/a1"), kStart);
    CHECK_FALSE(keeper.next(kStart)); // no report yet
    keeper.onReport(reportOf(7, {}), kStart);
    const std::optional<EngineOrder> order = keeper.next(kStart);
    REQUIRE(order);
    CHECK(*order == EngineOrder{OrderKind::Load, "m", "a1", "i-1", "vm", 100, 7});
    CHECK_FALSE(keeper.next(kStart));
    keeper.answer(OrderOutcome::Accepted, reportOf(8, {{"a1", 1}}), kStart);
    CHECK_FALSE(keeper.next(kStart));
    CHECK_FALSE(keeper.isActive());
}

// Guards against an engine that crashes because it was ordered to load more adapters than it has
// slots for.
TEST_CASE("a full engine evicts its least popular unused adapter first")
{
    Keeper keeper;
    keeper.onReport(reportOf(1, {{"hot", 1}, {"cold", 1}}), kStart);
    for (int i = 0; i < 3; ++i) {
        keeper.use(1, {"m/hot", true}, kStart);
        keeper.use(1, {"m/hot", false}, kStart);
    }
    const TimePoint later = kStart + seconds(1);
    keeper.want(wantOf("m/new"), later);
    std::optional<EngineOrder> order = keeper.next(later);
    REQUIRE(order);
    CHECK(order->kind_ == OrderKind::Unload);
    CHECK(order->adapter_ == "cold");
    keeper.answer(OrderOutcome::Accepted, reportOf(2, {{"hot", 1}}), later);
    order = keeper.next(later);
    REQUIRE(order);
    CHECK(order->kind_ == OrderKind::Load);
}

// Guards against the eviction of an adapter in use.
TEST_CASE("adapters in use are not evicted, and the load request is refused after its timeout")
{
    Keeper keeper;
    keeper.onReport(reportOf(1, {{"a", 1}, {"b", 1}}), kStart);
    keeper.use(1, {"m/a", true}, kStart);
    keeper.use(2, {"m/b", true}, kStart);
    const TimePoint later = kStart + seconds(5);
    keeper.want(wantOf("m/new"), later);
    CHECK_FALSE(keeper.next(later));
    CHECK(keeper.summary(later).evictionCost_ > 1);
    const TimePoint late = later + AdapterKeeper::kWantFor;
    CHECK(keeper.takeRefused(late) == std::vector<std::string>{"m/new"});
    CHECK(keeper.takeRefused(late).empty());
    keeper.forgetEntry(2, late); // closing the connection ends its requests
    keeper.want(wantOf("m/new"), late + seconds(1));
    keeper.onReport(reportOf(1, {{"a", 1}, {"b", 1}}), late + seconds(1));
    const std::optional<EngineOrder> order = keeper.next(late + seconds(1));
    REQUIRE(order);
    CHECK(order->adapter_ == "b");
}

// Guards against evicting an adapter after its load has finished and before the requests that wait
// for it arrive: on a day of heavy load 178 requests reached an engine that had just evicted their
// adapter.
TEST_CASE("an adapter that was just loaded is not evicted")
{
    Keeper keeper;
    keeper.onReport(reportOf(1, {{"a", 1}}), kStart);
    keeper.use(1, {"m/a", true}, kStart);
    keeper.want(wantOf("m/b"), kStart);
    REQUIRE(keeper.next(kStart));
    const TimePoint arrived = kStart + milliseconds(700);
    keeper.answer(OrderOutcome::Accepted, reportOf(2, {{"a", 1}, {"b", 1}}), arrived);
    keeper.want(wantOf("m/c"), arrived);
    CHECK_FALSE(keeper.next(arrived));
    const TimePoint later = arrived + AdapterKeeper::kKeepAfterUse + milliseconds(1);
    keeper.onReport(reportOf(2, {{"a", 1}, {"b", 1}}), later);
    const std::optional<EngineOrder> order = keeper.next(later);
    REQUIRE(order);
    CHECK(order->adapter_ == "b");
}

// Guards against an order that is never sent again after its answer was lost.
TEST_CASE("an unanswered order is sent again with the same order count")
{
    Keeper keeper;
    keeper.onReport(reportOf(4, {}), kStart);
    keeper.want(wantOf("m/a"), kStart);
    const std::optional<EngineOrder> first = keeper.next(kStart);
    keeper.answer(OrderOutcome::Unknown, reportOf(4, {}), kStart);
    const std::optional<EngineOrder> second = keeper.next(kStart);
    REQUIRE(second);
    CHECK(*first == *second);
}

// Guards against a sidecar whose orders are all rejected, since an earlier process on its VM used a
// higher fencing token.
TEST_CASE("a stale fencing token is raised; other outcomes keep it")
{
    Keeper keeper;
    keeper.onReport(reportOf(1, {}), kStart);
    for (const OrderOutcome outcome :
         {OrderOutcome::Accepted, OrderOutcome::Rejected, OrderOutcome::Unknown}) {
        keeper.onAnswer(outcome, kStart);
        CHECK(keeper.fencingToken() == 100);
    }
    keeper.onAnswer(OrderOutcome::StaleToken, kStart);
    CHECK(keeper.fencingToken() > 100);
}

// Guards against adapter loads on an engine that restarted without its model, and against orders
// for its old incarnation.
TEST_CASE("a restarted engine loads its model first; earlier load requests are discarded")
{
    Keeper keeper;
    keeper.onReport(reportOf(9, {}), kStart);
    keeper.want(wantOf("m/a"), kStart);
    EngineReport empty;
    empty.bornMs_ = 2;
    keeper.onReport(empty, kStart);
    CHECK_FALSE(keeper.next(kStart));
    keeper.want(wantOf("m/a"), kStart);
    const std::optional<EngineOrder> order = keeper.next(kStart);
    REQUIRE(order);
    CHECK(order->model_ == "m");
    CHECK(order->adapter_.empty());
    keeper.onAnswer(OrderOutcome::OtherInstance, kStart);
    keeper.onReport(empty, kStart);
    CHECK_FALSE(keeper.next(kStart));
}

// Guards against an engine that crashes because a second model does not fit into its memory.
TEST_CASE("a model is loaded only by an engine that holds none")
{
    Keeper keeper;
    keeper.onReport(reportOf(1, {}), kStart);
    keeper.want(wantOf("other/a"), kStart);
    keeper.want(wantOf("other"), kStart);
    CHECK_FALSE(keeper.next(kStart));
    CHECK(keeper.takeRefused(kStart + AdapterKeeper::kWantFor).size() == 2);
}

// Guards against too many concurrent loads on one engine, and against orders while it is busy or
// draining.
TEST_CASE("concurrent loads are bounded; busy and draining engines get no order")
{
    Keeper keeper;
    EngineReport report = reportOf(1, {});
    report.loading_ = {"m/1", "m/2", "m/3", "m/4"};
    keeper.onReport(report, kStart);
    keeper.want({"m/5", 0, "i-1", 8}, kStart);
    CHECK_FALSE(keeper.next(kStart));
    CHECK(keeper.isActive());
    for (const bool isBusy : {true, false}) {
        report = reportOf(1, {});
        report.isBusy_ = isBusy;
        report.isDraining_ = !isBusy;
        keeper.onReport(report, kStart);
        CHECK_FALSE(keeper.next(kStart));
    }
}

// Guards against an old version that is never replaced because an adapter of that name is loaded.
TEST_CASE("a newer version replaces the older one")
{
    Keeper keeper;
    keeper.onReport(reportOf(1, {{"a", 1}, {"b", 1}}), kStart);
    keeper.want(wantOf("m/a", 2), kStart);
    keeper.want(wantOf("m/b", 1), kStart); // already satisfied
    const std::optional<EngineOrder> order = keeper.next(kStart);
    REQUIRE(order);
    CHECK(order->kind_ == OrderKind::Load);
    CHECK(order->adapter_ == "a");
    CHECK(keeper.summary(kStart).engine_.loading_ == std::vector<std::string>{"m/a"});
}

} // namespace foxtailturn::gateway
