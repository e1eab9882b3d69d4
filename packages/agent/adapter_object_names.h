#pragma once

// Maps adapter versions to the object names of their weights, as given in execution requests.
//
//     objects.set({"acme-reports", "3"}, "weights/acme-reports/3");
//     objects.objectNameOf({"acme-reports", "3"});

#include <mutex>
#include <string>
#include <unordered_map>

#include "adapters/adapter_id.h"

namespace foxtailturn {

// Thread-safe.
class AdapterObjectNames
{
public:
    // Sets the object name of an adapter version, replacing an earlier one. Thread-safe.
    void set(const AdapterId &adapter, const std::string &object);

    // Returns the object name, empty if none was set. Thread-safe.
    [[nodiscard]] std::string objectNameOf(const AdapterId &adapter) const;

private:
    mutable std::mutex mutex_;
    std::unordered_map<AdapterId, std::string, AdapterIdHash> objects_;
};

} // namespace foxtailturn
