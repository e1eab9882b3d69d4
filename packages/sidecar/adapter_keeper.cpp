#include "sidecar/adapter_keeper.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "gateway/target_book.h"

namespace foxtailturn::gateway {

namespace {

constexpr double kPopularitySeconds = 10; // time constant of the exponential decay
constexpr std::size_t kMostPopularities = 2000;
constexpr std::int64_t kTokenStep = 1000; // to exceed a token that another process used

std::pair<std::string, std::string> splitName(const std::string &name)
{
    const std::size_t slash = std::min(name.find('/'), name.size());
    return {name.substr(0, slash), name.substr(std::min(slash + 1, name.size()))};
}

} // namespace

AdapterKeeper::AdapterKeeper(std::string holder, std::int64_t firstToken)
    : holder_(std::move(holder))
    , token_(firstToken)
{ }

void AdapterKeeper::onReport(const EngineReport &report, TimePoint now)
{
    if (isKnown_ && report.bornMs_ != report_.bornMs_) {
        // Another incarnation starts empty and knows no earlier order.
        wants_.clear();
        lastUse_.clear();
    }
    report_ = report;
    isKnown_ = true;
    hasFreshReport_ = true;
    std::erase_if(wants_, [&](const auto &entry) {
        if (!isMet(entry.second))
            return false;
        lastUse_[entry.first] = now; // the requests that wait for it arrive next
        return true;
    });
}

const HostedModel *AdapterKeeper::hosted(const std::string &model) const
{
    const auto it = std::find_if(report_.models_.begin(), report_.models_.end(),
                                 [&model](const HostedModel &m) { return m.name_ == model; });
    return it == report_.models_.end() ? nullptr : &*it;
}

bool AdapterKeeper::isMet(const Want &want) const
{
    const auto [model, adapter] = splitName(want.request_.name_);
    const HostedModel *host = hosted(model);
    if (host == nullptr)
        return false;
    if (adapter.empty())
        return true;
    const auto it = host->adapters_.find(adapter);
    return it != host->adapters_.end() && it->second >= want.request_.version_;
}

bool AdapterKeeper::isLoading(const std::string &name) const
{
    return std::find(report_.loading_.begin(), report_.loading_.end(), name)
        != report_.loading_.end();
}

std::size_t AdapterKeeper::occupied() const
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

void AdapterKeeper::want(const LoadRequest &request, TimePoint now)
{
    instance_ = request.instance_;
    slots_ = request.adapterSlots_;
    Want &want = wants_[request.name_];
    const std::int64_t version = std::max(want.request_.version_, request.version_);
    if (want.since_ == TimePoint{})
        want.since_ = now;
    want.request_ = request;
    want.request_.version_ = version;
    want.until_ = now + kWantFor;
    lastUse_[request.name_] = now;
    if (hasFreshReport_ && isMet(want))
        wants_.erase(request.name_);
}

void AdapterKeeper::use(int entry, const UseNotice &notice, TimePoint now)
{
    lastUse_[notice.name_] = now;
    if (notice.isBegin_)
        countUse(notice.name_, now);
    int &count = uses_[notice.name_][entry];
    count = std::max(0, count + (notice.isBegin_ ? 1 : -1));
    if (count == 0)
        uses_[notice.name_].erase(entry);
    if (uses_[notice.name_].empty())
        uses_.erase(notice.name_);
}

void AdapterKeeper::forgetEntry(int entry, TimePoint now)
{
    for (auto it = uses_.begin(); it != uses_.end();) {
        if (it->second.erase(entry) > 0)
            lastUse_[it->first] = now;
        it = it->second.empty() ? uses_.erase(it) : std::next(it);
    }
}

double AdapterKeeper::popularity(const std::string &name, TimePoint now) const
{
    const auto it = popularity_.find(name);
    if (it == popularity_.end())
        return 0;
    const double age = std::chrono::duration<double>(now - it->second.at_).count();
    return it->second.uses_ * std::exp(-age / kPopularitySeconds);
}

void AdapterKeeper::countUse(const std::string &name, TimePoint now)
{
    constexpr double kForgotten = 0.05;
    if (popularity_.size() > kMostPopularities)
        std::erase_if(popularity_,
                      [&](const auto &entry) { return popularity(entry.first, now) < kForgotten; });
    popularity_[name] = Popularity{popularity(name, now) + 1, now};
}

std::vector<const AdapterKeeper::Want *> AdapterKeeper::wantsByAge() const
{
    std::vector<const Want *> list;
    for (const auto &[name, want] : wants_)
        list.push_back(&want);
    std::stable_sort(list.begin(), list.end(),
                     [](const Want *a, const Want *b) { return a->since_ < b->since_; });
    return list;
}

SidecarReport AdapterKeeper::summary(TimePoint now) const
{
    SidecarReport summary{report_};
    for (const auto &[name, want] : wants_) {
        if (!isLoading(name))
            summary.engine_.loading_.push_back(name);
    }
    if (slots_ > 0 && occupied() + wants_.size() >= static_cast<std::size_t>(slots_)) {
        constexpr double kAllInUse = 10;
        const std::optional<std::string> dropped = victim(now);
        summary.evictionCost_ = dropped ? popularity(*dropped, now) : kAllInUse;
    }
    return summary;
}

std::optional<std::string> AdapterKeeper::victim(TimePoint now) const
{
    std::optional<std::string> coldest;
    double leastUses = std::numeric_limits<double>::max();
    for (const HostedModel &model : report_.models_) {
        for (const auto &[adapter, version] : model.adapters_) {
            const std::string name = adapterName(model.name_, adapter);
            if (uses_.contains(name) || wants_.contains(name) || isLoading(name))
                continue;
            const auto used = lastUse_.find(name);
            const TimePoint at = used == lastUse_.end() ? TimePoint{} : used->second;
            if (at + kKeepAfterUse > now && at != TimePoint{})
                continue;
            const double uses = popularity(name, now);
            if (uses < leastUses) {
                leastUses = uses;
                coldest = name;
            }
        }
    }
    return coldest;
}

EngineOrder AdapterKeeper::order(OrderKind kind, const std::string &name) const
{
    const auto [model, adapter] = splitName(name);
    return {kind, model, adapter, instance_, holder_, token_, report_.sequence_};
}

std::optional<EngineOrder> AdapterKeeper::next(TimePoint now)
{
    if (!hasFreshReport_ || report_.isBusy_ || report_.isDraining_)
        return std::nullopt;
    for (auto it = wants_.begin(); it != wants_.end();) {
        const bool isExpired = it->second.until_ <= now && !isLoading(it->first);
        if (!isExpired) {
            ++it;
            continue;
        }
        refused_.push_back(it->first);
        it = wants_.erase(it);
    }
    for (const Want *want : wantsByAge()) {
        const std::string &name = want->request_.name_;
        const auto [model, adapter] = splitName(name);
        const HostedModel *host = hosted(model);
        if (host == nullptr && !report_.models_.empty())
            continue; // two models may not fit, and an engine out of memory crashes
        if (host == nullptr) {
            hasFreshReport_ = false;
            return order(OrderKind::Load, model);
        }
        if (adapter.empty() || isLoading(name) || report_.loading_.size() >= kMostLoading)
            continue;
        const bool isReplacement = host->adapters_.contains(adapter);
        if (!isReplacement && occupied() >= static_cast<std::size_t>(slots_)) {
            const std::optional<std::string> dropped = victim(now);
            if (!dropped)
                continue;
            hasFreshReport_ = false;
            return order(OrderKind::Unload, *dropped);
        }
        hasFreshReport_ = false;
        return order(OrderKind::Load, name);
    }
    return std::nullopt;
}

void AdapterKeeper::onAnswer(OrderOutcome outcome, TimePoint)
{
    hasFreshReport_ = false;
    switch (outcome) {
    case OrderOutcome::StaleToken:
        token_ += kTokenStep;
        return;
    case OrderOutcome::OtherInstance:
        wants_.clear();
        return;
    case OrderOutcome::Accepted:
    case OrderOutcome::Rejected:
    case OrderOutcome::Unknown:
        return; // the next report shows the engine's state
    }
}

std::vector<std::string> AdapterKeeper::takeRefused(TimePoint now)
{
    for (auto it = wants_.begin(); it != wants_.end();) {
        const bool isExpired = it->second.until_ <= now && !isLoading(it->first);
        if (isExpired)
            refused_.push_back(it->first);
        it = isExpired ? wants_.erase(it) : std::next(it);
    }
    std::vector<std::string> refused = std::move(refused_);
    refused_.clear();
    return refused;
}

bool AdapterKeeper::isActive() const
{
    return !wants_.empty() || !report_.loading_.empty();
}

} // namespace foxtailturn::gateway
