#include "claims/claim_store.h"

#include <algorithm>

#include "base/log.h"

namespace foxtailturn {

namespace {

const Logger kLog("claims");

bool isConflict(const Error &error)
{
    return error.code_ == ErrorCode::StoreConflict;
}

} // namespace

ClaimStore::ClaimStore(const ClaimServices &services, const ClaimLimits &limits)
    : services_(services)
    , limits_(limits)
{ }

TimePoint ClaimStore::callDeadline() const
{
    return services_.clock_.now() + limits_.tableTime_;
}

Claim ClaimStore::withState(const Claim &claim, ClaimState state) const
{
    Claim changed = claim;
    changed.state_ = state;
    changed.expiresAt_ = services_.wallClock_.now() + limits_.retention_;
    return changed;
}

Error ClaimStore::storeRefusal() const
{
    return Error{ErrorCode::StoreUnavailable, Execution::NotRun,
                 "the claim of the idempotency key could not be made: table service unavailable",
                 services_.clock_.now() + limits_.storeRetryAfter_};
}

void ClaimStore::pause(TimePoint deadline)
{
    services_.waiter_.waitUntil(std::min(deadline, services_.clock_.now() + limits_.retryPause_));
}

Result<ClaimStart> ClaimStore::begin(const ClaimKey &key, const std::string &bodyDigest,
                                     const std::string &attemptId, TimePoint deadline)
{
    const Claim own{attemptId, bodyDigest};
    const std::string row = key.row();
    RowVersion expected = kAbsent;
    bool mayLand = false; // whether a write with unknown outcome may still take effect
    while (services_.clock_.now() < deadline) {
        const auto written = services_.table_.write(row, own.toJson(), expected, callDeadline());
        if (written)
            return ClaimHold{key, own, *written};
        mayLand = mayLand || written.error().execution_ == Execution::OutcomeUnknown;
        if (!mayLand && !isConflict(written.error()))
            return tl::unexpected(storeRefusal());
        const auto found = services_.table_.read(row, callDeadline());
        if (!found && !mayLand)
            return tl::unexpected(storeRefusal());
        if (found) {
            Decision decision = decide(key, own, *found);
            if (decision.end_)
                return *std::move(decision.end_);
            expected = decision.expected_;
        }
        if (mayLand)
            pause(deadline);
    }
    if (mayLand)
        keepPending(key, withState(own, ClaimState::Released));
    return tl::unexpected(storeRefusal());
}

ClaimStore::Decision ClaimStore::decide(const ClaimKey &key, const Claim &own,
                                        const std::optional<Row> &row) const
{
    if (!row)
        return {};
    const Result<Claim> found = Claim::ofJson(row->value_);
    if (!found)
        return {Result<ClaimStart>(tl::unexpected(found.error()))};
    if (found->attemptId_ == own.attemptId_ && found->state_ == ClaimState::Claimed)
        return {Result<ClaimStart>(ClaimHold{key, own, row->version_})};
    return decideForeign(own, *found, row->version_);
}

ClaimStore::Decision ClaimStore::decideForeign(const Claim &own, const Claim &found,
                                               RowVersion version) const
{
    if (found.bodyDigest_ != own.bodyDigest_)
        return {Result<ClaimStart>(notRun(ErrorCode::IdempotencyKeyReused,
                                          "the idempotency key was used with another request"))};
    if (found.answer_)
        return {Result<ClaimStart>(*found.answer_)};
    if (found.isFree())
        return {std::nullopt, version};
    const std::optional<PendingClaim> pending = pending_.find(found.attemptId_);
    if (pending && pending->claim_.answer_)
        return {Result<ClaimStart>(*pending->claim_.answer_)};
    if (pending)
        return {std::nullopt, version};
    return {Result<ClaimStart>(outcomeUnknown(
        ErrorCode::ClaimUnresolved, "another attempt with this idempotency key has not finished"))};
}

void ClaimStore::release(const ClaimHold &hold)
{
    const Claim released = withState(hold.claim_, ClaimState::Released);
    if (writeOnce(hold.key_.row(), released, hold.version_) != Progress::Settled)
        keepPending(hold.key_, released);
}

Result<void> ClaimStore::finish(const ClaimHold &hold, const RecordedAnswer &answer,
                                TimePoint deadline)
{
    Claim done = withState(hold.claim_, ClaimState::Done);
    done.answer_ = answer;
    const PendingClaim pending{hold.key_, done};
    Progress progress = writeOnce(hold.key_.row(), done, hold.version_);
    while (progress == Progress::Unsettled && services_.clock_.now() < deadline) {
        progress = tryFinish(pending);
        if (progress == Progress::Unsettled)
            pause(deadline);
    }
    if (progress == Progress::Settled)
        return {};
    if (progress == Progress::Superseded)
        return outcomeUnknown(ErrorCode::StoreConflict, "the claim belongs to another attempt");
    keepPending(hold.key_, done);
    return outcomeUnknown(ErrorCode::StoreUnavailable, "the answer could not be recorded");
}

ClaimStore::Progress ClaimStore::writeOnce(const std::string &row, const Claim &claim,
                                           RowVersion expected)
{
    return services_.table_.write(row, claim.toJson(), expected, callDeadline())
        ? Progress::Settled
        : Progress::Unsettled;
}

ClaimStore::Progress ClaimStore::tryFinish(const PendingClaim &pending)
{
    const std::string row = pending.key_.row();
    const auto found = services_.table_.read(row, callDeadline());
    if (!found)
        return Progress::Unsettled;
    // A Claimed row is never removed, so a missing row was finished before and has expired.
    if (!*found)
        return Progress::Superseded;
    const Result<Claim> claim = Claim::ofJson((*found)->value_);
    if (!claim || claim->attemptId_ != pending.claim_.attemptId_)
        return Progress::Superseded;
    if (claim->state_ == ClaimState::Done)
        return Progress::Settled;
    return writeOnce(row, pending.claim_, (*found)->version_);
}

ClaimStore::Progress ClaimStore::tryRelease(const PendingClaim &pending)
{
    const std::string row = pending.key_.row();
    const auto found = services_.table_.read(row, callDeadline());
    if (!found)
        return Progress::Unsettled;
    if (!*found)
        return writeOnce(row, pending.claim_, kAbsent);
    const Result<Claim> claim = Claim::ofJson((*found)->value_);
    if (!claim)
        return Progress::Superseded;
    if (claim->attemptId_ == pending.claim_.attemptId_)
        return claim->state_ == ClaimState::Claimed
            ? writeOnce(row, pending.claim_, (*found)->version_)
            : Progress::Settled;
    // The row may still have the version that a delayed write of this attempt expects. Rewriting
    // the same value gives it a new version, so that the delayed write fails. A row that can't be
    // taken over already has a newer version.
    return claim->isFree() ? writeOnce(row, *claim, (*found)->version_) : Progress::Superseded;
}

std::size_t ClaimStore::repairPending()
{
    for (const PendingClaim &pending : pending_.all()) {
        const bool isDone = pending.claim_.state_ == ClaimState::Done;
        const Progress progress = isDone ? tryFinish(pending) : tryRelease(pending);
        if (progress == Progress::Unsettled)
            break;
        if (isDone && progress == Progress::Superseded)
            kLog.error(concat("answer not recorded, row belongs to another attempt, attempt=",
                              pending.claim_.attemptId_));
        pending_.remove(pending.claim_.attemptId_);
    }
    return pending_.all().size();
}

void ClaimStore::keepPending(const ClaimKey &key, const Claim &claim)
{
    if (!pending_.add(key, claim))
        kLog.error(concat("list of pending claims is full, claim stays unresolved, attempt=",
                          claim.attemptId_));
}

} // namespace foxtailturn
