#include "claims/claim_admin.h"

#include "base/log.h"

namespace foxtailturn {

namespace {

const Logger kLog("claims");

} // namespace

ClaimAdmin::ClaimAdmin(const ClaimServices &services, const ClaimLimits &limits)
    : services_(services)
    , limits_(limits)
{ }

TimePoint ClaimAdmin::callDeadline() const
{
    return services_.clock_.now() + limits_.tableTime_;
}

Result<std::vector<Row>> ClaimAdmin::scan(const std::string &workspace)
{
    const std::string prefix =
        workspace.empty() ? std::string(kClaimPrefix) : ClaimKey::workspacePrefix(workspace);
    return services_.table_.scan(prefix, callDeadline());
}

std::optional<ObservedClaim> ClaimAdmin::observedOf(const Row &row, TimePoint seenAt) const
{
    const std::optional<ClaimKey> key = ClaimKey::ofRow(row.key_);
    const Result<Claim> claim = Claim::ofJson(row.value_);
    if (!key || !claim)
        kLog.warn("claim row is unreadable; its idempotency key stays blocked");
    if (!key || !claim || claim->state_ != ClaimState::Claimed)
        return std::nullopt;
    return ObservedClaim{*key, *claim, row.version_,
                         seenAt + limits_.attemptTime_ + limits_.settleMargin_};
}

Result<std::vector<ObservedClaim>> ClaimAdmin::listUnresolved(const std::string &workspace)
{
    const Result<std::vector<Row>> rows = scan(workspace);
    if (!rows)
        return tl::unexpected(rows.error());
    const TimePoint seenAt = services_.clock_.now();
    std::vector<ObservedClaim> list;
    for (const Row &row : *rows) {
        if (const auto observed = observedOf(row, seenAt))
            list.push_back(*observed);
    }
    return list;
}

Result<std::optional<ObservedClaim>> ClaimAdmin::observe(const ClaimKey &key)
{
    const Result<std::optional<Row>> row = services_.table_.read(key.row(), callDeadline());
    if (!row)
        return tl::unexpected(row.error());
    return *row ? observedOf(**row, services_.clock_.now()) : std::nullopt;
}

Result<void> ClaimAdmin::settle(const ObservedClaim &observed,
                                const std::optional<RecordedAnswer> &answer)
{
    if (services_.clock_.now() < observed.settleFrom_)
        return notRun(ErrorCode::ClaimUnresolved, "the attempt may still be running",
                      observed.settleFrom_);
    Claim settled = observed.claim_;
    settled.state_ = ClaimState::Settled;
    settled.answer_ = answer;
    settled.expiresAt_ = services_.wallClock_.now() + limits_.retention_;
    const std::string row = observed.key_.row();
    const auto written =
        services_.table_.write(row, settled.toJson(), observed.version_, callDeadline());
    if (written)
        return {};
    const auto found = services_.table_.read(row, callDeadline());
    if (found && *found && (*found)->value_ == settled.toJson())
        return {};
    return tl::unexpected(written.error());
}

Result<std::size_t> ClaimAdmin::removeExpired(const std::string &workspace, std::size_t maxRemovals)
{
    const Result<std::vector<Row>> rows = scan(workspace);
    if (!rows)
        return tl::unexpected(rows.error());
    const UtcTime now = services_.wallClock_.now();
    std::size_t removed = 0;
    for (const Row &row : *rows) {
        if (removed == maxRemovals)
            break;
        const Result<Claim> claim = Claim::ofJson(row.value_);
        if (!claim || claim->state_ == ClaimState::Claimed || !claim->expiresAt_
            || *claim->expiresAt_ > now)
            continue;
        const Result<void> done = services_.table_.remove(row.key_, row.version_, callDeadline());
        if (done)
            ++removed;
        else if (done.error().code_ != ErrorCode::StoreConflict)
            return tl::unexpected(done.error());
    }
    return removed;
}

} // namespace foxtailturn
