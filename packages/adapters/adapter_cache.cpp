#include "adapters/adapter_cache.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace foxtailturn {

namespace {

// Back-off after the first failed load, doubled with each consecutive failure up to the maximum.
constexpr Duration kInitialBackOff = std::chrono::milliseconds(500);
constexpr Duration kMaxBackOff = std::chrono::seconds(30);

// The order was rejected for the agent's lease or fencing number, not for a fault of the adapter.
bool isOwnershipError(const Error &error)
{
    return error.code_ == ErrorCode::LeaseExpired || error.code_ == ErrorCode::StaleFencingNumber;
}

} // namespace

KeepValue leastRecentlyUsed()
{
    return [](const AdapterId &, const SlotUse &use) {
        return static_cast<double>(use.lastUse_.time_since_epoch().count());
    };
}

KeepValue leastExpectedUse()
{
    return [](const AdapterId &, const SlotUse &use) { return use.usesPerSecond_; };
}

Pin::Pin(AdapterCache *cache, AdapterId id)
    : cache_(cache)
    , id_(std::move(id))
{ }

Pin::Pin(Pin &&other) noexcept
    : cache_(std::exchange(other.cache_, nullptr))
    , id_(std::move(other.id_))
{ }

Pin &Pin::operator=(Pin &&other) noexcept
{
    if (this != &other) {
        release();
        cache_ = std::exchange(other.cache_, nullptr);
        id_ = std::move(other.id_);
    }
    return *this;
}

Pin::~Pin()
{
    release();
}

void Pin::release()
{
    if (cache_ != nullptr)
        cache_->unpin(id_);
    cache_ = nullptr;
}

AdapterCache::AdapterCache(std::size_t slots, KeepValue keepValue, Duration halfLife)
    : slotCount_(slots)
    , keepValue_(std::move(keepValue))
    , popularity_(halfLife)
{ }

SlotState AdapterCache::state(const AdapterId &id) const
{
    const auto it = slots_.find(id);
    return it == slots_.end() ? SlotState::Absent : it->second.state_;
}

void AdapterCache::setState(Slot &slot, SlotState state)
{
    slot.state_ = state;
    slot.lastChange_ = ++changeCount_;
}

bool AdapterCache::orderInFlight(const Slot &slot)
{
    const bool ordered = slot.state_ == SlotState::Loading || slot.state_ == SlotState::Evicting;
    return ordered && !slot.outcomeUnknown_;
}

bool AdapterCache::isPinned(const Slot &slot)
{
    return slot.pins_ > 0 || slot.inheritedPin_;
}

void AdapterCache::dropAbsent(const AdapterId &id)
{
    const auto it = slots_.find(id);
    if (it == slots_.end() || it->second.state_ != SlotState::Absent || it->second.pins_ > 0)
        return;
    removed_[id] = it->second.lastChange_;
    slots_.erase(it);
}

std::optional<Pin> AdapterCache::pin(const AdapterId &id, TimePoint now)
{
    const auto it = slots_.find(id);
    if (it == slots_.end() || it->second.state_ != SlotState::Resident)
        return std::nullopt;
    ++it->second.pins_;
    it->second.lastUse_ = now;
    return Pin(this, id);
}

void AdapterCache::unpin(const AdapterId &id)
{
    --slots_.at(id).pins_;
    dropAbsent(id);
}

void AdapterCache::recordUse(const AdapterId &id, TimePoint now)
{
    popularity_.record(id, now);
}

bool AdapterCache::hasFreeSlot() const
{
    const auto used = std::count_if(slots_.begin(), slots_.end(), [](const auto &entry) {
        return entry.second.state_ != SlotState::Absent;
    });
    return static_cast<std::size_t>(used) < slotCount_;
}

std::optional<AdapterId> AdapterCache::findLeastValuable(TimePoint now,
                                                         const SlotFilter &filter) const
{
    std::optional<AdapterId> found;
    double least = 0;
    for (const auto &[id, slot] : slots_) {
        if (slot.state_ != SlotState::Resident || !filter(id, slot))
            continue;
        const double value = keepValue_(id, SlotUse{slot.lastUse_, popularity_.rate(id, now)});
        if (!found || value < least || (value == least && id < *found)) {
            found = id;
            least = value;
        }
    }
    return found;
}

std::optional<AdapterId>
AdapterCache::chooseVictim(TimePoint now,
                           const std::function<bool(const AdapterId &)> &isWanted) const
{
    return findLeastValuable(now, [&](const AdapterId &id, const Slot &slot) {
        return !isPinned(slot) && !isWanted(id);
    });
}

std::optional<AdapterId>
AdapterCache::leastValuable(TimePoint now,
                            const std::function<bool(const AdapterId &)> &isWanted) const
{
    return findLeastValuable(now, [&](const AdapterId &id, const Slot &) { return !isWanted(id); });
}

bool AdapterCache::beginEviction(const AdapterId &id)
{
    const auto it = slots_.find(id);
    if (it == slots_.end() || it->second.state_ != SlotState::Resident || isPinned(it->second))
        return false;
    setState(it->second, SlotState::Evicting);
    return true;
}

