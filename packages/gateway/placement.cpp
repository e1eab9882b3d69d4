#include "gateway/placement.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr double kPrefillRateWeight =
    0.1; // weight of a new sample in the average of the prefill rate
constexpr double kMinPrefillRate = 1; // tokens per millisecond
constexpr double kMaxPrefillRate = 2000;
constexpr std::int64_t kMinSampleTokens = 300; // tokens; kStepTime dominates with shorter prompts
constexpr milliseconds kStepTime(20); // part of the time to the first event that is not prefill
constexpr Duration kCostPerRunning =
    std::chrono::microseconds(700); // slow-down by each running request of the batch
constexpr milliseconds kCostPerQueued(60); // about the prefill time of a queued request's prompt
constexpr milliseconds kRankSpread(25); // spreads adapters over targets with similar estimates
// Entries do not see each other's load requests. With this weight of the rank, which is the same at
// all entries, they choose the same target for the load of an adapter.
constexpr milliseconds kLoadRankSpread(250);
constexpr milliseconds kEvictionPenalty(200); // for each expected use of the evicted adapter
constexpr double kLoadTimeWeight = 0.2; // weight of a new sample in the average of the load time
constexpr milliseconds kMinLoadTimeout(600);
constexpr milliseconds kMaxLoadTimeout(1500);
constexpr milliseconds kMinLoadTime(50);
constexpr milliseconds kMaxLoadTime(2000);
constexpr milliseconds kOtherDataCentrePenalty(2);
constexpr milliseconds kMinColdWait(50); // for a permit of a target that may not be asked now
constexpr milliseconds kColdPenalty(150); // a cold engine is slow, and the permit takes time
constexpr milliseconds kMemoryPenalty(400); // expected cost of a preemption or a wait for KV memory
constexpr double kMemoryLimit = 0.92; // of the KV capacity
constexpr milliseconds
    kPlainRequestTime(40); // nominal time of a plain service's request, only to compare targets

bool isExcluded(const Target &target, const PlacementRequest &request)
{
    return std::find(request.excluded_.begin(), request.excluded_.end(), target.record_.instance_)
        != request.excluded_.end();
}

bool hasRequiredVersion(const Target &target, const PlacementRequest &request)
{
    const std::optional<std::int64_t> version = target.versionOf(request.model_, request.adapter_);
    return version && *version >= request.minVersion_;
}

bool isCold(const Target &target, const PlacementRequest &request, TimePoint now)
{
    return request.needsPermits_ && target.cold_.isCold(now);
}

// Returns why the target is not eligible; No if it is.
PassedOver ineligibilityOf(const Target &target, const PlacementRequest &request, bool hasAdapter,
                           TimePoint now)
{
    if (isExcluded(target, request))
        return PassedOver::AlreadyTried;
    const bool needsLoad = request.isEngine_ && !hasAdapter;
    if (request.closedDataCentres_.contains(target.record_.dataCentre_)
        || (needsLoad && target.isEvacuated_))
        return PassedOver::Evacuated;
    if (needsLoad) {
        if (!target.isAgentConnected_)
            return PassedOver::NoAgent;
        if (!target.hostsModel(request.model_) && !target.report_.models_.empty())
            return PassedOver::OtherModel;
    }
    if (target.backoff_.isClosed(now))
        return PassedOver::Closed;
    if (request.needsPermits_ && target.cold_.isUnreachable())
        return PassedOver::Unreachable;
    const bool canAsk =
        target.isAgentConnected_ && request.mayAskPermit_ && !target.cold_.isClosed(now);
    return isCold(target, request, now) && !canAsk ? PassedOver::Cold : PassedOver::No;
}

// Returns when a target that is passed over opens again; nullopt if it is not known.
std::optional<TimePoint> opensAt(const Target &target, PassedOver reason, TimePoint now)
{
    if (reason == PassedOver::Closed)
        return target.backoff_.closedUntil();
    if (reason == PassedOver::Cold)
        return std::max(target.cold_.opensAt(target.isAgentConnected_), now + kMinColdWait);
    return std::nullopt;
}

placement::SpeedScale speedScaleOf(const std::vector<Target *> &targets)
{
    std::vector<Duration> stepTimes;
    stepTimes.reserve(targets.size());
    for (const Target *target : targets)
        stepTimes.push_back(target->speed_.stepTime_);
    return placement::SpeedScale(std::move(stepTimes));
}

} // namespace

std::string_view passedOverName(PassedOver reason)
{
    switch (reason) {
    case PassedOver::No:
        return "";
    case PassedOver::AlreadyTried:
        return "already tried for this request";
    case PassedOver::Evacuated:
        return "data centre evacuated";
    case PassedOver::NoAgent:
        return "adapter not loaded and no agent connected to load it";
    case PassedOver::OtherModel:
        return "hosts another model";
    case PassedOver::Closed:
        return "wants no requests yet";
    case PassedOver::Unreachable:
        return "unreachable";
    case PassedOver::Cold:
        return "cold";
    case PassedOver::Suspect:
        return "suspect";
    case PassedOver::Avoided:
        return "avoided";
    }
    return "";
}

