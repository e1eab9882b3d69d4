#pragma once

// Versions of adapters that the operator has declared, and the copies to update because of them.
//
//     AdapterVersions versions;
//     versions.declare({"m", "a1", 2}, now);
//     request.minVersion_ = versions.minVersion("m/a1", now);
//     for (const AdapterUpdate &update : versions.dueUpdates(targets, now))
//         requestLoad(*update.target_, update.model_, update.adapter_);
//
// Each version is required a grace time after it was declared, whether or not newer ones follow.
// Declaring a version costs the same however many there are, and an update pass looks only at the
// adapters that targets hold.

#include <map>
#include <string>
#include <vector>

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

// Not thread-safe.
class AdapterVersions
{
public:
    // How long requests may still begin on older versions.
    static constexpr Duration kGrace = std::chrono::milliseconds(2500);

    // Records a version that was declared now. Returns whether it is newer than those known.
    bool declare(const AdapterVersion &version, TimePoint now);

    // Returns the newest version of the adapter of this name; 0 if none was declared.
    [[nodiscard]] std::int64_t newest(const std::string &name) const;

    // Returns the version below which no request may begin; 0 for none.
    [[nodiscard]] std::int64_t minVersion(const std::string &name, TimePoint now) const;

    // Returns the copies to replace now: all that no request may use any more, and otherwise one of
    // an adapter at a time, the oldest version first. A replacement waits until the copy's running
    // requests have ended and admits no new ones until then.
    [[nodiscard]] std::vector<AdapterUpdate> dueUpdates(const std::vector<Target *> &targets,
                                                        TimePoint now) const;

private:
    struct Declared
    {
        std::int64_t version_ = 0;
        TimePoint requiredFrom_{};
    };

    // By adapter name, oldest first; only the first one may be required already.
    std::map<std::string, std::vector<Declared>> declared_;
};

} // namespace foxtailturn::gateway
