#pragma once

// Keeps an entry's part of the rows that entries share: quota units and suspect requests.
//
//     LedgerRounds rounds(store, log, shares, quarantine, [&] { return gateway.jitter(); });
//     rounds.onRead([&] { links.sync(); });
//     rounds.start();
//
// A round reads the rows, lets QuotaShares plan, and writes what it planned on condition that no
// other entry has written meanwhile.

#include <functional>
#include <map>
#include <string>

#include "base/event_log.h"
#include "gateway/quota_shares.h"
#include "gateway/store_client.h"
#include "retry/quarantine.h"

namespace foxtailturn::gateway {

// What decides when the next round is due.
struct RoundNeed
{
    bool canSpend_ = false; // each share was written in time
    bool wantsRound_ = false; // see QuotaShares::wantsRound()
    bool keepsPool_ = false;
    int entries_ = 1;

    bool operator==(const RoundNeed &) const = default;
};

// Returns the pause before the next round, before it is spread. Thread-safe.
[[nodiscard]] Duration pauseBeforeRound(const RoundNeed &need);

// Returns the longest pause before a round that follows this many conflicts in a row; its actual
// length is drawn between zero and this. The first conflict is answered at once, from the rows that
// the store sends with it. Thread-safe.
[[nodiscard]] Duration pauseAfterConflict(int conflicts);

// Not thread-safe. Handlers run from the loop.
class LedgerRounds
{
public:
    // All references must outlive this object, which must outlive the store's calls. jitter returns
    // numbers from 0 to 1.
    LedgerRounds(StoreClient &store, EventLog &log, QuotaShares &shares, Quarantine &quarantine,
                 std::function<double()> jitter);

    // Is called after each read of the rows.
    void onRead(std::function<void()> handler) { onRead_ = std::move(handler); }

    void start();

    // Makes a round now; one that is under way is enough.
    void makeRound();

    // Makes the next round come sooner if it is not due soon.
    void hasten();

    // Gives up what this entry keeps for others, in a round now; for an entry that stops.
    void release();

    // Writes a suspect's record with the next round, which it makes now.
    void report(const SuspectRecord &record);

private:
    void schedule(Duration wait);
    void read();
    void onRows(const StoreAnswer &answer);
    void write();
    void onWritten(const StoreWrite &written, const StoreAnswer &answer);
    void replaceRows(const StoreRows &fresh);
    void takeSuspects(const std::vector<StoreRow> &rows);
    [[nodiscard]] Duration nextPause();

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
    TimePoint dueAt_{}; // next round
    int conflicts_ = 0; // in a row
    bool isUnderWay_ = false;
};

} // namespace foxtailturn::gateway
