#include "gateway/target_registry.h"

#include <functional>
#include <optional>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

TargetRecord record(std::string instance, std::int64_t born = 1)
{
    TargetRecord result;
    result.instance_ = std::move(instance);
    result.service_ = "s";
    result.address_ = "10.0.0.1:80";
    result.startTimeMs_ = born;
    return result;
}

EngineReport reportOf(std::int64_t born)
{
    EngineReport report;
    report.startTimeMs_ = born;
    report.models_ = {{"m", {{"a1", 3}}}};
    return report;
}

constexpr Duration kUnlistedGrace = milliseconds(1250);
const TimePoint kStart = TimePoint(std::chrono::hours(1));

} // namespace

// Guards against routing to a restarted engine by the adapters that it had before the restart.
TEST_CASE("a restart under the same id discards the earlier state")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.list(record("i", 1), kStart);
    REQUIRE(registry.report("10.0.0.1:80", reportOf(1), kStart).target_ != nullptr);
    CHECK(registry.find("i")->versionOf("m", "a1") == 3);
    registry.find("i")->requestedLoads_["m/a2"] = {kStart};
    CHECK(registry.list(record("i", 2), kStart));
    CHECK_FALSE(registry.find("i")->versionOf("m", "a1"));
    CHECK(registry.find("i")->requestedLoads_.empty());
    CHECK(registry.report("10.0.0.1:80", reportOf(1), kStart).target_
          == nullptr); // late report of the old incarnation
}

// Guards against requests to a draining target, and against removing live targets whose records the
// store lost in its own outage.
TEST_CASE("draining targets get no requests at once, targets without a record after a grace time")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.list(record("calm"), kStart);
    TargetRecord leaving = record("leaving");
    registry.list(leaving, kStart);
    leaving.phase_ = TargetPhase::Draining;
    registry.list(leaving, kStart);
    CHECK(registry.availableTargets("s", kStart).size() == 1);
    registry.markUnlisted("calm", kStart);
    registry.markUnlisted("leaving", kStart);
    CHECK(registry.availableTargets("s", kStart + kUnlistedGrace - milliseconds(1)).size() == 1);
    CHECK(registry.availableTargets("s", kStart + kUnlistedGrace).empty());
    registry.list(record("calm"), kStart + milliseconds(2000));
    CHECK(registry.availableTargets("s", kStart + milliseconds(2000)).size() == 1);
}

// Guards against requests to a target that has said that it leaves, because its record says later
// that it is ready or is read again, and against a target that is unused after a restart.
TEST_CASE("a target that has said that it leaves gets no requests until it is started again")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.list(record("a"), kStart);
    CHECK(registry.markLeaving("a"));
    CHECK_FALSE(registry.markLeaving("a"));
    CHECK_FALSE(registry.markLeaving("unknown"));
    registry.list(record("a"), kStart);
    CHECK(registry.availableTargets("s", kStart).empty());
    registry.markUnlisted("a", kStart);
    registry.list(record("a"), kStart);
    registry.retainOnly({"a"}, kStart);
    CHECK(registry.availableTargets("s", kStart).empty());
    registry.report("10.0.0.1:80", reportOf(1), kStart);
    CHECK(registry.availableTargets("s", kStart).empty());
    SUBCASE("under its id")
    {
        registry.list(record("a", 2), kStart);
    }
    SUBCASE("under another id at its address")
    {
        registry.list(record("b", 2), kStart);
    }
    CHECK(registry.availableTargets("s", kStart).size() == 1);
}

// Guards against a target that stays in use although a full read of the table does not contain it.
TEST_CASE("keepOnly() unlists all other targets")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.list(record("a"), kStart);
    registry.list(record("b"), kStart);
    registry.retainOnly({"b"}, kStart);
    const auto later = kStart + std::chrono::seconds(5);
    REQUIRE(registry.availableTargets("s", later).size() == 1);
    CHECK(registry.availableTargets("s", later).front()->record_.instance_ == "b");
    registry.removeStale(kStart + std::chrono::seconds(60));
    CHECK(registry.all().size() == 1);
}