Duration Placement::prefillTime(std::int64_t tokens) const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
        static_cast<double>(std::max<std::int64_t>(tokens, 0)) / tokensPerMs_));
}

// Values of a request that are computed once for all targets.
struct Placement::Query
{
    const PlacementRequest &request_;
    std::string adapterName_;
    std::uint64_t adapterHash_ = 0;
    // For each leading part of the prompt that is cached at any target: its hash and its number of
    // tokens.
    std::vector<std::pair<std::uint64_t, std::int64_t>> cachedParts_;
    const CachedPrefixes &cachedPrefixes_;
    TimePoint now_{};
    placement::SpeedScale speeds_ = placement::SpeedScale({});

    // Returns the target's rank for the adapter in rendezvous hashing, from 0 (preferred) to 1.
    [[nodiscard]] double rankOf(const Target &target) const
    {
        const std::uint64_t hash = hash64(target.record_.instance_, adapterHash_);
        return static_cast<double>(hash) / static_cast<double>(UINT64_MAX);
    }

    // Returns the number of prompt tokens that are probably in the target's KV cache.
    [[nodiscard]] std::int64_t cachedTokensAt(const Target &target) const
    {
        if (cachedParts_.empty())
            return 0;
        const std::uint64_t start = CachedPrefixes::startOf(target.record_);
        std::int64_t tokens = 0;
        for (const auto &[prefix, partTokens] : cachedParts_) {
            if (!cachedPrefixes_.contains(prefix, start))
                break;
            tokens += partTokens;
        }
        return std::min(tokens, request_.promptTokens_);
    }
};

Placement::Query Placement::queryOf(const PlacementRequest &request, TimePoint now) const
{
    Query query{request, adapterName(request.model_, request.adapter_), 0, {}, cachedPrefixes_,
                now};
    query.adapterHash_ = hash64(query.adapterName_);
    std::uint64_t key = query.adapterHash_;
    for (const PromptPart &part : request.prefix_) {
        key = hash64(part.id_, key);
        if (!cachedPrefixes_.contains(key))
            break;
        query.cachedParts_.emplace_back(key, part.tokens_);
    }
    return query;
}

Duration Placement::engineTime(const Target &target, const Query &query, bool hasAdapter) const
{
    const PlacementRequest &request = query.request_;
    const EngineReport &report = target.report_;
    Duration time = prefillTime(target.pendingPrompt_);
    // Prompts that other entries sent are assumed to be as long as this one, and half processed.
    const int others = std::max(0, report.prefilling_ + report.queued_ - target.pendingCount_);
    time += prefillTime(others * std::max<std::int64_t>(request.promptTokens_, 500) / 2);
    time += kCostPerQueued * report.queued_ / 2;
    time += kCostPerRunning * std::max(report.running_, target.inFlight_);
    time += prefillTime(request.promptTokens_ - query.cachedTokensAt(target));
    if (report.kvTotal_ > 0
        && static_cast<double>(report.kvUsed_ + request.promptTokens_)
            > kMemoryLimit * static_cast<double>(report.kvTotal_))
        time += kMemoryPenalty;
    time = query.speeds_.timeAt(target.speed_, time);
    if (!hasAdapter)
        return time + loadTime(target, query);
    return time + std::chrono::duration_cast<Duration>(kRankSpread * query.rankOf(target));
}

Duration Placement::loadTime(const Target &target, const Query &query) const
{
    const auto requested = target.requestedLoads_.find(query.adapterName_);
    const bool isRequested = requested != target.requestedLoads_.end();
    if (isRequested && query.now_ - requested->second.at_ > loadTimeout())
        return loadTime_ * 3; // the load has probably failed
    if (isRequested || target.isLoading(query.adapterName_))
        return loadTime_ / 3; // in progress
    // A load takes bandwidth of the weight store and evicts another adapter, which may be needed
    // again soon.
    const auto spread =
        std::chrono::duration_cast<Duration>(kLoadRankSpread * query.rankOf(target));
    const auto eviction = std::chrono::duration_cast<Duration>(
        kEvictionPenalty * std::min(target.evictionCost_, 2.0));
    return loadTime_ + spread + eviction;
}

// A target that can take the request.
struct Placement::Option
{
    Target *target_ = nullptr;
    std::size_t candidate_ = 0; // index in the choice
    Duration expected_{};
    bool needsLoad_ = false;
    bool isAvoided_ = false;
    bool isSuspect_ = false;

    [[nodiscard]] bool isBetterThan(const Option &other) const
    {
        return std::tie(isSuspect_, isAvoided_, expected_)
            < std::tie(other.isSuspect_, other.isAvoided_, other.expected_);
    }
};

