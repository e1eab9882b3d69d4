#include "gateway/target_registry.h"

#include <algorithm>
#include <utility>

namespace foxtailturn::gateway {

namespace {

// Suspect time after the first failure: about twice the time in which a live target accepts a
// connection.
constexpr Duration kInitialSuspectTime = std::chrono::milliseconds(250);
// A crashed engine is back after a few seconds. With a longer limit it would stay unused after
// that.
constexpr Duration kMaxSuspectTime = std::chrono::seconds(2);
constexpr int kMaxDoublings = 3;
// Targets write their records again within this time of a restore; the store removes those of
// targets that don't.
constexpr Duration kRewriteTime = std::chrono::seconds(3);
constexpr Duration kCopyDoubt = std::chrono::seconds(6);
constexpr Duration kUnlistedRetention =
    std::chrono::seconds(30); // after the last possible use of an unlisted target

} // namespace

TargetTimes targetTimesFor(Duration drainNotice)
{
    constexpr int kReadsPerNotice =
        4; // reads of the store within the notice; one per 0.5 s for a notice of 2 s
    // Time for one call of the store and for a request that was placed just before it.
    constexpr Duration kMargin = std::chrono::milliseconds(250);
    // Long enough for records of live targets to come back. A longer notice extends the interval
    // between reads instead, which saves calls.
    constexpr Duration kMaxUnlistedGrace = std::chrono::milliseconds(2150);
    const Duration pause =
        std::max(drainNotice / kReadsPerNotice, drainNotice - kMargin - kMaxUnlistedGrace);
    return {pause, std::max(drainNotice - pause - kMargin, Duration::zero())};
}

bool TargetRegistry::list(const TargetRecord &record, TimePoint now)
{
    std::unique_ptr<Target> &slot = targets_[record.instance_];
    const bool isNew = !slot;
    if (isNew)
        slot = std::make_unique<Target>();
    Target &target = *slot;
    const bool isRestarted = !isNew && target.record_.startTimeMs_ != record.startTimeMs_;
    if (isRestarted)
        discardIncarnation(target, now);
    const TargetRecord previous = target.record_;
    const bool isBack = !isNew && target.usableUntil_ != TimePoint::max();
    const bool isChanged = isRestarted || previous.phase_ != record.phase_
        || previous.address_ != record.address_ || previous.service_ != record.service_
        || target.usableUntil_ != TimePoint::max();
    setRecord(target, record);
    setListed(target);
    if (isRestarted || isBack || (isNew && hasSnapshot_))
        presumeCold(target, now, placement::ColdReason::Started);
    if (record.coldFor_ > Duration::zero())
        presumeColdUntil(target, now + record.coldFor_, placement::ColdReason::Record);
    if (isRestarted)
        markReachable(target);
    if (isChanged) {
        if (!isNew)
            changedAddresses_.insert(previous.address_);
        changedAddresses_.insert(record.address_);
    }
    if (previous.address_ != record.address_)
        markOlderSuperseded(previous.service_, previous.address_);
    markOlderSuperseded(record.service_, record.address_);
    if (isNew || isRestarted || (!target.hasReport() && previous.models_ != record.models_))
        hosts_.update(target);
    return isChanged;
}

void TargetRegistry::setRecord(Target &target, const TargetRecord &record)
{
    byAddress_.remove(target.record_.address_, target);
    byService_.remove(target.record_.service_, target);
    target.record_ = record;
    target.isEvacuated_ = evacuated_.contains(record.dataCentre_);
    byAddress_.add(record.address_, target);
    byService_.add(record.service_, target);
}

void TargetRegistry::setListed(Target &target)
{
    target.usableUntil_ = TimePoint::max();
    target.listedFrom_ = TimePoint::max();
    unlisted_.erase(&target);
}

// Discards the state of the target's earlier incarnation. Requests in flight are still counted
// until they end.
void TargetRegistry::discardIncarnation(Target &target, TimePoint now)
{
    target.report_ = EngineReport();
    target.reportedAt_ = TimePoint{};
    target.requestedLoads_.clear();
    target.consecutiveFailures_ = 0;
    target.suspectUntil_ = now;
    target.backoff_ = TargetBackoff();
    target.isSuperseded_ = false;
    target.isLeaving_ = false;
}

void TargetRegistry::markOlderSuperseded(const std::string &service, const std::string &address)
{
    // The old record of a target that restarts under a new id stays in the store until its missing
    // heartbeats are detected. Only the incarnation started last can answer at the address. A
    // record of another service may be another writer's; a server that has taken the address over
    // rejects requests for this one by itself.
    std::int64_t newest = 0;
    for (const Target *target : atAddress(address)) {
        if (target->record_.service_ == service && target->usableUntil_ == TimePoint::max())
            newest = std::max(newest, target->record_.startTimeMs_);
    }
    for (Target *target : atAddress(address)) {
        if (target->record_.service_ == service && target->record_.startTimeMs_ < newest)
            markSuperseded(*target);
    }
}

void TargetRegistry::markSuperseded(Target &target)
{
    if (std::exchange(target.isSuperseded_, true))
        return;
    hosts_.update(target);
}

bool TargetRegistry::markLeaving(const std::string &instance)
{
    Target *target = find(instance);
    return target != nullptr && !std::exchange(target->isLeaving_, true);
}

void TargetRegistry::setEvacuated(std::set<std::string> dataCentres, TimePoint now)
{
    evacuated_ = std::move(dataCentres);
    for (const auto &[instance, target] : targets_) {
        ++visits_;
        const bool isEvacuated = evacuated_.contains(target->record_.dataCentre_);
        if (std::exchange(target->isEvacuated_, isEvacuated) == isEvacuated)
            continue;
        if (!isEvacuated)
            presumeCold(*target, now, placement::ColdReason::Emptied);
        hosts_.update(*target);
    }
}

void TargetRegistry::markUnlisted(const std::string &instance, TimePoint now)
{
    unlist(instance, now, unlistedGrace_);
}

void TargetRegistry::unlist(const std::string &instance, TimePoint now, Duration grace)
{
    Target *target = find(instance);
    if (target == nullptr)
        return;
    target->listedFrom_ = TimePoint::max();
    if (target->usableUntil_ != TimePoint::max())
        return;
    const bool wasDraining = target->record_.phase_ == TargetPhase::Draining;
    target->usableUntil_ = wasDraining ? now : now + grace;
    unlisted_.insert(target);
    changedAddresses_.insert(target->record_.address_);
}

void TargetRegistry::unlistAllExcept(std::vector<std::string> instances, TimePoint now,
                                     Duration grace)
{
    std::sort(instances.begin(), instances.end());
    for (const auto &[instance, target] : targets_) {
        ++visits_;
        if (!std::binary_search(instances.begin(), instances.end(), instance))
            unlist(instance, now, grace);
    }
}

void TargetRegistry::retainOnly(const std::vector<std::string> &instances, TimePoint now)
{
    hasSnapshot_ = true;
    unlistAllExcept(instances, now, unlistedGrace_);
}

bool TargetRegistry::listCopy(const TargetRecord &record, TimePoint now)
{
    Target *target = find(record.instance_);
    const bool isNews = target == nullptr || target->record_.startTimeMs_ < record.startTimeMs_
        || record.phase_ == TargetPhase::Draining;
    if (isNews)
        return list(record, now);
    if (target->record_.startTimeMs_ > record.startTimeMs_
        || target->record_.phase_ == TargetPhase::Draining)
        return false;
    if (target->usableUntil_ == TimePoint::max())
        return list(record, now);
    target->listedFrom_ = now + kCopyDoubt;
    return false;
}

void TargetRegistry::retainOnlyCopy(const std::vector<std::string> &instances, TimePoint now)
{
    unlistAllExcept(instances, now, kRewriteTime);
}

bool TargetRegistry::confirmCopies(TimePoint now)
{
    bool hasListed = false;
    for (auto it = unlisted_.begin(); it != unlisted_.end();) {
        ++visits_;
        Target &target = **it++;
        if (target.listedFrom_ > now)
            continue;
        setListed(target);
        changedAddresses_.insert(target.record_.address_);
        hasListed = true;
    }
    return hasListed;
}

std::set<std::string> TargetRegistry::takeChangedAddresses()
{
    return std::exchange(changedAddresses_, {});
}

AdapterChanges TargetRegistry::report(const std::string &address, const EngineReport &report,
                                      TimePoint arrivedAt)
{
    for (Target *target : atAddress(address)) {
        if (target->record_.startTimeMs_ < report.startTimeMs_)
            markSuperseded(*target);
        if (target->record_.startTimeMs_ != report.startTimeMs_)
            continue;
        const bool isFirst = !target->hasReport();
        AdapterChanges changes{target, changedNames(target->report_, report)};
        target->report_ = report;
        target->reportedAt_ = arrivedAt;
        if (isFirst || !changes.names_.empty())
            hosts_.update(*target);
        return changes;
    }
    return {};
}

void TargetRegistry::setAgentConnected(const std::string &address, bool isLinked)
{
    for (Target *target : atAddress(address)) {
        const bool hasLostRequests = !isLinked && !target->requestedLoads_.empty();
        if (hasLostRequests)
            target->requestedLoads_.clear();
        if (std::exchange(target->isAgentConnected_, isLinked) != isLinked || hasLostRequests)
            hosts_.update(*target);
    }
}

void TargetRegistry::recordLoadRequest(Target &target, const std::string &name,
                                       const RequestedLoad &load)
{
    if (target.requestedLoads_.insert_or_assign(name, load).second)
        hosts_.update(target);
}

void TargetRegistry::forgetLoadRequest(Target &target, const std::string &name)
{
    if (target.requestedLoads_.erase(name) > 0)
        hosts_.update(target);
}

void TargetRegistry::succeeded(Target &target)
{
    target.consecutiveFailures_ = 0;
    target.suspectUntil_ = TimePoint{};
    target.backoff_.recordAcceptance();
}

void TargetRegistry::failed(Target &target, TimePoint now)
{
    const int doublings = std::min(target.consecutiveFailures_, kMaxDoublings);
    ++target.consecutiveFailures_;
    target.suspectUntil_ = now + std::min(kInitialSuspectTime * (1 << doublings), kMaxSuspectTime);
}

void TargetRegistry::presumeCold(Target &target, TimePoint now, placement::ColdReason reason,
                                 Duration upFor)
{
    const auto coldTime = coldTimes_.find(target.record_.service_);
    if (coldTime != coldTimes_.end() && upFor < coldTime->second)
        presumeColdUntil(target, now + coldTime->second - upFor, reason);
}

void TargetRegistry::presumeColdUntil(Target &target, TimePoint until, placement::ColdReason reason)
{
    if (!coldTimes_.contains(target.record_.service_))
        return;
    target.cold_.presumeCold(until, reason);
    if (!cold_.contains(&target))
        newlyCold_.insert(&target);
}

void TargetRegistry::markUnreachable(Target &target)
{
    if (coldTimes_.contains(target.record_.service_))
        target.cold_.setUnreachable(true);
}

std::size_t TargetRegistry::reviewCold(TimePoint now,
                                       const std::function<void(const Target &)> &onCold,
                                       const std::function<void(const Target &)> &onWarm)
{
    for (Target *target : visit(newlyCold_)) {
        if (cold_.insert(target).second)
            onCold(*target);
    }
    newlyCold_.clear();
    std::vector<Target *> warm;
    for (Target *target : visit(cold_)) {
        if (!target->cold_.isCold(now))
            warm.push_back(target);
    }
    for (Target *target : warm) {
        onWarm(*target);
        cold_.erase(target);
    }
    return cold_.size();
}

std::vector<Target *> TargetRegistry::availableTargets(const std::string &service, TimePoint now)
{
    std::vector<Target *> list;
    for (Target *target : visit(byService_.at(service))) {
        if (target->isInService() && now < target->usableUntil_)
            list.push_back(target);
    }
    return list;
}

const TargetSet &TargetRegistry::atAddress(const std::string &address)
{
    return visit(byAddress_.at(address));
}

const TargetSet &TargetRegistry::visit(const TargetSet &targets)
{
    visits_ += targets.size();
    return targets;
}

Target *TargetRegistry::find(const std::string &instance)
{
    const auto it = targets_.find(instance);
    return it == targets_.end() ? nullptr : it->second.get();
}

std::vector<Target *> TargetRegistry::all()
{
    std::vector<Target *> list;
    visits_ += targets_.size();
    for (const auto &[instance, target] : targets_)
        list.push_back(target.get());
    return list;
}

void TargetRegistry::removeStale(TimePoint now)
{
    std::vector<Target *> stale;
    for (Target *target : visit(unlisted_)) {
        if (target->usableUntil_ + kUnlistedRetention < now && target->inFlight_ == 0)
            stale.push_back(target);
    }
    for (Target *target : stale) {
        hosts_.remove(*target);
        byAddress_.remove(target->record_.address_, *target);
        byService_.remove(target->record_.service_, *target);
        unlisted_.erase(target);
        newlyCold_.erase(target);
        cold_.erase(target);
        targets_.erase(targets_.find(target->record_.instance_));
    }
}

} // namespace foxtailturn::gateway
