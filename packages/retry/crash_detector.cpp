#include "retry/crash_detector.h"

#include <set>
#include <utility>

namespace foxtailturn {

bool CrashDetector::recordLoss(const TargetStart &start, const std::vector<Suspect> &suspects,
                               TimePoint now)
{
    Losses &losses = losses_[start.target_];
    std::erase_if(losses.list_, [now](const Loss &loss) { return loss.expiresAt_ <= now; });
    if (losses.list_.size() >= kMaxLosses)
        losses.list_.erase(losses.list_.begin());
    losses.list_.push_back({start.crashId_, suspects, now + kRetention, !losses.isChecking_});
    return !std::exchange(losses.isChecking_, true);
}

std::optional<Crash> CrashDetector::recordUnreachable(const std::string &target, TimePoint now)
{
    const auto it = losses_.find(target);
    if (it == losses_.end())
        return std::nullopt;
    const Losses losses = std::move(it->second);
    losses_.erase(it);
    std::optional<Crash> crash;
    std::set<Suspect> known;
    for (const Loss &loss : losses.list_) {
        if (loss.expiresAt_ <= now)
            continue;
        if (!crash)
            crash = Crash{loss.crashId_, {}};
        if (loss.crashId_ != crash->id_)
            continue;
        for (const Suspect &suspect : loss.suspects_) {
            if (known.insert(suspect).second)
                crash->suspects_.push_back(suspect);
        }
    }
    return crash;
}

bool CrashDetector::recordReachable(const std::string &target, TimePoint now)
{
    const auto it = losses_.find(target);
    if (it == losses_.end())
        return false;
    std::vector<Loss> &list = it->second.list_;
    std::erase_if(
        list, [now](const Loss &loss) { return loss.isBeforeCheck_ || loss.expiresAt_ <= now; });
    if (list.empty()) {
        losses_.erase(it);
        return false;
    }
    for (Loss &loss : list)
        loss.isBeforeCheck_ = true;
    return true;
}

} // namespace foxtailturn
