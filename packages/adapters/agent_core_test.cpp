#include "adapters/agent_core.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

constexpr FencingNumber kFencing = 1;
const Result<void> kDone = {};

AdapterId named(const std::string &name)
{
    return AdapterId{name, "1"};
}

// Drives an AgentCore step by step; orders stay pending until answer() is called.
class Driver
{
public:
    explicit Driver(const AgentSettings &settings, std::vector<EngineAdapter> list = {})
        : core_(settings)
    {
        decide();
        core_.listDone(orders_.at(0), list, now_);
        orders_.clear();
        decide();
    }

    WorkRequest submit(const std::string &id, const std::string &adapter,
                       Priority priority = Priority::Chat, const std::string &workspace = "w")
    {
        const WorkRequest request{.id_ = id,
                                  .workspace_ = workspace,
                                  .adapter_ = named(adapter),
                                  .priority_ = priority,
                                  .deadline_ = now_ + std::chrono::seconds(5)};
        core_.submit(request, now_);
        decide();
        return request;
    }

    void decide(std::optional<FencingNumber> fencing = kFencing)
    {
        AgentDecisions decisions = core_.decide(now_, fencing);
        for (const AdmittedRequest &admitted : decisions.admitted_)
            admitted_.push_back(admitted.id_);
        for (const RefusedRequest &refused : decisions.refused_) {
            CHECK(refused.error_.execution_ == Execution::NotRun);
            refused_.insert_or_assign(refused.id_, refused.error_);
        }
        orders_.insert(orders_.end(), decisions.orders_.begin(), decisions.orders_.end());
    }

    // Answers the oldest pending order.
    EngineOrder answer(const Result<void> &result = kDone)
    {
        REQUIRE(!orders_.empty());
        const EngineOrder order = orders_.front();
        orders_.erase(orders_.begin());
        if (order.kind_ == EngineOrder::Kind::List)
            core_.listDone(order, std::vector<EngineAdapter>{}, now_);
        else
            core_.orderDone(order, result, now_);
        decide();
        return order;
    }

    void finish(const std::string &id)
    {
        core_.finish(id);
        decide();
    }

    bool isAdmitted(const std::string &id) const
    {
        return std::find(admitted_.begin(), admitted_.end(), id) != admitted_.end();
    }

    AgentCore core_;
    TimePoint now_ = TimePoint(std::chrono::seconds(1));
    std::vector<std::string> admitted_;
    std::map<std::string, Error> refused_;
    std::vector<EngineOrder> orders_;
};

// Guards against one load per request instead of one per adapter.
TEST_CASE("all requests of an adapter wait for one load")
{
    Driver driver({.slots_ = 2, .maxRunning_ = 4});
    for (const char *id : {"1", "2", "3"})
        driver.submit(id, "a");
    REQUIRE(driver.orders_.size() == 1);
    CHECK(driver.orders_[0].fencing_ == kFencing);
    driver.answer();
    CHECK(driver.admitted_.size() == 3);
    CHECK(driver.core_.cache().pinCount(named("a")) == 3);
}

// Guards against callers that wait for a load that failed instead of trying another target.
TEST_CASE("a failed load refuses its waiters with the end of the back-off")
{
    Driver driver({.slots_ = 2});
    driver.submit("1", "a");
    driver.answer(notRun(ErrorCode::AdapterLoadFailed, "failed"));
    REQUIRE(driver.refused_.count("1") == 1);
    CHECK(driver.refused_.at("1").code_ == ErrorCode::AdapterLoadFailed);
    CHECK(driver.refused_.at("1").retryAt_ > driver.now_);
    driver.submit("2", "a");
    CHECK(driver.refused_.at("2").code_ == ErrorCode::AdapterLoadFailed);
    CHECK(driver.orders_.empty());
    driver.now_ = *driver.refused_.at("2").retryAt_;
    driver.submit("3", "a");
    driver.answer();
    CHECK(driver.isAdmitted("3"));
}

