#include "memory/shedding.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace foxtailturn::memory {

std::optional<std::size_t> chooseToShed(const std::vector<Holder> &holders, TimePoint now)
{
    std::map<std::string_view, std::size_t> owned;
    for (const Holder &holder : holders)
        owned[holder.owner_] += holder.bytes_;
    const auto rank = [&](const Holder &holder) {
        const bool isStalled = now - holder.progressAt_ >= kStallTime;
        return std::tuple(holder.isUnfinished_, owned[holder.owner_], isStalled, holder.bytes_,
                          -holder.beganAt_.time_since_epoch().count());
    };
    const auto most =
        std::max_element(holders.begin(), holders.end(),
                         [&](const Holder &a, const Holder &b) { return rank(a) < rank(b); });
    if (most == holders.end() || most->bytes_ == 0)
        return std::nullopt;
    return static_cast<std::size_t>(most - holders.begin());
}

} // namespace foxtailturn::memory
