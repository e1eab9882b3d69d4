#pragma once

// Passes suspect records on between processes that are not connected to each other, and keeps them
// for those that connect later.
//
//     SuspectRelay relay(wallClock);
//     sendToOthers(relay.merge(received));   // from one process
//     offerTo(newcomer, relay.digests());
//     sendTo(newcomer, relay.recordsOf(wanted));
//
// A relay holds nothing that the processes don't hold, so it may lose all of it.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/wall_clock.h"
#include "retry/suspect_record.h"

namespace foxtailturn {

// Not thread-safe.
class SuspectRelay
{
public:
    static constexpr std::size_t kMaxRecords = 4096; // the ones that expire first are dropped

    // The clock must outlive the relay.
    explicit SuspectRelay(const WallClock &clock)
        : clock_(clock)
    { }

    // Merges records into those that are kept. Returns the ones that have changed, as merged.
    [[nodiscard]] std::vector<SuspectRecord> merge(const std::vector<SuspectRecord> &records);

    // Removes expired records and returns the others.
    [[nodiscard]] std::vector<SuspectRecord> records();

    // Removes expired records and returns the digests of the others.
    [[nodiscard]] std::vector<std::uint64_t> digests();

    // Returns the records with these digests that are kept. One that has changed since its digest
    // was told was passed on with the change.
    [[nodiscard]] std::vector<SuspectRecord> recordsOf(const std::vector<std::uint64_t> &digests);

private:
    void dropFirstToExpire();

    const WallClock &clock_;
    std::map<std::string, SuspectRecord> records_; // by fingerprint
};

} // namespace foxtailturn
