#include "lease/lease_holder.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace foxtailturn {

namespace {

const Logger kLog("lease");

} // namespace

LeaseHolder::LeaseHolder(std::string holder, Duration length, const Clock &clock,
                         TableService &table)
    : holder_(std::move(holder))
    , length_(length)
    , clock_(clock)
    , table_(table)
{ }

Result<void> LeaseHolder::acquire(std::vector<std::string> witnesses, TimePoint callDeadline)
{
    setWitnesses(std::move(witnesses));
    return renew(callDeadline);
}

void LeaseHolder::setWitnesses(std::vector<std::string> witnesses)
{
    const std::lock_guard lock(mutex_);
    nextWitnesses_ = std::move(witnesses);
}

Result<void> LeaseHolder::renew(TimePoint callDeadline)
{
    {
        const std::lock_guard lock(mutex_);
        if (phase_ == Phase::Released || phase_ == Phase::Fenced)
            return notRun(ErrorCode::LeaseExpired, "lease was given up or fenced");
    }
    return write(LeaseState::Live, callDeadline);
}

Result<void> LeaseHolder::release(TimePoint callDeadline)
{
    {
        const std::lock_guard lock(mutex_);
        if (phase_ == Phase::Fenced)
            return notRun(ErrorCode::LeaseExpired, "lease was fenced");
        phase_ = Phase::Released;
        deadline_ = 0;
        rounds_.clear();
    }
    return write(LeaseState::Released, callDeadline);
}

Result<void> LeaseHolder::write(LeaseState state, TimePoint callDeadline)
{
    Write write;
    RowVersion expected = kAbsent;
    {
        const std::lock_guard lock(mutex_);
        write.row_ = {holder_, state, ++lastSequence_, length_.count(), nextWitnesses_};
        write.sentAt_ = clock_.now();
        expected = version_;
        unresolved_.push_back(write);
    }
    const Result<RowVersion> version =
        table_.write(leaseKey(holder_), encodeLeaseRow(write.row_), expected, callDeadline);
    {
        const std::lock_guard lock(mutex_);
        if (version) {
            confirm(write, *version);
            return {};
        }
        const bool hadNoEffect = version.error().execution_ == Execution::NotRun;
        if (hadNoEffect)
            unresolved_.pop_back();
        if (hadNoEffect && version.error().code_ != ErrorCode::StoreConflict)
            return tl::unexpected(version.error());
    }
    return readBack(version.error(), callDeadline);
}

Result<void> LeaseHolder::readBack(const Error &cause, TimePoint callDeadline)
{
    const Result<std::optional<Row>> row = table_.read(leaseKey(holder_), callDeadline);
    if (!row)
        return tl::unexpected(cause);
    const std::lock_guard lock(mutex_);
    if (*row)
        return matchUnresolvedWrite(**row, cause);
    if (version_ != kAbsent) // rows are removed only after they are fenced or released
        return markFenced();
    return tl::unexpected(cause);
}

Result<void> LeaseHolder::matchUnresolvedWrite(const Row &row, const Error &cause)
{
    const Result<LeaseRow> lease = parseLeaseRow(row);
    if (!lease)
        return tl::unexpected(lease.error());
    if (lease->state_ == LeaseState::Fenced)
        return markFenced();
    const auto it = std::find_if(unresolved_.begin(), unresolved_.end(),
                                 [&](const Write &write) { return write.row_ == *lease; });
    if (it == unresolved_.end())
        return tl::unexpected(cause);
    const Write found = *it;
    confirm(found, row.version_);
    if (found.row_.sequence_ == lastSequence_)
        return {};
    return tl::unexpected(cause); // a delayed earlier write was applied; the latest was not
}

// Once a write is confirmed, no other unresolved write can be applied: each expects an older
// version of the row.
void LeaseHolder::confirm(const Write &write, RowVersion version)
{
    version_ = version;
    witnesses_ = write.row_.witnesses_;
    unresolved_.clear();
    if (phase_ == Phase::Idle)
        phase_ = Phase::Live;
    extendDeadline(write.sentAt_ + length_);
}

void LeaseHolder::extendDeadline(TimePoint deadline)
{
    if (phase_ == Phase::Live)
        deadline_ = std::max(deadline_.load(), deadline.time_since_epoch().count());
}

tl::unexpected<Error> LeaseHolder::markFenced()
{
    phase_ = Phase::Fenced;
    deadline_ = 0;
    rounds_.clear();
    kLog.warn(concat("lease was fenced, holder=", holder_));
    return notRun(ErrorCode::LeaseExpired, "lease was fenced");
}

std::vector<WitnessContact> LeaseHolder::startContacts()
{
    const std::lock_guard lock(mutex_);
    if (phase_ != Phase::Live)
        return {};
    const TimePoint now = clock_.now();
    std::erase_if(rounds_,
                  [&](const auto &round) { return round.second.startedAt_ + length_ < now; });
    Round round{now, {witnesses_}, {}};
    for (const Write &write : unresolved_)
        round.witnessSets_.push_back(write.row_.witnesses_);
    std::set<std::string> names;
    for (const auto &set : round.witnessSets_)
        names.insert(set.begin(), set.end());
    std::vector<WitnessContact> contacts;
    contacts.reserve(names.size());
    for (const std::string &name : names)
        contacts.push_back({holder_, name, lastRound_ + 1});
    rounds_[++lastRound_] = std::move(round);
    return contacts;
}

void LeaseHolder::onAnswer(const WitnessAnswer &answer)
{
    const std::lock_guard lock(mutex_);
    const auto it = rounds_.find(answer.round_);
    if (answer.holder_ != holder_ || it == rounds_.end())
        return;
    if (!answer.accepted_) {
        rejectingWitnesses_.insert(answer.witness_);
        return;
    }
    it->second.accepted_.insert(answer.witness_);
    if (hasMajority(it->second))
        extendDeadline(it->second.startedAt_ + length_);
}

bool LeaseHolder::hasMajority(const Round &round)
{
    return std::all_of(
        round.witnessSets_.begin(), round.witnessSets_.end(), [&](const auto &witnesses) {
            const auto count =
                std::count_if(witnesses.begin(), witnesses.end(), [&](const std::string &name) {
                    return round.accepted_.count(name) != 0;
                });
            return static_cast<std::size_t>(count) >= majorityOf(witnesses.size());
        });
}

bool LeaseHolder::isHeld() const
{
    return clock_.now() < deadline();
}

TimePoint LeaseHolder::deadline() const
{
    return TimePoint(Duration(deadline_.load()));
}

bool LeaseHolder::isFenced() const
{
    const std::lock_guard lock(mutex_);
    return phase_ == Phase::Fenced;
}

std::set<std::string> LeaseHolder::refusingWitnesses() const
{
    const std::lock_guard lock(mutex_);
    return rejectingWitnesses_;
}

} // namespace foxtailturn
