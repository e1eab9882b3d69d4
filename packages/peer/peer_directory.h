#pragma once

// The other processes of the fleet: addresses from the membership list, incarnations from their own
// answers.
//
//     PeerDirectory peers("entry-1", security);
//     peers.setMembers(members);
//     peers.noteIncarnation("entry-2", "entry-2#5f3a...", now + kPeerTimeout);
//     auto channel = peers.channelOf("entry-2");

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "storage/platform.h"
#include "wire/channel.h"

namespace foxtailturn {

struct Peer
{
    Member member_;
    std::string incarnation_; // empty until the process has answered
    TimePoint liveUntil_ = TimePoint::min(); // counts as unreachable from then on

    bool operator==(const Peer &) const = default;
};

// Thread-safe.
class PeerDirectory
{
public:
    // self is this process's name, which the directory leaves out.
    PeerDirectory(std::string self, TransportSecurity security);

    // Takes the membership list; peers that are not in it are dropped. Thread-safe.
    void setMembers(const std::vector<Member> &members);

    // Records that a process answered; it counts as live until the deadline. Thread-safe.
    void noteIncarnation(const std::string &name, const std::string &incarnation,
                         TimePoint liveUntil);

    // Returns all peers by name. Thread-safe.
    [[nodiscard]] std::vector<Peer> peers() const;

    // Returns peers that count as live at `now`, by name. Thread-safe.
    [[nodiscard]] std::vector<Peer> livePeers(TimePoint now) const;

    // Returns the connection to a process, null when it is not in the list. Thread-safe.
    [[nodiscard]] std::shared_ptr<grpc::Channel> channelOf(const std::string &name);

private:
    struct Entry
    {
        Peer peer_;
        std::shared_ptr<grpc::Channel> channel_;
    };

    std::string self_;
    TransportSecurity security_;
    mutable std::mutex mutex_;
    std::map<std::string, Entry> entries_; // by process name
};

} // namespace foxtailturn
