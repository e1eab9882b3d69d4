#include "gateway/ledger_sync.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kInitialDelay = milliseconds(50);
constexpr Duration kNoOwnerInterval = milliseconds(250); // until each quota has an owner
constexpr Duration kRegularInterval = milliseconds(3000);
constexpr Duration kSuccessorInterval = milliseconds(1500);
constexpr Duration kMaxInterval = milliseconds(12'000);
// After the loss of an owner, the first successors look at once whether it has released its parts;
// the others look for the successor.
constexpr Duration kSuccessorExpediteDelay = milliseconds(300);
constexpr Duration kExpediteDelay = milliseconds(1500);
constexpr Duration kRestoreSpread = milliseconds(1000); // until all entries have read the rows anew
constexpr Duration kFailureDelay = milliseconds(500); // after a call that failed
constexpr Duration kMinDelay = milliseconds(20);
constexpr Duration kBackoffStep =
    milliseconds(8); // about the time from a read to the write that follows it
constexpr int kMaxBackoffDoublings = 6; // half a second
// The number of rows grows with the entries. Once the fleet is large, twice as many entries read
// about half as often each, which bounds the load of the fleet on the store.
constexpr int kScalingEntries = 8;
constexpr Duration kStoreTimeout = milliseconds(1000);
constexpr int kOk = 200;
constexpr int kConflict = 412;

} // namespace

Duration readInterval(const ReadConditions &conditions)
{
    if (!conditions.canSpend_)
        return kNoOwnerInterval;
    if (conditions.lacksOwner_ && conditions.isSuccessor_)
        return kSuccessorInterval;
    const Duration scaled =
        kRegularInterval * (kScalingEntries + conditions.entries_) / kScalingEntries;
    return std::min(scaled, kMaxInterval);
}

Duration delayAfterConflict(int conflicts)
{
    if (conflicts <= 1)
        return Duration::zero();
    return kBackoffStep * (1 << std::min(conflicts - 1, kMaxBackoffDoublings));
}

LedgerSync::LedgerSync(StoreClient &store, EventLog &log, quota::QuotaParts &quotas,
                       Quarantine &quarantine, const WallClock &wallClock,
                       std::function<double()> jitter)
    : store_(store)
    , log_(log)
    , quotas_(quotas)
    , suspects_(quarantine, wallClock)
    , jitter_(std::move(jitter))
    , timer_(store.context())
{
    store_.onRestore([this] { onRestore(); });
}

void LedgerSync::start()
{
    schedule(jittered(kInitialDelay));
}

void LedgerSync::syncNow()
{
    readDueAt_ = TimePoint{};
    schedule(Duration::zero());
}

void LedgerSync::expedite()
{
    const Duration wait =
        jittered(quotas_.isSuccessor() ? kSuccessorExpediteDelay : kExpediteDelay);
    readDueAt_ = std::min(readDueAt_, store_.now() + wait);
    if (store_.now() + wait < dueAt_)
        schedule(wait);
}

// The rows are read anew, by the entries one after the other.
void LedgerSync::onRestore()
{
    const TimePoint at =
        store_.now() + std::chrono::duration_cast<Duration>(kRestoreSpread * jitter_());
    readDueAt_ = std::min(readDueAt_, at);
    if (!isSyncing_ && at < dueAt_)
        schedule(at - store_.now());
}

void LedgerSync::release()
{
    quotas_.release();
    schedule(Duration::zero());
}

void LedgerSync::report(const SuspectRecord &record)
{
    suspects_.report(record);
    schedule(Duration::zero());
}

// Jitter spreads the entries' calls over time.
Duration LedgerSync::jittered(Duration wait)
{
    return wait + std::chrono::duration_cast<Duration>(wait * jitter_() / 3);
}

Duration LedgerSync::currentReadInterval() const
{
    return readInterval({.canSpend_ = quotas_.canSpend(),
                         .lacksOwner_ = quotas_.lacksOwner(),
                         .isSuccessor_ = quotas_.isSuccessor(),
                         .entries_ = quotas_.entryCount()});
}

void LedgerSync::schedule(Duration wait)
{
    if (isSyncing_)
        return;
    dueAt_ = store_.now() + wait;
    timer_.expires_after(wait);
    timer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            sync();
    });
}

void LedgerSync::scheduleNext()
{
    const TimePoint now = store_.now();
    // A lost owner shortens the interval after the last read has set the time of the next one.
    readDueAt_ = std::min(readDueAt_, now + jittered(currentReadInterval()));
    const bool isDue = quotas_.needsRead() || suspects_.hasReports();
    const TimePoint at = isDue ? now : std::min(readDueAt_, quotas_.nextWriteAt());
    schedule(std::max(at - now, kMinDelay));
}

void LedgerSync::sync()
{
    if (quotas_.needsRead() || store_.now() >= readDueAt_) {
        pages_ = StoreRows();
        read("");
        return;
    }
    write();
}

