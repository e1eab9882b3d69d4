#pragma once

// Chooses the target with the lowest expected time to the first event or answer.
//
//     Placement placement;
//     PlacementRequest request = {...};
//     const std::vector<Target *> targets = registry.availableTargets("models", now);
//     PlacementChoice choice = placement.choose(targets, request, now);
//
// For an engine, the estimate is the sum of the prefill time of earlier prompts, the prefill time
// of the request's own prompt less its prefix that is probably in the engine's KV cache, and the
// load time of an adapter that is missing. All but the load is scaled by the engine's measured
// speed. For a plain service, it grows with the share of busy slots. Targets that have failed
// lately come last, and those that have rejected a request lately after the others, but half of a
// service's targets at most: if all reject, the ones whose rejection is longest ago get the next
// requests.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "gateway/cached_prefixes.h"
#include "gateway/target_registry.h"
#include "placement/evacuations.h"

namespace foxtailturn::gateway {

struct PlacementRequest
{
    bool isEngine_ = false;
    std::string model_;
    std::string adapter_;
    std::int64_t minVersion_ = 0; // of the adapter
    std::int64_t promptTokens_ = 0;
    std::vector<PromptPart> prefix_;
    std::string dataCentre_; // of the entry
    bool needsPermits_ = false; // to send a request to a cold target
    bool mayAskPermit_ = true; // another permit may be requested for it
    std::vector<std::string> excluded_; // instances that the request was already sent to
    placement::MoveKey moveKey_;
    std::set<std::string> closedDataCentres_; // evacuated ones, or not for this request yet
};

// Why a target was not eligible, or came after others.
enum class PassedOver {
    No,
    AlreadyTried,
    Evacuated,
    NoAgent, // to load the missing adapter
    OtherModel,
    Closed, // wants no requests yet
    Unreachable,
    Cold, // grants no permit now
    Suspect,
    Avoided,
};

// Returns the reason as the log names it. Thread-safe.
[[nodiscard]] std::string_view passedOverName(PassedOver reason);

// A target that was considered, for the log. Valid as long as the target.
struct PlacementCandidate
{
    const Target *target_ = nullptr;
    Duration expected_{}; // time to the first event or answer
    PassedOver passedOver_ = PassedOver::No;

    bool operator==(const PlacementCandidate &) const = default;
};

struct PlacementChoice
{
    Target *target_ = nullptr; // null: no target can take it
    // When the first of the targets that want no requests now wants some again, if there are any.
    std::optional<TimePoint> opensAt_;
    bool needsLoad_ = false; // the target must load the adapter first
    bool needsPermit_ = false; // the target is cold
    // Another target has the adapter, but was closed, suspect, avoided or busy.
    bool isHostPassedOver_ = false;
    Duration expected_{};
    std::vector<PlacementCandidate> candidates_;
};

// Not thread-safe. Belongs to one service.
class Placement
{
public:
    // Initial estimate of the load time. An adapter load takes about 250 ms while few loads are in
    // progress.
    static constexpr Duration kInitialLoadTime = std::chrono::milliseconds(300);
    // Returns the time after which a requested load is taken to have failed, which makes another
    // target the better choice.
    [[nodiscard]] Duration loadTimeout() const;

    [[nodiscard]] PlacementChoice choose(const std::vector<Target *> &targets,
                                         const PlacementRequest &request, TimePoint now) const;

    // Returns whether the target, whose load of the adapter of this name was requested, may still
    // carry it out in time and is not worse than others for a reason that has come since.
    [[nodiscard]] bool isLoadUnderWay(const Target &target, const std::string &adapterName,
                                      TimePoint now) const;

    // Updates the estimated prefill rate with the time from sending a prompt to its first event.
    // Precondition: the target had no other prompt in prefill.
    void recordPrefillTime(std::int64_t tokens, Duration elapsed);

    // Updates the estimated load time with the time from a load request to the report of the
    // adapter.
    void recordLoadTime(Duration elapsed);

    // Records that the target has processed the request's prompt, so its prefix is cached there.
    void recordCachedPrefix(const Target &target, const PlacementRequest &request);

    // Returns the number of prompt tokens that are probably in the target's KV cache.
    [[nodiscard]] std::int64_t cachedTokens(const Target &target,
                                            const PlacementRequest &request) const;

    [[nodiscard]] double tokensPerMs() const { return tokensPerMs_; }

    // Returns how many targets the choices so far have looked at.
    [[nodiscard]] std::uint64_t visits() const { return visits_; }

private:
    struct Query;
    struct Option;

    [[nodiscard]] std::vector<Option> optionsOf(const std::vector<Target *> &targets,
                                                const Query &query, PlacementChoice &choice) const;
    [[nodiscard]] Query queryOf(const PlacementRequest &request, TimePoint now) const;
    [[nodiscard]] Duration engineTime(const Target &target, const Query &query,
                                      bool hasAdapter) const;
    [[nodiscard]] Duration prefillTime(std::int64_t tokens) const;
    [[nodiscard]] Duration loadTime(const Target &target, const Query &query) const;

    double tokensPerMs_ = 30; // prefill rate, a moving average
    Duration loadTime_ = kInitialLoadTime; // moving average
    CachedPrefixes cachedPrefixes_;
    mutable std::uint64_t visits_ = 0;
};

} // namespace foxtailturn::gateway
