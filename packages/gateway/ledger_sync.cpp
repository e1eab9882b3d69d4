#include "gateway/ledger_sync.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr const char *kSuspectPrefix = "suspect/"; // prefix of row keys in kFleetTable
constexpr Duration kInitialDelay = milliseconds(50);
constexpr Duration kNoShareDelay = milliseconds(150); // until each workspace has a share
constexpr Duration kRegularDelay = milliseconds(3000);
constexpr Duration kEarlyDelay = milliseconds(1500); // see QuotaShares::wantsEarlySync()
// Well within QuotaShares::kPoolReclaim, after which another entry takes over the pool.
constexpr Duration kMaxOwnerDelay = QuotaShares::kPoolWriteInterval;
// Without a liveness record in time, an entry can't spend its shares.
constexpr Duration kMaxDelay = QuotaShares::kLivenessInterval;
constexpr Duration kExpeditedDelay =
    milliseconds(300); // a pool owner was lost; it may have released the pool
constexpr Duration kBackoffStep =
    milliseconds(8); // about the time from a read to the write that follows it
constexpr int kMaxBackoffDoublings = 6; // half a second
// Row size and write conflicts grow with the number of entries. Once the fleet is large, twice as
// many entries sync about half as often each, which bounds the load of the fleet on the store.
constexpr int kScalingEntries = 8;
constexpr Duration kStoreTimeout = milliseconds(1000);
constexpr int kOk = 200;
constexpr int kConflict = 412;

} // namespace

Duration delayBeforeSync(const SyncConditions &conditions)
{
    if (!conditions.canSpend_)
        return kNoShareDelay;
    const Duration baseDelay = conditions.wantsEarlySync_ ? kEarlyDelay : kRegularDelay;
    const Duration scaled = baseDelay * (kScalingEntries + conditions.entries_) / kScalingEntries;
    return std::min(scaled, conditions.ownsPool_ ? kMaxOwnerDelay : kMaxDelay);
}

Duration delayAfterConflict(int conflicts)
{
    if (conflicts <= 1)
        return Duration::zero();
    return kBackoffStep * (1 << std::min(conflicts - 1, kMaxBackoffDoublings));
}

LedgerSync::LedgerSync(StoreClient &store, EventLog &log, QuotaShares &shares,
                       Quarantine &quarantine, std::function<double()> jitter)
    : store_(store)
    , log_(log)
    , shares_(shares)
    , quarantine_(quarantine)
    , jitter_(std::move(jitter))
    , timer_(store.context())
{ }

void LedgerSync::start()
{
    schedule(kInitialDelay);
}

void LedgerSync::syncNow()
{
    schedule(Duration::zero());
}

void LedgerSync::expedite()
{
    if (!isSyncing_ && store_.now() + kExpeditedDelay < dueAt_)
        schedule(kExpeditedDelay);
}

void LedgerSync::release()
{
    shares_.release();
    syncNow();
}

void LedgerSync::report(const SuspectRecord &record)
{
    reports_.insert_or_assign(record.fingerprint_, record);
    syncNow();
}

Duration LedgerSync::nextDelay()
{
    return delayBeforeSync({.canSpend_ = shares_.canSpend(),
                            .wantsEarlySync_ = shares_.wantsEarlySync(),
                            .ownsPool_ = shares_.ownsPool(),
                            .entries_ = shares_.entryCount()});
}

void LedgerSync::schedule(Duration wait)
{
    if (isSyncing_)
        return;
    // Jitter spreads the entries' syncs, so that their writes seldom conflict.
    const auto spread = std::chrono::duration_cast<Duration>(wait * jitter_() / 3);
    dueAt_ = store_.now() + wait + spread;
    timer_.expires_after(wait + spread);
    timer_.async_wait([this](const asio::error_code &why) {
        if (!why)
            read();
    });
}

void LedgerSync::read()
{
    isSyncing_ = true;
    store_.call(store_.codec().readCall(kFleetTable, kFleetPartition, ""), kStoreTimeout,
                [this](const StoreAnswer &answer) { onRows(answer); });
}