void LedgerSync::read(const std::string &firstKey)
{
    isSyncing_ = true;
    sentAt_ = store_.now();
    store_.call(store_.codec().readCall(quota::kFleetTable, quota::kFleetPartition, firstKey),
                kStoreTimeout, [this](const StoreAnswer &answer) { onRows(answer); });
}

void LedgerSync::onRows(const StoreAnswer &answer)
{
    Result<StoreRows> rows = store_.rowsOf(answer);
    isSyncing_ = false;
    if (answer.status_ != kOk || !rows) {
        schedule(jittered(kFailureDelay));
        return;
    }
    quotas_.observeStoreClock(rows->nowMs_, sentAt_, store_.now());
    const std::int64_t era = pages_.rows_.empty() ? quotas_.era() : pages_.position_.era_;
    const bool isOutdated = rows->position_.era_ < era;
    const bool isRestored = !pages_.rows_.empty() && rows->position_.era_ > era;
    if (isOutdated || isRestored) {
        schedule(isRestored ? Duration::zero() : jittered(kFailureDelay));
        return;
    }
    // Rows may change between two pages; each row is used with its own version.
    if (pages_.rows_.empty())
        pages_.position_ = rows->position_;
    pages_.rows_.insert(pages_.rows_.end(), std::make_move_iterator(rows->rows_.begin()),
                        std::make_move_iterator(rows->rows_.end()));
    if (rows->isTruncated_ && !rows->rows_.empty()) {
        read(pages_.rows_.back().key_ + '\0');
        return;
    }
    const bool isCopy = hasRead_ && pages_.position_.era_ > quotas_.era();
    logLearned(isCopy ? suspects_.updateCopy(pages_.rows_) : suspects_.update(pages_.rows_));
    if (isCopy)
        log_.write(LogDetail::Full, "quota_rows_restored",
                   {{"era", pages_.position_.era_},
                    {"version", pages_.position_.version_},
                    {"rows", pages_.rows_.size()}});
    quotas_.update(pages_);
    hasRead_ = true;
    readDueAt_ = store_.now() + jittered(currentReadInterval());
    if (onRead_)
        onRead_();
    write();
}

void LedgerSync::write()
{
    StoreWrite write = quotas_.plan().value_or(StoreWrite());
    suspects_.addTo(write);
    if (write.puts_.empty()) {
        scheduleNext();
        return;
    }
    isSyncing_ = true;
    sentAt_ = store_.now();
    store_.call(store_.codec().writeCall(write), kStoreTimeout,
                [this](const StoreAnswer &answer) { onWritten(answer); });
}

void LedgerSync::onWritten(const StoreAnswer &answer)
{
    isSyncing_ = false;
    // Only a missing answer (status 0) leaves the outcome unknown: any status but 200 guarantees
    // that nothing was written.
    // What the write expected says nothing about the rows of another era.
    const bool isOtherEra =
        (answer.status_ == kOk || answer.status_ == kConflict) && answer.storeEra_ != quotas_.era();
    const WriteOutcome outcome = answer.status_ == 0 || isOtherEra ? WriteOutcome::Unknown
        : answer.status_ == kOk                                    ? WriteOutcome::Applied
                                                                   : WriteOutcome::Conflict;
    const StoreRows rows = store_.rowsOf(answer).value_or(StoreRows());
    quotas_.observeStoreClock(rows.nowMs_, sentAt_, store_.now());
    quotas_.finishWrite(outcome, rows.position_.version_);
    if (const std::size_t count = suspects_.finishWrite(outcome, rows.position_.version_);
        count > 0)
        log_.write(LogDetail::Full, "suspects_stored", {{"records", count}});
    if (outcome == WriteOutcome::Applied) {
        conflicts_ = 0;
        scheduleNext();
        return;
    }
    log_.write(LogDetail::Full, "fleet_write_failed", {{"status", answer.status_}});
    if (answer.status_ != kConflict || isOtherEra) {
        conflicts_ = 0;
        schedule(jittered(kFailureDelay));
        return;
    }
    ++conflicts_;
    logLearned(suspects_.updateSome(rows.rows_));
    quotas_.updateSome(rows);
    if (conflicts_ == 1 && !rows.rows_.empty()) {
        write();
        return;
    }
    readDueAt_ = TimePoint{};
    schedule(std::chrono::duration_cast<Duration>(delayAfterConflict(conflicts_) * jitter_()));
}

void LedgerSync::logLearned(const std::vector<SuspectRecord> &suspects)
{
    for (const SuspectRecord &record : suspects)
        log_.write(LogDetail::Full, "suspect_learned",
                   {{"fingerprint", record.fingerprint_}, {"crashes", record.crashes_.size()}});
}

} // namespace foxtailturn::gateway
