#include "gateway/waiting_requests.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "gateway/placement.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

struct Request : WaitingRequest
{
    void retryPlacement() override { ++retries_; }

    int retries_ = 0;
};

std::string addressOf(int index)
{
    return "10.0.0.1:" + std::to_string(100 + index);
}

std::string instanceOf(int index)
{
    return "e" + std::to_string(index);
}

std::string adapterOf(std::size_t index)
{
    return "a" + std::to_string(index);
}

// Engines of one service whose loads are what requests wait for, and the requests, each of which
// waits as Relay does. The clock moves on by next().
class Fleet
{
public:
    struct Waiter : WaitingRequest
    {
        explicit Waiter(Fleet &fleet)
            : fleet_(fleet)
        { }

        void retryPlacement() override
        {
            if (!isSent_)
                fleet_.place(*this);
        }

        Fleet &fleet_;
        std::weak_ptr<Waiter> self_;
        PlacementRequest request_;
        std::string loading_; // instance
        TimePoint placeAt_ = TimePoint::max();
        TimePoint reviewAt_ = TimePoint::max();
        bool isSent_ = false;
        TimePoint possibleSince_ = TimePoint::max(); // a full retry would have sent it from here on
        TimePoint uselessSince_ = TimePoint::max(); // what it waits for can't come any more
    };

    Fleet(int engines, std::uint32_t seed)
        : random_(seed)
    {
        for (int i = 0; i < engines; ++i) {
            TargetRecord record;
            record.instance_ = instanceOf(i);
            record.service_ = "s";
            record.address_ = addressOf(i);
            record.startTimeMs_ = 1;
            registry_.list(record, now_);
            registry_.setAgentConnected(record.address_, true);
            EngineReport report;
            report.startTimeMs_ = 1;
            report.models_ = {{"m", {}}};
            registry_.report(record.address_, report, now_);
        }
    }

    int random(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }

    Target &target(int index) { return *registry_.find(instanceOf(index)); }

    void addRequest(int adapters)
    {
        const auto waiter = std::make_shared<Waiter>(*this);
        waiter->self_ = waiter;
        waiter->request_.isEngine_ = true;
        waiter->request_.model_ = "m";
        waiter->request_.adapter_ = adapterOf(static_cast<std::size_t>(random(adapters)));
        waiter->request_.promptTokens_ = 500;
        waiters_.push_back(waiter);
        place(*waiter);
    }

    void place(Waiter &waiter)
    {
        waiter.placeAt_ = waiter.reviewAt_ = TimePoint::max();
        const PlacementChoice choice = choiceFor(waiter);
        if (choice.target_ == nullptr || !choice.needsLoad_) {
            if (choice.target_ == nullptr && choice.opensAt_) {
                waiter.placeAt_ = *choice.opensAt_;
                waiting_.add(waiter.self_.lock(),
                             {.service_ = "s", .adapter_ = {}, .address_ = {}});
                return;
            }
            waiter.isSent_ = true;
            ++sent_;
            waiting_.remove(waiter);
            return;
        }
        const std::string name = nameOf(waiter);
        Target &target = *choice.target_;
        const auto requested = target.requestedLoads_.find(name);
        if (requested == target.requestedLoads_.end()
            || now_ - requested->second.at_ >= std::chrono::seconds(2))
            target.requestedLoads_[name] = {now_};
        waiter.loading_ = target.record_.instance_;
        waiter.reviewAt_ = now_ + WaitingRequests::kReviewInterval;
        if (choice.isHostPassedOver_)
            waiter.placeAt_ = waiter.reviewAt_;
        waiting_.add(waiter.self_.lock(),
                     {.service_ = "s", .adapter_ = name, .address_ = target.record_.address_});
    }

    // Events, as Gateway and EntryNode handle them.
    void onReport(int index, const EngineReport &report)
    {
        const AdapterChanges changes = registry_.report(addressOf(index), report, now_);
        if (changes.target_ == nullptr)
            return;
        std::erase_if(changes.target_->requestedLoads_, [&](const auto &requested) {
            return changes.target_->versionOf("m", requested.first.substr(2)).has_value();
        });
        for (const std::string &name : changes.names_)
            retry(waiting_.forAdapter("s", name));
    }

    void onRefusal(int index, const std::string &name)
    {
        const auto requested = target(index).requestedLoads_.find(name);
        if (requested != target(index).requestedLoads_.end())
            requested->second.at_ = now_ - placement_.loadTimeout();
        retry(waiting_.forLoad(addressOf(index), name));
    }

