#include "gateway/adapter_hosts.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

Target targetOf(const std::string &instance, std::vector<HostedModel> models)
{
    Target target;
    target.record_.instance_ = instance;
    target.report_.models_ = std::move(models);
    target.reportedAt_ = kStart;
    return target;
}

} // namespace

// Guards against requests that find no target although one hosts or loads their adapter.
TEST_CASE("hosts of an adapter are found by its name")
{
    AdapterHosts hosts;
    Target b = targetOf("b", {{"m", {{"a1", 2}, {"a2", 1}}}});
    Target a = targetOf("a", {{"m", {{"a1", 1}}}});
    a.report_.loading_ = {"m/a2"};
    a.requestedLoads_["m/a3"] = {kStart};
    hosts.update(b);
    hosts.update(a);
    REQUIRE(hosts.hostsOf("m/a1").size() == 2);
    CHECK(hosts.hostsOf("m/a1").begin()->first == &a);
    CHECK(hosts.hostsOf("m/a1").at(&a).version_ == 1);
    CHECK(hosts.hostsOf("m/a1").at(&b).version_ == 2);
    CHECK(hosts.hostsOf("m/a2").at(&a) == AdapterHost{.isLoading_ = true});
    CHECK_FALSE(hosts.hostsOf("m/a2").at(&a).isUsable());
    CHECK(hosts.hostsOf("m/a2").at(&b).isUsable());
    CHECK(hosts.hostsOf("m/a3").at(&a) == AdapterHost{.isRequested_ = true});
    CHECK(hosts.hostsOf("m").at(&a).version_ == 0);
    CHECK(hosts.hostsOf("m/none").empty());
}

// Guards against copies that stay in the index after they were unloaded, and against entries of
// targets that no longer exist.
TEST_CASE("an update replaces what the target had, and a removed target has nothing")
{
    AdapterHosts hosts;
    Target a = targetOf("a", {{"m", {{"a1", 1}, {"a2", 1}}}});
    hosts.update(a);
    a.report_.models_ = {{"m", {{"a2", 2}}}};
    a.isAgentConnected_ = true;
    hosts.update(a);
    CHECK(hosts.hostsOf("m/a1").empty());
    CHECK(hosts.hostsOf("m/a2").at(&a) == AdapterHost{.version_ = 2, .isAgentConnected_ = true});
    CHECK(hosts.targetsWithoutModel().empty());
    a.report_.models_.clear();
    hosts.update(a);
    CHECK(hosts.targetsWithoutModel().contains(&a));
    hosts.remove(a);
    CHECK(hosts.hostsOf("m/a2").empty());
    CHECK(hosts.targetsWithoutModel().empty());
}

// Guards against work for copies that a report has not changed.
TEST_CASE("the observer gets the names that have changed")
{
    AdapterHosts hosts;
    std::map<std::string, std::string> changes; // by name: how the entry has changed
    hosts.setObserver([&](const std::string &name, Target &, const AdapterHost *before,
                          const AdapterHost *after) {
        const auto text = [](const AdapterHost *host) {
            return host == nullptr ? "none" : std::to_string(host->version_.value_or(-1));
        };
        changes[name] = text(before) + " " + text(after);
    });
    using Changes = std::map<std::string, std::string>;
    Target a = targetOf("a", {{"m", {{"a1", 1}, {"a2", 1}}}});
    hosts.update(a);
    CHECK(std::exchange(changes, {})
          == Changes{{"m", "none 0"}, {"m/a1", "none 1"}, {"m/a2", "none 1"}});
    hosts.update(a);
    CHECK(changes.empty());
    a.report_.models_ = {{"m", {{"a1", 1}, {"a3", 4}}}};
    hosts.update(a);
    CHECK(std::exchange(changes, {}) == Changes{{"m/a2", "1 none"}, {"m/a3", "none 4"}});
    hosts.remove(a);
    CHECK(changes == Changes{{"m", "0 none"}, {"m/a1", "1 none"}, {"m/a3", "4 none"}});
}

} // namespace foxtailturn::gateway
