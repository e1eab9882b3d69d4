#include "gateway/placement.h"

#include <algorithm>

#include "base/hash.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr double kLearnWeight = 0.1; // weight of a new sample in the average of the prefill rate
constexpr double kLowestRate = 1; // tokens per millisecond
constexpr double kHighestRate = 2000;
constexpr std::int64_t kLeastSample = 300; // tokens; kStepTime dominates with shorter prompts
constexpr milliseconds kStepTime(20); // part of the time to the first event that is not prefill
constexpr Duration kPerRun =
    std::chrono::microseconds(700); // slow-down by each running request of the batch
constexpr milliseconds kPerQueued(60); // about the prefill time of a queued request's prompt
constexpr milliseconds kPerRank(25); // spreads adapters over targets with similar estimates
// Entries do not see each other's load requests. With this weight of the rank, which is the same at
// all entries, they choose the same target for the load of an adapter.
constexpr milliseconds kLoadRank(250);
constexpr milliseconds kEviction(200); // for each expected use of the evicted adapter
constexpr double kLoadLearnWeight = 0.2; // weight of a new sample in the average of the load time
constexpr milliseconds kLeastPatience(600);
constexpr milliseconds kMostPatience(1500);
constexpr milliseconds kShortestLoad(50);
constexpr milliseconds kLongestLoad(2000);
constexpr milliseconds kOtherDataCentre(2);
constexpr milliseconds kMemoryShort(400); // expected cost of a preemption or a wait for KV memory
constexpr double kMemoryFull = 0.92; // of the KV capacity
constexpr milliseconds
    kSlotTime(40); // nominal time of a plain service's request, only to compare targets
constexpr std::size_t kMostPrefixes = 8192;
constexpr Duration kKeptFor =
    std::chrono::seconds(20); // after this, a cached prefix has probably been evicted

bool isExcluded(const Target &target, const PlacementRequest &request)
{
    return std::find(request.excluded_.begin(), request.excluded_.end(), target.record_.instance_)
        != request.excluded_.end();
}

bool holdsAdapter(const Target &target, const PlacementRequest &request)
{
    const std::optional<std::int64_t> version = target.versionOf(request.model_, request.adapter_);
    return version && *version >= request.leastVersion_;
}

// Returns why the target is not eligible; empty if it is.
std::string obstacle(const Target &target, const PlacementRequest &request, bool isHeld)
{
    if (isExcluded(target, request))
        return "already tried for this request";
    if (!request.isEngine_ || isHeld)
        return "";
    if (!target.isAgentLinked_)
        return "adapter not loaded and no agent connected to load it";
    if (!target.hostsModel(request.model_) && !target.report_.models_.empty())
        return "hosts another model";
    return "";
}

} // namespace

Duration Placement::promptTime(std::int64_t tokens) const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
        static_cast<double>(std::max<std::int64_t>(tokens, 0)) / tokensPerMilli_));
}

// Values of a request that are computed once for all targets.
struct Placement::Query
{
    const PlacementRequest &request_;
    std::string adapterName_;
    std::uint64_t adapterHash_ = 0;
    // For each leading part of the prompt that is cached at any target: its last uses by instance
    // and its number of tokens.
    std::vector<std::pair<const Uses *, std::int64_t>> keepers_;
    TimePoint now_{};

    // Returns the target's rank for the adapter in rendezvous hashing, from 0 (preferred) to 1.
    [[nodiscard]] double rankOf(const Target &target) const
    {
        const std::uint64_t hash = hash64(target.record_.instance_, adapterHash_);
        return static_cast<double>(hash) / static_cast<double>(UINT64_MAX);
    }

    // Returns the number of prompt tokens that are probably in the target's KV cache.
    [[nodiscard]] std::int64_t keptBy(const std::string &instance) const
    {
        std::int64_t tokens = 0;
        for (const auto &[uses, partTokens] : keepers_) {
            if (!uses->contains(instance))
                break;
            tokens += partTokens;
        }
        return std::min(tokens, request_.promptTokens_);
    }
};

Placement::Query Placement::queryOf(const PlacementRequest &request, TimePoint now) const
{
    Query query{request, adapterName(request.model_, request.adapter_), 0, {}, now};
    query.adapterHash_ = hash64(query.adapterName_);
    std::uint64_t key = query.adapterHash_;
    for (const PromptPart &part : request.prefix_) {
        key = hash64(part.id_, key);
        const auto it = kept_.find(key);
        if (it == kept_.end())
            break;
        query.keepers_.emplace_back(&it->second, part.tokens_);
    }
    return query;
}

