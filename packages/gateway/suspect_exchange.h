#pragma once

// Spreads records of suspect requests among the entries: within milliseconds through the sidecars,
// which each entry is connected to, and through the store, so that an entry that starts knows them.
//
//     SuspectExchange exchange(quarantine, log, {send, store, isStored});
//     exchange.setConnected("10.0.0.7:8000", true);      // the sidecar of that engine
//     exchange.publish({quarantine.crashed(fingerprint, crashId)});
//     exchange.receive(notice);                          // from a sidecar
//
// A record is sent to a few sidecars only, which pass it on to all entries that are connected to
// them. All entries prefer the same sidecars, so these know all records and give them to an entry
// that connects. Only records that quarantine a request are stored, as a crash makes suspects of
// all requests that were under way.

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "gateway/agent_messages.h"
#include "retry/quarantine.h"

namespace foxtailturn::gateway {

// Not thread-safe.
class SuspectExchange
{
public:
    static constexpr std::size_t kRelays = 3; // sidecars that a record is sent to

    struct Handlers
    {
        std::function<void(const std::string &engine, const std::string &lines)> send_;
        std::function<void(const SuspectRecord &record)> store_;
        std::function<bool(const std::string &fingerprint)> isStored_;
    };

    // The references must outlive this object.
    SuspectExchange(Quarantine &quarantine, EventLog &log, Handlers handlers);

    // Records whether the sidecar of the engine at the address is connected. Sends it the records
    // of this entry if it has become one of the relays.
    void setConnected(const std::string &engine, bool isConnected);

    // Spreads records that this entry has changed.
    void publish(const std::vector<SuspectRecord> &records);

    // Merges records of other entries.
    void receive(const SuspectNotice &notice);

    // Removes expired records. Call it about once a minute to bound memory use.
    void removeExpired();

private:
    [[nodiscard]] std::vector<std::string> relays() const;
    void storeIfNeeded(const SuspectRecord &record);

    Quarantine &quarantine_;
    EventLog &log_;
    Handlers handlers_;
    std::map<std::uint64_t, std::string> connected_; // engines with a connected sidecar, by rank
    std::set<std::string> published_; // fingerprints of the records that this entry has changed
};

} // namespace foxtailturn::gateway
