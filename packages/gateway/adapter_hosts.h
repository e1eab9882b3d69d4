#pragma once

// Index of the targets that host an adapter or load it, by the adapter's name.
//
//     AdapterHosts hosts;
//     hosts.update(target);                             // after each change of the target
//     for (const auto &[target, host] : hosts.hostsOf("models/a1")) { ... }
//
// A model itself, without an adapter, is hosted under its own name with version 0. An update visits
// the names of that target only, and reports to the observer those that have changed.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "gateway/target.h"

namespace foxtailturn::gateway {

// What a target has of an adapter.
struct AdapterHost
{
    std::optional<std::int64_t> version_ = {}; // of its copy, usable or not; nullopt: absent
    bool isLoading_ = false; // the target has reported a load in progress
    bool isRequested_ = false; // this entry has requested a load, which isn't reported as complete
    bool isAgentConnected_ = false; // see Target
    bool isSuperseded_ = false; // see Target
    bool isEvacuated_ = false; // see Target

    // Returns whether requests can run on the copy.
    [[nodiscard]] bool isUsable() const { return version_.has_value() && !isLoading_; }

    bool operator==(const AdapterHost &) const = default;
};

// Not thread-safe. Targets must be removed before they are destroyed.
class AdapterHosts
{
public:
    using Hosts = std::map<Target *, AdapterHost, ByInstance>;
    // Gets the entry of a target under a name before and after a change; null: it had or has none.
    using Observer = std::function<void(const std::string &name, Target &target,
                                        const AdapterHost *before, const AdapterHost *after)>;

    // Sets the observer of changes. It must not change the index.
    void setObserver(Observer observer) { observer_ = std::move(observer); }

    // Brings the index up to date with the target.
    void update(Target &target);

    // Removes the target from the index.
    void remove(Target &target);

    // Returns the targets that host or load the adapter of this name, in the order of their
    // instances. The reference is valid until the next change of the index.
    [[nodiscard]] const Hosts &hostsOf(const std::string &name) const;

    // Returns the targets whose engine has reported that it hosts no model.
    [[nodiscard]] const TargetSet &targetsWithoutModel() const { return withoutModel_; }

    // Returns how many entries changes of the index have visited so far.
    [[nodiscard]] std::uint64_t visits() const { return visits_; }

private:
    using Entries = std::map<std::string, AdapterHost>; // of one target, by name

    [[nodiscard]] static Entries entriesOf(const Target &target);
    void replace(Target &target, Entries entries);
    void set(const std::string &name, Target &target, const AdapterHost *before,
             const AdapterHost *after);

    std::unordered_map<std::string, Hosts> hosts_; // by adapter name; none is empty
    std::unordered_map<const Target *, Entries> entries_;
    TargetSet withoutModel_;
    Observer observer_;
    std::uint64_t visits_ = 0;
};

} // namespace foxtailturn::gateway
