#pragma once

// Keeps a request that crashes its targets from crashing more than two of them.
//
//     const Result<Standing> standing = quarantine.admit(fingerprint);  // error: Quarantined
//     if (*standing == Standing::Suspect) {
//         auto report = quarantine.requestRun(fingerprint, until);      // nullopt: one runs here
//         // send the report to all peers; pass their replies to merge(); then
//         quarantine.confirmRun(fingerprint);                           // true: run it now
//     }
//     // run it (a suspect alone on its target, see IsolationGate)
//     quarantine.completed(fingerprint);         // it ran to its end, or
//     quarantine.crashed(fingerprint, crashId);  // its target crashed meanwhile
//     quarantine.endRun(fingerprint);            // suspects only, after one of the two
//
// Each report must have been answered by all live peers, or have waited for them until a deadline,
// before the caller gets its answer: otherwise the caller's resend may reach an entry that doesn't
// know the suspect yet. Reports are SuspectRecords; a peer answers merge()'s return value.
//
// One copy at a time: a process marks its wish to run, exchanges reports with all peers and runs if
// no peer runs and no waiting peer has a smaller name. Each of two processes that wait at the same
// time sees the other's mark in the exchange, so only one runs. A peer that can't be reached may
// run a second copy.

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/wall_clock.h"
#include "retry/suspect_record.h"

namespace foxtailturn {

// Clocks of a Quarantine; both must outlive it.
struct QuarantineClocks
{
    const Clock &clock_;
    const WallClock &wallClock_;
};

// What one process knows of suspects, in shards by fingerprint. Thread-safe.
class Quarantine
{
public:
    // holder is the incarnation's id, different in each process. A crash counts for, and a
    // quarantine lasts, the given time after the last crash.
    Quarantine(std::string holder, const QuarantineClocks &clocks, Duration memory);

    // Returns Clear or Suspect. Error: Quarantined (NotRun, with retryAt_). Thread-safe.
    [[nodiscard]] Result<Standing> admit(const std::string &fingerprint) const;

    // Notes that a target crashed with the request in flight. crashId names the crash and is equal
    // in all processes, for example target and boot id. Returns the report for the peers.
    // Thread-safe.
    SuspectRecord crashed(const std::string &fingerprint, const std::string &crashId);

    // Notes that the request ran to its end, which clears it of the crashes so far. Call it for
    // every request. Returns the report if the request was a suspect. Thread-safe.
    std::optional<SuspectRecord> completed(const std::string &fingerprint);

    // Marks this process's wish to run a suspect; the mark is void from until on. Returns the
    // report for the peers, or nullopt if another copy waits or runs in this process. Thread-safe.
    std::optional<SuspectRecord> requestRun(const std::string &fingerprint, UtcTime until);

    // Returns whether the suspect may run now. False: another process goes first; ask again after
    // some milliseconds. Precondition: the report of requestRun() was exchanged with the peers.
    // Errors (NotRun): Quarantined; DeadlineExceeded if the mark is void. Thread-safe.
    [[nodiscard]] Result<bool> confirmRun(const std::string &fingerprint);

    // Ends the wish or the run of this process. Returns the report for the peers. Thread-safe.
    SuspectRecord endRun(const std::string &fingerprint);

    // Adds a peer's report or a table row. Returns what this process knows, as the reply.
    // Thread-safe.
    SuspectRecord merge(const SuspectRecord &report);

    // Returns all records, for a new peer, and forgets those whose time has passed; call it about
    // once a minute to bound the memory. Thread-safe.
    [[nodiscard]] std::vector<SuspectRecord> records();

private:
    static constexpr std::size_t kShards = 16;

    struct Shard
    {
        mutable std::mutex mutex_;
        std::map<std::string, SuspectRecord> records_;
    };

    // Precondition of both: the shard's lock is held.
    static SuspectRecord &recordIn(Shard &shard, const std::string &fingerprint, UtcTime now);
    [[nodiscard]] bool mayRun(const SuspectRecord &record, UtcTime now) const;

    [[nodiscard]] Result<Standing> standingOf(const SuspectRecord &record, UtcTime now) const;
    [[nodiscard]] static std::size_t shardOf(const std::string &fingerprint);

    std::string holder_;
    QuarantineClocks clocks_;
    Duration memory_;
    std::array<Shard, kShards> shards_;
};

} // namespace foxtailturn