// Guards against work that starts after its caller gave up.
TEST_CASE("requests past their deadline are refused before they run")
{
    Driver driver({.slots_ = 2, .maxRunning_ = 1});
    driver.submit("1", "a");
    driver.answer();
    const WorkRequest late = driver.submit("2", "a");
    driver.now_ = late.deadline_;
    driver.finish("1");
    CHECK(!driver.isAdmitted("2"));
    CHECK(driver.refused_.at("2").code_ == ErrorCode::DeadlineExceeded);
}

// Guards against loads by an agent that lost its lease, or that the engine no longer follows.
TEST_CASE("no order without the lease or after a stale fencing number")
{
    Driver driver({.slots_ = 2});
    driver.core_.submit(
        {.id_ = "1", .workspace_ = "w", .adapter_ = named("a"), .deadline_ = TimePoint::max()},
        driver.now_);
    driver.decide(std::nullopt);
    CHECK(driver.orders_.empty());
    CHECK(driver.refused_.at("1").code_ == ErrorCode::LeaseExpired);
    driver.submit("2", "a");
    driver.answer(notRun(ErrorCode::StaleFencingNumber, "stale"));
    CHECK(driver.refused_.at("2").code_ == ErrorCode::StaleFencingNumber);
    driver.submit("3", "b");
    CHECK(driver.orders_.empty());
    driver.core_.submit(
        {.id_ = "4", .workspace_ = "w", .adapter_ = named("a"), .deadline_ = TimePoint::max()},
        driver.now_);
    driver.decide(kFencing + 1);
    REQUIRE(driver.orders_.size() == 1);
    CHECK(driver.orders_[0].kind_ == EngineOrder::Kind::List);
    driver.core_.listDone(driver.orders_[0], std::vector<EngineAdapter>{}, driver.now_);
    driver.orders_.clear();
    driver.decide(kFencing + 1);
    REQUIRE(driver.orders_.size() == 1);
    CHECK(driver.orders_[0].kind_ == EngineOrder::Kind::Load);
    CHECK(driver.orders_[0].fencing_ == kFencing + 1);
}

// Guards against work on an adapter that another agent evicted while this one had no lease, and
// against a list from before that time.
TEST_CASE("a new fencing number reads the engine's slots before anything runs")
{
    Driver driver({.slots_ = 2});
    driver.submit("1", "a");
    driver.answer();
    driver.finish("1");
    driver.core_.requestList();
    driver.decide();
    REQUIRE(driver.orders_.size() == 1);
    const EngineOrder oldList = driver.orders_[0];
    driver.orders_.clear();
    driver.core_.submit(
        {.id_ = "2", .workspace_ = "w", .adapter_ = named("a"), .deadline_ = TimePoint::max()},
        driver.now_);
    driver.decide(kFencing + 1);
    driver.core_.listDone(oldList, std::vector<EngineAdapter>{{named("a"), 0}}, driver.now_);
    driver.decide(kFencing + 1);
    CHECK(!driver.isAdmitted("2"));
    driver.now_ += std::chrono::milliseconds(500);
    driver.decide(kFencing + 1);
    REQUIRE(driver.orders_.size() == 1);
    driver.core_.listDone(driver.orders_[0], std::vector<EngineAdapter>{}, driver.now_);
    driver.orders_.clear();
    driver.decide(kFencing + 1);
    CHECK(!driver.isAdmitted("2"));
    REQUIRE(driver.orders_.size() == 1);
    CHECK(driver.orders_[0].kind_ == EngineOrder::Kind::Load);
}

