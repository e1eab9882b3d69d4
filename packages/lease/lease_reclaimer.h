#pragma once

// Fences holders whose lease has expired. Any number of processes may run a reclaimer.
//
//     LeaseReclaimer reclaimer(kLeaseMargin, clock, table, witnessClient);
//     // about once a second, on one controller thread:
//     Result<LeaseSurvey> survey = reclaimer.run(callDeadline);
//     for (const std::string &holder : survey->ended_)
//         ...                              // settle its shares, then reclaimer.forget(holder)

#include <map>
#include <string>
#include <vector>

#include "lease/lease_row.h"
#include "lease/messages.h"

namespace foxtailturn {

// Covers clock drift between holder, witnesses and reclaimer over one lease length.
constexpr Duration kLeaseMargin = std::chrono::milliseconds(500);

// Sends fence requests to witnesses.
class WitnessClient
{
public:
    virtual ~WitnessClient() = default;

    // Sends all requests, preferably in parallel, and returns the answers that arrived by the
    // deadline.
    [[nodiscard]] virtual std::vector<FenceAnswer> fence(const std::vector<FenceRequest> &requests,
                                                         TimePoint deadline) = 0;
};

// The state of all leases after one run.
struct LeaseSurvey
{
    std::vector<LeaseRow> live_; // includes rows that cannot be parsed
    std::vector<std::string> ended_; // holders whose row is fenced or released

    bool operator==(const LeaseSurvey &) const = default;
};

// Not thread-safe.
class LeaseReclaimer
{
public:
    // clock, table and witnesses must outlive the reclaimer.
    LeaseReclaimer(Duration margin, const Clock &clock, TableService &table,
                   WitnessClient &witnesses);

    // Reads all leases and fences each holder whose row this reclaimer has seen unchanged for the
    // holder's lease length + margin, and which a majority of its witnesses fenced. A fence that
    // fails is retried by the next run. Error: StoreUnavailable.
    Result<LeaseSurvey> run(TimePoint callDeadline);

    // Removes the row of an ended holder. Call only when no other row refers to the holder. Errors:
    // StoreUnavailable; StoreConflict when the holder has not ended.
    Result<void> forget(const std::string &holder, TimePoint callDeadline);

private:
    struct Observation
    {
        RowVersion version_ = kAbsent;
        TimePoint unchangedSince_;
    };

    void observe(const std::vector<Row> &rows);
    [[nodiscard]] bool isExpired(const Row &row, const LeaseRow &lease) const;
    [[nodiscard]] Duration requiredIdleTime(const LeaseRow &lease) const;
    [[nodiscard]] bool fenceAtWitnesses(const LeaseRow &lease, TimePoint callDeadline);
    [[nodiscard]] bool fence(const Row &row, const LeaseRow &lease, TimePoint callDeadline);

    Duration margin_;
    const Clock &clock_;
    TableService &table_;
    WitnessClient &witnesses_;
    std::map<std::string, Observation> observations_; // by row key
};

} // namespace foxtailturn
