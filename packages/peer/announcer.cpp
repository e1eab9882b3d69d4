#include "peer/announcer.h"

#include <memory>
#include <utility>

#include "peer/async_call.h"
#include "peer/incarnation.h"
#include "peer/reply_collector.h"

namespace foxtailturn {

namespace {

constexpr auto kAnnounceTimeout = std::chrono::milliseconds(500);
// A peer is considered unreachable after three consecutive announcements without a reply.
constexpr auto kPeerTimeout = std::chrono::seconds(2);

} // namespace

Announcer::Announcer(std::string self, std::string role, const Clock &clock, PeerDirectory &peers,
                     AnnouncerHooks hooks)
    : self_(std::move(self))
    , role_(std::move(role))
    , clock_(&clock)
    , peers_(&peers)
    , hooks_(std::move(hooks))
{ }

void Announcer::tick()
{
    const wire::Announcement message = announcement();
    for (const Peer &peer : peers_->peers())
        send(peer, message, [] {});
}

void Announcer::announceSuspect(const std::string &record, TimePoint deadline)
{
    wire::Announcement message = announcement();
    message.add_suspect_records(record);
    const std::vector<Peer> live = peers_->livePeers(clock_->now());
    auto replies = std::make_shared<ReplyCollector<std::string>>();
    for (const Peer &peer : live)
        send(peer, message, [replies, name = peer.member_.name_] { replies->add(name); });
    (void)replies->waitFor(live.size(), deadline - clock_->now());
}

wire::Announcement Announcer::announcement() const
{
    wire::Announcement message;
    message.set_sender(self_);
    message.set_revision(hooks_.revision_());
    for (const std::string &key : hooks_.withdrawnKeys_())
        message.add_withdrawn_keys(key);
    return message;
}

void Announcer::send(const Peer &peer, const wire::Announcement &message,
                     const std::function<void()> &onReply)
{
    const std::string name = peer.member_.name_;
    callPeer<wire::AnnouncementReply>(
        peers_->channelOf(name), kAnnounceTimeout, message,
        [](auto &async, auto... args) { async.Announce(args...); },
        [this, name, onReply](const wire::AnnouncementReply &reply) {
            peers_->recordIncarnation(name, reply.incarnation(), clock_->now() + kPeerTimeout);
            hooks_.onRevision_(name, reply.revision());
            hooks_.onWithdrawnKeys_({reply.withdrawn_keys().begin(), reply.withdrawn_keys().end()});
            for (const std::string &record : reply.suspect_records())
                (void)hooks_.onSuspect_(record);
            onReply();
        });
}

void Announcer::onAnnouncement(const wire::Announcement &message, wire::AnnouncementReply &reply)
{
    hooks_.onRevision_(processNameOf(message.sender()), message.revision());
    hooks_.onWithdrawnKeys_({message.withdrawn_keys().begin(), message.withdrawn_keys().end()});
    for (const std::string &record : message.suspect_records())
        reply.add_suspect_records(hooks_.onSuspect_(record));
    reply.set_incarnation(self_);
    reply.set_role(role_);
    reply.set_revision(hooks_.revision_());
    for (const std::string &key : hooks_.withdrawnKeys_())
        reply.add_withdrawn_keys(key);
}

} // namespace foxtailturn
