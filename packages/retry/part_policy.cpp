#include "retry/part_policy.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace foxtailturn {

namespace {

std::vector<UtcTime> timesOfUnclearedCrashes(const SuspectRecord &part, Duration retention)
{
    std::vector<UtcTime> times;
    for (const auto &[id, crash] : part.crashes_) {
        if (!crash.isCleared_)
            times.push_back(crash.forgetAt_ - retention);
    }
    std::sort(times.begin(), times.end());
    return times;
}

// Returns the number of times that are kCrashGroupLength or more after the one counted before.
int groupCount(const std::vector<UtcTime> &times)
{
    int groups = 0;
    std::optional<UtcTime> start;
    for (const UtcTime time : times) {
        if (start && time < *start + kCrashGroupLength)
            continue;
        start = time;
        ++groups;
    }
    return groups;
}

} // namespace

bool isCauseOfCrashes(const SuspectRecord &part, const std::map<std::string, UtcTime> &crashTimes,
                      Duration retention)
{
    const std::vector<UtcTime> times = timesOfUnclearedCrashes(part, retention);
    if (times.empty())
        return false;
    const int groups = groupCount(times);
    if (groups >= kGroupsToBlameAnyway)
        return true;
    const auto crashes =
        std::count_if(crashTimes.begin(), crashTimes.end(), [&times](const auto &crash) {
            return crash.second >= times.front() && crash.second <= times.back();
        });
    return groups >= kGroupsToBlame && 3 * static_cast<std::ptrdiff_t>(times.size()) >= 2 * crashes;
}

} // namespace foxtailturn
