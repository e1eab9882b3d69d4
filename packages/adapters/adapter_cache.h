#pragma once

// The adapter slots of one engine: states, pins, eviction, back-off after failed loads and
// reconciliation with the list of adapters that the engine reports.
//
//     AdapterCache cache(32, leastExpectedUse());
//     cache.beginLoad(id, now);
//     ... order the engine to load ...
//     cache.loadDone(id, result, now);
//     std::optional<Pin> pin = cache.pin(id, now); // id stays resident while pin lives
//
// Invariant: an adapter with a pin is never evicted; beginEviction() refuses it.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "adapters/engine_orders.h"
#include "adapters/popularity.h"

namespace foxtailturn {

enum class SlotState { Absent, Loading, Resident, Evicting };

// Usage of a resident adapter, the input of the eviction policy.
struct SlotUse
{
    TimePoint lastUse_;
    double usesPerSecond_ = 0;

    bool operator==(const SlotUse &) const = default;
};

// Eviction policy: returns the value of keeping an adapter. The evictable adapter with the lowest
// value is evicted first.
using KeepValue = std::function<double(const AdapterId &, const SlotUse &)>;

// Evicts the least recently used adapter.
[[nodiscard]] KeepValue leastRecentlyUsed();

// Evicts the adapter with the lowest measured request rate, so that a scan over many rarely used
// adapters does not displace popular ones.
[[nodiscard]] KeepValue leastExpectedUse();

class AdapterCache;

// Prevents the eviction of an adapter while it exists. Movable. Must not outlive its cache, and
// must be destroyed under the lock that guards the cache.
class Pin
{
public:
    Pin(Pin &&other) noexcept;
    Pin &operator=(Pin &&other) noexcept;
    Pin(const Pin &) = delete;
    Pin &operator=(const Pin &) = delete;
    ~Pin();

private:
    friend class AdapterCache;
    Pin(AdapterCache *cache, AdapterId id);
    void release();

    AdapterCache *cache_;
    AdapterId id_;
};

// Not thread-safe; callers synchronize access.
class AdapterCache
{
public:
    // slots: maximum number of adapters that the engine holds. halfLife: of the measured
    // popularity.
    AdapterCache(std::size_t slots, KeepValue keepValue,
                 Duration halfLife = std::chrono::minutes(5));
    AdapterCache(const AdapterCache &) = delete;
    AdapterCache &operator=(const AdapterCache &) = delete;

    // Returns the adapter's state.
    [[nodiscard]] SlotState state(const AdapterId &id) const;

    // Pins a resident adapter; nullopt in any other state.
    [[nodiscard]] std::optional<Pin> pin(const AdapterId &id, TimePoint now);

    // Counts a request for the adapter towards its popularity, resident or not.
    void recordUse(const AdapterId &id, TimePoint now);

    // Returns whether a slot is neither used nor about to be used.
    [[nodiscard]] bool hasFreeSlot() const;

    // Returns the resident adapter to evict next: without pins and not wanted by a waiting
    // request, with the least keep value. nullopt if there is none.
    [[nodiscard]] std::optional<AdapterId>
    chooseVictim(TimePoint now, const std::function<bool(const AdapterId &)> &isWanted) const;

    // Returns the resident adapter with the least keep value, pinned or not, of those that are not
    // wanted.
    [[nodiscard]] std::optional<AdapterId>
    leastValuable(TimePoint now, const std::function<bool(const AdapterId &)> &isWanted) const;

    // Moves a resident adapter to Evicting. Returns false, and changes nothing, if it is pinned or
    // not resident.
    bool beginEviction(const AdapterId &id);

    // Applies the engine's answer to an unload order. After OutcomeUnknown the adapter stays in
    // Evicting, because the order may still take effect, until a list no longer shows it.
    void evictionDone(const AdapterId &id, const Result<void> &result, TimePoint now);

    // Returns the adapters whose unload order must be repeated, because a list still shows them
    // after an order with unknown outcome. Each is returned once per list.
    [[nodiscard]] std::vector<AdapterId> takeEvictionRetries();

    // Moves an absent adapter to Loading. Returns false, and changes nothing, if there is no free
    // slot, it is not absent or its back-off runs.
    bool beginLoad(const AdapterId &id, TimePoint now);

    // Applies the engine's answer to a load order. A failure stores a back-off deadline, doubled
    // with each failure in a row. After OutcomeUnknown the adapter keeps its slot until a list
    // shows whether it is loaded.
    void loadDone(const AdapterId &id, const Result<void> &result, TimePoint now);

    // Returns the end of the adapter's back-off, or nullopt when it may be loaded.
    [[nodiscard]] std::optional<TimePoint> backOffUntil(const AdapterId &id, TimePoint now) const;

    // Returns the number of the latest state change. Read it before requesting the engine's list
    // and pass it to reconcile().
    [[nodiscard]] std::uint64_t changeMark() const { return changeCount_; }

    // Applies the engine's list. Adapters changed after the mark are skipped, because the list
    // may be older than the change. An adapter that this cache did not know and that the engine
    // runs, as after a restart of the agent, counts as pinned until a list shows it not running.
    void reconcile(const std::vector<EngineAdapter> &list, std::uint64_t mark, TimePoint now);

    // Returns whether an outcome is unknown or an earlier agent's work still pins an adapter, so
    // that another list is needed soon.
    [[nodiscard]] bool needsReconciliation() const;

    // Returns the adapters in a state, in unspecified order.
    [[nodiscard]] std::vector<AdapterId> adaptersInState(SlotState state) const;

    // Returns the number of pins of an adapter, including that of an earlier agent's work.
    [[nodiscard]] int pinCount(const AdapterId &id) const;

private:
    friend class Pin;

    struct Slot
    {
        SlotState state_ = SlotState::Absent;
        int pins_ = 0;
        bool inheritedPin_ = false; // the engine runs work of an earlier agent
        bool outcomeUnknown_ = false; // outcome of the last order is unknown
        bool repeatUnload_ = false;
        std::uint64_t lastChange_ = 0;
        TimePoint lastUse_;
    };
    struct BackOff
    {
        int failures_ = 0;
        TimePoint until_;
    };

    void unpin(const AdapterId &id);
    using SlotMap = std::unordered_map<AdapterId, Slot, AdapterIdHash>;
    using SlotFilter = std::function<bool(const AdapterId &, const Slot &)>;

    [[nodiscard]] static bool orderInFlight(const Slot &slot);
    [[nodiscard]] static bool isPinned(const Slot &slot);
    [[nodiscard]] std::optional<AdapterId> findLeastValuable(TimePoint now,
                                                             const SlotFilter &filter) const;
    [[nodiscard]] bool changedSince(const AdapterId &id, std::uint64_t mark) const;
    void reconcileListed(const EngineAdapter &line, TimePoint now);
    void reconcileMissing(const AdapterId &id);
    void setState(Slot &slot, SlotState state);
    void dropAbsent(const AdapterId &id);
    void startBackOff(const AdapterId &id, TimePoint now);

    std::size_t slotCount_;
    KeepValue keepValue_;
    Popularity popularity_;
    std::uint64_t changeCount_ = 0;
    SlotMap slots_;
    // Change number of each removal since the last list; an older list may still show it.
    std::unordered_map<AdapterId, std::uint64_t, AdapterIdHash> removed_;
    std::unordered_map<AdapterId, BackOff, AdapterIdHash> backOffs_;
};

} // namespace foxtailturn
