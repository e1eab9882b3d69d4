#include "config/name_table.h"

#include <utility>

#include "base/log.h"

namespace foxtailturn {

NameTable::NameTable(std::string kind)
    : kind_(std::move(kind))
{ }

std::vector<Problem> NameTable::add(const std::string &id, const Names &names,
                                    const std::array<std::string, kSchemeCount> &schemes,
                                    const Place &place)
{
    std::vector<Problem> problems;
    Place idPlace = place;
    idPlace.field_ += ".id";
    addName(id, id, std::move(idPlace), problems);
    for (std::size_t i = 0; i < kSchemeCount; ++i) {
        if (names[i].empty())
            continue;
        Place namePlace = place;
        namePlace.field_ += concat(".names.", schemes[i]);
        addName(names[i], id, std::move(namePlace), problems);
    }
    return problems;
}

void NameTable::addName(const std::string &name, const std::string &id, Place place,
                        std::vector<Problem> &problems)
{
    const auto [it, inserted] = entries_.try_emplace(name, Entry{id, place});
    if (inserted || it->second.id_ == id)
        return;
    std::string text = concat("'", name, "' of ", kind_, " '", id, "' clashes with ", kind_, " '",
                              it->second.id_, "'");
    problems.push_back({std::move(place), std::move(text), it->second.place_});
}

} // namespace foxtailturn
