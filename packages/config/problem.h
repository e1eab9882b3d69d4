#pragma once

// A mistake in an operators' file or in a configuration, and where it stands.
//
//     const Problem problem{{"f.json", 12, "routes[0].path", ""}, "is missing"};
//     problemText(problem); // "f.json:12: routes[0].path is missing"

#include <optional>
#include <string>

#include "base/error.h"

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

// Returns "file:line: field (context)".
[[nodiscard]] std::string placeText(const Place &place);

// Returns "file:line: field (context) text", followed by the other place.
[[nodiscard]] std::string problemText(const Problem &problem);

// Returns the InvalidConfiguration error that reports the problem, NotRun.
[[nodiscard]] Error problemError(const Problem &problem);

} // namespace foxtailturn
