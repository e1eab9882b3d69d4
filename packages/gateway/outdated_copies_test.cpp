#include "gateway/outdated_copies.h"

#include <algorithm>
#include <random>
#include <set>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kGrace = AdapterVersions::kGrace;

std::string addressOf(std::size_t index)
{
    return "10.0.0." + std::to_string(index) + ":80";
}

TargetRecord recordOf(std::size_t index, std::int64_t startTimeMs = 1)
{
    TargetRecord record;
    record.instance_ = std::to_string(index);
    record.service_ = "s";
    record.address_ = addressOf(index);
    record.startTimeMs_ = startTimeMs;
    return record;
}

// Targets that hold one version of the adapter m/a each.
struct Fixture
{
    explicit Fixture(const std::vector<std::int64_t> &copies)
    {
        for (std::size_t i = 0; i < copies.size(); ++i) {
            registry_.list(recordOf(i), kStart);
            registry_.setAgentConnected(addressOf(i), true);
            report(i, copies[i]);
        }
    }

    void report(std::size_t index, std::int64_t version, std::vector<std::string> loading = {})
    {
        EngineReport report;
        report.startTimeMs_ = 1;
        report.models_ = {{"m", {{"a", version}, {"other", 1}}}};
        report.loading_ = std::move(loading);
        registry_.report(addressOf(index), report, kStart);
    }

    void declare(std::int64_t version, TimePoint now)
    {
        versions_.declare({"m", "a", version}, now);
        copies_.onDeclared("m/a");
    }

    // Returns the indexes of the targets to update.
    std::vector<std::size_t> due(TimePoint now)
    {
        std::vector<std::size_t> indexes;
        for (const AdapterUpdate &update : copies_.dueUpdates(now)) {
            CHECK(update.model_ == "m");
            CHECK(update.adapter_ == "a");
            indexes.push_back(std::stoul(update.target_->record_.instance_));
        }
        return indexes;
    }

    TargetRegistry registry_{milliseconds(1250)};
    AdapterVersions versions_;
    OutdatedCopies copies_{registry_.hosts(), versions_};
};

// Returns the updates that a look at each adapter of each target finds.
std::vector<AdapterUpdate> scan(const std::vector<Target *> &targets,
                                const AdapterVersions &versions, TimePoint now)
{
    struct Copy
    {
        std::int64_t version_;
        AdapterUpdate update_;
    };
    std::vector<Copy> outdated;
    std::set<std::string> inProgress; // names that are being loaded, or updated by this pass
    for (Target *target : targets) {
        if (!target->isAgentConnected_)
            continue;
        inProgress.insert(target->report_.loading_.begin(), target->report_.loading_.end());
        for (const HostedModel &model : target->hostedModels()) {
            for (const auto &[adapter, version] : model.adapters_) {
                const std::string name = adapterName(model.name_, adapter);
                if (!target->isSuperseded_ && version < versions.newest(name)
                    && !target->isLoading(name))
                    outdated.push_back({version, {target, model.name_, adapter}});
            }
        }
    }
    std::stable_sort(outdated.begin(), outdated.end(),
                     [](const Copy &a, const Copy &b) { return a.version_ < b.version_; });
    std::vector<AdapterUpdate> updates;
    for (const Copy &copy : outdated) {
        const std::string name = adapterName(copy.update_.model_, copy.update_.adapter_);
        const bool isUsable = copy.version_ >= versions.minVersion(name, now);
        const bool isOnlyOne = inProgress.insert(name).second;
        if (!isUsable || isOnlyOne)
            updates.push_back(copy.update_);
    }
    return updates;
}

bool contains(const std::vector<AdapterUpdate> &updates, const AdapterUpdate &update)
{
    return std::find(updates.begin(), updates.end(), update) != updates.end();
}

// Random changes of a small fleet, so that the same targets and adapters are hit again and again.
class RandomFleet
{
public:
    explicit RandomFleet(unsigned seed)
        : random_(seed)
    { }

    // Makes one change and checks the copies against the scan.
    void step()
    {
        now_ += milliseconds(pick(300));
        switch (pick(10)) {
        case 0:
            listTarget();
            break;
        case 1:
            registry_.markUnlisted(std::to_string(pick(kTargets)), now_);
            break;
        case 2:
            declare();
            break;
        case 3:
            registry_.setAgentConnected(addressOf(pick(kTargets)), pick(4) != 0);
            break;
        case 4:
            if (Target *target = anyTarget(); target != nullptr && pick(4) == 0)
                registry_.markSuperseded(*target);
            break;
        case 5:
            if (Target *target = anyTarget())
                registry_.recordLoadRequest(*target, "m/" + adapter(), {now_});
            break;
        case 6:
            registry_.retainOnly({"1", "3", "5", "7"}, now_);
            registry_.removeStale(now_ + std::chrono::seconds(pick(60)));
            break;
        default:
            report();
        }
        CHECK(copies_.dueUpdates(now_) == scan(registry_.all(), versions_, now_));
    }

