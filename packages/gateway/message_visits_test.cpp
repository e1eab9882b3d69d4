// Counts what one message makes the gateway visit, in fleets of different sizes.

#include <functional>

#include <doctest/doctest.h>

#include "gateway/codec_testing.h"
#include "gateway/gateway.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kAdaptersPerTarget = 8;

// Which adapters the targets host.
enum class Spread {
    Even, // each has as many copies as a target has adapters
    Same, // each target hosts the same ones
};

std::string addressOf(std::size_t index)
{
    return "10." + std::to_string(index / 250) + ".0." + std::to_string(index % 250) + ":80";
}

TargetRecord recordOf(std::size_t index, std::int64_t startTimeMs = 1)
{
    TargetRecord record;
    record.instance_ = "i-" + std::to_string(index);
    record.service_ = "models";
    record.address_ = addressOf(index);
    record.startTimeMs_ = startTimeMs;
    return record;
}

// A gateway with engines that have reported their adapters.
class Fleet
{
public:
    explicit Fleet(std::size_t size, Spread spread = Spread::Even)
        : size_(size)
        , spread_(spread)
    {
        clock_.advance(std::chrono::hours(1));
        ServingConfig config;
        config.revision_ = 1;
        config.services_["models"].engine_ = EngineProfile{.models_ = {"m"}};
        gateway_.configure(std::move(config));
        gateway_.setLoadRequestHandler([this](const Target &, const std::string &,
                                              const std::string &,
                                              std::int64_t) { ++loadRequests_; });
        for (std::size_t i = 0; i < size; ++i) {
            targets().list(recordOf(i), gateway_.now());
            targets().setAgentConnected(addressOf(i), true);
            gateway_.onReport(addressOf(i), reportOf(i));
        }
        (void)targets().takeChangedAddresses();
    }

    [[nodiscard]] std::string adapterOf(std::size_t target, std::size_t slot) const
    {
        return "a" + std::to_string(spread_ == Spread::Same ? slot : (target + slot) % size_);
    }

    [[nodiscard]] SidecarReport reportOf(std::size_t target) const
    {
        SidecarReport report;
        report.engine_.startTimeMs_ = 1;
        HostedModel model{"m", {}};
        for (std::size_t slot = 0; slot < kAdaptersPerTarget; ++slot)
            model.adapters_[adapterOf(target, slot)] = 1;
        report.engine_.models_ = {model};
        return report;
    }

    void declare(const std::string &adapter, std::int64_t version)
    {
        gateway_.declareVersion({"m", adapter, version});
        gateway_.requestLoads();
    }

    // Returns what the action makes the gateway visit.
    std::uint64_t visitsOf(const std::function<void(Fleet &)> &action)
    {
        const std::uint64_t before = gateway_.visits();
        action(*this);
        return gateway_.visits() - before;
    }

    Gateway &gateway() { return gateway_; }
    TargetRegistry &targets() { return gateway_.targets(); }
    ManualClock &clock() { return clock_; }
    [[nodiscard]] int loadRequests() const { return loadRequests_; }

private:
    std::size_t size_;
    Spread spread_;
    asio::io_context context_;
    PlainCodec codec_;
    ManualClock clock_;
    ManualWallClock wallClock_;
    EventLog log_{"entry", wallClock_, [](std::string_view bytes) { return bytes.size(); }};
    MetricRegistry metrics_;
    Gateway gateway_{{context_, codec_, clock_, wallClock_, log_, metrics_},
                     {.name_ = "entry", .dataCentre_ = "", .unlistedGrace_ = milliseconds(1250)}};
    int loadRequests_ = 0;
};

constexpr std::size_t kTarget = 5; // the one that the messages are about

void reportLoad(Fleet &fleet)
{
    SidecarReport report = fleet.reportOf(kTarget);
    report.engine_.running_ = 7;
    fleet.gateway().onReport(addressOf(kTarget), report);
}

void reportAdapter(Fleet &fleet)
{
    SidecarReport report = fleet.reportOf(kTarget);
    report.engine_.models_.front().adapters_[fleet.adapterOf(kTarget, 0)] = 2;
    fleet.gateway().onReport(addressOf(kTarget), report);
}

void reportLoading(Fleet &fleet)
{
    SidecarReport report = fleet.reportOf(kTarget);
    report.engine_.loading_ = {"m/" + fleet.adapterOf(kTarget, 0)};
    fleet.gateway().onReport(addressOf(kTarget), report);
}