std::vector<Placement::Option> Placement::optionsOf(const std::vector<Target *> &targets,
                                                    const Query &query,
                                                    PlacementChoice &choice) const
{
    const PlacementRequest &request = query.request_;
    std::vector<Option> options;
    options.reserve(targets.size());
    visits_ += targets.size();
    choice.candidates_.reserve(targets.size());
    for (Target *target : targets) {
        const bool hasAdapter = request.isEngine_ && hasRequiredVersion(*target, request);
        PlacementCandidate candidate{target, Duration::zero(),
                                     ineligibilityOf(*target, request, hasAdapter, query.now_)};
        if (const auto opening = opensAt(*target, candidate.passedOver_, query.now_)) {
            choice.opensAt_ = std::min(choice.opensAt_.value_or(*opening), *opening);
            choice.isHostPassedOver_ = choice.isHostPassedOver_ || hasAdapter;
        }
        if (candidate.passedOver_ == PassedOver::No) {
            candidate.expected_ = request.isEngine_
                ? engineTime(*target, query, hasAdapter)
                : kPlainRequestTime * target->inFlight_ / std::max(1, target->record_.slots_);
            if (target->record_.dataCentre_ != request.dataCentre_)
                candidate.expected_ += kOtherDataCentrePenalty;
            if (isCold(*target, request, query.now_))
                candidate.expected_ += kColdPenalty;
            options.push_back({target, choice.candidates_.size(), candidate.expected_,
                               request.isEngine_ && !hasAdapter,
                               target->backoff_.isAvoided(query.now_)
                                   || target->backoff_.isAtLimit(target->inFlight_),
                               target->isSuspect(query.now_)});
        }
        choice.candidates_.push_back(candidate);
    }
    return options;
}

PlacementChoice Placement::choose(const std::vector<Target *> &targets,
                                  const PlacementRequest &request, TimePoint now) const
{
    PlacementChoice choice;
    Query query = queryOf(request, now);
    if (request.isEngine_)
        query.speeds_ = speedScaleOf(targets);
    std::vector<Option> options = optionsOf(targets, query, choice);
    // If more than half are avoided, the ones whose avoidance ends first are not.
    std::vector<Option *> avoided;
    for (Option &option : options) {
        if (option.isAvoided_)
            avoided.push_back(&option);
    }
    const std::size_t mostAvoided = options.size() / 2;
    if (avoided.size() > mostAvoided) {
        std::sort(avoided.begin(), avoided.end(), [](const Option *a, const Option *b) {
            return a->target_->backoff_.avoidedUntil() < b->target_->backoff_.avoidedUntil();
        });
        for (std::size_t i = 0; i < avoided.size() - mostAvoided; ++i)
            avoided[i]->isAvoided_ = false;
    }
    const Option *best = nullptr;
    for (const Option &option : options) {
        if (best == nullptr || option.isBetterThan(*best))
            best = &option;
        if (option.isSuspect_ || option.isAvoided_)
            choice.candidates_[option.candidate_].passedOver_ =
                option.isSuspect_ ? PassedOver::Suspect : PassedOver::Avoided;
        choice.isHostPassedOver_ =
            choice.isHostPassedOver_ || (request.isEngine_ && !option.needsLoad_);
    }
    if (best != nullptr) {
        choice.target_ = best->target_;
        choice.needsLoad_ = best->needsLoad_;
        choice.needsPermit_ = isCold(*best->target_, request, now);
        choice.expected_ = best->expected_;
    }
    return choice;
}

void Placement::recordPrefillTime(std::int64_t tokens, Duration elapsed)
{
    if (tokens < kMinSampleTokens || elapsed <= kStepTime)
        return;
    const double millis =
        std::chrono::duration<double, std::milli>(elapsed - Duration(kStepTime)).count();
    const double rate = std::clamp(static_cast<double>(tokens) / std::max(millis, 1.0),
                                   kMinPrefillRate, kMaxPrefillRate);
    tokensPerMs_ += kPrefillRateWeight * (rate - tokensPerMs_);
}

Duration Placement::loadTimeout() const
{
    return std::clamp<Duration>(loadTime_ * 3, kMinLoadTimeout, kMaxLoadTimeout);
}

bool Placement::isLoadUnderWay(const Target &target, const std::string &adapterName,
                               TimePoint now) const
{
    const auto requested = target.requestedLoads_.find(adapterName);
    return requested != target.requestedLoads_.end() && now - requested->second.at_ <= loadTimeout()
        && target.isInService() && !target.isEvacuated_ && now < target.usableUntil_
        && target.isAgentConnected_ && !target.isSuspect(now) && !target.cold_.isUnreachable()
        && !target.backoff_.isClosed(now) && !target.backoff_.isAvoided(now);
}

void Placement::recordLoadTime(Duration elapsed)
{
    const Duration sample = std::clamp<Duration>(elapsed, kMinLoadTime, kMaxLoadTime);
    loadTime_ += std::chrono::duration_cast<Duration>(kLoadTimeWeight * (sample - loadTime_));
}

void Placement::recordCachedPrefix(const Target &target, const PlacementRequest &request)
{
    const std::uint64_t start = CachedPrefixes::startOf(target.record_);
    std::uint64_t key = hash64(adapterName(request.model_, request.adapter_));
    for (const PromptPart &part : request.prefix_) {
        key = hash64(part.id_, key);
        cachedPrefixes_.record(key, start);
    }
}

std::int64_t Placement::cachedTokens(const Target &target, const PlacementRequest &request) const
{
    return queryOf(request, TimePoint{}).cachedTokensAt(target);
}

} // namespace foxtailturn::gateway
