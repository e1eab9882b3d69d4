#include "limiter/share_ledger.h"

#include <utility>

#include "base/json.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr IntegerRange kAnyUnits{.min_ = std::numeric_limits<std::int64_t>::min()};

std::string limitsKey(const std::string &workspace)
{
    return kLimitsPrefix + workspace;
}

std::string encode(const LedgerRow &row)
{
    Json holders = Json::object();
    for (const auto &[name, holder] : row.holders_)
        holders[name] = {{"granted", holder.granted_}, {"taken", holder.takenUnits_}};
    return Json{{"spare", row.spareUnits_}, {"holders", holders}}.dump();
}

std::int64_t totalUnits(const LedgerRow &row)
{
    std::int64_t sum = row.spareUnits_;
    for (const auto &[name, holder] : row.holders_)
        sum += holder.granted_;
    return sum;
}

Result<HolderGrant> parseHolder(const Json &json, const std::string &path)
{
    JsonObject object(json, path);
    const HolderGrant holder{object.integer("granted", kAnyUnits), object.integer("taken", {})};
    object.refuseUnknown();
    if (object.error())
        return tl::unexpected(*object.error());
    return holder;
}

Result<LedgerRow> parse(const Row &stored)
{
    const Result<Json> json = parseJson(stored.value_, stored.key_);
    if (!json)
        return tl::unexpected(json.error());
    JsonObject object(*json, stored.key_);
    LedgerRow row;
    row.spareUnits_ = object.integer("spare", {.max_ = kTotalUnits});
    const Json &holders = object.child("holders");
    if (!holders.is_object())
        object.fail("holders", "must be an object");
    object.refuseUnknown();
    if (object.error())
        return tl::unexpected(*object.error());
    for (const auto &item : holders.items()) {
        const Result<HolderGrant> holder = parseHolder(item.value(), object.fieldPath(item.key()));
        if (!holder)
            return tl::unexpected(holder.error());
        row.holders_[item.key()] = *holder;
    }
    if (totalUnits(row) != kTotalUnits)
        return notRun(ErrorCode::InvalidConfiguration,
                      concat(stored.key_, ": units sum to ", totalUnits(row)));
    return row;
}

// Returns the remaining holders that have not reported on every ended holder.
std::vector<std::string> missingReports(const LedgerRow &row, const std::set<std::string> &ended,
                                        const std::map<std::string, NetReport> &reports)
{
    std::vector<std::string> missing;
    for (const auto &[name, holder] : row.holders_) {
        if (ended.count(name) != 0)
            continue;
        const auto report = reports.find(name);
        bool isComplete = report != reports.end();
        for (const std::string &other : ended)
            isComplete = isComplete && report->second.netUnits_.count(other) != 0;
        if (!isComplete)
            missing.push_back(name);
    }
    return missing;
}

std::int64_t removeEndedHolders(LedgerRow &row, const std::set<std::string> &ended,
                                const std::map<std::string, NetReport> &reports)
{
    std::int64_t reclaimed = 0;
    for (const std::string &name : ended) {
        reclaimed += row.holders_.at(name).granted_;
        row.holders_.erase(name);
    }
    for (auto &[name, holder] : row.holders_) {
        for (const std::string &other : ended) {
            const std::int64_t net = reports.at(name).netUnits_.at(other);
            holder.granted_ -= net;
            reclaimed += net;
        }
    }
    row.spareUnits_ += reclaimed;
    return reclaimed;
}

} // namespace

std::set<std::string> endedHolders(const LedgerRow &row, const std::vector<LeaseRow> &live)
{
    std::set<std::string> ended;
    for (const auto &[name, holder] : row.holders_)
        ended.insert(name);
    for (const LeaseRow &lease : live)
        ended.erase(lease.holder_);
    return ended;
}

ShareLedger::ShareLedger(TableService &table)
    : table_(table)
{ }

