#include "config/configuration.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <unordered_map>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "config/content_check.h"
#include "config/value_check.h"

namespace foxtailturn {

namespace {

using Index = std::unordered_map<std::string_view, std::size_t>;

template <typename T>
void indexNames(Index &index, const T &id, const Names &names, std::size_t position)
{
    index.emplace(id, position);
    for (const std::string &name : names) {
        if (!name.empty())
            index.emplace(name, position);
    }
}

// Splits "name@3"; the version is nullopt when there is none and 0 when it isn't a number.
std::pair<std::string_view, std::optional<std::int64_t>> splitVersion(std::string_view name)
{
    const std::size_t at = name.rfind('@');
    if (at == std::string_view::npos)
        return {name, std::nullopt};
    const std::string_view digits = name.substr(at + 1);
    std::int64_t version = 0;
    const auto [end, failure] =
        std::from_chars(digits.data(), digits.data() + digits.size(), version);
    if (failure != std::errc() || end != digits.data() + digits.size())
        version = 0;
    return {name.substr(0, at), version};
}

bool hasPrefix(std::string_view path, std::string_view prefix)
{
    return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

} // namespace

// The content and its indexes. Views point into the content, which never changes.
struct Configuration::Tables
{
    ConfigurationContent content_;
    Index workspaces_;
    Index routes_;
    Index keyIds_;
    Index keyHashes_;
    Index adapters_; // to the first version of the adapter
    std::vector<std::size_t> routesByLength_; // longest prefix first
    std::unordered_map<std::string_view, std::vector<const AdapterVersion *>> models_;

    explicit Tables(ConfigurationContent content)
        : content_(std::move(content))
    {
        for (std::size_t i = 0; i < content_.workspaces_.size(); ++i)
            indexNames(workspaces_, content_.workspaces_[i].id_, content_.workspaces_[i].names_, i);
        indexKeys();
        indexRoutes();
        indexAdapters();
    }

    void indexKeys()
    {
        for (std::size_t i = 0; i < content_.keys_.size(); ++i) {
            keyIds_.emplace(content_.keys_[i].id_, i);
            keyHashes_.emplace(content_.keys_[i].hash_, i);
        }
    }

    void indexRoutes()
    {
        for (std::size_t i = 0; i < content_.routes_.size(); ++i) {
            indexNames(routes_, content_.routes_[i].id_, content_.routes_[i].names_, i);
            routesByLength_.push_back(i);
        }
        std::ranges::stable_sort(routesByLength_, std::greater<>(), [this](std::size_t i) {
            return content_.routes_[i].pathPrefix_.size();
        });
    }

    void indexAdapters()
    {
        adapters_.reserve(content_.adapters_.size() * (kSchemeCount + 1));
        for (std::size_t i = 0; i < content_.adapters_.size(); ++i) {
            const AdapterVersion &adapter = content_.adapters_[i];
            indexNames(adapters_, adapter.adapter_, adapter.names_, i);
            if (!adapter.current_)
                continue;
            for (const std::string &owner : adapter.owners_)
                models_[owner].push_back(&adapter);
        }
    }