// Guards against requests to a target that has left, and against live targets without requests,
// behind a store that has come back from a copy.
TEST_CASE("a copy revives no target that has left, and drops none that is alive")
{
    TargetRecord draining = record("i");
    draining.phase_ = TargetPhase::Draining;
    enum class Known { Nothing, Ready, Draining, Unlisted, Restarted };
    struct Case
    {
        Known known_;
        std::optional<TargetRecord> copy_;
        bool isUsed_; // at once
        bool isUsedLater_; // while its record stays as the copy has it
    };
    const Case cases[] = {
        {Known::Nothing, record("i"), true, true},     {Known::Nothing, draining, false, false},
        {Known::Ready, record("i"), true, true},       {Known::Ready, draining, false, false},
        {Known::Ready, std::nullopt, true, false},     {Known::Draining, record("i"), false, false},
        {Known::Draining, record("i", 2), true, true}, // started again under the same id
        {Known::Draining, std::nullopt, false, false}, {Known::Unlisted, record("i"), false, true},
        {Known::Unlisted, std::nullopt, false, false}, {Known::Restarted, record("i"), true, true},
    };
    for (const Case &c : cases) {
        CAPTURE(static_cast<int>(c.known_));
        CAPTURE(c.copy_.has_value());
        TargetRegistry registry(kUnlistedGrace);
        if (c.known_ != Known::Nothing)
            registry.list(record("i"), kStart);
        if (c.known_ == Known::Draining)
            registry.list(draining, kStart);
        if (c.known_ == Known::Unlisted)
            registry.markUnlisted("i", kStart);
        if (c.known_ == Known::Restarted)
            registry.list(record("i", 2), kStart);
        const TimePoint restored = kStart + std::chrono::seconds(2);
        if (c.copy_)
            registry.listCopy(*c.copy_, restored);
        registry.retainOnlyCopy(
            c.copy_ ? std::vector<std::string>{"i"} : std::vector<std::string>(), restored);
        const auto isUsed = [&](TimePoint now) {
            registry.confirmCopies(now);
            return !registry.availableTargets("s", now).empty();
        };
        CHECK(isUsed(restored + milliseconds(1)) == c.isUsed_);
        CHECK(isUsed(restored + std::chrono::seconds(8)) == c.isUsedLater_);
        registry.list(record("i", 3), restored + std::chrono::seconds(9));
        CHECK(isUsed(restored + std::chrono::seconds(9)));
    }
}

// Guards against a target that a copy has brought back and whose record is removed again.
TEST_CASE("a record that goes again before it is believed lists nothing")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.list(record("i"), kStart);
    registry.markUnlisted("i", kStart);
    registry.listCopy(record("i"), kStart + std::chrono::seconds(2));
    registry.markUnlisted("i", kStart + std::chrono::seconds(4));
    CHECK_FALSE(registry.confirmCopies(kStart + std::chrono::seconds(20)));
    CHECK(registry.availableTargets("s", kStart + std::chrono::seconds(20)).empty());
}

// Guards against avoiding a failed target forever, or not at all.
TEST_CASE("the suspect time grows with consecutive failures and ends with a success")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.list(record("a"), kStart);
    Target &target = *registry.find("a");
    registry.failed(target, kStart);
    CHECK(target.isSuspect(kStart));
    CHECK_FALSE(target.isSuspect(kStart + milliseconds(250)));
    for (int i = 0; i < 10; ++i)
        registry.failed(target, kStart);
    CHECK(target.isSuspect(kStart + milliseconds(1900)));
    CHECK_FALSE(target.isSuspect(kStart + milliseconds(2000)));
    registry.succeeded(target);
    CHECK_FALSE(target.isSuspect(kStart));
}

// Guards against sending a request for an adapter while it is being replaced.
TEST_CASE("an adapter that is being loaded counts as absent")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.list(record("a"), kStart);
    EngineReport report = reportOf(1);
    report.loading_ = {"m/a1"};
    registry.report("10.0.0.1:80", report, kStart);
    CHECK_FALSE(registry.find("a")->versionOf("m", "a1"));
    CHECK(registry.find("a")->hostsModel("m"));
}

