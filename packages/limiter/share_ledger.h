#pragma once

// Ledger of a workspace's units, stored in table row "limits/<workspace>": the units granted to
// each holder and the spare units. Their sum is always 1,000,000.
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
// Transfers between holders enter the ledger only when one of the two holders is settled, so a
// grant may be negative.

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
    std::int64_t granted_ = 0; // units; takenUnits_ minus the net units sent to settled holders
    std::int64_t takenUnits_ = 0; // total of all takes; shows a holder whether a take was applied

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
    std::vector<std::string>
        missingReporters_; // holders yet to report; if any, nothing was written
    std::int64_t reclaimedUnits_ = 0; // added to the spare units

    bool operator==(const Settlement &) const = default;
};

// Returns the holders of the row that have no live lease. A holder enters the row only after it has
// acquired its lease, and a lease row is removed only after the lease has ended, so a holder
// without a lease row has ended too. Precondition: the leases were read after the row. Thread-safe.
[[nodiscard]] std::set<std::string> endedHolders(const LedgerRow &row,
                                                 const std::vector<LeaseRow> &live);

// Thread-safe and stateless: every call reads the table.
class ShareLedger
{
public:
    // table must outlive the ledger.
    explicit ShareLedger(TableService &table);

    // Returns the row; an empty one if it does not exist. Errors: StoreUnavailable;
    // InvalidConfiguration if the row is corrupt.
    [[nodiscard]] Result<LedgerRow> read(const std::string &workspace, TimePoint callDeadline);

    // Adds the holder to the row, which is created if needed, and grants it all spare units. Writes
    // nothing if the holder is in the row and there are no spare units. After an error the write
    // may still be applied; the total returned by a later call then includes it. Errors:
    // StoreUnavailable, StoreConflict (retry), InvalidConfiguration, LeaseExpired. The lease is
    // checked between reading and writing: a holder that was suspended, fenced and settled must not
    // enter the row again, because its transfers would be settled twice.
    [[nodiscard]] Result<LedgerGrant> take(const std::string &workspace, const std::string &holder,
                                           const LeaseStatus &lease, TimePoint callDeadline);

    // Removes the ended holders from the row and adds their units to the spare units, provided that
    // every other holder in the row has reported its net units for each of them. Idempotent. Errors
    // as for take().
    [[nodiscard]] Result<Settlement> settle(const std::string &workspace,
                                            const std::set<std::string> &ended,
                                            const std::vector<NetReport> &reports,
                                            TimePoint callDeadline);

private:
    struct VersionedRow
    {
        LedgerRow row_;
        RowVersion version_ = kAbsent;
    };

    Result<VersionedRow> load(const std::string &workspace, TimePoint callDeadline);
    Result<void> store(const std::string &workspace, const LedgerRow &row, RowVersion expected,
                       TimePoint callDeadline);

    TableService &table_;
};

} // namespace foxtailturn