    void onAgentState(int index, bool isConnected)
    {
        registry_.setAgentConnected(addressOf(index), isConnected);
        retry(isConnected ? waiting_.forService("s") : waiting_.forTarget(addressOf(index)));
    }

    void onRecord(const TargetRecord &record)
    {
        if (!registry_.list(record, now_))
            return;
        WaitingRequests::Selection helped = waiting_.forService("s");
        helped.merge(waiting_.forTarget(record.address_));
        const Target *target = registry_.find(record.instance_);
        for (const HostedModel &model : target->hostedModels()) {
            for (const auto &[adapter, version] : model.adapters_)
                helped.merge(waiting_.forAdapter("s", "m/" + adapter));
        }
        retry(helped);
    }

    // Moves the clock on and runs the requests' own timers.
    void next(Duration step)
    {
        now_ += step;
        for (const std::shared_ptr<Waiter> &waiter : waiters_) {
            if (waiter->isSent_)
                continue;
            if (now_ >= waiter->placeAt_)
                place(*waiter);
            else if (now_ >= waiter->reviewAt_)
                review(*waiter);
        }
    }

    // Compares with a placement of all requests. What an event has made possible at the changed
    // target must have been used at once, anything else within the review interval.
    void compareWithFullRetry(const Target *changed)
    {
        std::erase_if(waiters_, [](const auto &waiter) { return waiter->isSent_; });
        for (const std::shared_ptr<Waiter> &waiter : waiters_) {
            const PlacementChoice choice = choiceFor(*waiter);
            const bool wouldSend = choice.target_ != nullptr && !choice.needsLoad_;
            const bool isNews = wouldSend && waiter->possibleSince_ == TimePoint::max();
            waiter->possibleSince_ =
                wouldSend ? std::min(waiter->possibleSince_, now_) : TimePoint::max();
            if (isNews && choice.target_ == changed)
                FAIL_CHECK("not woken for " << changed->record_.instance_);
            const Target *loading = registry_.find(waiter->loading_);
            const bool isUseless = choice.needsLoad_ && choice.target_ != loading
                && (loading == nullptr || !loading->isInService() || now_ >= loading->usableUntil_
                    || !loading->isAgentConnected_ || loading->isSuspect(now_)
                    || loading->backoff_.isClosed(now_)
                    || !loading->requestedLoads_.contains(nameOf(*waiter)));
            waiter->uselessSince_ =
                isUseless ? std::min(waiter->uselessSince_, now_) : TimePoint::max();
            const TimePoint latest = now_ - WaitingRequests::kReviewInterval;
            if (waiter->possibleSince_ < latest)
                FAIL_CHECK("waits though it could be sent");
            if (waiter->uselessSince_ < latest)
                FAIL_CHECK("waits for a load that can't come");
        }
    }

    [[nodiscard]] TimePoint now() const { return now_; }
    [[nodiscard]] int sent() const { return sent_; }
    TargetRegistry &registry() { return registry_; }

private:
    static std::string nameOf(const Waiter &waiter) { return "m/" + waiter.request_.adapter_; }

    PlacementChoice choiceFor(const Waiter &waiter)
    {
        return placement_.choose(registry_.availableTargets("s", now_), waiter.request_, now_);
    }

    void review(Waiter &waiter)
    {
        const Target *target = registry_.find(waiter.loading_);
        if (target == nullptr || !placement_.isLoadUnderWay(*target, nameOf(waiter), now_))
            place(waiter);
        else
            waiter.reviewAt_ = now_ + WaitingRequests::kReviewInterval;
    }

    static void retry(const WaitingRequests::Selection &requests)
    {
        for (const auto &[number, request] : requests)
            request->retryPlacement();
    }

    std::mt19937 random_;
    TimePoint now_ = kStart;
    TargetRegistry registry_{milliseconds(1500)};
    Placement placement_;
    WaitingRequests waiting_;
    std::vector<std::shared_ptr<Waiter>> waiters_;
    int sent_ = 0;
};

// Reports the target's loads as done or begun, as an engine does.
void reportSome(Fleet &fleet, int index, int adapters)
{
    Target &target = fleet.target(index);
    EngineReport report = target.report_;
    report.startTimeMs_ = target.record_.startTimeMs_;
    if (report.models_.empty())
        report.models_ = {{"m", {}}};
    report.loading_.clear();
    for (const auto &[name, load] : target.requestedLoads_) {
        if (fleet.random(2) == 0)
            report.models_[0].adapters_[name.substr(2)] = 1;
        else
            report.loading_.push_back(name);
    }
    if (fleet.random(4) == 0)
        report.models_[0].adapters_.erase(
            adapterOf(static_cast<std::size_t>(fleet.random(adapters))));
    fleet.onReport(index, report);
}

