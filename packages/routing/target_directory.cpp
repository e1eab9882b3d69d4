#include "routing/target_directory.h"

#include <algorithm>
#include <set>

namespace foxtailturn {

TargetDirectory::TargetDirectory(const Clock &clock)
    : clock_(clock)
{ }

void TargetDirectory::setTargets(const std::vector<TargetInfo> &targets)
{
    const std::lock_guard lock(mutex_);
    const TimePoint noWorkAfter = clock_.now() + kLeavingGrace;
    std::set<std::string> listedNames;
    for (const TargetInfo &info : targets) {
        listedNames.insert(info.name_);
        Target &target = targets_[info.name_];
        target.info_ = info;
        target.noWorkAfter_ =
            info.leaving_ ? std::min(target.noWorkAfter_, noWorkAfter) : TimePoint::max();
    }
    for (auto &[name, target] : targets_) {
        if (!listedNames.contains(name))
            target.noWorkAfter_ = std::min(target.noWorkAfter_, noWorkAfter);
    }
    std::erase_if(targets_, [&](const auto &entry) {
        return !listedNames.contains(entry.first) && entry.second.inFlight_ == 0
            && clock_.now() >= entry.second.noWorkAfter_;
    });
}

bool TargetDirectory::heartbeat(const TargetReport &report)
{
    auto resident = std::make_shared<AdapterSet>(report.resident_.begin(), report.resident_.end());
    resident->insert(report.loading_.begin(), report.loading_.end());
    const std::lock_guard lock(mutex_);
    const auto it = targets_.find(report.name_);
    if (it == targets_.end())
        return false;
    Target &target = it->second;
    const bool sameIncarnation = report.incarnation_ == target.incarnation_;
    if (sameIncarnation && report.sequence_ <= target.sequence_)
        return false;
    if (!sameIncarnation && !target.knownIncarnations_.insert(report.incarnation_).second)
        return false;
    target.draining_ = report.draining_ || (sameIncarnation && target.draining_);
    target.incarnation_ = report.incarnation_;
    target.sequence_ = report.sequence_;
    target.heartbeatDeadline_ = clock_.now() + kHeartbeatTimeout;
    target.unreachableUntil_ = TimePoint::min();
    target.reportedLoad_ = report.running_ + report.waiting_;
    target.maxRunning_ = std::max<std::size_t>(report.maxRunning_, 1);
    target.loadsInFlight_ = report.loadsInFlight_;
    target.inFlightAtReport_ = target.inFlight_;
    target.resident_ = std::move(resident);
    return true;
}

void TargetDirectory::markUnreachable(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    const auto it = targets_.find(name);
    if (it != targets_.end())
        it->second.unreachableUntil_ = clock_.now() + kUnreachableTime;
}

void TargetDirectory::markDraining(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    const auto it = targets_.find(name);
    if (it != targets_.end())
        it->second.draining_ = true;
}

void TargetDirectory::addResident(Target &target, const AdapterId &adapter)
{
    if (adapter.empty() || target.resident_->contains(adapter))
        return;
    auto resident = std::make_shared<AdapterSet>(*target.resident_);
    resident->insert(adapter);
    target.resident_ = std::move(resident);
}

void TargetDirectory::begin(const std::string &name, const AdapterId &adapter)
{
    const std::lock_guard lock(mutex_);
    const auto it = targets_.find(name);
    if (it == targets_.end())
        return;
    ++it->second.inFlight_;
    addResident(it->second, adapter);
}

void TargetDirectory::end(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    const auto it = targets_.find(name);
    if (it != targets_.end() && it->second.inFlight_ > 0)
        --it->second.inFlight_;
}

TargetState TargetDirectory::stateOf(const Target &target, TimePoint now) const
{
    if (target.draining_)
        return TargetState::Draining;
    if (now >= target.heartbeatDeadline_ || now < target.unreachableUntil_)
        return TargetState::Unreachable;
    return target.noWorkAfter_ == TimePoint::max() ? TargetState::Live : TargetState::Leaving;
}

TargetView TargetDirectory::viewOf(const Target &target, TimePoint now) const
{
    // The report includes this entry's requests in flight at that time; add the change since.
    const std::size_t uncorrectedLoad = target.reportedLoad_ + target.inFlight_;
    const std::size_t correctedLoad =
        uncorrectedLoad > target.inFlightAtReport_ ? uncorrectedLoad - target.inFlightAtReport_ : 0;
    return TargetView{.info_ = target.info_,
                      .state_ = stateOf(target, now),
                      .resident_ = target.resident_,
                      .load_ = std::max(correctedLoad, target.inFlight_),
                      .maxRunning_ = target.maxRunning_,
                      .loadsInFlight_ = target.loadsInFlight_};
}

std::vector<TargetView> TargetDirectory::usable(const std::string &group) const
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = clock_.now();
    std::vector<TargetView> live;
    std::vector<TargetView> leaving;
    for (const auto &[name, target] : targets_) {
        if (target.info_.group_ != group)
            continue;
        const TargetState state = stateOf(target, now);
        if (state == TargetState::Live)
            live.push_back(viewOf(target, now));
        else if (state == TargetState::Leaving && now < target.noWorkAfter_)
            leaving.push_back(viewOf(target, now));
    }
    return live.empty() ? leaving : live;
}

std::vector<TargetView> TargetDirectory::all() const
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = clock_.now();
    std::vector<TargetView> views;
    for (const auto &[name, target] : targets_)
        views.push_back(viewOf(target, now));
    return views;
}

TimePoint TargetDirectory::retryAt(const std::string &group) const
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = clock_.now();
    TimePoint earliest = now + kUnreachableTime;
    for (const auto &[name, target] : targets_) {
        const bool becomesReachable =
            target.info_.group_ == group && now < target.unreachableUntil_;
        if (becomesReachable)
            earliest = std::min(earliest, target.unreachableUntil_);
    }
    return earliest;
}

} // namespace foxtailturn