    // Returns the version, or the current one; null when there is none.
    [[nodiscard]] const AdapterVersion *findVersion(std::size_t first,
                                                    std::optional<std::int64_t> version) const
    {
        const std::string &id = content_.adapters_[first].adapter_;
        for (std::size_t i = first; i < content_.adapters_.size(); ++i) {
            const AdapterVersion &adapter = content_.adapters_[i];
            if (adapter.adapter_ != id)
                break;
            if (version ? adapter.version_ == *version : adapter.current_)
                return &adapter;
        }
        return nullptr;
    }
};

Configuration::Configuration(std::uint64_t revision, std::shared_ptr<const Tables> tables,
                             std::set<std::string, std::less<>> withdrawn)
    : revision_(revision)
    , tables_(std::move(tables))
    , withdrawn_(std::move(withdrawn))
{ }

Result<std::shared_ptr<const Configuration>> Configuration::create(std::uint64_t revision,
                                                                   ConfigurationContent content)
{
    sortContent(content);
    const std::vector<Problem> problems = checkContent(content, {});
    if (!problems.empty())
        return tl::unexpected(problemError(problems.front()));
    auto tables = std::make_shared<const Tables>(std::move(content));
    return std::shared_ptr<const Configuration>(new Configuration(revision, std::move(tables), {}));
}

std::shared_ptr<const Configuration>
Configuration::withWithdrawals(const std::set<std::string> &keyIds) const
{
    std::set<std::string, std::less<>> withdrawn = withdrawn_;
    withdrawn.insert(keyIds.begin(), keyIds.end());
    return std::shared_ptr<const Configuration>(
        new Configuration(revision_, tables_, std::move(withdrawn)));
}

const ConfigurationContent &Configuration::content() const
{
    return tables_->content_;
}

Result<KeyMatch> Configuration::findKey(std::string_view secret) const
{
    const std::string hash = sha256Hex(secret);
    const auto it = tables_->keyHashes_.find(hash);
    if (it == tables_->keyHashes_.end())
        return notRun(ErrorCode::Unauthenticated, "the API key is not known");
    const Key &key = tables_->content_.keys_[it->second];
    if (!isKeyActive(key.id_))
        return notRun(ErrorCode::KeyWithdrawn, concat("API key '", key.id_, "' is withdrawn"));
    return KeyMatch{&key, findWorkspace(key.workspace_)};
}

bool Configuration::isKeyActive(std::string_view keyId) const
{
    const auto it = tables_->keyIds_.find(keyId);
    if (it == tables_->keyIds_.end() || tables_->content_.keys_[it->second].withdrawn_)
        return false;
    return !withdrawn_.contains(keyId);
}

bool Configuration::holdsWithdrawal(std::string_view keyId) const
{
    const auto it = tables_->keyIds_.find(keyId);
    return it != tables_->keyIds_.end() && tables_->content_.keys_[it->second].withdrawn_;
}

Result<const AdapterVersion *> Configuration::resolveModel(std::string_view workspaceId,
                                                           std::string_view name) const
{
    const auto [baseName, version] = splitVersion(name);
    const auto it = tables_->adapters_.find(baseName);
    if (it == tables_->adapters_.end())
        return notRun(ErrorCode::ModelNotFound, concat("there is no model '", name, "'"));
    const AdapterVersion &first = tables_->content_.adapters_[it->second];
    if (!std::ranges::binary_search(first.owners_, workspaceId))
        return notRun(ErrorCode::Forbidden,
                      concat("model '", name, "' belongs to other workspaces"));
    const AdapterVersion *found = tables_->findVersion(it->second, version);
    if (found == nullptr)
        return notRun(ErrorCode::ModelNotFound,
                      concat("model '", baseName, "' has no such version: '", name, "'"));
    return found;
}

Result<const Route *> Configuration::resolveRoute(std::string_view method,
                                                  std::string_view path) const
{
    if (!isUnambiguousPath(path))
        return notRun(ErrorCode::BadRequest,
                      "the path has empty, dot or encoded segments that routes don't allow");
    bool hasPath = false;
    for (const std::size_t i : tables_->routesByLength_) {
        const Route &route = tables_->content_.routes_[i];
        if (!hasPrefix(path, route.pathPrefix_))
            continue;
        hasPath = true;
        if (std::ranges::find(route.methods_, method) != route.methods_.end())
            return &route;
    }
    return notRun(ErrorCode::RouteNotFound,
                  concat(hasPath ? "no route allows this method here: " : "there is no route: ",
                         method, " ", path));
}

const std::vector<const AdapterVersion *> &
Configuration::modelsOf(std::string_view workspaceId) const
{
    static const std::vector<const AdapterVersion *> kNone;
    const auto it = tables_->models_.find(workspaceId);
    return it == tables_->models_.end() ? kNone : it->second;
}

const Workspace *Configuration::findWorkspace(std::string_view name) const
{
    const auto it = tables_->workspaces_.find(name);
    return it == tables_->workspaces_.end() ? nullptr : &tables_->content_.workspaces_[it->second];
}

const Route *Configuration::findRoute(std::string_view name) const
{
    const auto it = tables_->routes_.find(name);
    return it == tables_->routes_.end() ? nullptr : &tables_->content_.routes_[it->second];
}

} // namespace foxtailturn
