#pragma once

// The order in which entries take a duty, such as a part of a workspace's quota. All entries that
// know the same entries compute the same order, without a message.
//
//     DutyOrder order({{"entry-1", 500}, {"entry-2", 90}});
//     if (order.rankOf("entry-1", "workspace", 0) == 0)
//         takePart();

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtailturn::quota {

// Immutable. Thread-safe.
class DutyOrder
{
public:
    // Entries that share the duties while all of them are alive. A few entries with many duties
    // each need fewer store writes and connections than many entries with a duty each.
    static constexpr std::size_t kOnDuty = 8;

    DutyOrder() = default;

    // entries holds processor shares by name, in thousandths of a core. Larger VMs are more likely
    // to be on duty.
    explicit DutyOrder(const std::map<std::string, std::int64_t> &entries);

    // Returns the position of the entry in the order for one part of a subject, 0 for the first;
    // nullopt if the entry is unknown. The parts 0, 1, ... of a subject begin with different
    // entries, as far as there are as many.
    [[nodiscard]] std::optional<int> rankOf(const std::string &entry, const std::string &subject,
                                            int part) const;

    [[nodiscard]] std::size_t size() const { return ranked_.size(); }

private:
    std::vector<std::string> ranked_; // the first kOnDuty are on duty
};

} // namespace foxtailturn::quota
