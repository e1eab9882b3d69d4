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
    return services_.clock_.now() + limits_.tableCallTimeout_;
}

Claim ClaimStore::withState(const Claim &claim, ClaimState state) const
{
    Claim changed = claim;
    changed.state_ = state;
    changed.expiresAt_ = services_.wallClock_.now() + limits_.retention_;
    return changed;
}

Error ClaimStore::storeUnavailable() const
{
    return Error{ErrorCode::StoreUnavailable, Execution::NotRun,
                 "the claim of the idempotency key could not be made: table service unavailable",
                 services_.clock_.now() + limits_.storeRetryAfter_};
}

void ClaimStore::waitBeforeRetry(TimePoint deadline)
{
    services_.waiter_.waitUntil(std::min(deadline, services_.clock_.now() + limits_.retryDelay_));
}

Result<BeginResult> ClaimStore::begin(const ClaimKey &key, const std::string &bodyDigest,
                                      const std::string &attemptId, TimePoint deadline)
{
    const Claim own{attemptId, bodyDigest};
    const std::string row = key.row();
    RowVersion expected = kAbsent;
    bool mayTakeEffect = false; // whether a write with unknown outcome may still take effect
    while (services_.clock_.now() < deadline) {
        const auto written = services_.table_.write(row, own.toJson(), expected, callDeadline());
        if (written)
            return HeldClaim{key, own, *written};
        mayTakeEffect = mayTakeEffect || written.error().execution_ == Execution::OutcomeUnknown;
        if (!mayTakeEffect && !isConflict(written.error()))
            return tl::unexpected(storeUnavailable());
        const auto found = services_.table_.read(row, callDeadline());
        if (!found && !mayTakeEffect)
            return tl::unexpected(storeUnavailable());
        if (found) {
            Decision decision = decide(key, own, *found);
            if (decision.result_)
                return *std::move(decision.result_);
            expected = decision.expected_;
        }
        if (mayTakeEffect)
            waitBeforeRetry(deadline);
    }
    if (mayTakeEffect)
        addPending(key, withState(own, ClaimState::Released));
    return tl::unexpected(storeUnavailable());
}

ClaimStore::Decision ClaimStore::decide(const ClaimKey &key, const Claim &own,
                                        const std::optional<Row> &row) const
{
    if (!row)
        return {};
    const Result<Claim> found = Claim::ofJson(row->value_);
    if (!found)
        return {Result<BeginResult>(tl::unexpected(found.error()))};
    if (found->attemptId_ == own.attemptId_ && found->state_ == ClaimState::Claimed)
        return {Result<BeginResult>(HeldClaim{key, own, row->version_})};
    return decideForOtherAttempt(own, *found, row->version_);
}

ClaimStore::Decision ClaimStore::decideForOtherAttempt(const Claim &own, const Claim &found,
                                                       RowVersion version) const
{
    if (found.bodyDigest_ != own.bodyDigest_)
        return {Result<BeginResult>(notRun(ErrorCode::IdempotencyKeyReused,
                                           "the idempotency key was used with another request"))};
    if (found.answer_)
        return {Result<BeginResult>(*found.answer_)};
    if (found.canBeTakenOver())
        return {std::nullopt, version};
    const std::optional<PendingClaim> pending = pending_.find(found.attemptId_);
    if (pending && pending->claim_.answer_)
        return {Result<BeginResult>(*pending->claim_.answer_)};
    if (pending)
        return {std::nullopt, version};
    return {Result<BeginResult>(outcomeUnknown(
        ErrorCode::ClaimUnresolved, "another attempt with this idempotency key has not finished"))};
}

void ClaimStore::release(const HeldClaim &held)
{
    const Claim released = withState(held.claim_, ClaimState::Released);
    if (writeOnce(held.key_.row(), released, held.version_) != WriteResult::Confirmed)
        addPending(held.key_, released);
}

Result<void> ClaimStore::finish(const HeldClaim &held, const RecordedAnswer &answer,
                                TimePoint deadline)
{
    Claim done = withState(held.claim_, ClaimState::Done);
    done.answer_ = answer;
    const PendingClaim pending{held.key_, done};
    WriteResult result = writeOnce(held.key_.row(), done, held.version_);
    while (result == WriteResult::Unconfirmed && services_.clock_.now() < deadline) {
        result = tryFinish(pending);
        if (result == WriteResult::Unconfirmed)
            waitBeforeRetry(deadline);
    }
    if (result == WriteResult::Confirmed)
        return {};
    if (result == WriteResult::Superseded)
        return outcomeUnknown(ErrorCode::StoreConflict, "the claim belongs to another attempt");
    addPending(held.key_, done);
    return outcomeUnknown(ErrorCode::StoreUnavailable, "the answer could not be recorded");
}

ClaimStore::WriteResult ClaimStore::writeOnce(const std::string &row, const Claim &claim,
                                              RowVersion expected)
{
    return services_.table_.write(row, claim.toJson(), expected, callDeadline())
        ? WriteResult::Confirmed
        : WriteResult::Unconfirmed;
}

ClaimStore::WriteResult ClaimStore::tryFinish(const PendingClaim &pending)
{
    const std::string row = pending.key_.row();
    const auto found = services_.table_.read(row, callDeadline());
    if (!found)
        return WriteResult::Unconfirmed;
    // A Claimed row is never removed, so a missing row was finished before and has expired.
    if (!*found)
        return WriteResult::Superseded;
    const Result<Claim> claim = Claim::ofJson((*found)->value_);
    if (!claim || claim->attemptId_ != pending.claim_.attemptId_)
        return WriteResult::Superseded;
    if (claim->state_ == ClaimState::Done)
        return WriteResult::Confirmed;
    return writeOnce(row, pending.claim_, (*found)->version_);
}

ClaimStore::WriteResult ClaimStore::tryRelease(const PendingClaim &pending)
{
    const std::string row = pending.key_.row();
    const auto found = services_.table_.read(row, callDeadline());
    if (!found)
        return WriteResult::Unconfirmed;
    if (!*found)
        return writeOnce(row, pending.claim_, kAbsent);
    const Result<Claim> claim = Claim::ofJson((*found)->value_);
    if (!claim)
        return WriteResult::Superseded;
    if (claim->attemptId_ == pending.claim_.attemptId_)
        return claim->state_ == ClaimState::Claimed
            ? writeOnce(row, pending.claim_, (*found)->version_)
            : WriteResult::Confirmed;
    // The row may still have the version that a delayed write of this attempt expects. Rewriting
    // the same value gives it a new version, so that the delayed write fails. A row that can't be
    // taken over already has a newer version.
    return claim->canBeTakenOver() ? writeOnce(row, *claim, (*found)->version_)
                                   : WriteResult::Superseded;
}

std::size_t ClaimStore::repairPending()
{
    for (const PendingClaim &pending : pending_.all()) {
        const bool isDone = pending.claim_.state_ == ClaimState::Done;
        const WriteResult result = isDone ? tryFinish(pending) : tryRelease(pending);
        if (result == WriteResult::Unconfirmed)
            break;
        if (isDone && result == WriteResult::Superseded)
            kLog.error(concat("answer not recorded, row belongs to another attempt, attempt=",
                              pending.claim_.attemptId_));
        pending_.remove(pending.claim_.attemptId_);
    }
    return pending_.all().size();
}

void ClaimStore::addPending(const ClaimKey &key, const Claim &claim)
{
    if (!pending_.add(key, claim))
        kLog.error(concat("list of pending claims is full, claim stays unresolved, attempt=",
                          claim.attemptId_));
}

} // namespace foxtailturn
