#pragma once

// Copies of adapters that are older than the newest declared version, and which of them to replace
// now.
//
//     OutdatedCopies copies(registry.hosts(), versions);
//     if (versions.declare({"m", "a1", 2}, now))
//         copies.onDeclared("m/a1");
//     for (const AdapterUpdate &update : copies.dueUpdates(now))
//         requestLoad(*update.target_, update.model_, update.adapter_);
//
// The copies are kept as targets change, so that a report costs no more in a large fleet and a pass
// over all updates visits only adapters with outdated copies.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gateway/adapter_hosts.h"
#include "gateway/adapter_versions.h"
#include "gateway/target_registry.h"

namespace foxtailturn::gateway {

// A copy of an adapter that should be replaced by the newest version.
struct AdapterUpdate
{
    Target *target_ = nullptr;
    std::string model_;
    std::string adapter_;

    bool operator==(const AdapterUpdate &) const = default;
};

// Not thread-safe. Observes the hosts, which must outlive it, as the versions must.
class OutdatedCopies
{
public:
    OutdatedCopies(AdapterHosts &hosts, const AdapterVersions &versions);
    OutdatedCopies(const OutdatedCopies &) = delete;
    OutdatedCopies &operator=(const OutdatedCopies &) = delete;

    // Call this after a newer version of the adapter was declared. Visits its copies.
    void onDeclared(const std::string &name);

    // Returns the copies to replace now: all that no request may use any more, and otherwise one of
    // an adapter at a time, the oldest version first. A replacement waits until the copy's running
    // requests have ended and admits no new ones until then.
    [[nodiscard]] std::vector<AdapterUpdate> dueUpdates(TimePoint now) const;

    // Returns those of them that a report may have made due: of each adapter that it has changed,
    // the reporting target's copy and the oldest one.
    [[nodiscard]] std::vector<AdapterUpdate> dueUpdatesAfter(const AdapterChanges &changes,
                                                             TimePoint now) const;

    // Returns how many copies have been visited so far.
    [[nodiscard]] std::uint64_t visits() const { return visits_; }

private:
    struct Copy
    {
        std::int64_t version_ = 0;
        Target *target_ = nullptr;

        bool operator<(const Copy &other) const;
    };
    // What is known of an adapter.
    struct Adapter
    {
        std::set<Copy>
            outdated_; // that may be replaced: not loading, not out of reach, not evacuated
        int loads_ = 0; // in progress
    };
    struct Due
    {
        Copy copy_;
        const std::string *name_ = nullptr;
    };

    [[nodiscard]] bool isOutdated(const std::string &name, const AdapterHost &host) const;
    void onHostChanged(const std::string &name, Target &target, const AdapterHost *before,
                       const AdapterHost *after);
    [[nodiscard]] bool isDue(const Adapter &adapter, const Copy &copy,
                             std::int64_t minVersion) const;
    [[nodiscard]] static std::vector<AdapterUpdate> updatesOf(std::vector<Due> due);

    const AdapterHosts &hosts_;
    const AdapterVersions &versions_;
    std::map<std::string, Adapter> adapters_; // those with an outdated copy or a load, by name
    mutable std::uint64_t visits_ = 0;
};

} // namespace foxtailturn::gateway
