#include "gateway/placement.h"

#include <algorithm>

#include "base/hash.h"

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr double kLearnWeight = 0.1; // of a new sample of the prefill rate
constexpr double kLowestRate = 1; // tokens per millisecond
constexpr double kHighestRate = 2000;
constexpr std::int64_t kLeastSample = 300; // tokens; shorter prompts are dominated by the steps
constexpr milliseconds kStepTime(20); // part of a first event's time that is no prefill
constexpr Duration kPerRun = std::chrono::microseconds(700); // slow-down by each running request
constexpr milliseconds kPerQueued(60); // a waiting request delays ours by about its prompt
constexpr milliseconds kPerRank(25); // spreads adapters over targets that cost about the same
// Makes entries that do not know of each other's requests ask the same target for an adapter.
constexpr milliseconds kLoadRank(250);
constexpr milliseconds kEviction(200); // for each expected use of the adapter that is dropped
constexpr double kLoadLearnWeight = 0.2; // of a new sample of the load time
constexpr milliseconds kLeastPatience(600);
constexpr milliseconds kMostPatience(1500);
constexpr milliseconds kShortestLoad(50);
constexpr milliseconds kLongestLoad(2000);
constexpr milliseconds kOtherDataCentre(2);
constexpr milliseconds kMemoryShort(400); // a preemption or a wait for memory
constexpr double kMemoryFull = 0.92; // of the KV capacity
constexpr milliseconds kSlotTime(40); // of a plain service's request, for comparing targets
constexpr std::size_t kMostPrefixes = 8192;
constexpr Duration kKeptFor = std::chrono::seconds(20); // kept parts yield to newer ones

std::uint64_t prefixKey(const PlacementRequest &request, std::size_t parts)
{
    std::uint64_t key = hash64(adapterName(request.model_, request.adapter_));
    for (std::size_t i = 0; i < parts; ++i)
        key = hash64(request.prefix_[i].id_, key);
    return key;
}

// Position of a target in the order of an adapter's preferred targets, from 0 to 1.
double rankOf(const Target &target, const PlacementRequest &request)
{
    const std::uint64_t hash =
        hash64(target.record_.instance_, hash64(adapterName(request.model_, request.adapter_)));
    return static_cast<double>(hash) / static_cast<double>(UINT64_MAX);
}

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

// Reason why the target can not be chosen; empty if it can.
std::string obstacle(const Target &target, const PlacementRequest &request)
{
    if (isExcluded(target, request))
        return "already tried";
    if (!request.isEngine_ || holdsAdapter(target, request))
        return "";
    if (!target.isAgentLinked_)
        return "adapter missing, no agent to load it";
    if (!target.hostsModel(request.model_) && !target.report_.models_.empty())
        return "holds another model";
    return "";
}

} // namespace

Duration Placement::promptTime(std::int64_t tokens) const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
        static_cast<double>(std::max<std::int64_t>(tokens, 0)) / tokensPerMilli_));
}

Duration Placement::engineTime(const Target &target, const PlacementRequest &request,
                               TimePoint now) const
{
    const EngineReport &report = target.report_;
    Duration time = promptTime(target.pendingPrompt_);
    // Prompts that other entries sent: as long as ours is.
    const int others = std::max(0, report.prefilling_ + report.queued_ - target.pendingCount_);
    time += promptTime(others * std::max<std::int64_t>(request.promptTokens_, 500) / 2);
    time += kPerQueued * report.queued_ / 2;
    time += kPerRun * std::max(report.running_, target.inFlight_);
    time += promptTime(request.promptTokens_ - keptTokens(target.record_.instance_, request));
    if (report.kvTotal_ > 0
        && static_cast<double>(report.kvUsed_ + request.promptTokens_)
            > kMemoryFull * static_cast<double>(report.kvTotal_))
        time += kMemoryShort;
    if (!holdsAdapter(target, request))
        return time + loadTime(target, request, now);
    return time + std::chrono::duration_cast<Duration>(kPerRank * rankOf(target, request));
}

Duration Placement::loadTime(const Target &target, const PlacementRequest &request,
                             TimePoint now) const
{
    const std::string name = adapterName(request.model_, request.adapter_);
    const auto asked = target.loadsAsked_.find(name);
    const bool isAsked = asked != target.loadsAsked_.end();
    if (isAsked && now - asked->second > loadPatience())
        return loadTime_ * 3; // it failed there
    if (isAsked || target.isLoading(name))
        return loadTime_ / 3; // on its way
    // A load keeps the weight store busy and drops another adapter, which may soon be wanted again.
    const auto spread = std::chrono::duration_cast<Duration>(kLoadRank * rankOf(target, request));
    const auto eviction =
        std::chrono::duration_cast<Duration>(kEviction * std::min(target.evictionCost_, 2.0));
    return loadTime_ + spread + eviction;
}

PlacementChoice Placement::choose(const std::vector<Target *> &targets,
                                  const PlacementRequest &request, TimePoint now) const
{
    PlacementChoice choice;
    bool isChosenSuspect = false;
    for (Target *target : targets) {
        PlacementCandidate candidate{target->record_.instance_, Duration::zero(),
                                     obstacle(*target, request)};
        if (candidate.reason_.empty()) {
            candidate.expected_ = request.isEngine_
                ? engineTime(*target, request, now)
                : kSlotTime * target->inFlight_ / std::max(1, target->record_.slots_);
            if (target->record_.dataCentre_ != request.dataCentre_)
                candidate.expected_ += kOtherDataCentre;
            const bool isSuspect = target->isSuspect(now);
            const bool isBetter = choice.target_ == nullptr || (isChosenSuspect && !isSuspect)
                || (isChosenSuspect == isSuspect && candidate.expected_ < choice.expected_);
            if (isBetter) {
                choice.target_ = target;
                choice.expected_ = candidate.expected_;
                isChosenSuspect = isSuspect;
            }
            if (isSuspect)
                candidate.reason_ = "suspect";
        }
        choice.candidates_.push_back(std::move(candidate));
    }
    if (choice.target_ != nullptr)
        choice.needsLoad_ = request.isEngine_ && !holdsAdapter(*choice.target_, request);
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
            kept_.clear(); // a wrong guess costs a prefill, more memory costs the VM
    }
    for (std::size_t parts = 1; parts <= request.prefix_.size(); ++parts)
        kept_[prefixKey(request, parts)][instance] = now;
}

void Placement::forget(const std::string &instance)
{
    for (auto &[key, targets] : kept_)
        targets.erase(instance);
}

std::int64_t Placement::keptTokens(const std::string &instance,
                                   const PlacementRequest &request) const
{
    std::int64_t tokens = 0;
    std::uint64_t key = hash64(adapterName(request.model_, request.adapter_));
    for (const PromptPart &part : request.prefix_) {
        key = hash64(part.id_, key);
        const auto it = kept_.find(key);
        if (it == kept_.end() || !it->second.contains(instance))
            break;
        tokens += part.tokens_;
    }
    return std::min(tokens, request.promptTokens_);
}

} // namespace foxtailturn::gateway
