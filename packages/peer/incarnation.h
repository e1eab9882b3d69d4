#pragma once

// Ids of process incarnations: the process name and a random boot id.
//
//     const std::string self = newIncarnation("entry-1");   // "entry-1#5f3a..."
//     processNameOf(self);                                  // "entry-1"

#include <string>

namespace foxtailturn {

// Returns a new incarnation id, unique to this start of the process. Thread-safe.
[[nodiscard]] std::string newIncarnation(const std::string &processName);

// Returns the process name of an incarnation. Thread-safe.
[[nodiscard]] std::string processNameOf(const std::string &incarnation);

} // namespace foxtailturn
