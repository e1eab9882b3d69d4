#include "sidecar/adapter_manager.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "gateway/target_registry.h"

namespace foxtailturn::gateway {

namespace {

constexpr double kPopularityDecaySeconds = 10; // time constant of the exponential decay
constexpr std::size_t kPopularityPruneThreshold = 2000;
constexpr std::int64_t kTokenIncrement = 1000; // to exceed a token that another process used

std::pair<std::string, std::string> splitName(const std::string &name)
{
    const std::size_t slash = std::min(name.find('/'), name.size());
    return {name.substr(0, slash), name.substr(std::min(slash + 1, name.size()))};
}

} // namespace

AdapterManager::AdapterManager(std::string holder, std::int64_t firstToken)
    : holder_(std::move(holder))
    , token_(firstToken)
{ }

void AdapterManager::onReport(const EngineReport &report, TimePoint now)
{
    if (hasReport_ && report.startTimeMs_ != report_.startTimeMs_) {
        // Another incarnation starts empty and knows no earlier order.
        pendingLoads_.clear();
        lastUsedAt_.clear();
    }
    report_ = report;
    hasReport_ = true;
    hasFreshReport_ = true;
    std::erase_if(pendingLoads_, [&](const auto &entry) {
        if (!isSatisfied(entry.second))
            return false;
        lastUsedAt_[entry.first] = now; // the requests that wait for it arrive next
        return true;
    });
}

const HostedModel *AdapterManager::findModel(const std::string &model) const
{
    const auto it = std::find_if(report_.models_.begin(), report_.models_.end(),
                                 [&model](const HostedModel &m) { return m.name_ == model; });
    return it == report_.models_.end() ? nullptr : &*it;
}

bool AdapterManager::isSatisfied(const PendingLoad &pending) const
{
    const auto [model, adapter] = splitName(pending.request_.name_);
    const HostedModel *host = findModel(model);
    if (host == nullptr)
        return false;
    if (adapter.empty())
        return true;
    const auto it = host->adapters_.find(adapter);
    return it != host->adapters_.end() && it->second >= pending.request_.version_;
}

bool AdapterManager::isLoading(const std::string &name) const
{
    return std::find(report_.loading_.begin(), report_.loading_.end(), name)
        != report_.loading_.end();
}

std::size_t AdapterManager::usedSlots() const
{
    std::size_t count = 0;
    for (const HostedModel &model : report_.models_) {
        count += static_cast<std::size_t>(
            std::count_if(model.adapters_.begin(), model.adapters_.end(), [&](const auto &adapter) {
                return !isLoading(adapterName(model.name_, adapter.first));
            }));
    }
    return count + report_.loading_.size();
}

void AdapterManager::requestLoad(const LoadRequest &request, TimePoint now)
{
    instance_ = request.instance_;
    slots_ = request.adapterSlots_;
    PendingLoad &pending = pendingLoads_[request.name_];
    const std::int64_t version = std::max(pending.request_.version_, request.version_);
    if (pending.requestedAt_ == TimePoint{})
        pending.requestedAt_ = now;
    pending.request_ = request;
    pending.request_.version_ = version;
    pending.deadline_ = now + kLoadRequestTimeout;
    lastUsedAt_[request.name_] = now;
    if (hasFreshReport_ && isSatisfied(pending))
        pendingLoads_.erase(request.name_);
}

void AdapterManager::onUseNotice(int entry, const UseNotice &notice, TimePoint now)
{
    lastUsedAt_[notice.name_] = now;
    if (notice.isBegin_)
        recordUse(notice.name_, now);
    int &count = activeRequests_[notice.name_][entry];
    count = std::max(0, count + (notice.isBegin_ ? 1 : -1));
    if (count == 0)
        activeRequests_[notice.name_].erase(entry);
    if (activeRequests_[notice.name_].empty())
        activeRequests_.erase(notice.name_);
}

void AdapterManager::removeEntry(int entry, TimePoint now)
{
    for (auto it = activeRequests_.begin(); it != activeRequests_.end();) {
        if (it->second.erase(entry) > 0)
            lastUsedAt_[it->first] = now;
        it = it->second.empty() ? activeRequests_.erase(it) : std::next(it);
    }
}

double AdapterManager::popularity(const std::string &name, TimePoint now) const
{
    const auto it = popularities_.find(name);
    if (it == popularities_.end())
        return 0;
    const double age = std::chrono::duration<double>(now - it->second.at_).count();
    return it->second.decayedUses_ * std::exp(-age / kPopularityDecaySeconds);
}

void AdapterManager::recordUse(const std::string &name, TimePoint now)
{
    constexpr double kNegligibleUses = 0.05;
    if (popularities_.size() > kPopularityPruneThreshold)
        std::erase_if(popularities_, [&](const auto &entry) {
            return popularity(entry.first, now) < kNegligibleUses;
        });
    popularities_[name] = Popularity{popularity(name, now) + 1, now};
}

std::vector<const AdapterManager::PendingLoad *> AdapterManager::pendingLoadsByAge() const
{
    std::vector<const PendingLoad *> list;
    for (const auto &[name, pending] : pendingLoads_)
        list.push_back(&pending);
    std::stable_sort(list.begin(), list.end(), [](const PendingLoad *a, const PendingLoad *b) {
        return a->requestedAt_ < b->requestedAt_;
    });
    return list;
}

SidecarReport AdapterManager::reportForEntries(TimePoint now) const
{
    SidecarReport report{report_};
    for (const auto &[name, pending] : pendingLoads_) {
        if (!isLoading(name))
            report.engine_.loading_.push_back(name);
    }
    if (slots_ > 0 && usedSlots() + pendingLoads_.size() >= static_cast<std::size_t>(slots_)) {
        constexpr double kCostIfNoneEvictable = 10;
        const std::optional<std::string> dropped = evictionCandidate(now);
        report.evictionCost_ = dropped ? popularity(*dropped, now) : kCostIfNoneEvictable;
    }
    return report;
}

std::optional<std::string> AdapterManager::evictionCandidate(TimePoint now) const
{
    std::optional<std::string> leastPopular;
    double minUses = std::numeric_limits<double>::max();
    for (const HostedModel &model : report_.models_) {
        for (const auto &[adapter, version] : model.adapters_) {
            const std::string name = adapterName(model.name_, adapter);
            if (activeRequests_.contains(name) || pendingLoads_.contains(name) || isLoading(name))
                continue;
            const auto used = lastUsedAt_.find(name);
            const TimePoint at = used == lastUsedAt_.end() ? TimePoint{} : used->second;
            if (at + kMinIdleBeforeEviction > now && at != TimePoint{})
                continue;
            const double uses = popularity(name, now);
            if (uses < minUses) {
                minUses = uses;
                leastPopular = name;
            }
        }
    }
    return leastPopular;
}

EngineOrder AdapterManager::makeOrder(OrderKind kind, const std::string &name) const
{
    const auto [model, adapter] = splitName(name);
    return {kind, model, adapter, instance_, holder_, token_, report_.sequence_};
}

std::optional<EngineOrder> AdapterManager::nextOrder(TimePoint now)
{
    if (!hasFreshReport_ || report_.isBusy_ || report_.isDraining_)
        return std::nullopt;
    for (auto it = pendingLoads_.begin(); it != pendingLoads_.end();) {
        const bool isExpired = it->second.deadline_ <= now && !isLoading(it->first);
        if (!isExpired) {
            ++it;
            continue;
        }
        refusedLoads_.push_back(it->first);
        it = pendingLoads_.erase(it);
    }
    for (const PendingLoad *pending : pendingLoadsByAge()) {
        const std::string &name = pending->request_.name_;
        const auto [model, adapter] = splitName(name);
        const HostedModel *host = findModel(model);
        if (host == nullptr && !report_.models_.empty())
            continue; // two models may not fit, and an engine out of memory crashes
        if (host == nullptr) {
            hasFreshReport_ = false;
            return makeOrder(OrderKind::Load, model);
        }
        if (adapter.empty() || isLoading(name) || report_.loading_.size() >= kMaxConcurrentLoads)
            continue;
        const bool isReplacement = host->adapters_.contains(adapter);
        if (!isReplacement && usedSlots() >= static_cast<std::size_t>(slots_)) {
            const std::optional<std::string> dropped = evictionCandidate(now);
            if (!dropped)
                continue;
            hasFreshReport_ = false;
            return makeOrder(OrderKind::Unload, *dropped);
        }
        hasFreshReport_ = false;
        return makeOrder(OrderKind::Load, name);
    }
    return std::nullopt;
}

void AdapterManager::onOrderOutcome(OrderOutcome outcome, TimePoint)
{
    hasFreshReport_ = false;
    switch (outcome) {
    case OrderOutcome::StaleToken:
        token_ += kTokenIncrement;
        return;
    case OrderOutcome::OtherInstance:
        pendingLoads_.clear();
        return;
    case OrderOutcome::Accepted:
    case OrderOutcome::Rejected:
    case OrderOutcome::Unknown:
        return; // the next report shows the engine's state
    }
}

std::vector<std::string> AdapterManager::takeRefusedLoads(TimePoint now)
{
    for (auto it = pendingLoads_.begin(); it != pendingLoads_.end();) {
        const bool isExpired = it->second.deadline_ <= now && !isLoading(it->first);
        if (isExpired)
            refusedLoads_.push_back(it->first);
        it = isExpired ? pendingLoads_.erase(it) : std::next(it);
    }
    std::vector<std::string> refused = std::move(refusedLoads_);
    refusedLoads_.clear();
    return refused;
}

bool AdapterManager::hasPendingLoads() const
{
    return !pendingLoads_.empty() || !report_.loading_.empty();
}

} // namespace foxtailturn::gateway
