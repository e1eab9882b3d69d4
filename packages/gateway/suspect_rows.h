#pragma once

// The rows of suspect requests that all entries share, and the records to be written to them.
//
//     SuspectRows rows(quarantine);
//     rows.report(record);                    // to be written
//     StoreWrite write;
//     rows.addTo(write);
//     rows.finishWrite(WriteOutcome::Applied, version);
//     rows.update(storeRows);                 // after a read

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/store_rows.h"
#include "retry/quarantine.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class SuspectRows
{
public:
    // Both must outlive this object.
    SuspectRows(Quarantine &quarantine, const WallClock &clock)
        : quarantine_(quarantine)
        , clock_(clock)
    { }

    // Replaces the record that is to be written for its request.
    void report(const SuspectRecord &record);

    // Returns whether there are records to be written.
    [[nodiscard]] bool hasReports() const { return !reports_.empty(); }

    // Returns whether the store has a row of the request.
    [[nodiscard]] bool isStored(const std::string &fingerprint) const
    {
        return versions_.contains(fingerprint);
    }

    // Adds as many records to a write as the store takes entries, each on condition that its row is
    // the one last seen, and to a write that has other entries the removal of expired rows.
    // Precondition: no other write is under way.
    void addTo(StoreWrite &write);

    // Ends the write that addTo() was called for. version: of the store after it, if it was
    // applied. Returns the number of records that it has written.
    std::size_t finishWrite(WriteOutcome outcome, std::int64_t version);

    // Merge rows of the store, of which others are ignored, into the quarantine and into the
    // records to be written: all rows, or those that a conflict has returned. Return the records
    // that are new or have changed, as merged.
    std::vector<SuspectRecord> update(const std::vector<StoreRow> &rows);

    // update() for all rows of a store that has come back from a copy. What this entry has written
    // and the copy lacks is written again.
    std::vector<SuspectRecord> updateCopy(const std::vector<StoreRow> &rows);

    std::vector<SuspectRecord> updateSome(const std::vector<StoreRow> &rows);

private:
    Quarantine &quarantine_;
    const WallClock &clock_;
    std::map<std::string, SuspectRecord> reports_; // to be written, by fingerprint
    std::map<std::string, SuspectRecord> writing_; // in the write under way, by fingerprint
    std::set<std::string> written_; // fingerprints of records that this entry has written
    std::map<std::string, std::int64_t> versions_; // of the rows, by fingerprint
    std::set<std::string> expired_; // fingerprints of rows to be removed; keys of versions_
    std::set<std::string> removing_; // of those in the write under way
};

} // namespace foxtailturn::gateway