    [[nodiscard]] std::size_t updates() const { return updates_; }

private:
    static constexpr std::size_t kTargets = 8;
    static constexpr std::size_t kAdapters = 4;

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    std::string adapter() { return "a" + std::to_string(pick(kAdapters)); }

    Target *anyTarget() { return registry_.find(std::to_string(pick(kTargets))); }

    std::vector<HostedModel> models()
    {
        std::vector<HostedModel> models;
        for (const char *name : {"m", "n"}) {
            if (pick(5) == 0)
                continue;
            HostedModel model{name, {}};
            for (std::size_t i = pick(kAdapters + 1); i > 0; --i)
                model.adapters_[adapter()] = static_cast<std::int64_t>(1 + pick(newest_));
            models.push_back(std::move(model));
        }
        return models;
    }

    void listTarget()
    {
        TargetRecord record = recordOf(pick(kTargets), static_cast<std::int64_t>(1 + pick(3)));
        if (pick(4) == 0)
            record.address_ = addressOf(pick(kTargets));
        record.models_ = models();
        registry_.list(record, now_);
    }

    void declare()
    {
        const AdapterVersion version{pick(3) == 0 ? "n" : "m", adapter(),
                                     static_cast<std::int64_t>(newest_++)};
        versions_.declare(version, now_);
        copies_.onDeclared(adapterName(version.model_, version.adapter_));
    }

    void report()
    {
        EngineReport report;
        const Target *reporting = anyTarget();
        if (reporting == nullptr)
            return;
        const std::string address = reporting->record_.address_;
        report.startTimeMs_ =
            pick(8) == 0 ? static_cast<std::int64_t>(1 + pick(3)) : reporting->record_.startTimeMs_;
        report.models_ = models();
        if (pick(2) == 0)
            report.loading_ = {"m/" + adapter()};
        const auto superseded = [this] {
            const std::vector<Target *> targets = registry_.all();
            return std::count_if(targets.begin(), targets.end(),
                                 [](const Target *target) { return target->isSuperseded_; });
        };
        const std::vector<AdapterUpdate> before = scan(registry_.all(), versions_, now_);
        const auto supersededBefore = superseded();
        const std::vector<Target *> targets = registry_.all();
        const bool hasReported =
            std::all_of(targets.begin(), targets.end(), [&](const Target *target) {
                return target->record_.address_ != address || target->hasReport();
            });
        const AdapterChanges changes = registry_.report(address, report, now_);
        const std::vector<AdapterUpdate> after = scan(registry_.all(), versions_, now_);
        const std::vector<AdapterUpdate> found = copies_.dueUpdatesAfter(changes, now_);
        for (const AdapterUpdate &update : found)
            CHECK(contains(after, update));
        updates_ += found.size();
        // What a superseded target or a record made due waits for the next pass over all.
        if (superseded() != supersededBefore || !hasReported)
            return;
        for (const AdapterUpdate &update : after)
            CHECK((contains(before, update) || contains(found, update)));
    }

    std::mt19937 random_;
    TimePoint now_ = kStart;
    std::size_t newest_ = 2;
    std::size_t updates_ = 0; // found after reports
    TargetRegistry registry_{milliseconds(1250)};
    AdapterVersions versions_;
    OutdatedCopies copies_{registry_.hosts(), versions_};
};

} // namespace

// Guards against updates that always begin with the same copies, so that the others stay old.
TEST_CASE("the oldest copy is replaced first")
{
    Fixture fixture({3, 1, 2});
    fixture.declare(4, kStart);
    CHECK(fixture.due(kStart) == std::vector<std::size_t>{1});
    fixture.report(1, 4);
    CHECK(fixture.due(kStart) == std::vector<std::size_t>{2});
    fixture.declare(5, kStart + kGrace);
    CHECK(fixture.due(kStart + kGrace) == std::vector<std::size_t>{2, 0});
}

// Guards against an adapter that no target serves because all its copies are replaced at once, and
// against copies that stay old.
TEST_CASE("copies are replaced one at a time until the version is required, then all")
{
    Fixture fixture({1, 1, 2});
    CHECK(fixture.due(kStart).empty());
    fixture.declare(2, kStart);
    CHECK(fixture.due(kStart).size() == 1);
    CHECK(fixture.due(kStart + kGrace) == std::vector<std::size_t>{0, 1});
    fixture.report(0, 1, {"m/a"});
    CHECK(fixture.due(kStart).empty());
    CHECK(fixture.due(kStart + kGrace) == std::vector<std::size_t>{1});
    fixture.registry_.setAgentConnected(addressOf(1), false);
    CHECK(fixture.due(kStart + kGrace).empty());
}

// Guards against a copy that is missed, or replaced in vain, because a change did not reach the
// index.
TEST_CASE("the copies to replace are those that a scan of all targets finds")
{
    std::size_t updates = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        RandomFleet fleet(seed);
        for (int i = 0; i < 500; ++i)
            fleet.step();
        updates += fleet.updates();
    }
    CHECK(updates > 1000);
}

} // namespace foxtailturn::gateway
