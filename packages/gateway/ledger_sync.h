#pragma once

// Syncs an entry with the rows that all entries share: owners of quota parts, and records of
// suspect requests.
//
//     LedgerSync sync(store, log, quotas, quarantine, wallClock,
//                     [&] { return gateway.jitter(); });
//     sync.onRead([&] { peers.updateConnections(); });
//     sync.start();
//
// A sync writes what QuotaParts plans, on condition that no other entry has changed the rows
// meanwhile. It reads all rows first if the last read is too old.

#include <functional>
#include <string>

#include "base/event_log.h"
#include "gateway/store_client.h"
#include "gateway/suspect_rows.h"
#include "quota/quota_parts.h"

namespace foxtailturn::gateway {

// Inputs that determine when the rows are read again; see the functions of QuotaParts.
struct ReadConditions
{
    bool canSpend_ = false;
    bool lacksOwner_ = false;
    bool isSuccessor_ = false;
    int entries_ = 1;

    bool operator==(const ReadConditions &) const = default;
};

// Returns the time between two reads of the rows, without jitter. Thread-safe.
[[nodiscard]] Duration readInterval(const ReadConditions &conditions);

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
    LedgerSync(StoreClient &store, EventLog &log, quota::QuotaParts &quotas, Quarantine &quarantine,
               const WallClock &wallClock, std::function<double()> jitter);

    // Sets a handler that is called after each successful read of the rows.
    void onRead(std::function<void()> handler) { onRead_ = std::move(handler); }

    void start();

    // Starts a sync with a read now, unless one is in progress.
    void syncNow();

    // Moves the next read forward if it is not due soon, since an owner was lost.
    void expedite();

    // Gives up the parts that this entry owns, with a sync now; for an entry that is about to stop.
    void release();

    // Writes a suspect's record with the next sync, which is started now.
    void report(const SuspectRecord &record);

    // Returns whether the store has a row of the request.
    [[nodiscard]] bool isStored(const std::string &fingerprint) const
    {
        return suspects_.isStored(fingerprint);
    }

private:
    void schedule(Duration wait);
    void scheduleNext();
    void onRestore();
    void sync();
    void read(const std::string &firstKey);
    void onRows(const StoreAnswer &answer);
    void write();
    void onWritten(const StoreAnswer &answer);
    void logLearned(const std::vector<SuspectRecord> &suspects);
    [[nodiscard]] Duration jittered(Duration wait);
    [[nodiscard]] Duration currentReadInterval() const;

    StoreClient &store_;
    EventLog &log_;
    quota::QuotaParts &quotas_;
    SuspectRows suspects_;
    std::function<double()> jitter_;
    std::function<void()> onRead_;
    asio::steady_timer timer_;
    StoreRows pages_; // of the read in progress
    TimePoint sentAt_{}; // of the call in progress
    TimePoint dueAt_{}; // of the next sync
    TimePoint readDueAt_{}; // the rows are read again by the first sync after this
    int conflicts_ = 0; // in a row
    bool isSyncing_ = false;
    bool hasRead_ = false; // all rows, at least once
};

} // namespace foxtailturn::gateway
