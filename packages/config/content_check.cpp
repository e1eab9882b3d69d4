#include "config/content_check.h"

#include <map>
#include <set>
#include <utility>

#include "base/log.h"
#include "config/name_table.h"
#include "config/value_check.h"

namespace foxtailturn {

namespace {

// Bounds keep rate x 1,000,000 (micro-tokens) well within 64 bits.
constexpr IntegerBounds kRate{1, 1'000'000'000};
constexpr IntegerBounds kBurst{1, 1'000'000'000};
constexpr IntegerBounds kWeight{1, 1'000};
constexpr IntegerBounds kVersion{1, 1'000'000'000};
constexpr IntegerBounds kModelTokens{1, 10'000'000};
constexpr IntegerBounds kServiceTokens{0, 0};
constexpr IntegerBounds kDeadlineMs{1, 86'400'000};

Place itemPlace(const std::vector<Place> &places, const char *list, std::size_t index)
{
    if (index < places.size())
        return places[index];
    return Place{"", 0, concat(list, "[", index, "]"), ""};
}

// Checks one content; the methods append to problems_.
class ContentChecker
{
public:
    ContentChecker(const ConfigurationContent &content, const ContentPlaces &places)
        : content_(content)
        , places_(places)
    { }

    std::vector<Problem> run()
    {
        checkSchemes();
        checkTargetGroups();
        checkWorkspaces();
        checkKeys();
        checkRoutes();
        checkAdapters();
        return std::move(problems_);
    }

private:
    void report(const Place &item, std::string_view field, std::string text,
                std::optional<Place> other = std::nullopt)
    {
        Place place = item;
        if (!field.empty())
            place.field_ += concat(".", field);
        problems_.push_back({std::move(place), std::move(text), std::move(other)});
    }

    void reportIf(const Place &item, std::string_view field, std::optional<std::string> text)
    {
        if (text)
            report(item, field, std::move(*text));
    }

    void refuseRepeated(std::map<std::string, Place> &seen, const std::string &id,
                        const Place &place, std::string_view field)
    {
        Place fieldPlace = place;
        fieldPlace.field_ += concat(".", field);
        const auto [it, inserted] = seen.emplace(id, std::move(fieldPlace));
        if (!inserted)
            report(place, field, concat("'", id, "' is already given"), it->second);
    }

    void checkNames(NameTable &table, const std::string &id, const Names &names, const Place &place)
    {
        for (std::size_t i = 0; i < kSchemeCount; ++i) {
            if (!names[i].empty())
                reportIf(place, concat("names.", content_.schemes_[i]), nameProblem(names[i]));
        }
        for (Problem &problem : table.add(id, names, content_.schemes_, place))
            problems_.push_back(std::move(problem));
    }

    void checkSchemes();
    void checkTargetGroups();
    void checkWorkspaces();
    void checkKeys();
    void checkRoutes();
    void checkRoute(const Route &route, const Place &place);
    void checkPaths();
    void checkAdapters();
    void checkAdapter(const AdapterVersion &adapter, const Place &place);
    void checkVersions();

    const ConfigurationContent &content_;
    const ContentPlaces &places_;
    std::vector<Problem> problems_;
    std::set<std::string> workspaceIds_;
    std::map<std::string, RouteKind> groupKinds_;
    std::set<std::string> baseModels_;
};

void ContentChecker::checkSchemes()
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < kSchemeCount; ++i) {
        const Place place{"", 0, concat("schemes[", i, "]"), ""};
        reportIf(place, "", idProblem(content_.schemes_[i]));
        if (!seen.insert(content_.schemes_[i]).second)
            report(place, "", concat("'", content_.schemes_[i], "' is given twice"));
    }
}

void ContentChecker::checkTargetGroups()
{
    std::map<std::string, Place> seen;
    for (std::size_t i = 0; i < content_.targetGroups_.size(); ++i) {
        const TargetGroup &group = content_.targetGroups_[i];
        const Place place = itemPlace(places_.targetGroups_, "targetGroups", i);
        reportIf(place, "name", idProblem(group.name_));
        refuseRepeated(seen, group.name_, place, "name");
        for (const std::string &model : group.baseModels_)
            reportIf(place, "baseModels", nameProblem(model));
        if ((group.kind_ == RouteKind::Model) == group.baseModels_.empty())
            report(place, "baseModels",
                   "must be given for groups of kind model, and only for them");
        groupKinds_.emplace(group.name_, group.kind_);
        baseModels_.insert(group.baseModels_.begin(), group.baseModels_.end());
    }
}

void ContentChecker::checkWorkspaces()
{
    NameTable names("workspace");
    for (std::size_t i = 0; i < content_.workspaces_.size(); ++i) {
        const Workspace &workspace = content_.workspaces_[i];
        const Place place = itemPlace(places_.workspaces_, "workspaces", i);
        reportIf(place, "id", idProblem(workspace.id_));
        reportIf(place, "rate", kRate.problem(workspace.rate_));
        reportIf(place, "burst", kBurst.problem(workspace.burst_));
        reportIf(place, "weight", kWeight.problem(workspace.weight_));
        if (!workspaceIds_.insert(workspace.id_).second)
            report(place, "id", concat("'", workspace.id_, "' is given to two workspaces"));
        else
            checkNames(names, workspace.id_, workspace.names_, place);
    }
}

void ContentChecker::checkKeys()
{
    std::map<std::string, Place> ids;
    std::map<std::string, Place> hashes;
    for (std::size_t i = 0; i < content_.keys_.size(); ++i) {
        const Key &key = content_.keys_[i];
        const Place place = itemPlace(places_.keys_, "keys", i);
        reportIf(place, "id", idProblem(key.id_));
        reportIf(place, "hash", hashProblem(key.hash_));
        if (!key.withdrawn_ && workspaceIds_.count(key.workspace_) == 0)
            report(place, "workspace", concat("'", key.workspace_, "' is not a workspace"));
        refuseRepeated(ids, key.id_, place, "id");
        refuseRepeated(hashes, key.hash_, place, "hash");
    }
}

void ContentChecker::checkRoutes()
{
    NameTable names("route");
    std::set<std::string> ids;
    for (std::size_t i = 0; i < content_.routes_.size(); ++i) {
        const Route &route = content_.routes_[i];
        const Place place = itemPlace(places_.routes_, "routes", i);
        checkRoute(route, place);
        if (!ids.insert(route.id_).second)
            report(place, "id", concat("'", route.id_, "' is given to two routes"));
        else
            checkNames(names, route.id_, route.names_, place);
    }
    checkPaths();
}

void ContentChecker::checkRoute(const Route &route, const Place &place)
{
    const bool isModel = route.kind_ == RouteKind::Model;
    reportIf(place, "id", idProblem(route.id_));
    reportIf(place, "path", pathProblem(route.pathPrefix_));
    reportIf(place, "deadlineMs", kDeadlineMs.problem(route.deadlineMs_));
    reportIf(place, "maxTokens",
             (isModel ? kModelTokens : kServiceTokens).problem(route.maxTokens_));
    if (route.methods_.empty())
        report(place, "methods", "must name at least one method");
    for (const std::string &method : route.methods_)
        reportIf(place, "methods", methodProblem(method));
    if (isModel && route.open_)
        report(place, "open", "must be false for a model route: its tokens belong to a workspace");
    const auto group = groupKinds_.find(route.targetGroup_);
    if (group == groupKinds_.end())
        report(place, "targetGroup", concat("'", route.targetGroup_, "' is not a target group"));
    else if (group->second != route.kind_)
        report(place, "targetGroup",
               concat("'", route.targetGroup_, "' serves routes of kind ",
                      routeKindName(group->second), " only"));
}

void ContentChecker::checkPaths()
{
    std::map<std::string, Place> seen;
    for (std::size_t i = 0; i < content_.routes_.size(); ++i) {
        const Route &route = content_.routes_[i];
        const Place place = itemPlace(places_.routes_, "routes", i);
        for (const std::string &method : route.methods_)
            refuseRepeated(seen, concat(method, " ", route.pathPrefix_), place, "path");
    }
}

void ContentChecker::checkAdapters()
{
    NameTable names("adapter");
    for (std::size_t i = 0; i < content_.adapters_.size(); ++i) {
        const AdapterVersion &adapter = content_.adapters_[i];
        const Place place = itemPlace(places_.adapters_, "adapters", i);
        checkAdapter(adapter, place);
        checkNames(names, adapter.adapter_, adapter.names_, place);
    }
    checkVersions();
}

void ContentChecker::checkAdapter(const AdapterVersion &adapter, const Place &place)
{
    reportIf(place, "id", idProblem(adapter.adapter_));
    reportIf(place, "version", kVersion.problem(adapter.version_));
    reportIf(place, "object", objectProblem(adapter.object_));
    if (baseModels_.count(adapter.baseModel_) == 0)
        report(place, "baseModel", concat("'", adapter.baseModel_, "' is run by no target group"));
    if (adapter.owners_.empty())
        report(place, "owners", "must name at least one workspace");
    for (const std::string &owner : adapter.owners_) {
        if (workspaceIds_.count(owner) == 0)
            report(place, "owners", concat("'", owner, "' is not a workspace"));
    }
}

void ContentChecker::checkVersions()
{
    struct Seen
    {
        const AdapterVersion *first_ = nullptr;
        Place place_;
        int currents_ = 0;
        std::set<std::int64_t> versions_;
    };
    std::map<std::string, Seen> adapters;
    for (std::size_t i = 0; i < content_.adapters_.size(); ++i) {
        const AdapterVersion &adapter = content_.adapters_[i];
        const Place place = itemPlace(places_.adapters_, "adapters", i);
        Seen &seen = adapters[adapter.adapter_];
        if (seen.first_ == nullptr) {
            seen.first_ = &adapter;
            seen.place_ = place;
        }
        if (!seen.versions_.insert(adapter.version_).second)
            report(
                place, "version",
                concat(adapter.version_, " of adapter '", adapter.adapter_, "' is already given"),
                seen.place_);
        if (adapter.names_ != seen.first_->names_ || adapter.owners_ != seen.first_->owners_)
            report(place, "",
                   concat("versions of adapter '", adapter.adapter_, "' differ in names or owners"),
                   seen.place_);
        seen.currents_ += adapter.current_ ? 1 : 0;
    }
    for (const auto &[id, seen] : adapters) {
        if (seen.currents_ != 1)
            report(seen.place_, "current",
                   concat("adapter '", id, "' needs exactly one current version and has ",
                          seen.currents_));
    }
}

} // namespace

std::vector<Problem> checkContent(const ConfigurationContent &content, const ContentPlaces &places)
{
    return ContentChecker(content, places).run();
}

} // namespace foxtailturn
