#pragma once

// Syncs an entry with the rows that all entries share: quota units and records of suspect requests.
//
//     LedgerSync sync(store, log, shares, quarantine, [&] { return gateway.jitter(); });
//     sync.onRead([&] { links.updateConnections(); });
//     sync.start();
//
// A sync reads the rows, lets QuotaShares plan a write, and writes it on condition that no other
// entry has changed the rows meanwhile.

#include <functional>
#include <map>
#include <string>

#include "base/event_log.h"
#include "gateway/quota_shares.h"
#include "gateway/store_client.h"
#include "retry/quarantine.h"

namespace foxtailturn::gateway {

// Inputs that determine when the next sync is due.
struct SyncConditions
{
    bool canSpend_ = false; // see QuotaShares::canSpend()
    bool wantsEarlySync_ = false; // see QuotaShares::wantsEarlySync()
    bool ownsPool_ = false;
    int entries_ = 1;

    bool operator==(const SyncConditions &) const = default;
};

// Returns the delay before the next sync, without jitter. Thread-safe.
[[nodiscard]] Duration delayBeforeSync(const SyncConditions &conditions);

// Returns the maximum delay before a sync that follows this many conflicts in a row; the actual
// delay is drawn at random between zero and this. The first conflict is retried at once, with the
// rows that the store returns with it. Thread-safe.
[[nodiscard]] Duration delayAfterConflict(int conflicts);

// Not thread-safe. Handlers run from the loop.
class LedgerSync
{
public:
    // All references must outlive this object, which must outlive the store's calls. jitter returns
    // numbers from 0 to 1.
    LedgerSync(StoreClient &store, EventLog &log, QuotaShares &shares, Quarantine &quarantine,
               std::function<double()> jitter);

    // Sets a handler that is called after each successful read of the rows.
    void onRead(std::function<void()> handler) { onRead_ = std::move(handler); }

    void start();

    // Starts a sync now, unless one is in progress.
    void syncNow();

    // Moves the next sync forward if it is not due soon.
    void expedite();

    // Releases the pools that this entry owns, with a sync now; for an entry that is about to stop.
    void release();

    // Writes a suspect's record with the next sync, which is started now.
    void report(const SuspectRecord &record);

private:
    void schedule(Duration wait);
    void read();
    void onRows(const StoreAnswer &answer);
    void write();
    void onWritten(const StoreWrite &written, const StoreAnswer &answer);
    void replaceRows(const StoreRows &fresh);
    void mergeSuspects(const std::vector<StoreRow> &rows);
    [[nodiscard]] Duration nextDelay();

    StoreClient &store_;
    EventLog &log_;
    QuotaShares &shares_;
    Quarantine &quarantine_;
    std::function<double()> jitter_;
    std::function<void()> onRead_;
    asio::steady_timer timer_;
    StoreRows rows_; // as last read
    std::map<std::string, SuspectRecord> reports_; // to be written, by fingerprint
    std::map<std::string, std::int64_t> suspectVersions_; // row versions, by fingerprint
    TimePoint dueAt_{}; // of the next sync
    int conflicts_ = 0; // in a row
    bool isSyncing_ = false;
};

} // namespace foxtailturn::gateway
