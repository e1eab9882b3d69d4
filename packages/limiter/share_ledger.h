#pragma once

// The ledger of a workspace's units: table row "limits/<workspace>" with the grant of each holder
// and the spare units; their sum is always 1,000,000.
//
//     ShareLedger ledger(table);
//     Result<LedgerGrant> grant = ledger.take("acme", self, lease, callDeadline);
//     if (grant)                              // joins, or takes spare units
//         limiter.onGrant("acme", *grant);
//
// To reclaim the units of ended holders (the row is read before the leases, see endedHolders()):
//
//     Result<LedgerRow> row = ledger.read("acme", callDeadline);
//     Result<LeaseSurvey> survey = reclaimer.run(callDeadline);
//     const std::set<std::string> ended = endedHolders(*row, survey->live_);
//     // send NetRequest to the other holders of the row, collect the NetReports, then:
//     Result<Settlement> settled = ledger.settle("acme", ended, reports, callDeadline);
//     // then take() the spare units
//
// Grants count transfers only when a side of them is settled, so a grant may be negative.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "lease/lease_row.h"
#include "limiter/token_share.h"
#include "storage/platform.h"

namespace foxtailturn {

inline constexpr const char *kLimitsPrefix = "limits/";

struct HolderGrant
{
    std::int64_t granted_ = 0; // units; differs from takenUnits_ by the nets of settled holders
    std::int64_t takenUnits_ = 0; // total of all takes; tells a holder which of its takes applied

    bool operator==(const HolderGrant &) const = default;
};

struct LedgerRow
{
    std::int64_t spareUnits_ = 0;
    std::map<std::string, HolderGrant> holders_;

    bool operator==(const LedgerRow &) const = default;
};

// Result of a settlement.
struct Settlement
{
    std::vector<std::string> missing_; // holders that must report first; nothing was written
    std::int64_t reclaimedUnits_ = 0; // added to spare

    bool operator==(const Settlement &) const = default;
};

// Returns the holders of the row that are not live. Holders enter a row only after acquiring their
// lease, and a lease row is removed only after its end, so a holder without a lease row has ended
// too. Precondition: the leases were read after the row. Thread-safe.
[[nodiscard]] std::set<std::string> endedHolders(const LedgerRow &row,
                                                 const std::vector<LeaseRow> &live);

// Thread-safe; keeps no state of its own.
class ShareLedger
{
public:
    // table must outlive the ledger.
    explicit ShareLedger(TableService &table);

    // Returns the row; an empty row when there is none. Errors: StoreUnavailable,
    // InvalidConfiguration when the row is damaged.
    [[nodiscard]] Result<LedgerRow> read(const std::string &workspace, TimePoint callDeadline);

    // Enters the holder into the row, creating it if needed, and gives it all spare units. Writes
    // nothing when the holder is there and nothing is spare. After an error the take may still be
    // applied; a later call returns the total with it. Errors: StoreUnavailable, StoreConflict (try
    // again), InvalidConfiguration, LeaseExpired. The lease is checked between reading and writing:
    // a holder that was paused, fenced and settled must not enter the row again, because its nets
    // would be settled twice.
    [[nodiscard]] Result<LedgerGrant> take(const std::string &workspace, const std::string &holder,
                                           const LeaseStatus &lease, TimePoint callDeadline);

    // Removes the ended holders from the row and moves their units to spare, once every other
    // holder in the row has reported its net for each of them. Repetition has no effect. Errors as
    // for take().
    [[nodiscard]] Result<Settlement> settle(const std::string &workspace,
                                            const std::set<std::string> &ended,
                                            const std::vector<NetReport> &reports,
                                            TimePoint callDeadline);

private:
    struct Versioned
    {
        LedgerRow row_;
        RowVersion version_ = kAbsent;
    };

    Result<Versioned> load(const std::string &workspace, TimePoint callDeadline);
    Result<void> store(const std::string &workspace, const LedgerRow &row, RowVersion expected,
                       TimePoint callDeadline);

    TableService &table_;
};

} // namespace foxtailturn
