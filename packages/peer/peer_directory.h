#pragma once

// Directory of the other processes of the fleet. Addresses come from the membership list,
// incarnations from the replies of the processes.
//
//     PeerDirectory peers("entry-1", security);
//     peers.setMembers(members);
//     peers.recordIncarnation("entry-2", "entry-2#5f3a...", now + kPeerTimeout);
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
    std::string incarnation_; // empty until the first reply of the process
    TimePoint liveUntil_ = TimePoint::min(); // considered unreachable from then on

    bool operator==(const Peer &) const = default;
};

// Thread-safe.
class PeerDirectory
{
public:
    // self is the name of this process, which is excluded from the directory.
    PeerDirectory(std::string self, TransportSecurity security);

    // Replaces the membership list. Peers that are not in it are removed, and a peer whose address
    // changed loses its incarnation and its channel. Thread-safe.
    void setMembers(const std::vector<Member> &members);

    // Records a reply of a process, which is considered live until liveUntil. Ignored for a process
    // that is not in the membership list. Thread-safe.
    void recordIncarnation(const std::string &name, const std::string &incarnation,
                           TimePoint liveUntil);

    // Returns all peers, sorted by name. Thread-safe.
    [[nodiscard]] std::vector<Peer> peers() const;

    // Returns the peers that are live at `now`, sorted by name. Thread-safe.
    [[nodiscard]] std::vector<Peer> livePeers(TimePoint now) const;

    // Returns the channel to a process, opening it on first use; null if the process is not in the
    // membership list. Thread-safe.
    [[nodiscard]] std::shared_ptr<grpc::Channel> channelOf(const std::string &name);

private:
    struct Connection
    {
        Peer peer_;
        std::shared_ptr<grpc::Channel> channel_;
    };

    std::string self_;
    TransportSecurity security_;
    mutable std::mutex mutex_;
    std::map<std::string, Connection> connections_; // by process name
};

} // namespace foxtailturn