void LedgerSync::onRows(const StoreAnswer &answer)
{
    isSyncing_ = false;
    const Result<StoreRows> rows = store_.codec().decodeRows(answer.body_);
    if (answer.status_ != kOk || !rows) {
        schedule(kRegularDelay);
        return;
    }
    rows_ = *rows;
    mergeSuspects(rows_.rows_);
    write();
    if (onRead_)
        onRead_();
}

void LedgerSync::write()
{
    StoreWrite write = shares_.plan(rows_).value_or(StoreWrite());
    for (const auto &[fingerprint, record] : reports_) {
        const std::string key = kSuspectPrefix + fingerprint;
        write.puts_.push_back({kFleetTable, kFleetPartition, key, record.toJson()});
        write.expected_.push_back(
            {kFleetTable, kFleetPartition, key, "", suspectVersions_[fingerprint]});
    }
    if (write.puts_.empty()) {
        schedule(nextDelay());
        return;
    }
    isSyncing_ = true;
    store_.call(store_.codec().writeCall(write), kStoreTimeout,
                [this, write](const StoreAnswer &answer) { onWritten(write, answer); });
}

void LedgerSync::onWritten(const StoreWrite &written, const StoreAnswer &answer)
{
    isSyncing_ = false;
    // Only a missing answer (status 0) leaves the outcome unknown: any status but 200 guarantees
    // that nothing was written.
    const WriteOutcome outcome = answer.status_ == kOk ? WriteOutcome::Applied
        : answer.status_ == 0                          ? WriteOutcome::Unknown
                                                       : WriteOutcome::Conflict;
    shares_.finishWrite(outcome);
    const StoreRows rows = store_.codec().decodeRows(answer.body_).value_or(StoreRows());
    if (outcome == WriteOutcome::Applied) {
        for (const StoreRow &row : written.puts_) {
            if (row.key_.starts_with(kSuspectPrefix))
                suspectVersions_[row.key_.substr(std::string_view(kSuspectPrefix).size())] =
                    rows.version_;
        }
        reports_.clear();
    } else {
        log_.write(LogDetail::Full, "fleet_write_failed", {{"status", answer.status_}});
    }
    if (answer.status_ != kConflict) {
        conflicts_ = 0;
        schedule(shares_.needsRead() ? Duration::zero() : nextDelay());
        return;
    }
    ++conflicts_;
    mergeSuspects(rows.rows_);
    if (conflicts_ == 1 && !rows.rows_.empty()) {
        replaceRows(rows);
        write();
        return;
    }
    schedule(std::chrono::duration_cast<Duration>(delayAfterConflict(conflicts_) * jitter_()));
}

void LedgerSync::replaceRows(const StoreRows &fresh)
{
    for (const StoreRow &row : fresh.rows_) {
        const auto known =
            std::find_if(rows_.rows_.begin(), rows_.rows_.end(),
                         [&row](const StoreRow &other) { return other.key_ == row.key_; });
        if (known == rows_.rows_.end())
            rows_.rows_.push_back(row);
        else
            *known = row;
    }
}

void LedgerSync::mergeSuspects(const std::vector<StoreRow> &rows)
{
    const std::string_view prefix = kSuspectPrefix;
    for (const StoreRow &row : rows) {
        if (!row.key_.starts_with(prefix))
            continue;
        const std::string fingerprint = row.key_.substr(prefix.size());
        if (suspectVersions_[fingerprint] == row.version_)
            continue;
        suspectVersions_[fingerprint] = row.version_;
        const Result<SuspectRecord> record = SuspectRecord::ofJson(row.value_);
        if (!record || record->fingerprint_ != fingerprint)
            continue;
        const SuspectRecord merged = quarantine_.merge(*record);
        const auto own = reports_.find(fingerprint);
        if (own != reports_.end())
            own->second.merge(merged);
    }
}

} // namespace foxtailturn::gateway