// Guards against requests to the stale record of a restarted target: after a power failure of all
// VMs, 177 requests were refused because each engine was listed twice (incident af1d).
TEST_CASE("of two records with the same address the one started last is used")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.list(record("old", 1), kStart);
    registry.report("10.0.0.1:80", reportOf(1), kStart);
    registry.list(record("new", 2), kStart);
    REQUIRE(registry.availableTargets("s", kStart).size() == 1);
    CHECK(registry.availableTargets("s", kStart).front()->record_.instance_ == "new");
    registry.list(record("old", 1), kStart); // a late heartbeat of the old incarnation
    CHECK(registry.availableTargets("s", kStart).size() == 1);
}

// Guards against an odd record that takes a live target out of use for good, by naming its address
// under another service.
TEST_CASE("a record of another service supersedes nothing")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.list(record("live", 1), kStart);
    TargetRecord odd = record("odd", 2);
    odd.service_ = "unknown";
    registry.list(odd, kStart);
    REQUIRE(registry.availableTargets("s", kStart).size() == 1);
    CHECK(registry.availableTargets("s", kStart).front()->record_.instance_ == "live");
    odd.address_ = "10.0.0.2:80";
    registry.list(odd, kStart);
    CHECK(registry.availableTargets("s", kStart).size() == 1);
}

// Guards against sidecar links that stay open to targets that have left, and against links that are
// missing, since the registry did not tell where targets were listed or unlisted.
TEST_CASE("addresses change where targets are listed, moved or unlisted")
{
    TargetRegistry registry(kUnlistedGrace);
    using Addresses = std::set<std::string>;
    const auto changed = [&registry] { return registry.takeChangedAddresses(); };
    TargetRecord moved = record("a");
    moved.address_ = "10.0.0.2:80";
    registry.list(record("a"), kStart);
    CHECK(changed() == Addresses{"10.0.0.1:80"});
    CHECK(changed().empty());
    registry.list(record("a"), kStart); // a heartbeat
    CHECK(changed().empty());
    registry.list(moved, kStart);
    CHECK(changed() == Addresses{"10.0.0.1:80", "10.0.0.2:80"});
    CHECK(registry.atAddress("10.0.0.1:80").empty());
    CHECK(registry.atAddress("10.0.0.2:80").size() == 1);
    registry.markUnlisted("a", kStart);
    CHECK(changed() == Addresses{"10.0.0.2:80"});
    registry.markUnlisted("a", kStart);
    CHECK(changed().empty());
    registry.listCopy(moved, kStart);
    CHECK(registry.confirmCopies(kStart + std::chrono::seconds(8)));
    CHECK(changed() == Addresses{"10.0.0.2:80"});
    registry.retainOnly({}, kStart);
    CHECK(changed() == Addresses{"10.0.0.2:80"});
    registry.removeStale(kStart + std::chrono::seconds(60));
    CHECK(registry.atAddress("10.0.0.2:80").empty());
    CHECK(registry.all().empty());
}

