#pragma once

// Finds names that would resolve to two identities. Ids count as names too.
//
//     NameTable table("adapter");
//     for (const Problem &problem : table.add(id, names, schemes, place)) ...

#include <array>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/content.h"
#include "config/problem.h"

namespace foxtailturn {

// Not thread-safe.
class NameTable
{
public:
    // kind names the identities in problems, for example "adapter".
    explicit NameTable(std::string kind);

    // Adds an identity and returns a problem for each of its names that another identity has; the
    // text names the other place. Adding an identity again with equal names is no problem.
    [[nodiscard]] std::vector<Problem> add(const std::string &id, const Names &names,
                                           const std::array<std::string, kSchemeCount> &schemes,
                                           const Place &place);

private:
    struct Entry
    {
        std::string id_;
        Place place_;
    };

    void addName(const std::string &name, const std::string &id, Place place,
                 std::vector<Problem> &problems);

    std::string kind_;
    std::unordered_map<std::string, Entry> entries_;
};

} // namespace foxtailturn
