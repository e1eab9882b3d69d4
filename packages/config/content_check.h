#pragma once

// Checks of a whole configuration, and its canonical order.
//
//     std::vector<Problem> problems = checkContent(content, places);
//     if (problems.empty())
//         sortContent(content);

#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "config/content.h"

namespace foxtailturn {

// Where a value stands in the operators' file.
struct Place
{
    std::string file_; // empty when the value doesn't come from a file
    int line_ = 0; // from 1; 0 when unknown
    std::string field_; // for example "templates.large.adapters[2].names.urn"
    std::string context_; // instance of a template, for example "workspaces[3] n=17"

    bool operator==(const Place &) const = default;
};

struct Problem
{
    Place place_;
    std::string text_;
    std::optional<Place> other_ = std::nullopt; // place that place_ clashes with

    bool operator==(const Problem &) const = default;
};

// Places of the items of a content, in its order. A list may be empty: items are then named by
// their index.
struct ContentPlaces
{
    std::vector<Place> targetGroups_;
    std::vector<Place> workspaces_;
    std::vector<Place> keys_;
    std::vector<Place> routes_;
    std::vector<Place> adapters_;
};

// Returns "file:line: field (context)".
[[nodiscard]] std::string placeText(const Place &place);

// Returns "file:line: field (context) text", followed by the other place.
[[nodiscard]] std::string problemText(const Problem &problem);

// Returns the InvalidConfiguration error that reports the problem, NotRun.
[[nodiscard]] Error problemError(const Problem &problem);

// Returns every problem of the content: values out of range, dangling references, repeated ids,
// names that clash. Thread-safe.
[[nodiscard]] std::vector<Problem> checkContent(const ConfigurationContent &content,
                                                const ContentPlaces &places);

// Puts all lists in canonical order, so that equal content has an equal serialization.
void sortContent(ConfigurationContent &content);

} // namespace foxtailturn
