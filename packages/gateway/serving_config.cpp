#include "gateway/serving_config.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

// Lowercases the host name, as it is case-insensitive, and removes the port, which does not select
// a route.
std::string normalizedHost(std::string_view host)
{
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

void ServingConfig::indexRoutes()
{
    routesByHost_.clear();
    for (std::size_t i = 0; i < routes_.size(); ++i)
        routesByHost_[normalizedHost(routes_[i].host_)].push_back(i);
    for (auto &[host, indexes] : routesByHost_) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return routes_[a].prefix_.size() > routes_[b].prefix_.size();
        });
    }
}

const Route *ServingConfig::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = routesByHost_.find(normalizedHost(host));
    if (it == routesByHost_.end())
        return nullptr;
    for (const std::size_t index : it->second) {
        if (path.starts_with(routes_[index].prefix_))
            return &routes_[index];
    }
    return nullptr;
}

const Workspace *ServingConfig::findWorkspace(std::string_view key) const
{
    const auto it = workspaceByKey_.find(key);
    return it == workspaceByKey_.end() ? nullptr : &workspaces_[it->second];
}

const std::string &backendFor(const Route &route, std::uint64_t hash)
{
    std::uint64_t total = 0;
    for (const RouteBackend &backend : route.backends_)
        total += static_cast<std::uint64_t>(std::max(backend.weight_, 0));
    if (total == 0)
        return route.backends_.front().service_;
    std::uint64_t remainder = hash % total;
    for (const RouteBackend &backend : route.backends_) {
        const auto weight = static_cast<std::uint64_t>(std::max(backend.weight_, 0));
        if (remainder < weight)
            return backend.service_;
        remainder -= weight;
    }
    return route.backends_.back().service_;
}

} // namespace foxtailturn::gateway
