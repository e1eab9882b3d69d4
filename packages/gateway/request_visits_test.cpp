// What requests that wait for adapter loads cost an entry, counted as targets that placement looks
// at. See "What each message costs" in docs/design.md.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "gateway/codec_testing.h"
#include "gateway/gateway.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kService = "s";

// A caller that only counts what it gets.
struct Caller final : AnswerSink
{
    void sendAnswer(std::string) override { ++answers_; }
    void endAnswer() override { }
    void abortAnswer(AnswerBreak) override { }
    void endWithConnection() override { }
    bool closesAfterAnswer() const override { return false; }
    std::size_t unsentBytes() const override { return 0; }
    bool hasCallerLeft() override { return false; }

    int answers_ = 0;
};

std::string addressOf(int target)
{
    return "127.0.0." + std::to_string(1 + target / 200) + ":" + std::to_string(1 + target % 200);
}

std::string adapterOf(int index)
{
    return "a" + std::to_string(index);
}

ServingConfig configOf()
{
    ServingConfig config;
    config.revision_ = 1;
    Route route;
    route.name_ = "r";
    route.timeout_ = seconds(20);
    route.objective_ = seconds(1);
    config.routes_ = {route};
    Service service;
    service.name_ = kService;
    service.engine_ = EngineProfile{};
    service.engine_->models_ = {"m"};
    config.services_[kService] = service;
    return config;
}

// An entry with engines that host the model and no adapter. Nothing is sent: the loop doesn't run.
struct Entry
{
    explicit Entry(int targets)
    {
        gateway_.configure(configOf());
        for (int i = 0; i < targets; ++i) {
            TargetRecord record;
            record.instance_ = "e" + std::to_string(i);
            record.service_ = kService;
            record.address_ = addressOf(i);
            gateway_.targets().list(record, clock_.now());
            gateway_.onAgentState(record.address_, kService, true);
            report(i, {});
        }
    }

    void report(int target, const std::map<std::string, std::int64_t> &adapters)
    {
        SidecarReport report;
        report.engine_.models_ = {{"m", adapters}};
        gateway_.onReport(addressOf(target), report);
    }

    void startRequest(const std::string &adapter)
    {
        AdmittedRequest request;
        request.caller_.id_ = std::to_string(relays_.size());
        request.caller_.model_ = "m";
        request.caller_.adapter_ = adapter;
        request.caller_.promptTokens_ = 500;
        request.config_ = gateway_.config();
        request.route_ = request.config_->routes_.data();
        request.service_ = kService;
        request.receivedAt_ = clock_.now();
        request.deadline_ = clock_.now() + seconds(20);
        relays_.push_back(std::make_shared<Relay>(gateway_, std::move(request), caller_));
        relays_.back()->start();
    }

    // Returns the target that the adapter's load was requested from.
    [[nodiscard]] Target *loaderOf(const std::string &adapter)
    {
        for (Target *target : gateway_.targets().all()) {
            if (target->requestedLoads_.contains("m/" + adapter))
                return target;
        }
        return nullptr;
    }

    // Returns the visits since the last call.
    std::uint64_t takeVisits()
    {
        const std::uint64_t before = std::exchange(visits_, gateway_.placement(kService).visits());
        return visits_ - before;
    }

    asio::io_context context_;
    PlainCodec codec_;
    ManualClock clock_;
    SystemWallClock wallClock_;
    EventLog log_{"test", wallClock_, [](std::string_view bytes) { return bytes.size(); }};
    MetricRegistry metrics_;
    Gateway gateway_{{context_, codec_, clock_, wallClock_, log_, metrics_}, GatewayOptions{}};
    Caller caller_;
    std::vector<std::shared_ptr<Relay>> relays_;
    std::uint64_t visits_ = 0;
};

} // namespace

// Guards against a timer that is due at once, again and again, because of an earlier wait.
TEST_CASE("a request is not placed again before a target wants requests")
{
    Entry entry(1);
    entry.startRequest(adapterOf(0));
    REQUIRE(entry.gateway_.waiting().size() == 1);
    entry.clock_.advance(seconds(3)); // the wait for the load is over
    Target *target = entry.gateway_.targets().all().front();
    target->backoff_.recordRejection(entry.clock_.now(), milliseconds(200), 0);
    entry.relays_[0]->retryPlacement();
    REQUIRE(entry.relays_[0]->isWaiting());
    entry.takeVisits();
    entry.context_.run_for(milliseconds(20));
    CHECK(entry.takeVisits() == 0);
    entry.relays_[0]->cancel();
}

// Guards against events that place all waiting requests again.
TEST_CASE("an event places only the requests that it can help")
{
    for (const int targets : {12, 120, 1200}) {
        for (const int requests : {10, 100, 1000}) {
            CAPTURE(targets);
            CAPTURE(requests);
            Entry entry(targets);
            for (int i = 0; i < requests; ++i)
                entry.startRequest(adapterOf(i));
            REQUIRE(entry.gateway_.waiting().size() == static_cast<std::size_t>(requests));
            entry.takeVisits();

            entry.startRequest("another");
            const std::uint64_t placement = entry.takeVisits();
            CHECK(placement <= static_cast<std::uint64_t>(targets));

            Target *loader = entry.loaderOf(adapterOf(0));
            REQUIRE(loader != nullptr);
            const std::string address = loader->record_.address_;

            // A load that was refused, and one that the target has carried out.
            entry.gateway_.onLoadRefused(address, "m/" + adapterOf(0));
            CHECK(entry.takeVisits() == placement);
            loader = entry.loaderOf(adapterOf(1));
            REQUIRE(loader != nullptr);
            SidecarReport report;
            report.engine_.models_ = {{"m", {{adapterOf(1), 1}}}};
            entry.gateway_.onReport(loader->record_.address_, report);
            CHECK(entry.takeVisits() == placement);
            CHECK_FALSE(entry.relays_[1]->isWaiting());

            // A heartbeat of a target, and news of one.
            const TargetRecord record = entry.gateway_.targets().all().back()->record_;
            Gateway::retryWaiting(entry.gateway_.waitingForRecord(record, false));
            CHECK(entry.takeVisits() == 0);
            std::size_t atLoader = entry.gateway_.waiting().forTarget(record.address_).size();
            Gateway::retryWaiting(entry.gateway_.waitingForRecord(record, true));
            CHECK(entry.takeVisits() == atLoader * placement);

            // A link that is lost and regained.
            atLoader = entry.gateway_.waiting().forTarget(address).size();
            entry.gateway_.onAgentState(address, kService, false);
            CHECK(entry.takeVisits() == atLoader * placement);
            entry.gateway_.onAgentState(address, kService, true);
            CHECK(entry.takeVisits() == 0);

            // A request's look after its own load.
            loader = entry.loaderOf(adapterOf(2));
            REQUIRE(loader != nullptr);
            CHECK(entry.gateway_.isLoadUnderWay(loader->record_.instance_, "m/" + adapterOf(2)));
            CHECK(entry.takeVisits() == 0);
            for (const std::shared_ptr<Relay> &relay : entry.relays_)
                relay->cancel();
            CHECK(entry.gateway_.waiting().size() == 0);
        }
    }
}

} // namespace foxtailturn::gateway
