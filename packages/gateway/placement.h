#pragma once

// Chooses the target of a request: the one whose answer is expected to begin first.
//
//     Placement placement(profile);
//     PlacementRequest request = {...};
//     PlacementChoice choice = placement.choose(book.ofService("models", now), request, now);
//
// For an engine the expected time is the prompts before it, its own prompt without the parts that
// the engine is believed to keep, and the load of an adapter that is not there. For a plain service
// it is the share of busy slots.

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "gateway/target_book.h"

namespace foxtailturn::gateway {

struct PlacementRequest
{
    bool isEngine_ = false;
    std::string model_;
    std::string adapter_;
    std::int64_t leastVersion_ = 0; // of the adapter
    std::int64_t promptTokens_ = 0;
    std::vector<PromptPart> prefix_;
    std::string dataCentre_; // of the entry
    std::vector<std::string> excluded_; // instances that already had it
};

// A target that was considered.
struct PlacementCandidate
{
    std::string instance_;
    Duration expected_{}; // time to the first event or answer
    std::string reason_; // why it was passed over; empty if it was eligible

    bool operator==(const PlacementCandidate &) const = default;
};

struct PlacementChoice
{
    Target *target_ = nullptr; // null: no target can take it
    bool needsLoad_ = false; // the target must load the adapter first
    Duration expected_{};
    std::vector<PlacementCandidate> candidates_;
};

// Not thread-safe. Belongs to one service.
class Placement
{
public:
    // Expected time of a load before any was seen. An adapter takes about 250 ms while few are on
    // their way.
    static constexpr Duration kFirstLoadTime = std::chrono::milliseconds(300);
    // Returns the time after which an asked load counts as failed, so that another target is
    // considered.
    [[nodiscard]] Duration loadPatience() const;

    [[nodiscard]] PlacementChoice choose(const std::vector<Target *> &targets,
                                         const PlacementRequest &request, TimePoint now) const;

    // Learns from the time between sending a prompt and its first event on a target that had no
    // other prompt of ours.
    void observePrefill(std::int64_t tokens, Duration elapsed);

    // Learns from the time between asking for an adapter and seeing it there.
    void observeLoad(Duration elapsed);

    // Remembers that a target has read a prompt.
    void remember(const std::string &instance, const PlacementRequest &request, TimePoint now);

    // Forgets what a target kept, for example after its restart.
    void forget(const std::string &instance);

    // Returns the prompt tokens that the target is believed to keep.
    [[nodiscard]] std::int64_t keptTokens(const std::string &instance,
                                          const PlacementRequest &request) const;

    [[nodiscard]] double tokensPerMilli() const { return tokensPerMilli_; }

private:
    struct Query;
    using Uses = std::map<std::string, TimePoint>; // last ones, by instance

    [[nodiscard]] Query queryOf(const PlacementRequest &request, TimePoint now) const;
    [[nodiscard]] Duration engineTime(const Target &target, const Query &query, bool isHeld) const;
    [[nodiscard]] Duration promptTime(std::int64_t tokens) const;
    [[nodiscard]] Duration loadTime(const Target &target, const Query &query) const;

    double tokensPerMilli_ = 30; // prefill rate; learned
    Duration loadTime_ = kFirstLoadTime; // learned
    std::unordered_map<std::uint64_t, Uses> kept_; // by prefix
};

} // namespace foxtailturn::gateway
