#include "quota/duty_order.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace foxtailturn::quota {

namespace {

// Weighted rendezvous hashing: the smaller the cost, the earlier the entry; a VM with twice the
// processor share comes first twice as often.
double costOf(const std::string &entry, std::int64_t milliCores)
{
    constexpr double kHashRange = 18'446'744'073'709'551'616.0; // 2^64
    const double uniform = (static_cast<double>(hash64(entry)) + 1.0) / (kHashRange + 1.0);
    return -std::log(uniform) / static_cast<double>(std::max<std::int64_t>(milliCores, 1));
}

} // namespace

DutyOrder::DutyOrder(const std::map<std::string, std::int64_t> &entries)
{
    std::vector<std::pair<double, std::string>> costs;
    costs.reserve(entries.size());
    for (const auto &[entry, milliCores] : entries)
        costs.emplace_back(costOf(entry, milliCores), entry);
    std::sort(costs.begin(), costs.end());
    for (const auto &[cost, entry] : costs)
        ranked_.push_back(entry);
}

std::optional<int> DutyOrder::rankOf(const std::string &entry, const std::string &subject,
                                     int part) const
{
    const auto found = std::find(ranked_.begin(), ranked_.end(), entry);
    if (found == ranked_.end())
        return std::nullopt;
    const auto position = static_cast<std::size_t>(found - ranked_.begin());
    const std::size_t onDuty = std::min(kOnDuty, ranked_.size());
    if (position >= onDuty)
        return static_cast<int>(position);
    const std::uint64_t seed = hash64(subject);
    const std::uint64_t own = hash64(entry, seed);
    const auto earlier = static_cast<std::size_t>(
        std::count_if(ranked_.begin(), ranked_.begin() + static_cast<std::ptrdiff_t>(onDuty),
                      [&](const std::string &other) { return hash64(other, seed) < own; }));
    return static_cast<int>((earlier + onDuty - static_cast<std::size_t>(part) % onDuty) % onDuty);
}

} // namespace foxtailturn::quota
