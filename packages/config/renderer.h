#pragma once

// Renders an operators' file into the content of a revision, and checks it.
//
//     const RenderResult result = renderSource(text, "association.json");
//     for (const Problem &problem : result.problems_)
//         std::cerr << problemText(problem) << '\n';
//
// The file is JSON with comments:
//
//     {
//       "schemes": ["legacy", "short", "urn"],
//       "targetGroups": [{"name": "engines", "kind": "model", "baseModels": ["base-8b"]}],
//       "templates": {
//         "member": {
//           "parameters": {"code": "string", "count": "integer",
//                          "weight": {"type": "integer", "default": 1}},
//           "workspace": {"id": "${code}", "names": {"urn": "urn:${code}"}, "rate": 500,
//                         "burst": 2000, "weight": "${weight}"},
//           "keys": [{"id": "${code}-main", "hash": "..."}],
//           "adapters": [{"range": {"variable": "n", "from": 1, "to": "${count}"},
//                         "id": "${code}-${n:4}", "names": {}, "baseModel": "base-8b",
//                         "versions": [1, 2], "current": 2,
//                         "object": "weights/${code}/${n}/${version}"}]
//         }
//       },
//       "workspaces": [{"template": "member", "parameters": {"code": "north", "count": 600}}],
//       "routes": [{"id": "chat", "names": {}, "kind": "model", "methods": ["POST"],
//                   "path": "/v1/chat/completions", "repeatable": true, "targetGroup": "engines",
//                   "priority": "chat", "maxTokens": 1000, "deadlineMs": 60000}],
//       "adapters": [...] // adapters of several workspaces, with "owners"
//     }
//
// A template may have "routes" too, and "owners" in its adapters (default: its workspace).

#include <string>
#include <string_view>
#include <vector>

#include "config/content.h"
#include "config/content_check.h"

namespace foxtailturn {

struct RenderResult
{
    ConfigurationContent content_; // in canonical order; meaningful only without problems
    std::vector<Problem> problems_; // with file, line and field
};

// Renders and checks the text of the given file. Thread-safe.
[[nodiscard]] RenderResult renderSource(std::string_view text, const std::string &file);

} // namespace foxtailturn
