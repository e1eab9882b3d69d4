#pragma once

// Versions of adapters that the operator has declared.
//
//     AdapterVersions versions;
//     versions.declare({"m", "a1", 2}, now);
//     request.minVersion_ = versions.minVersion("m/a1", now);
//
// Each version is required a grace time after it was declared, whether or not newer ones follow.
// Declaring a version costs the same however many there are.

#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"

namespace foxtailturn::gateway {

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
