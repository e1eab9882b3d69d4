#include "peer/peer_directory.h"

#include <set>
#include <utility>

namespace foxtailturn {

PeerDirectory::PeerDirectory(std::string self, TransportSecurity security)
    : self_(std::move(self))
    , security_(std::move(security))
{ }

void PeerDirectory::setMembers(const std::vector<Member> &members)
{
    std::set<std::string> names;
    const std::lock_guard lock(mutex_);
    for (const Member &member : members) {
        if (member.name_ == self_)
            continue;
        names.insert(member.name_);
        Connection &connection = connections_[member.name_];
        if (connection.peer_.member_.address_ != member.address_)
            connection = Connection{};
        connection.peer_.member_ = member;
    }
    std::erase_if(connections_, [&names](const auto &item) { return !names.contains(item.first); });
}

void PeerDirectory::recordIncarnation(const std::string &name, const std::string &incarnation,
                                      TimePoint liveUntil)
{
    const std::lock_guard lock(mutex_);
    const auto it = connections_.find(name);
    if (it == connections_.end())
        return;
    it->second.peer_.incarnation_ = incarnation;
    it->second.peer_.liveUntil_ = liveUntil;
}

std::vector<Peer> PeerDirectory::peers() const
{
    std::vector<Peer> peers;
    const std::lock_guard lock(mutex_);
    for (const auto &[name, connection] : connections_)
        peers.push_back(connection.peer_);
    return peers;
}

std::vector<Peer> PeerDirectory::livePeers(TimePoint now) const
{
    std::vector<Peer> live = peers();
    std::erase_if(live, [now](const Peer &peer) { return now >= peer.liveUntil_; });
    return live;
}

std::shared_ptr<grpc::Channel> PeerDirectory::channelOf(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    const auto it = connections_.find(name);
    if (it == connections_.end())
        return nullptr;
    if (!it->second.channel_)
        it->second.channel_ = openChannel(it->second.peer_.member_.address_, security_);
    return it->second.channel_;
}

} // namespace foxtailturn