// Guards against a cold adapter that never gets a slot while busy ones keep theirs in use.
TEST_CASE("busy adapters do not keep all slots indefinitely")
{
    Driver driver({.slots_ = 2, .maxRunning_ = 4, .groupingSlack_ = 2});
    int next = 0;
    const auto submitBusy = [&] {
        for (const char *adapter : {"a", "b"})
            driver.submit(std::to_string(++next), adapter);
    };
    for (int i = 0; i < 4; ++i)
        submitBusy();
    while (!driver.orders_.empty())
        driver.answer();
    driver.submit("cold", "c");
    for (std::size_t i = 0; i < 40 && !driver.isAdmitted("cold"); ++i) {
        submitBusy();
        driver.finish(driver.admitted_.at(i));
        // A bound, because adapters that evict each other in turn would never end.
        for (int orders = 0; !driver.orders_.empty(); ++orders) {
            REQUIRE(orders < 10);
            driver.answer();
        }
    }
    CHECK(driver.isAdmitted("cold"));
}

// Guards against a suspect request that crashes the target while other requests run on it.
TEST_CASE("an exclusive request runs alone")
{
    Driver driver({.slots_ = 2, .maxRunning_ = 4});
    driver.submit("1", "a");
    driver.answer();
    WorkRequest suspect{
        .id_ = "s", .workspace_ = "w", .adapter_ = named("a"), .deadline_ = TimePoint::max()};
    suspect.exclusive_ = true;
    driver.core_.submit(suspect, driver.now_);
    driver.decide();
    driver.submit("2", "a");
    CHECK(driver.admitted_ == std::vector<std::string>{"1"});
    driver.finish("1");
    CHECK(driver.admitted_ == std::vector<std::string>{"1", "s"});
    driver.finish("s");
    CHECK(driver.isAdmitted("2"));
}

// Guards against a flood that fills the queue so that other workspaces are refused.
TEST_CASE("a full queue refuses the flooding workspace")
{
    Driver driver({.slots_ = 1, .maxRunning_ = 1, .maxWaiting_ = 3});
    for (const char *id : {"1", "2", "3"})
        driver.submit(id, "a", Priority::Chat, "flood");
    driver.submit("small", "a", Priority::Chat, "small");
    REQUIRE(driver.refused_.size() == 1);
    CHECK(driver.refused_.at("3").code_ == ErrorCode::Overloaded);
    CHECK(driver.refused_.at("3").retryAt_ > driver.now_);
}

// Guards against chat that waits behind the loads of batch work, and batch that never loads.
TEST_CASE("loads for chat go first, and batch after at most kMaxConsecutiveChat of them")
{
    Driver driver({.slots_ = 40, .maxRunning_ = 40, .maxLoads_ = 1});
    driver.submit("first", "first");
    driver.submit("batch", "batch", Priority::Batch);
    for (int i = 0; i < 20; ++i)
        driver.submit("c" + std::to_string(i), "c" + std::to_string(i));
    int loadsBefore = 0;
    while (driver.answer().adapter_ != named("batch"))
        ++loadsBefore;
    CHECK(loadsBefore > kMaxConsecutiveChat / 2);
    CHECK(loadsBefore <= kMaxConsecutiveChat + 1); // one was in flight before
}

// Guards against a restarted agent that evicts or loads before it knows what the engine runs.
TEST_CASE("after a restart adapters that the engine runs keep their slot")
{
    Driver driver({.slots_ = 1, .maxRunning_ = 2}, {{named("old"), 1}});
    driver.submit("1", "new");
    CHECK(driver.orders_.empty());
    driver.now_ += std::chrono::milliseconds(500);
    driver.decide();
    REQUIRE(driver.orders_.size() == 1);
    CHECK(driver.orders_[0].kind_ == EngineOrder::Kind::List);
    driver.core_.listDone(driver.orders_[0], std::vector<EngineAdapter>{{named("old"), 0}},
                          driver.now_);
    driver.orders_.clear();
    driver.decide();
    CHECK(driver.answer().kind_ == EngineOrder::Kind::Unload);
    driver.answer();
    CHECK(driver.isAdmitted("1"));
}

} // namespace
} // namespace foxtailturn
