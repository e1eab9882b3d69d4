#pragma once

// Value types of a rendered configuration. ConfigurationContent is what one revision holds;
// configuration.h makes it searchable.
//
//     ConfigurationContent content;
//     content.workspaces_.push_back({.id_ = "brussels", .rate_ = 2'000, .burst_ = 10'000});
//     auto configuration = Configuration::create(7, std::move(content));

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailturn {

// Number of naming schemes that the operators keep.
constexpr std::size_t kSchemeCount = 3;

// Names of one identity, one per scheme; an empty text means that the scheme has no name for it.
using Names = std::array<std::string, kSchemeCount>;

struct Workspace
{
    std::string id_;
    Names names_;
    std::int64_t rate_ = 0; // tokens per second over the whole fleet
    std::int64_t burst_ = 0; // tokens
    std::int64_t weight_ = 1; // share in the fair queue

    bool operator==(const Workspace &) const = default;
};

// An API key. The secret itself is kept nowhere.
struct Key
{
    std::string id_;
    std::string workspace_; // id; may name a removed workspace only when withdrawn
    std::string hash_; // SHA-256 of the secret, 64 lower-case hexadecimal digits
    bool issued_ = false; // added by `foxtailturnctl key add` rather than by the source file
    bool withdrawn_ = false;

    bool operator==(const Key &) const = default;
};

// One version of an adapter. All versions of an adapter agree on names_ and owners_, and exactly
// one of them is current.
struct AdapterVersion
{
    std::string adapter_; // id of the adapter
    std::int64_t version_ = 0;
    bool current_ = false; // used by requests that name no version
    std::string baseModel_;
    std::string object_; // object name of the weights
    Names names_;
    std::vector<std::string> owners_; // ids of the workspaces that may use it, sorted

    bool operator==(const AdapterVersion &) const = default;
};

enum class RouteKind {
    Model, // runs on an engine, on the adapter that the request names
    Service, // plain HTTP service
};

enum class PriorityClass { Chat, Batch };

struct Route
{
    std::string id_;
    Names names_;
    RouteKind kind_ = RouteKind::Service;
    std::vector<std::string> methods_; // upper case, sorted
    std::string pathPrefix_; // without a final slash; matches whole path segments
    bool open_ = false; // needs no API key
    bool repeatable_ = false; // may be run again after outcome_unknown
    std::string targetGroup_;
    PriorityClass priority_ = PriorityClass::Chat;
    std::int64_t maxTokens_ = 0; // most tokens of one answer; 0 for services
    std::int64_t deadlineMs_ = 0; // time from arrival until the request is given up

    bool operator==(const Route &) const = default;
};

// A group of interchangeable targets.
struct TargetGroup
{
    std::string name_;
    RouteKind kind_ = RouteKind::Service; // kind of the routes that the group serves
    std::vector<std::string> baseModels_; // base models that its engines run, sorted

    bool operator==(const TargetGroup &) const = default;
};

struct ConfigurationContent
{
    std::array<std::string, kSchemeCount> schemes_; // names of the naming schemes
    std::vector<TargetGroup> targetGroups_;
    std::vector<Workspace> workspaces_;
    std::vector<Key> keys_;
    std::vector<Route> routes_;
    std::vector<AdapterVersion> adapters_;

    bool operator==(const ConfigurationContent &) const = default;
};

// Puts all lists in canonical order, so that equal content has an equal serialization.
void sortContent(ConfigurationContent &content);

// Returns "model" or "service", and "chat" or "batch".
[[nodiscard]] std::string_view routeKindName(RouteKind kind);
[[nodiscard]] std::string_view priorityName(PriorityClass priority);

} // namespace foxtailturn
