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
    return services_.clock_.now() + limits_.tableCallTimeout_;
}

Result<std::vector<Row>> ClaimAdmin::scan(const std::string &workspace)
{
    const std::string prefix =
        workspace.empty() ? std::string(kClaimPrefix) : ClaimKey::workspacePrefix(workspace);
    return services_.table_.scan(prefix, callDeadline());
}

std::optional<ObservedClaim> ClaimAdmin::toObservedClaim(const Row &row, TimePoint observedAt) const
{
    const std::optional<ClaimKey> key = ClaimKey::fromRowKey(row.key_);
    const Result<Claim> claim = Claim::ofJson(row.value_);
    if (!key || !claim)
        kLog.warn("claim row is unreadable; its idempotency key stays blocked");
    if (!key || !claim || claim->state_ != ClaimState::Claimed)
        return std::nullopt;
    return ObservedClaim{*key, *claim, row.version_,
                         observedAt + limits_.attemptTimeout_ + limits_.settleMargin_};
}

Result<std::vector<ObservedClaim>> ClaimAdmin::listUnresolved(const std::string &workspace)
{
    const Result<std::vector<Row>> rows = scan(workspace);
    if (!rows)
        return tl::unexpected(rows.error());
    const TimePoint observedAt = services_.clock_.now();
    std::vector<ObservedClaim> claims;
    for (const Row &row : *rows) {
        if (const auto observed = toObservedClaim(row, observedAt))
            claims.push_back(*observed);
    }
    return claims;
}

Result<std::optional<ObservedClaim>> ClaimAdmin::observe(const ClaimKey &key)
{
    const Result<std::optional<Row>> row = services_.table_.read(key.row(), callDeadline());
    if (!row)
        return tl::unexpected(row.error());
    return *row ? toObservedClaim(**row, services_.clock_.now()) : std::nullopt;
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
        const Result<void> removal =
            services_.table_.remove(row.key_, row.version_, callDeadline());
        if (removal)
            ++removed;
        else if (removal.error().code_ != ErrorCode::StoreConflict)
            return tl::unexpected(removal.error());
    }
    return removed;
}

} // namespace foxtailturn
