#pragma once

// The serving configuration of an entry: routes, services, workspaces and their limits.
//
//     ServingConfig config = ...;                      // decoded by the platform's codec
//     const Route *route = config.findRoute("a.example", "/reports/17");
//     const Workspace *workspace = config.findWorkspace(key);
//
// A configuration is immutable once in force. A new revision is a new object; a request keeps the
// one that it was admitted with.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "callers/caller_service.h"
#include "quota/token_quota.h"

namespace foxtailturn::gateway {

enum class RouteKind {
    Idempotent, // may run more than once
    NonIdempotent, // runs at most once
    Stream, // event stream; runs at most once unless the route is resumable
};

// One of the services that share a route's requests.
struct RouteBackend
{
    std::string service_;
    int weight_ = 1;

    bool operator==(const RouteBackend &) const = default;
};

struct Route
{
    std::string name_;
    std::string host_;
    std::string prefix_; // begins and ends with a slash
    RouteKind kind_ = RouteKind::NonIdempotent;
    Duration timeout_{}; // deadline of a request, from its arrival
    Duration objective_{}; // target time to the answer or first event
    Duration pauseObjective_{}; // target for the longest pause between events; 0 if unset
    int priority_ = 5; // 0 is the most urgent
    int maxAttempts_ = 1; // targets that may run one request
    bool isPublic_ = false; // needs no key
    bool isResumable_ = false; // an interrupted stream may be resumed at another target
    std::vector<RouteBackend> backends_;

    // Returns whether a request may run again after an attempt with an unknown outcome.
    [[nodiscard]] bool isRepeatable() const
    {
        return kind_ == RouteKind::Idempotent || (kind_ == RouteKind::Stream && isResumable_);
    }

    bool operator==(const Route &) const = default;
};

// Capacity and models of each engine of a service.
struct EngineProfile
{
    int slots_ = 1; // maximum requests in one batch
    int adapterSlots_ = 0;
    std::int64_t kvCapacity_ = 0; // tokens
    std::vector<std::string> models_;

    bool operator==(const EngineProfile &) const = default;
};

struct Service
{
    std::string name_;
    std::string healthPath_;
    int maxConnections_ = 0; // per target, from all callers; 0 is unlimited
    std::optional<EngineProfile> engine_; // absent for plain services
    Duration coldTime_ = Duration::zero(); // how long a target is cold after a start
    double coldRate_ = 0; // requests per second that a cold target bears; 0: no bound

    // Returns whether requests to cold targets need permits of the targets' sidecars.
    [[nodiscard]] bool needsPermits() const { return engine_.has_value() && coldRate_ > 0; }

    bool operator==(const Service &) const = default;
};

using quota::TokenQuota;

struct Workspace
{
    std::string name_;
    std::optional<int> priority_; // overrides the route's
    TokenQuota quota_;

    bool operator==(const Workspace &) const = default;
};

using callers::CallerLimits;

struct ServingConfig
{
    std::int64_t revision_ = 0;
    std::int64_t storeEra_ = 0; // of the store when it was read (StorePosition)
    std::vector<Route> routes_;
    std::map<std::string, Service> services_;
    std::vector<Workspace> workspaces_;
    std::map<std::string, std::size_t, std::less<>> workspaceByKey_; // index into workspaces_
    bool needsKeys_ = false; // whether routes that are not public need a key
    CallerLimits limits_;
    std::map<std::string, std::vector<std::size_t>, std::less<>>
        routesByHost_; // longest prefix first

    // Fills routesByHost_ from routes_. Call once, after decoding.
    void indexRoutes();

    // Returns the route with the longest prefix that begins the path; null if none does. Safe from
    // several threads.
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view path) const;

    // Returns the workspace that holds the key; null if none does. Safe from several threads.
    [[nodiscard]] const Workspace *findWorkspace(std::string_view key) const;

    bool operator==(const ServingConfig &) const = default;
};

// Returns the service for a request of this route. hash, usually of the request id, selects
// among the backends by weight; the same hash always selects the same one. Precondition: the route
// has backends. Thread-safe.
[[nodiscard]] const std::string &backendFor(const Route &route, std::uint64_t hash);

} // namespace foxtailturn::gateway
