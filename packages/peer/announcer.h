#pragma once

// Exchanges configuration revisions, withdrawn keys and incarnations with the peers.
//
//     Announcer announcer(self, "entry", clock, peers, hooks);
//     loop.every(kAnnounceInterval, [&] { announcer.tick(); });

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "peer/peer_directory.h"

namespace foxtailturn {

namespace wire {
class Announcement;
class AnnouncementReply;
} // namespace wire

constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);

// State that a process announces, and callbacks for what peers announce. All functions must be
// thread-safe.
struct AnnouncerHooks
{
    std::function<std::uint64_t()> revision_;
    std::function<std::set<std::string>()> withdrawnKeys_; // not yet in the configuration
    std::function<void(const std::string &peer, std::uint64_t revision)> onRevision_;
    std::function<void(const std::set<std::string> &keyIds)> onWithdrawnKeys_;
    // Called with a peer's record of a suspect request (JSON); returns this process's own record.
    std::function<std::string(const std::string &record)> onSuspect_;
};

// Thread-safe.
class Announcer
{
public:
    // All references must outlive the announcer.
    Announcer(std::string self, std::string role, const Clock &clock, PeerDirectory &peers,
              AnnouncerHooks hooks);

    // Sends an announcement to all peers without waiting for replies.
    void tick();

    // Sends the record of a suspect request (JSON) to all live peers, and waits until each has
    // replied or the deadline passes. The records in the replies are passed to onSuspect_.
    void announceSuspect(const std::string &record, TimePoint deadline);

    // Handles a peer's announcement and fills the reply.
    void onAnnouncement(const wire::Announcement &message, wire::AnnouncementReply &reply);

private:
    void send(const Peer &peer, const wire::Announcement &message,
              const std::function<void()> &onReply);
    [[nodiscard]] wire::Announcement announcement() const;

    std::string self_;
    std::string role_;
    const Clock *clock_;
    PeerDirectory *peers_;
    AnnouncerHooks hooks_;
};

} // namespace foxtailturn