// Guards against an index that misses a change of a target, so that requests find adapters that are
// gone, or none.
TEST_CASE("hosts of adapters follow each change of a target")
{
    TargetRegistry registry(kUnlistedGrace);
    const auto hostOf = [&registry](const std::string &name) -> std::optional<AdapterHost> {
        const AdapterHosts::Hosts &hosts = registry.hosts().hostsOf(name);
        return hosts.empty() ? std::nullopt : std::optional(hosts.begin()->second);
    };
    TargetRecord withModels = record("a");
    withModels.models_ = {{"m", {{"a0", 1}}}};
    registry.list(withModels, kStart);
    CHECK(hostOf("m/a0") == AdapterHost{.version_ = 1});
    registry.report("10.0.0.1:80", reportOf(1), kStart);
    CHECK(hostOf("m/a0") == std::nullopt);
    CHECK(hostOf("m/a1") == AdapterHost{.version_ = 3});
    registry.setAgentConnected("10.0.0.1:80", true);
    CHECK(hostOf("m/a1") == AdapterHost{.version_ = 3, .isAgentConnected_ = true});
    Target &target = *registry.find("a");
    registry.recordLoadRequest(target, "m/a2", {kStart});
    CHECK(hostOf("m/a2") == AdapterHost{.isRequested_ = true, .isAgentConnected_ = true});
    registry.forgetLoadRequest(target, "m/a2");
    CHECK(hostOf("m/a2") == std::nullopt);
    registry.recordLoadRequest(target, "m/a2", {kStart});
    registry.setAgentConnected("10.0.0.1:80", false);
    CHECK(hostOf("m/a2") == std::nullopt);
    registry.markSuperseded(target);
    CHECK(hostOf("m/a1") == AdapterHost{.version_ = 3, .isSuperseded_ = true});
    registry.list(record("a", 2), kStart);
    CHECK(hostOf("m/a1") == std::nullopt);
    registry.list(withModels, kStart);
    CHECK(hostOf("m/a0") == AdapterHost{.version_ = 1});
    registry.markUnlisted("a", kStart);
    registry.removeStale(kStart + std::chrono::seconds(60));
    CHECK(hostOf("m/a0") == std::nullopt);
}

// Guards against the same failure before the new record is in the store: the sidecar's report comes
// first.
TEST_CASE("a report of a later incarnation supersedes the earlier one")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.list(record("old", 1), kStart);
    CHECK(registry.report("10.0.0.1:80", reportOf(2), kStart).target_ == nullptr);
    CHECK(registry.availableTargets("s", kStart).empty());
    registry.list(record("old", 2), kStart); // restarted under the same id
    CHECK(registry.availableTargets("s", kStart).size() == 1);
    registry.markSuperseded(*registry.find("old"));
    CHECK(registry.availableTargets("s", kStart).empty());
}

// Guards against requests that are not woken when the adapter they wait for is loaded, and against
// waking all of them with each report of load figures.
TEST_CASE("a report returns the adapters that have changed")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.list(record("i-1"), kStart);
    const auto changes = [&registry](std::map<std::string, std::int64_t> adapters,
                                     std::vector<std::string> loading, int running) {
        EngineReport report = reportOf(1);
        report.models_ = {{"m", std::move(adapters)}};
        report.loading_ = std::move(loading);
        report.running_ = running;
        return registry.report("10.0.0.1:80", report, kStart).names_;
    };
    using Names = std::set<std::string>;
    CHECK(changes({{"a1", 1}}, {}, 0) == Names{"m", "m/a1"});
    CHECK(changes({{"a1", 1}}, {}, 7) == Names{});
    CHECK(changes({{"a1", 1}, {"a2", 1}}, {"m/a2"}, 7) == Names{"m/a2"});
    CHECK(changes({{"a1", 1}, {"a2", 1}}, {}, 7) == Names{"m/a2"});
    CHECK(changes({{"a1", 2}, {"a2", 1}}, {}, 7) == Names{"m/a1"});
    CHECK(changes({{"a1", 2}}, {"m/a3"}, 7) == Names{"m/a2", "m/a3"});
    CHECK(changes({{"a1", 2}}, {}, 7) == Names{"m/a3"}); // the load failed
}

