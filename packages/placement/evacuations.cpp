#include "placement/evacuations.h"

#include <algorithm>

namespace foxtailturn::placement {

namespace {

// Part of the notice in which requests leave. The rest covers the feed of the store, a busy event
// loop and the way to the target.
constexpr int kLeavePercent = 40;
constexpr int kWholePercent = 100;

// Part of the whole time in which requests of a rank leave or return.
constexpr std::array<double, 3> kRankTimes = {1, 0.75, 0.5};

std::size_t rankIndex(int rank)
{
    return static_cast<std::size_t>(std::clamp<int>(rank, 0, kRankTimes.size() - 1));
}

double progress(Duration elapsed, Duration whole, std::size_t rank)
{
    if (whole <= Duration::zero())
        return 1;
    const double part =
        std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(whole);
    return std::clamp(part / kRankTimes.at(rank), 0.0, 1.0);
}

double drawOf(std::uint64_t hash)
{
    return static_cast<double>(hash) / static_cast<double>(UINT64_MAX);
}

} // namespace

Evacuations::Evacuations(Duration notice)
    : leaveTime_(notice * kLeavePercent / kWholePercent)
{ }

Evacuations::Changes Evacuations::applyChanges(const Rows &rows, RowAge age, TimePoint now)
{
    Changes changes;
    for (const EvacuationRow &row : rows) {
        if (row.isRemoved_)
            takeBack(row.dataCentre_, row.position_, now, changes);
        else
            evacuate(row, age, now, changes);
    }
    return changes;
}

Evacuations::Changes Evacuations::applySnapshot(const Rows &rows, StorePosition position,
                                                TimePoint now)
{
    Changes changes = applyChanges(rows, RowAge::Unknown, now);
    std::set<std::string> missing = evacuated();
    for (const EvacuationRow &row : rows)
        missing.erase(row.dataCentre_);
    for (const std::string &dataCentre : missing) {
        if (!states_.at(dataCentre).takenBackFrom_) // otherwise confirmCopy() does
            takeBack(dataCentre, position, now, changes);
    }
    return changes;
}

Evacuations::Changes Evacuations::applyCopy(const Rows &rows, TimePoint now)
{
    for (auto &[dataCentre, state] : states_) {
        if (state.isEvacuated_)
            state.takenBackFrom_ = now + kCopyDoubt;
    }
    return applyChanges(rows, RowAge::Unknown, now);
}

Evacuations::Changes Evacuations::confirmCopy(TimePoint now)
{
    Changes changes;
    for (const auto &[dataCentre, state] : states_) {
        if (state.takenBackFrom_ && *state.takenBackFrom_ <= now)
            takeBack(dataCentre, {}, now, changes);
    }
    return changes;
}

void Evacuations::evacuate(const EvacuationRow &row, RowAge age, TimePoint now, Changes &changes)
{
    const auto known = states_.find(row.dataCentre_);
    if (known != states_.end() && known->second.isEvacuated_) {
        known->second.takenBackFrom_.reset();
        return;
    }
    const bool isGradual = age == RowAge::Fresh && leaveTime_ > Duration::zero();
    State state;
    state.isEvacuated_ = true;
    state.since_ = now;
    state.closedFrom_ = now;
    if (isGradual)
        state.closedFrom_ += leaveTime_;
    state.sharesBefore_.fill(1);
    if (known != states_.end())
        state.sharesBefore_ = shares(known->second, now);
    states_.insert_or_assign(row.dataCentre_, state);
    changes.push_back({row.dataCentre_, true, isGradual, row.position_});
}

void Evacuations::takeBack(const std::string &dataCentre, StorePosition position, TimePoint now,
                           Changes &changes)
{
    const auto known = states_.find(dataCentre);
    if (known == states_.end() || !known->second.isEvacuated_)
        return;
    State state;
    state.since_ = now;
    state.sharesBefore_ = shares(known->second, now);
    known->second = state;
    changes.push_back({dataCentre, false, true, position});
}

bool Evacuations::isEvacuated(const std::string &dataCentre) const
{
    const auto known = states_.find(dataCentre);
    return known != states_.end() && known->second.isEvacuated_;
}

std::set<std::string> Evacuations::evacuated() const
{
    std::set<std::string> names;
    for (const auto &[dataCentre, state] : states_) {
        if (state.isEvacuated_)
            names.insert(dataCentre);
    }
    return names;
}

double Evacuations::share(const State &state, std::size_t rank, TimePoint now) const
{
    const double before = state.sharesBefore_.at(rank);
    if (!state.isEvacuated_)
        return std::max(before, progress(now - state.since_, kReturnTime, rank));
    if (now >= state.closedFrom_)
        return 0;
    return std::min(before, 1 - progress(now - state.since_, leaveTime_, rank));
}

Evacuations::Shares Evacuations::shares(const State &state, TimePoint now) const
{
    Shares shares{};
    for (std::size_t rank = 0; rank < kRanks; ++rank)
        shares.at(rank) = share(state, rank, now);
    return shares;
}

double Evacuations::share(const std::string &dataCentre, int rank, TimePoint now) const
{
    const auto known = states_.find(dataCentre);
    return known == states_.end() ? 1 : share(known->second, rankIndex(rank), now);
}

bool Evacuations::isClosed(const std::string &dataCentre, TimePoint now) const
{
    const auto known = states_.find(dataCentre);
    return known != states_.end() && known->second.isEvacuated_ && now >= known->second.closedFrom_;
}

DataCentreUse Evacuations::use(const std::string &dataCentre, const MoveKey &key,
                               TimePoint now) const
{
    if (isClosed(dataCentre, now))
        return DataCentreUse::Closed;
    const double share = this->share(dataCentre, key.rank_, now);
    return share >= 1 || drawOf(key.hash_) < share ? DataCentreUse::Open : DataCentreUse::Avoided;
}

std::set<std::string> Evacuations::closed(TimePoint now) const
{
    std::set<std::string> names;
    for (const auto &[dataCentre, state] : states_) {
        if (isClosed(dataCentre, now))
            names.insert(dataCentre);
    }
    return names;
}

std::set<std::string> Evacuations::closedOrAvoided(const MoveKey &key, TimePoint now) const
{
    std::set<std::string> names;
    for (const auto &[dataCentre, state] : states_) {
        if (use(dataCentre, key, now) != DataCentreUse::Open)
            names.insert(dataCentre);
    }
    return names;
}

std::optional<TimePoint> Evacuations::takenBackAt(const std::string &dataCentre) const
{
    const auto known = states_.find(dataCentre);
    if (known == states_.end() || known->second.isEvacuated_)
        return std::nullopt;
    return known->second.since_;
}

} // namespace foxtailturn::placement
