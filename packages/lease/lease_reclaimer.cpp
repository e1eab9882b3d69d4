#include "lease/lease_reclaimer.h"

#include <set>
#include <string_view>
#include <utility>

#include "base/log.h"

namespace foxtailturn {

namespace {

const Logger kLog("lease");

// The state of the holder of an unparsable row is unknown, so its lease is reported as live.
LeaseRow unreadableLease(const Row &row)
{
    LeaseRow lease;
    lease.holder_ = row.key_.substr(std::string_view(kLeasePrefix).size());
    return lease;
}

} // namespace

LeaseReclaimer::LeaseReclaimer(Duration margin, const Clock &clock, TableService &table,
                               WitnessClient &witnesses)
    : margin_(margin)
    , clock_(clock)
    , table_(table)
    , witnesses_(witnesses)
{ }

Result<LeaseSurvey> LeaseReclaimer::run(TimePoint callDeadline)
{
    const Result<std::vector<Row>> rows = table_.scan(kLeasePrefix, callDeadline);
    if (!rows)
        return tl::unexpected(rows.error());
    observe(*rows);
    LeaseSurvey survey;
    for (const Row &row : *rows) {
        Result<LeaseRow> lease = parseLeaseRow(row);
        if (!lease) {
            kLog.error(lease.error().message_);
            survey.live_.push_back(unreadableLease(row));
            continue;
        }
        if (lease->state_ != LeaseState::Live || fence(row, *lease, callDeadline))
            survey.ended_.push_back(lease->holder_);
        else
            survey.live_.push_back(std::move(*lease));
    }
    return survey;
}

// The clock is read after the scan: each row was written before the scan returned, so the lease
// that it records began before the time stored here.
void LeaseReclaimer::observe(const std::vector<Row> &rows)
{
    const TimePoint now = clock_.now();
    std::map<std::string, Observation> current;
    for (const Row &row : rows) {
        const auto it = observations_.find(row.key_);
        const bool isUnchanged = it != observations_.end() && it->second.version_ == row.version_;
        current[row.key_] = isUnchanged ? it->second : Observation{row.version_, now};
    }
    observations_ = std::move(current);
}

Duration LeaseReclaimer::requiredIdleTime(const LeaseRow &lease) const
{
    return Duration(lease.lengthMicros_) + margin_;
}

bool LeaseReclaimer::isExpired(const Row &row, const LeaseRow &lease) const
{
    return clock_.now() >= observations_.at(row.key_).unchangedSince_ + requiredIdleTime(lease);
}

bool LeaseReclaimer::fenceAtWitnesses(const LeaseRow &lease, TimePoint callDeadline)
{
    if (lease.witnesses_.empty()) // without witnesses, the lease is renewed only by row writes
        return true;
    std::vector<FenceRequest> requests;
    for (const std::string &witness : lease.witnesses_)
        requests.push_back({lease.holder_, witness, requiredIdleTime(lease).count()});
    std::set<std::string> fenced;
    for (const FenceAnswer &answer : witnesses_.fence(requests, callDeadline)) {
        if (answer.fenced_ && answer.holder_ == lease.holder_)
            fenced.insert(answer.witness_);
    }
    std::size_t count = 0;
    for (const std::string &witness : lease.witnesses_)
        count += fenced.count(witness);
    return count >= majorityOf(lease.witnesses_.size());
}

bool LeaseReclaimer::fence(const Row &row, const LeaseRow &lease, TimePoint callDeadline)
{
    if (!isExpired(row, lease) || !fenceAtWitnesses(lease, callDeadline))
        return false;
    LeaseRow fenced = lease;
    fenced.state_ = LeaseState::Fenced;
    const Result<RowVersion> written =
        table_.write(row.key_, encodeLeaseRow(fenced), row.version_, callDeadline);
    if (written)
        kLog.info(concat("holder fenced, holder=", lease.holder_));
    return written.has_value();
}

Result<void> LeaseReclaimer::forget(const std::string &holder, TimePoint callDeadline)
{
    const Result<std::optional<Row>> row = table_.read(leaseKey(holder), callDeadline);
    if (!row)
        return tl::unexpected(row.error());
    if (!*row)
        return {};
    const Result<LeaseRow> lease = parseLeaseRow(**row);
    if (!lease)
        return tl::unexpected(lease.error());
    if (lease->state_ == LeaseState::Live)
        return notRun(ErrorCode::StoreConflict, concat("lease has not ended, holder=", holder));
    return table_.remove(leaseKey(holder), (*row)->version_, callDeadline);
}

} // namespace foxtailturn