// Guards against requests that reach a target after its drain notice has run out: the interval
// between two reads of the records and the grace time of a removed one add up.
TEST_CASE("read interval and grace time of removed records fit into the drain notice")
{
    for (const int notice : {0, 300, 1'000, 2'000, 3'000, 60'000}) {
        CAPTURE(notice);
        const TargetTimes times = targetTimesFor(milliseconds(notice));
        CHECK(times.unlistedGrace_ >= Duration::zero());
        const Duration latest = times.pause_ + times.unlistedGrace_ + milliseconds(100);
        CHECK((latest < milliseconds(notice) || times.unlistedGrace_ == Duration::zero()));
    }
    CHECK(targetTimesFor(milliseconds(2'000))
          == TargetTimes{milliseconds(500), milliseconds(1'250)});
    // Guards against needless calls of the store, one a second from each of 68 entries.
    CHECK(targetTimesFor(milliseconds(4'000))
          == TargetTimes{milliseconds(1'600), milliseconds(2'150)});
}

// Guards against a target that is taken for warm although it has just started.
TEST_CASE("a target that may have started lately is held for cold")
{
    constexpr Duration kColdTime = milliseconds(3000);
    const TimePoint later = kStart + std::chrono::seconds(60);
    struct Case
    {
        const char *name_;
        std::function<void(TargetRegistry &registry)> change_;
        Duration coldFor_;
    };
    const auto listCold = [&](TargetRegistry &registry, Duration coldFor) {
        TargetRecord target = record("i");
        target.coldFor_ = coldFor;
        registry.list(target, later);
    };
    const Case cases[] = {
        {"listed at the start", [](TargetRegistry &) {}, Duration::zero()},
        {"its heartbeat", [&](TargetRegistry &r) { r.list(record("i"), later); }, Duration::zero()},
        {"started again", [&](TargetRegistry &r) { r.list(record("i", 2), later); }, kColdTime},
        {"its record is back",
         [&](TargetRegistry &r) {
             r.markUnlisted("i", later);
             r.list(record("i"), later);
         },
         kColdTime},
        {"its record says so", [&](TargetRegistry &r) { listCold(r, milliseconds(700)); },
         milliseconds(700)},
        {"its record was late",
         [&](TargetRegistry &r) {
             r.list(record("i", 2), later);
             listCold(r, milliseconds(700));
         },
         kColdTime},
        {"its data centre was emptied and taken back",
         [&](TargetRegistry &r) {
             r.setEvacuated({record("i").dataCentre_}, kStart);
             r.setEvacuated({}, later);
         },
         kColdTime},
        {"it has been up for a while",
         [&](TargetRegistry &r) {
             r.presumeCold(*r.find("i"), later, placement::ColdReason::Returned,
                           milliseconds(2000));
         },
         milliseconds(1000)},
        {"it has been up for long",
         [&](TargetRegistry &r) {
             r.presumeCold(*r.find("i"), later, placement::ColdReason::Returned, kColdTime);
         },
         Duration::zero()},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        for (const bool isBounded : {true, false}) {
            TargetRegistry registry(kUnlistedGrace);
            if (isBounded)
                registry.setColdTimes({{"s", kColdTime}});
            registry.list(record("i"), kStart);
            registry.retainOnly({"i"}, kStart);
            c.change_(registry);
            const bool isCold = isBounded && c.coldFor_ > Duration::zero();
            CHECK(registry.find("i")->cold_.isCold(later) == isCold);
            CHECK_FALSE(registry.find("i")->cold_.isCold(later + c.coldFor_));
            registry.markUnreachable(*registry.find("i"));
            CHECK(registry.find("i")->cold_.isUnreachable() == isBounded);
        }
    }
}

TEST_CASE("a target that comes after the first read of the store is held for cold until it is warm")
{
    TargetRegistry registry(kUnlistedGrace);
    registry.setColdTimes({{"s", milliseconds(3000)}});
    registry.list(record("first"), kStart);
    registry.retainOnly({"first"}, kStart);
    registry.list(record("second", 2), kStart);
    std::vector<std::string> news;
    const auto review = [&](TimePoint now) {
        news.clear();
        return registry.reviewCold(
            now, [&](const Target &target) { news.push_back("cold " + target.record_.instance_); },
            [&](const Target &target) { news.push_back("warm " + target.record_.instance_); });
    };
    CHECK(review(kStart) == 1);
    CHECK(news == std::vector<std::string>{"cold second"});
    CHECK(review(kStart + milliseconds(2999)) == 1);
    CHECK(news.empty());
    CHECK(review(kStart + milliseconds(3000)) == 0);
    CHECK(news == std::vector<std::string>{"warm second"});
}

} // namespace foxtailturn::gateway
