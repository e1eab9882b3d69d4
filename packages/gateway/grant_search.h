#pragma once

// Asks the owners of a quota's parts in turn until one of them grants a charge.
//
//     GrantSearch search(parts.otherOwners("w1"), firstIndex);
//     while (std::optional<std::string> owner = search.next()) {
//         Result<void> granted = ask(*owner);
//         if (granted)
//             return granted;
//         search.onRefused(granted.error());
//     }
//     return search.failure(clock.now());

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class GrantSearch
{
public:
    // first is the index of the owner to ask first, modulo their number. Callers vary it, so that
    // the parts are used alike.
    GrantSearch(std::vector<std::string> owners, std::size_t first);

    // Returns the next owner to ask; nullopt once all were asked.
    [[nodiscard]] std::optional<std::string> next();

    // Records that the owner returned last did not grant the charge.
    void onRefused(const Error &error);

    // Returns the error for the caller, which names the earliest time of a retry: RateLimited if
    // an owner refused the charge for the workspace's rate, otherwise LeaseExpired.
    [[nodiscard]] Result<void> failure(TimePoint now) const;

private:
    std::vector<std::string> owners_;
    std::size_t first_;
    std::size_t asked_ = 0;
    bool isOverRate_ = false;
    std::optional<TimePoint> retryAt_;
};

} // namespace foxtailturn::gateway
