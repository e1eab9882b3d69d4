// Which loads the gateway requests from sidecars by itself.

#include <doctest/doctest.h>

#include "gateway/codec_testing.h"
#include "gateway/gateway.h"

namespace foxtailturn::gateway {

namespace {

std::string addressOf(int index)
{
    return "10.0.0." + std::to_string(index) + ":80";
}

// A gateway with two services of engines, each of which may host the models m and n.
class Fixture
{
public:
    Fixture()
    {
        clock_.advance(std::chrono::hours(1));
        ServingConfig config;
        config.revision_ = 1;
        config.services_["s"].engine_ = EngineProfile{.models_ = {"m", "n"}};
        config.services_["other"].engine_ = EngineProfile{.models_ = {"m", "n"}};
        config.services_["plain"] = {};
        gateway_.configure(std::move(config));
        gateway_.setLoadRequestHandler([this](const Target &target, const std::string &model,
                                              const std::string &adapter, std::int64_t version) {
            requests_.push_back(target.record_.instance_ + " " + adapterName(model, adapter) + " "
                                + std::to_string(version));
        });
    }

    // Lists the next target and reports its models.
    void add(const std::string &service, std::vector<HostedModel> models)
    {
        const int index = targets_++;
        TargetRecord record;
        record.instance_ = std::to_string(index);
        record.service_ = service;
        record.address_ = addressOf(index);
        record.startTimeMs_ = 1;
        registry().list(record, gateway_.now());
        registry().setAgentConnected(record.address_, true);
        report(index, std::move(models));
    }

    void report(int index, std::vector<HostedModel> models)
    {
        SidecarReport report;
        report.engine_.startTimeMs_ = 1;
        report.engine_.models_ = std::move(models);
        gateway_.onReport(addressOf(index), report);
    }

    // Returns the requests of one pass, as INSTANCE NAME VERSION.
    std::vector<std::string> requests()
    {
        gateway_.requestLoads();
        return std::exchange(requests_, {});
    }

    Gateway &gateway() { return gateway_; }
    TargetRegistry &registry() { return gateway_.targets(); }
    ManualClock &clock() { return clock_; }
    Target &target(int index) { return *registry().find(std::to_string(index)); }

private:
    asio::io_context context_;
    PlainCodec codec_;
    ManualClock clock_;
    ManualWallClock wallClock_;
    EventLog log_{"entry", wallClock_, [](std::string_view bytes) { return bytes.size(); }};
    MetricRegistry metrics_;
    Gateway gateway_{{context_, codec_, clock_, wallClock_, log_, metrics_},
                     {.name_ = "entry", .dataCentre_ = ""}};
    std::vector<std::string> requests_;
    int targets_ = 0;
};

using Requests = std::vector<std::string>;
using Models = std::vector<HostedModel>;

const Models kM = {{"m", {}}};
const Models kN = {{"n", {}}};

} // namespace

// Guards against engines that stay empty after a restart, and against a model that no engine hosts
// while others have several copies.
TEST_CASE("an engine without a model gets the one with the fewest copies in its service")
{
    struct Case
    {
        std::vector<std::pair<std::string, Models>> others_; // service and models
        std::string model_;
    };
    const Case cases[] = {
        {{}, "m"},
        {{{"s", kM}}, "n"},
        {{{"s", kM}, {"s", kN}}, "m"},
        {{{"s", kM}, {"s", kN}, {"s", kM}}, "n"},
        {{{"s", kN}, {"other", kM}, {"other", kM}}, "m"},
        {{{"s", {{"m", {{"n", 1}}}}}}, "n"}, // an adapter that is called like a model
    };
    for (const Case &c : cases) {
        Fixture fixture;
        fixture.add("s", {});
        for (const auto &[service, models] : c.others_)
            fixture.add(service, models);
        CHECK(fixture.requests() == Requests{"0 " + c.model_ + " 0"});
        CHECK(fixture.requests().empty()); // requested a short time ago
        fixture.clock().advance(std::chrono::seconds(2));
        CHECK(fixture.requests() == Requests{"0 " + c.model_ + " 0"});
        fixture.report(0, kM);
        fixture.clock().advance(std::chrono::seconds(2));
        CHECK(fixture.requests().empty());
    }
}

// Guards against load requests to targets that can't or won't serve the model.
TEST_CASE("only engines that are in service and in reach get a model")
{
    Fixture fixture;
    for (int i = 0; i < 4; ++i)
        fixture.add("s", {});
    fixture.add("plain", {});
    fixture.add("unknown", {});
    fixture.registry().setAgentConnected(addressOf(1), false);
    fixture.registry().markSuperseded(fixture.target(2));
    fixture.registry().markLeaving("3");
    TargetRecord unreported;
    unreported.instance_ = "unreported";
    unreported.service_ = "s";
    unreported.address_ = addressOf(99);
    fixture.registry().list(unreported, fixture.gateway().now());
    fixture.registry().setAgentConnected(addressOf(99), true);
    CHECK(fixture.requests() == Requests{"0 m 0"});
}

// Guards against a load that is taken to be in progress after it ended, was refused or its link was
// lost.
TEST_CASE("a requested load is forgotten when the adapter is there")
{
    Fixture fixture;
    fixture.add("s", kM);
    Target &target = fixture.target(0);
    const auto isRequested = [&] { return target.requestedLoads_.contains("m/a"); };
    fixture.gateway().declareVersion({"m", "a", 2});
    fixture.gateway().requestLoad(target, "m", "a");
    CHECK(isRequested());
    fixture.report(0, {{"m", {{"a", 1}}}}); // an older version
    CHECK(isRequested());
    fixture.report(0, {{"m", {{"a", 2}}}});
    CHECK_FALSE(isRequested());
    fixture.gateway().requestLoad(target, "m", "a");
    const TimePoint at = target.requestedLoads_.at("m/a").at_;
    fixture.gateway().onLoadRefused(addressOf(0), "m/a");
    CHECK(target.requestedLoads_.at("m/a").at_ < at); // taken to have failed
    fixture.gateway().onLoadRefused(addressOf(0), "m/b");
    CHECK_FALSE(target.requestedLoads_.contains("m/b"));
    fixture.registry().setAgentConnected(addressOf(0), false);
    CHECK_FALSE(isRequested());
}

} // namespace foxtailturn::gateway
