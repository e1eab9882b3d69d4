#pragma once

// Spreads records of suspect requests among the entries: within milliseconds through the sidecars,
// which each entry is connected to, and through the store, so that an entry that starts knows them.
//
//     SuspectExchange exchange(quarantine, log, {send, store, isStored});
//     exchange.setConnected("10.0.0.7:8000", true);      // the sidecar of that engine
//     exchange.publish({quarantine.crashed(fingerprint, crashId)});
//     exchange.receive("10.0.0.7:8000", message);        // from that sidecar
//
// A record is sent to a few sidecars only, which pass it on to all entries that are connected to
// them. All entries prefer the same sidecars, so these know all records and give them to an entry
// that connects: each tells which records it holds, and the entry asks for those that it lacks,
// each at a few sidecars. An entry's first line is a request, by which sidecars tell it from
// entries of earlier versions, which know no offers. Only records that quarantine a request are
// stored, as a crash makes suspects of all requests that were under way.

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
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
    static constexpr std::size_t kMaxAsked = 2; // sidecars that a missing record is requested from
    static constexpr std::size_t kMaxMissing = 16'384; // missing records that are kept track of

    struct Handlers
    {
        std::function<void(const std::string &engine, const std::string &lines)> send_;
        std::function<void(const SuspectRecord &record)> store_;
        std::function<bool(const std::string &fingerprint)> isStored_;
    };

    // The references must outlive this object.
    SuspectExchange(Quarantine &quarantine, EventLog &log, Handlers handlers);

    // Records whether the sidecar of the engine at the address is connected.
    void setConnected(const std::string &engine, bool isConnected);

    // Spreads records that this entry has changed.
    void publish(const std::vector<SuspectRecord> &records);

    // Handles a message of the sidecar of the engine at the address: merges records of other
    // entries and requests missing ones. Sends it the records that it lacks if it has become one of
    // the relays.
    void receive(const std::string &engine, const AgentMessage &message);

    // Records that the sidecar has reported its engine's state. One of an earlier version has not
    // offered its records before, so that it is sent all records if it is a relay.
    void onReport(const std::string &engine);

    // Removes expired records. Call it about once a minute to bound memory use.
    void removeExpired();

private:
    // A record that this entry lacks.
    struct MissingRecord
    {
        // Engines whose sidecars hold it; the first kMaxAsked were asked.
        std::vector<std::string> holders_;
        bool hasMoreHolders_ = false; // than are kept
        bool isOld_ = false; // it was missing at the last removeExpired()
    };
    using Digests = std::unordered_set<std::uint64_t>;

    [[nodiscard]] std::vector<std::string> relays() const;
    void greet(const std::string &engine, const SuspectOffer &held);
    void sendMissing(const std::string &engine, const SuspectOffer &held);
    void requestMissing(const std::string &engine, const SuspectOffer &offer);
    [[nodiscard]] bool addHolder(std::uint64_t digest, const std::string &engine);
    void removeHolder(const std::string &engine);
    [[nodiscard]] std::string replaceHolder(std::uint64_t digest, const std::string &engine);
    void eraseMissing(std::uint64_t digest);
    void merge(const SuspectNotice &notice);
    void addKnown(const SuspectRecord &record);
    void storeIfNeeded(const SuspectRecord &record);

    Quarantine &quarantine_;
    EventLog &log_;
    Handlers handlers_;
    std::map<std::uint64_t, std::string> connected_; // engines with a connected sidecar, by rank
    std::set<std::string> greeted_; // engines whose sidecar was sent records since it connected
    std::set<std::string> published_; // fingerprints of the records that this entry has changed
    Digests known_; // digests of records that were sent or received
    std::unordered_map<std::uint64_t, MissingRecord> missing_; // by the record's digest
    std::unordered_map<std::string, Digests> missingByHolder_; // keys of missing_ by engine
};

} // namespace foxtailturn::gateway
