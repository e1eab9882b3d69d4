#pragma once

// Tells peers this process's configuration revision and withdrawn keys, and learns theirs, along
// with their incarnations.
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

// What a process knows and takes in. All functions are thread-safe.
struct AnnouncerHooks
{
    std::function<std::uint64_t()> revision_;
    std::function<std::set<std::string>()> withdrawnKeys_; // beyond those of the revision
    std::function<void(const std::string &peer, std::uint64_t revision)> onRevision_;
    std::function<void(const std::set<std::string> &keyIds)> onWithdrawnKeys_;
    // Takes a peer's record of a suspect request (JSON) and returns what this process knows of it.
    std::function<std::string(const std::string &record)> onSuspect_;
};

// Thread-safe.
class Announcer
{
public:
    // All references must outlive the announcer.
    Announcer(std::string self, std::string role, const Clock &clock, PeerDirectory &peers,
              AnnouncerHooks hooks);

    // Announces to all peers and returns without waiting for answers.
    void tick();

    // Sends the record of a suspect request (JSON) to all peers and waits until each live one has
    // answered or until the deadline. Answers go to onSuspect_.
    void announceSuspect(const std::string &record, TimePoint deadline);

    // Takes a peer's announcement and fills the answer.
    void onAnnouncement(const wire::Announcement &message, wire::AnnouncementReply &reply);

private:
    void send(const Peer &peer, const wire::Announcement &message,
              const std::function<void()> &onEnd);
    [[nodiscard]] wire::Announcement announcement() const;

    std::string self_;
    std::string role_;
    const Clock *clock_;
    PeerDirectory *peers_;
    AnnouncerHooks hooks_;
};

} // namespace foxtailturn
