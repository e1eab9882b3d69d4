#pragma once

// Holds the lease of one incarnation. It is renewed by writing its table row or by a majority of
// its witnesses.
//
//     LeaseHolder lease(incarnation, kLeaseLength, clock, table);
//     lease.acquire(witnesses, callDeadline);
//     // every kLeaseRenewal, on one controller thread:
//     for (const WitnessContact &contact : lease.startContacts())
//         send(contact);                       // answers go to lease.onAnswer(), on any thread
//     lease.renew(callDeadline);               // may keep failing while a majority of witnesses
//     answers
//     // immediately before each action that the lease protects:
//     if (!lease.isHeld()) ...
//     // at a graceful shutdown:
//     lease.release(callDeadline);

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "lease/lease_row.h"
#include "lease/lease_status.h"
#include "lease/messages.h"

namespace foxtailturn {

// After a holder is killed, its shares stay unused for this time, kLeaseMargin and one run of a
// reclaimer.
constexpr Duration kLeaseLength = std::chrono::seconds(3);
// Tolerates three consecutive lost renewals.
constexpr Duration kLeaseRenewal = std::chrono::milliseconds(750);

class LeaseHolder final : public LeaseStatus
{
public:
    // holder is this incarnation's id. clock and table must outlive the holder.
    LeaseHolder(std::string holder, Duration length, const Clock &clock, TableService &table);

    // Creates the row. Until this succeeds, the lease is not held and no witness is contacted.
    // Errors: StoreUnavailable (retry), LeaseExpired. Precondition: at most kMaxWitnesses
    // witnesses. Call this, renew(), setWitnesses() and release() from one thread only.
    Result<void> acquire(std::vector<std::string> witnesses, TimePoint callDeadline);

    // Replaces the witnesses at the next renew(). Same precondition as acquire().
    void setWitnesses(std::vector<std::string> witnesses);

    // Writes the row and extends the deadline to (send time + length). After a lost answer the row
    // is read back. Errors: StoreUnavailable, StoreConflict (deadline unchanged, retry);
    // LeaseExpired when fenced or released, which is final.
    Result<void> renew(TimePoint callDeadline);

    // Ends the lease immediately and marks the row released. Errors: StoreUnavailable (may be
    // repeated), LeaseExpired when fenced.
    Result<void> release(TimePoint callDeadline);

    // Starts a renewal round and returns one message for each witness. Thread-safe.
    [[nodiscard]] std::vector<WitnessContact> startContacts();

    // Handles a witness's answer. Once a majority has accepted in the same round, the deadline is
    // extended to (start of the round + length). Thread-safe.
    void onAnswer(const WitnessAnswer &answer);

    [[nodiscard]] bool isHeld() const override;

    // Returns the deadline, or the clock's epoch before acquire() succeeds and after the lease was
    // released or fenced. Thread-safe.
    [[nodiscard]] TimePoint deadline() const;

    // Returns whether the row was found fenced or removed; this incarnation must then terminate.
    // Thread-safe.
    [[nodiscard]] bool isFenced() const;

    // Returns the witnesses that rejected a contact and should be replaced. Thread-safe.
    [[nodiscard]] std::set<std::string> refusingWitnesses() const;

private:
    enum class Phase { Idle, Live, Released, Fenced };

    // A write of the row that was applied, or whose outcome is unknown.
    struct Write
    {
        LeaseRow row_;
        TimePoint sentAt_;
    };

    struct Round
    {
        TimePoint startedAt_;
        std::vector<std::vector<std::string>> witnessSets_; // a majority of each is needed
        std::set<std::string> accepted_;
    };

    Result<void> write(LeaseState state, TimePoint callDeadline);
    Result<void> readBack(const Error &cause, TimePoint callDeadline);
    Result<void> matchUnresolvedWrite(const Row &row, const Error &cause);
    void confirm(const Write &write, RowVersion version);
    void extendDeadline(TimePoint deadline);
    tl::unexpected<Error> markFenced();
    [[nodiscard]] static bool hasMajority(const Round &round);

    std::string holder_;
    Duration length_;
    const Clock &clock_;
    TableService &table_;

    mutable std::mutex mutex_; // not held across calls of the table
    Phase phase_ = Phase::Idle;
    std::vector<std::string> nextWitnesses_;
    std::vector<std::string> witnesses_; // of the last confirmed row
    RowVersion version_ = kAbsent; // of the last confirmed row
    std::uint64_t lastSequence_ = 0;
    // Writes with unknown outcome. A delayed one may still replace the witnesses in the row.
    std::vector<Write> unresolved_;
    std::uint64_t lastRound_ = 0;
    std::map<std::uint64_t, Round> rounds_;
    std::set<std::string> rejectingWitnesses_;
    std::atomic<Duration::rep> deadline_ = 0; // read by isHeld() without the lock
};

} // namespace foxtailturn