// Returns the target that an event was about; null if no event told of the change.
const Target *playEvent(Fleet &fleet, int engines, int adapters)
{
    const int index = fleet.random(engines);
    Target &target = fleet.target(index);
    switch (fleet.random(8)) {
    case 0:
        fleet.addRequest(adapters);
        return nullptr;
    case 1:
    case 2:
        reportSome(fleet, index, adapters);
        return &target;
    case 3:
        fleet.onAgentState(index, fleet.random(3) > 0);
        return &target;
    case 4:
        fleet.onRefusal(index, "m/" + adapterOf(static_cast<std::size_t>(fleet.random(adapters))));
        return &target;
    case 5: {
        TargetRecord record = target.record_;
        record.phase_ = fleet.random(3) == 0 ? TargetPhase::Draining : TargetPhase::Ready;
        if (fleet.random(3) == 0) {
            ++record.startTimeMs_;
            record.models_ = {{"m", {{adapterOf(0), 1}}}};
        }
        fleet.onRecord(record);
        return &target;
    }
    case 6:
        fleet.registry().failed(target, fleet.now());
        return nullptr;
    default:
        target.report_.running_ = fleet.random(200);
        target.backoff_.recordRejection(fleet.now(), milliseconds(fleet.random(400)), 0);
        return nullptr;
    }
}

} // namespace

// Guards against a request that an index misses.
TEST_CASE("waiting requests are found by what they wait for")
{
    WaitingRequests waiting;
    const auto first = std::make_shared<Request>();
    const auto second = std::make_shared<Request>();
    const auto third = std::make_shared<Request>();
    waiting.add(first, {"s", "m/a1", "x:1"});
    waiting.add(second, {"s", "m/a2", "x:1"});
    waiting.add(third, {"s", "", ""});
    using Selection = WaitingRequests::Selection;
    CHECK(waiting.forAdapter("s", "m/a1") == Selection{{1, first}});
    CHECK(waiting.forAdapter("other", "m/a1").empty());
    CHECK(waiting.forAdapter("s", "").empty());
    CHECK(waiting.forLoad("x:1", "m/a2") == Selection{{2, second}});
    CHECK(waiting.forTarget("x:1") == Selection{{1, first}, {2, second}});
    CHECK(waiting.forTarget("x:").empty());
    CHECK(waiting.forService("s") == Selection{{3, third}});
    waiting.add(first, {"s", "m/a1", "x:2"}); // moved to another target
    CHECK(waiting.forTarget("x:1") == Selection{{2, second}});
    CHECK(waiting.forTarget("x:2") == Selection{{1, first}});
    waiting.remove(*first);
    waiting.remove(*first);
    CHECK(waiting.forAdapter("s", "m/a1").empty());
    CHECK(waiting.size() == 2);
    CHECK(waiting.all() == Selection{{2, second}, {3, third}});
}

// Guards against work for one event that grows with the number of waiting requests.
TEST_CASE("an event wakes only the requests that it can help")
{
    for (const int count : {10, 100, 1000}) {
        WaitingRequests waiting;
        std::vector<std::shared_ptr<Request>> requests;
        for (int i = 0; i < count; ++i) {
            requests.push_back(std::make_shared<Request>());
            waiting.add(requests.back(),
                        {"s", "m/" + adapterOf(static_cast<std::size_t>(i)), addressOf(i)});
        }
        CAPTURE(count);
        CHECK(waiting.forAdapter("s", "m/a3").size() == 1);
        CHECK(waiting.forLoad(addressOf(3), "m/a3").size() == 1);
        CHECK(waiting.forTarget(addressOf(3)).size() == 1);
        CHECK(waiting.forService("s").empty());
    }
}

// Guards against a request that waits longer than if all were placed again at each event and 250 ms
// after the last.
TEST_CASE("a request waits no longer than with a placement of all requests at each event")
{
    constexpr int kAdapters = 12;
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        const int engines = seed % 2 == 0 ? 3 : 20;
        Fleet fleet(engines, seed);
        for (int step = 0; step < 300; ++step) {
            CAPTURE(step);
            fleet.next(milliseconds(fleet.random(20)));
            fleet.compareWithFullRetry(nullptr);
            fleet.compareWithFullRetry(playEvent(fleet, engines, kAdapters));
        }
        CHECK(fleet.sent() > 10);
    }
}

} // namespace foxtailturn::gateway