Duration Placement::engineTime(const Target &target, const Query &query, bool isHeld) const
{
    const PlacementRequest &request = query.request_;
    const EngineReport &report = target.report_;
    Duration time = promptTime(target.pendingPrompt_);
    // Prompts that other entries sent are assumed to be as long as this one, and half processed.
    const int others = std::max(0, report.prefilling_ + report.queued_ - target.pendingCount_);
    time += promptTime(others * std::max<std::int64_t>(request.promptTokens_, 500) / 2);
    time += kPerQueued * report.queued_ / 2;
    time += kPerRun * std::max(report.running_, target.inFlight_);
    time += promptTime(request.promptTokens_ - query.keptBy(target.record_.instance_));
    if (report.kvTotal_ > 0
        && static_cast<double>(report.kvUsed_ + request.promptTokens_)
            > kMemoryFull * static_cast<double>(report.kvTotal_))
        time += kMemoryShort;
    if (!isHeld)
        return time + loadTime(target, query);
    return time + std::chrono::duration_cast<Duration>(kPerRank * query.rankOf(target));
}

Duration Placement::loadTime(const Target &target, const Query &query) const
{
    const auto asked = target.loadsAsked_.find(query.adapterName_);
    const bool isAsked = asked != target.loadsAsked_.end();
    if (isAsked && query.now_ - asked->second > loadPatience())
        return loadTime_ * 3; // the load has probably failed
    if (isAsked || target.isLoading(query.adapterName_))
        return loadTime_ / 3; // in progress
    // A load takes bandwidth of the weight store and evicts another adapter, which may be needed
    // again soon.
    const auto spread = std::chrono::duration_cast<Duration>(kLoadRank * query.rankOf(target));
    const auto eviction =
        std::chrono::duration_cast<Duration>(kEviction * std::min(target.evictionCost_, 2.0));
    return loadTime_ + spread + eviction;
}

PlacementChoice Placement::choose(const std::vector<Target *> &targets,
                                  const PlacementRequest &request, TimePoint now) const
{
    PlacementChoice choice;
    const Query query = queryOf(request, now);
    bool isChosenSuspect = false;
    choice.candidates_.reserve(targets.size());
    for (Target *target : targets) {
        const bool isHeld = request.isEngine_ && holdsAdapter(*target, request);
        PlacementCandidate candidate{target->record_.instance_, Duration::zero(),
                                     obstacle(*target, request, isHeld)};
        if (candidate.reason_.empty()) {
            candidate.expected_ = request.isEngine_
                ? engineTime(*target, query, isHeld)
                : kSlotTime * target->inFlight_ / std::max(1, target->record_.slots_);
            if (target->record_.dataCentre_ != request.dataCentre_)
                candidate.expected_ += kOtherDataCentre;
            const bool isSuspect = target->isSuspect(now);
            const bool isBetter = choice.target_ == nullptr || (isChosenSuspect && !isSuspect)
                || (isChosenSuspect == isSuspect && candidate.expected_ < choice.expected_);
            if (isBetter) {
                choice.target_ = target;
                choice.expected_ = candidate.expected_;
                choice.needsLoad_ = request.isEngine_ && !isHeld;
                isChosenSuspect = isSuspect;
            }
            if (isSuspect)
                candidate.reason_ = "suspect";
        }
        choice.candidates_.push_back(std::move(candidate));
    }
    return choice;
}

void Placement::observePrefill(std::int64_t tokens, Duration elapsed)
{
    if (tokens < kLeastSample || elapsed <= kStepTime)
        return;
    const double millis =
        std::chrono::duration<double, std::milli>(elapsed - Duration(kStepTime)).count();
    const double rate =
        std::clamp(static_cast<double>(tokens) / std::max(millis, 1.0), kLowestRate, kHighestRate);
    tokensPerMilli_ += kLearnWeight * (rate - tokensPerMilli_);
}

Duration Placement::loadPatience() const
{
    return std::clamp<Duration>(loadTime_ * 3, kLeastPatience, kMostPatience);
}

void Placement::observeLoad(Duration elapsed)
{
    const Duration sample = std::clamp<Duration>(elapsed, kShortestLoad, kLongestLoad);
    loadTime_ += std::chrono::duration_cast<Duration>(kLoadLearnWeight * (sample - loadTime_));
}

void Placement::remember(const std::string &instance, const PlacementRequest &request,
                         TimePoint now)
{
    if (kept_.size() > kMostPrefixes) {
        std::erase_if(kept_, [now](const auto &entry) {
            return std::all_of(entry.second.begin(), entry.second.end(),
                               [now](const auto &use) { return use.second + kKeptFor < now; });
        });
        if (kept_.size() > kMostPrefixes)
            kept_.clear(); // costs extra prefills; unlimited growth would exhaust the VM's memory
    }
    std::uint64_t key = hash64(adapterName(request.model_, request.adapter_));
    for (const PromptPart &part : request.prefix_) {
        key = hash64(part.id_, key);
        kept_[key][instance] = now;
    }
}

void Placement::forget(const std::string &instance)
{
    for (auto &[key, targets] : kept_)
        targets.erase(instance);
}

std::int64_t Placement::keptTokens(const std::string &instance,
                                   const PlacementRequest &request) const
{
    return queryOf(request, TimePoint{}).keptBy(instance);
}

} // namespace foxtailturn::gateway
