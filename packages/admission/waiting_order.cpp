#include "admission/waiting_order.h"

#include <algorithm>
#include <tuple>

namespace foxtailturn::admission {

std::vector<Claim> inOrder(std::vector<Claim> claims, TimePoint now)
{
    const auto urgency = [now](const Claim &claim) {
        return std::tuple(claim.rank_, claim.dueAt_ <= now, claim.dueAt_, claim.number_);
    };
    std::sort(claims.begin(), claims.end(),
              [&](const Claim &a, const Claim &b) { return urgency(a) < urgency(b); });
    // Moves the oldest of the rest to each place that is for the oldest.
    for (std::size_t place = kPlacesPerOldest - 1; place < claims.size();
         place += kPlacesPerOldest) {
        const auto rest = claims.begin() + static_cast<std::ptrdiff_t>(place);
        const auto oldest =
            std::min_element(rest, claims.end(),
                             [](const Claim &a, const Claim &b) { return a.number_ < b.number_; });
        std::rotate(rest, oldest, oldest + 1);
    }
    return claims;
}

} // namespace foxtailturn::admission
