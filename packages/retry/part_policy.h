#pragma once

// Decides whether a part of prompts is the cause of crashes of targets.
//
//     if (isCauseOfCrashes(record, crashTimes, retention))
//         refuse(requests with the part);
//
// A part that crashes each target which begins to answer a prompt with it is in flight at each of
// these crashes and never in an answer that has begun; such an answer clears the crashes before it.
// A sound part may be in flight at some by chance, most of all if targets end in groups. So crashes
// within a short time count once, and the part must have been in flight at two thirds of all
// crashes of that time. A part that was in flight at many groups in a row is the cause in any case,
// since targets may end for another reason at the same time.

#include <map>
#include <string>

#include "retry/suspect_record.h"

namespace foxtailturn {

constexpr Duration kCrashGroupLength = std::chrono::milliseconds(300);
constexpr int kGroupsToBlame = 3; // for a part that was in flight at two thirds of all crashes
constexpr int kGroupsToBlameAnyway = 6;

// Returns whether the part's uncleared crashes make it the cause. crashTimes: of all crashes, by
// id; retention: time from a crash to the expiry of its marks in the record. Thread-safe.
[[nodiscard]] bool isCauseOfCrashes(const SuspectRecord &part,
                                    const std::map<std::string, UtcTime> &crashTimes,
                                    Duration retention);

} // namespace foxtailturn