Result<ShareLedger::VersionedRow> ShareLedger::load(const std::string &workspace,
                                                    TimePoint callDeadline)
{
    const Result<std::optional<Row>> stored = table_.read(limitsKey(workspace), callDeadline);
    if (!stored)
        return tl::unexpected(stored.error());
    if (!*stored)
        return VersionedRow{};
    const Result<LedgerRow> row = parse(**stored);
    if (!row)
        return tl::unexpected(row.error());
    return VersionedRow{*row, (*stored)->version_};
}

// If the outcome of the write is unknown, reads the row back. Comparing its value suffices to tell
// whether this write was applied: takenUnits_ only grows and a removed holder never returns, so no
// value occurs twice.
Result<void> ShareLedger::store(const std::string &workspace, const LedgerRow &row,
                                RowVersion expected, TimePoint callDeadline)
{
    const Result<RowVersion> version =
        table_.write(limitsKey(workspace), encode(row), expected, callDeadline);
    if (version)
        return {};
    if (version.error().execution_ == Execution::NotRun)
        return tl::unexpected(version.error());
    const Result<VersionedRow> current = load(workspace, callDeadline);
    if (current && current->version_ != kAbsent && current->row_ == row)
        return {};
    return tl::unexpected(version.error());
}

Result<LedgerRow> ShareLedger::read(const std::string &workspace, TimePoint callDeadline)
{
    Result<VersionedRow> loaded = load(workspace, callDeadline);
    if (!loaded)
        return tl::unexpected(loaded.error());
    return std::move(loaded->row_);
}

Result<LedgerGrant> ShareLedger::take(const std::string &workspace, const std::string &holder,
                                      const LeaseStatus &lease, TimePoint callDeadline)
{
    Result<VersionedRow> loaded = load(workspace, callDeadline);
    if (!loaded)
        return tl::unexpected(loaded.error());
    if (!lease.isHeld())
        return notRun(ErrorCode::LeaseExpired, "lease is not held");
    LedgerRow &row = loaded->row_;
    const bool isNew = loaded->version_ == kAbsent;
    if (isNew)
        row.spareUnits_ = kTotalUnits;
    const bool isMember = row.holders_.count(holder) != 0;
    HolderGrant &grant = row.holders_[holder];
    if (isMember && row.spareUnits_ == 0)
        return LedgerGrant{grant.takenUnits_, false};
    grant.granted_ += row.spareUnits_;
    grant.takenUnits_ += row.spareUnits_;
    row.spareUnits_ = 0;
    if (Result<void> stored = store(workspace, row, loaded->version_, callDeadline); !stored)
        return tl::unexpected(stored.error());
    return LedgerGrant{grant.takenUnits_, isNew};
}

Result<Settlement> ShareLedger::settle(const std::string &workspace,
                                       const std::set<std::string> &ended,
                                       const std::vector<NetReport> &reports,
                                       TimePoint callDeadline)
{
    Result<VersionedRow> loaded = load(workspace, callDeadline);
    if (!loaded)
        return tl::unexpected(loaded.error());
    std::set<std::string> endedInRow;
    for (const std::string &name : ended) {
        if (loaded->row_.holders_.count(name) != 0)
            endedInRow.insert(name);
    }
    std::map<std::string, NetReport> byReporter;
    for (const NetReport &report : reports) {
        if (report.workspace_ == workspace)
            byReporter[report.reporter_] = report;
    }
    Settlement settlement;
    settlement.missingReporters_ = missingReports(loaded->row_, endedInRow, byReporter);
    if (endedInRow.empty() || !settlement.missingReporters_.empty())
        return settlement;
    settlement.reclaimedUnits_ = removeEndedHolders(loaded->row_, endedInRow, byReporter);
    Result<void> stored = store(workspace, loaded->row_, loaded->version_, callDeadline);
    if (!stored)
        return tl::unexpected(stored.error());
    return settlement;
}

} // namespace foxtailturn
