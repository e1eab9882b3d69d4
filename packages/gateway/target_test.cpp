#include "gateway/target.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <random>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using Versions = std::map<std::string, std::int64_t>;

// Returns the version of each name in the report; -1 for what is being loaded.
Versions versionsOf(const EngineReport &report)
{
    Versions versions;
    for (const HostedModel &model : report.models_) {
        versions[model.name_] = 0;
        for (const auto &[adapter, version] : model.adapters_)
            versions[adapterName(model.name_, adapter)] = version;
    }
    for (const std::string &name : report.loading_)
        versions[name] = -1;
    return versions;
}

std::set<std::string> namesThatDiffer(const EngineReport &before, const EngineReport &after)
{
    const Versions previous = versionsOf(before);
    const Versions current = versionsOf(after);
    std::vector<Versions::value_type> changed;
    std::set_symmetric_difference(previous.begin(), previous.end(), current.begin(), current.end(),
                                  std::back_inserter(changed));
    std::set<std::string> names;
    for (const auto &[name, version] : changed)
        names.insert(name);
    return names;
}

EngineReport randomReport(std::mt19937 &random)
{
    const auto pick = [&random](int bound) {
        return std::uniform_int_distribution<int>(0, bound - 1)(random);
    };
    EngineReport report;
    for (const char *model : {"m", "n"}) {
        if (pick(4) == 0)
            continue;
        HostedModel hosted{model, {}};
        for (const char *adapter : {"a", "b", "c"}) {
            if (pick(2) == 0)
                hosted.adapters_[adapter] = pick(3);
            if (pick(5) == 0)
                report.loading_.push_back(adapterName(model, adapter));
        }
        report.models_.push_back(std::move(hosted));
    }
    std::shuffle(report.models_.begin(), report.models_.end(), random);
    return report;
}

} // namespace

// Guards against a change that a report tells and nobody is told of.
TEST_CASE("the names that two reports differ in are found, and no others")
{
    std::mt19937 random(1);
    int differing = 0;
    for (int i = 0; i < 20'000; ++i) {
        const EngineReport before = randomReport(random);
        const EngineReport after = randomReport(random);
        const std::set<std::string> names = changedNames(before, after);
        REQUIRE(names == namesThatDiffer(before, after));
        differing += names.empty() ? 0 : 1;
    }
    CHECK(differing > 10'000);
}

} // namespace foxtailturn::gateway