void AdapterCache::evictionDone(const AdapterId &id, const Result<void> &result, TimePoint now)
{
    const auto it = slots_.find(id);
    if (it == slots_.end() || !orderInFlight(it->second))
        return;
    Slot &slot = it->second;
    if (result) {
        setState(slot, SlotState::Absent);
        dropAbsent(id);
        return;
    }
    slot.outcomeUnknown_ = result.error().execution_ == Execution::OutcomeUnknown;
    // The back-off keeps the adapter from being loaded again while an earlier unload may still take
    // effect.
    if (slot.outcomeUnknown_)
        startBackOff(id, now);
    setState(slot, slot.outcomeUnknown_ ? SlotState::Evicting : SlotState::Resident);
}

std::vector<AdapterId> AdapterCache::takeEvictionRetries()
{
    std::vector<AdapterId> retries;
    for (auto &[id, slot] : slots_) {
        if (!slot.repeatUnload_)
            continue;
        slot.repeatUnload_ = false;
        slot.outcomeUnknown_ = false;
        setState(slot, SlotState::Evicting);
        retries.push_back(id);
    }
    return retries;
}

bool AdapterCache::beginLoad(const AdapterId &id, TimePoint now)
{
    if (!hasFreeSlot() || state(id) != SlotState::Absent || backOffUntil(id, now))
        return false;
    Slot &slot = slots_[id];
    slot.lastUse_ = now;
    setState(slot, SlotState::Loading);
    return true;
}

void AdapterCache::loadDone(const AdapterId &id, const Result<void> &result, TimePoint now)
{
    const auto it = slots_.find(id);
    if (it == slots_.end() || it->second.state_ != SlotState::Loading)
        return;
    Slot &slot = it->second;
    if (result) {
        backOffs_.erase(id);
        slot.lastUse_ = now;
        setState(slot, SlotState::Resident);
        return;
    }
    if (!isOwnershipError(result.error()))
        startBackOff(id, now);
    slot.outcomeUnknown_ = result.error().execution_ == Execution::OutcomeUnknown;
    setState(slot, slot.outcomeUnknown_ ? SlotState::Loading : SlotState::Absent);
    dropAbsent(id);
}

void AdapterCache::startBackOff(const AdapterId &id, TimePoint now)
{
    BackOff &backOff = backOffs_[id];
    const int doublings = std::min(backOff.failures_, 10);
    ++backOff.failures_;
    backOff.until_ = now + std::min(kInitialBackOff * (1 << doublings), kMaxBackOff);
}

std::optional<TimePoint> AdapterCache::backOffUntil(const AdapterId &id, TimePoint now) const
{
    const auto it = backOffs_.find(id);
    if (it == backOffs_.end() || now >= it->second.until_)
        return std::nullopt;
    return it->second.until_;
}

bool AdapterCache::changedSince(const AdapterId &id, std::uint64_t mark) const
{
    const auto slot = slots_.find(id);
    if (slot != slots_.end())
        return slot->second.lastChange_ > mark;
    const auto removal = removed_.find(id);
    return removal != removed_.end() && removal->second > mark;
}

void AdapterCache::reconcile(const std::vector<EngineAdapter> &list, std::uint64_t mark,
                             TimePoint now)
{
    std::unordered_set<AdapterId, AdapterIdHash> listed;
    for (const EngineAdapter &line : list) {
        listed.insert(line.adapter_);
        if (!changedSince(line.adapter_, mark))
            reconcileListed(line, now);
    }
    std::vector<AdapterId> missing;
    for (const auto &[id, slot] : slots_) {
        if (!listed.contains(id) && slot.lastChange_ <= mark)
            missing.push_back(id);
    }
    for (const AdapterId &id : missing)
        reconcileMissing(id);
    std::erase_if(removed_, [&](const auto &entry) { return entry.second <= mark; });
}

void AdapterCache::reconcileListed(const EngineAdapter &line, TimePoint now)
{
    const auto [it, isNew] = slots_.try_emplace(line.adapter_);
    Slot &slot = it->second;
    if (isNew)
        slot.lastUse_ = now;
    if (orderInFlight(slot))
        return;
    slot.inheritedPin_ = (slot.inheritedPin_ || isNew) && line.running_ > 0;
    if (slot.state_ == SlotState::Evicting) {
        slot.repeatUnload_ = true;
        return;
    }
    slot.outcomeUnknown_ = false;
    if (slot.state_ != SlotState::Resident)
        setState(slot, SlotState::Resident);
}

void AdapterCache::reconcileMissing(const AdapterId &id)
{
    Slot &slot = slots_.at(id);
    if (orderInFlight(slot))
        return;
    slot.outcomeUnknown_ = false;
    slot.repeatUnload_ = false;
    slot.inheritedPin_ = false;
    if (slot.state_ != SlotState::Absent)
        setState(slot, SlotState::Absent);
    dropAbsent(id);
}

bool AdapterCache::needsReconciliation() const
{
    return std::any_of(slots_.begin(), slots_.end(), [](const auto &entry) {
        return entry.second.outcomeUnknown_ || entry.second.inheritedPin_;
    });
}

std::vector<AdapterId> AdapterCache::adaptersInState(SlotState state) const
{
    std::vector<AdapterId> ids;
    for (const auto &[id, slot] : slots_) {
        if (slot.state_ == state)
            ids.push_back(id);
    }
    return ids;
}

int AdapterCache::pinCount(const AdapterId &id) const
{
    const auto it = slots_.find(id);
    if (it == slots_.end())
        return 0;
    return it->second.pins_ + (it->second.inheritedPin_ ? 1 : 0);
}

} // namespace foxtailturn