void listAgain(Fleet &fleet)
{
    fleet.targets().list(recordOf(kTarget), fleet.gateway().now());
}

void listRestarted(Fleet &fleet)
{
    fleet.targets().list(recordOf(kTarget, 2), fleet.gateway().now());
}

void listSuccessor(Fleet &fleet)
{
    TargetRecord record = recordOf(kTarget, 2);
    record.instance_ = "successor";
    fleet.targets().list(record, fleet.gateway().now());
}

void listCopy(Fleet &fleet)
{
    fleet.targets().listCopy(recordOf(kTarget), fleet.gateway().now());
}

void unlist(Fleet &fleet)
{
    fleet.targets().markUnlisted(recordOf(kTarget).instance_, fleet.gateway().now());
    for (const std::string &address : fleet.targets().takeChangedAddresses())
        (void)fleet.targets().atAddress(address);
}

void declareVersion(Fleet &fleet)
{
    fleet.declare(fleet.adapterOf(kTarget, 0), 2);
}

void refuseLoad(Fleet &fleet)
{
    Target &target = *fleet.targets().find(recordOf(kTarget).instance_);
    fleet.gateway().requestLoad(target, "m", "new");
    fleet.gateway().onLoadRefused(addressOf(kTarget), "m/new");
}

void loseLink(Fleet &fleet)
{
    fleet.targets().setAgentConnected(addressOf(kTarget), false);
    fleet.targets().setAgentConnected(addressOf(kTarget), true);
}

void tick(Fleet &fleet)
{
    fleet.targets().removeStale(fleet.gateway().now());
    fleet.targets().confirmCopies(fleet.gateway().now());
    fleet.gateway().requestLoads();
}

struct Case
{
    std::string name_;
    std::function<void(Fleet &)> action_;
};

const Case kMessages[] = {
    {"report of load figures", reportLoad},
    {"report of an adapter", reportAdapter},
    {"report of a load in progress", reportLoading},
    {"record again", listAgain},
    {"record of a restart", listRestarted},
    {"record of a successor", listSuccessor},
    {"record of a copy of the store", listCopy},
    {"record removed", unlist},
    {"load refused", refuseLoad},
    {"link lost and regained", loseLink},
};

} // namespace

// Guards against entries that spend their processor time on what targets report, since each message
// costs more in a larger fleet.
TEST_CASE("a message visits as much in a large fleet as in a small one")
{
    for (const Case &message : kMessages) {
        CAPTURE(message.name_);
        Fleet small(12);
        const std::uint64_t visits = small.visitsOf(message.action_);
        for (const std::size_t size : {120, 1200}) {
            CAPTURE(size);
            CHECK(Fleet(size).visitsOf(message.action_) == visits);
        }
    }
}

// Guards against the same while all copies of the adapters are outdated.
TEST_CASE("a message visits no other copies of an adapter that is being replaced everywhere")
{
    for (const Case &message : kMessages) {
        CAPTURE(message.name_);
        std::vector<std::uint64_t> visits;
        for (const std::size_t size : {12, 120, 1200}) {
            Fleet fleet(size, Spread::Same);
            for (std::size_t slot = 0; slot < kAdaptersPerTarget; ++slot)
                fleet.declare(fleet.adapterOf(kTarget, slot), 3);
            fleet.clock().advance(AdapterVersions::kGrace);
            visits.push_back(fleet.visitsOf(message.action_));
        }
        CHECK(visits[1] == visits[0]);
        CHECK(visits[2] == visits[0]);
    }
}

// Guards against version and timer passes over all targets.
TEST_CASE("a version visits the copies of its adapter, a timer the outdated ones")
{
    for (const std::size_t size : {12, 120, 1200}) {
        CAPTURE(size);
        Fleet fleet(size);
        CHECK(fleet.visitsOf(tick) == 0);
        CHECK(fleet.loadRequests() == 0);
        const std::uint64_t declaring = fleet.visitsOf(declareVersion);
        CHECK(fleet.loadRequests() == 1);
        CHECK(declaring >= kAdaptersPerTarget);
        CHECK(declaring < 5 * kAdaptersPerTarget);
        CHECK(fleet.visitsOf(tick) <= 2);
        fleet.clock().advance(AdapterVersions::kGrace);
        CHECK(fleet.visitsOf(tick) < 3 * kAdaptersPerTarget * kAdaptersPerTarget);
        CHECK(fleet.loadRequests() == 1 + kAdaptersPerTarget);
    }
}

} // namespace foxtailturn::gateway
