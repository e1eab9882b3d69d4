#pragma once

// Checks of a whole configuration.
//
//     std::vector<Problem> problems = checkContent(content, places);
//     if (!problems.empty())
//         std::cerr << problemText(problems.front());

#include <vector>

#include "config/content.h"
#include "config/problem.h"

namespace foxtailturn {

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

// Returns every problem of the content: values out of range, dangling references, repeated ids,
// names that clash. Thread-safe.
[[nodiscard]] std::vector<Problem> checkContent(const ConfigurationContent &content,
                                                const ContentPlaces &places);

} // namespace foxtailturn
