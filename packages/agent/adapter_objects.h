#pragma once

// Object names of adapters' weights, as requests name them.
//
//     objects.note({"acme-reports", "3"}, "weights/acme-reports/3");
//     objects.objectOf({"acme-reports", "3"});

#include <mutex>
#include <string>
#include <unordered_map>

#include "adapters/adapter_id.h"

namespace foxtailturn {

// Thread-safe.
class AdapterObjects
{
public:
    // Remembers the object name of an adapter. Thread-safe.
    void note(const AdapterId &adapter, const std::string &object);

    // Returns the object name, empty when none was noted. Thread-safe.
    [[nodiscard]] std::string objectOf(const AdapterId &adapter) const;

private:
    mutable std::mutex mutex_;
    std::unordered_map<AdapterId, std::string, AdapterIdHash> objects_;
};

} // namespace foxtailturn
