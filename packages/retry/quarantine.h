#pragma once

// Limits the damage of a request that crashes its targets: after one crash it is a suspect, which
// runs alone on its target and one copy at a time; after two it is quarantined, that is, refused.
// Parts of prompts are suspects too, as one of them may crash the targets of many requests; see
// part_policy.h.
//
//     const Result<Standing> standing = quarantine.admit(fingerprint);  // error: Quarantined
//     if (*standing == Standing::Suspect) {
//         // nullopt: another copy waits or runs in this process
//         auto report = quarantine.requestRun(fingerprint, until);
//         // send the report to all peers; pass their replies to merge(); then
//         quarantine.confirmRun(fingerprint);                           // true: run it now
//     }
//     // run it (a suspect alone on its target, see IsolationGate)
//     quarantine.completed(fingerprint);         // it ran to its end, or
//     quarantine.crashed(fingerprint, crashId);  // its target crashed meanwhile
//     quarantine.endRun(fingerprint);            // suspects only, after one of the two
//
// Reports are SuspectRecords; a peer replies with the return value of merge(). Before the caller
// gets its answer, all live peers must have replied to the report, or a deadline must have passed:
// otherwise the caller may resend the request to an entry that doesn't know the suspect yet.
//
// Mutual exclusion of the copies: a process sets its run mark to Waiting, exchanges reports with
// all peers, and runs the request if no peer's mark is Running and no waiting peer has a smaller
// holder id. If two processes wait at the same time, each sees the other's mark in the exchange, so
// only one of them runs. An unreachable peer may still run a second copy.

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

// Clocks used by a Quarantine; both must outlive it.
struct QuarantineClocks
{
    const Clock &clock_;
    const WallClock &wallClock_;
};

// The suspect records of one process, sharded by fingerprint. Thread-safe.
class Quarantine
{
public:
    // holder is the process's incarnation id, unique among the processes that exchange reports.
    // Uncleared crashes of a request count, and its quarantine lasts, until crashRetention has
    // passed since the last of them. The quarantine of a part lasts kPartTerm, but its crashes
    // count for kPartRetention, so that one more crash quarantines it again.
    static constexpr Duration kPartTerm = std::chrono::seconds(60);
    static constexpr Duration kPartRetention = std::chrono::minutes(5);
    Quarantine(std::string holder, const QuarantineClocks &clocks, Duration crashRetention);

    // Returns Clear or Suspect. Error: Quarantined (NotRun, with retryAt_). Thread-safe.
    [[nodiscard]] Result<Standing> admit(const std::string &fingerprint) const;

    // Records that a target crashed with the request in flight. crashId identifies the crash and
    // must be the same in all processes, for example target name and boot id. Returns the report
    // for the peers. Thread-safe.
    SuspectRecord crashed(const std::string &fingerprint, const std::string &crashId)
    {
        return crashed(Suspect{fingerprint}, crashId);
    }
    SuspectRecord crashed(const Suspect &suspect, const std::string &crashId);

    // Records that the request ran to completion, or that a target has begun to answer a request
    // with the part, which clears it of its crashes so far. Call it each time. Returns the report
    // if there were uncleared crashes. Thread-safe.
    std::optional<SuspectRecord> completed(const std::string &fingerprint);

    // Sets this process's run mark for a suspect to Waiting; the mark expires at until. Returns the
    // report for the peers, or nullopt if another copy waits or runs in this process. Thread-safe.
    std::optional<SuspectRecord> requestRun(const std::string &fingerprint, UtcTime until);

    // Returns true, and sets the run mark to Running, if the suspect may run now; false if another
    // process has precedence, in which case the caller polls again after some milliseconds.
    // Precondition: the report of requestRun() was exchanged with the peers. Errors (NotRun):
    // Quarantined; DeadlineExceeded if the mark has expired or ended. Thread-safe.
    [[nodiscard]] Result<bool> confirmRun(const std::string &fingerprint);

    // Sets this process's run mark to Ended. Returns the report for the peers. Thread-safe.
    SuspectRecord endRun(const std::string &fingerprint);

    // Merges a peer's report or a table row into the local record. Returns the merged record, which
    // is the reply to the peer; an expired report is returned unchanged. Thread-safe.
    SuspectRecord merge(const SuspectRecord &report);

    // Returns the record of a request; nullopt if there is none. Thread-safe.
    [[nodiscard]] std::optional<SuspectRecord> find(const std::string &fingerprint) const;

    // Removes expired records. Call it, or records(), about once a minute to bound memory use.
    // Thread-safe.
    void removeExpired();

    // Removes expired records and returns the others, for a new peer. Thread-safe.
    [[nodiscard]] std::vector<SuspectRecord> records();

private:
    static constexpr std::size_t kShards = 16;

    struct Shard
    {
        mutable std::mutex mutex_;
        std::map<std::string, SuspectRecord> records_;
    };

    // Precondition of both: the shard's lock is held.
    static SuspectRecord &findOrCreateRecord(Shard &shard, const Suspect &suspect, UtcTime now);
    [[nodiscard]] bool hasPrecedence(const SuspectRecord &record, UtcTime now) const;

    [[nodiscard]] Result<Standing> effectiveStanding(const SuspectRecord &record,
                                                     UtcTime now) const;
    [[nodiscard]] Standing standingOf(const SuspectRecord &record) const;
    [[nodiscard]] Duration retentionOf(SuspectKind kind) const;
    void addCrashTimes(const SuspectRecord &record);
    [[nodiscard]] static std::size_t shardIndex(const std::string &fingerprint);

    std::string holderId_;
    QuarantineClocks clocks_;
    Duration crashRetention_;
    std::array<Shard, kShards> shards_;
    mutable std::mutex crashTimesMutex_; // may be locked while a shard is
    std::map<std::string, UtcTime> crashTimes_; // of all crashes of the records, by crash id
};

} // namespace foxtailturn
