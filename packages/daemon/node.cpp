#include "daemon/node.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

#include <grpcpp/grpcpp.h>
#include <unistd.h>

#include "base/log.h"
#include "peer/config_fetch.h"
#include "peer/incarnation.h"
#include "wire/channel.h"

namespace foxtailturn {

namespace {

const Logger kLog("node");

// Controllers that block on the platform and those that must not wait for them share the loop.
constexpr int kControllerThreads = 6;
// Each stream to an entry holds a thread of the gRPC server.
constexpr int kMaxServerThreads = 1'500;
constexpr auto kMembershipInterval = std::chrono::seconds(1);
constexpr auto kConfigInterval = std::chrono::milliseconds(250);
constexpr auto kPlatformTimeout = std::chrono::seconds(1);
constexpr auto kFetchTimeout = std::chrono::seconds(1);
constexpr auto kPeerCallWait = std::chrono::milliseconds(10);
constexpr auto kServerStopGrace = std::chrono::seconds(1);

std::string roleName(Role role)
{
    return role == Role::Entry ? "entry" : "agent";
}

} // namespace

Node::Node(const Settings &settings)
    : settings_(settings)
    , incarnation_(newIncarnation(settings.name_))
    , table_(settings.platform_.host_, settings.platform_.port_, clock_)
    , objects_(settings.platform_.host_, settings.platform_.port_, clock_)
    , membership_(settings.platform_.host_, settings.platform_.port_, clock_)
    , witness_(incarnation_, clock_)
    , peers_(settings.name_, settings.security_)
    , lease_(incarnation_, std::chrono::milliseconds(settings.leaseMs_), clock_, table_)
    , leaseController_(incarnation_, clock_, lease_, peers_,
                       [this](std::uint64_t revision, TimePoint askedAt) {
                           config_.confirmByWitnesses(revision, askedAt);
                       })
    , config_(table_, objects_, clock_, FollowerSettings{})
    , announcer_(incarnation_, roleName(settings.role_), clock_, peers_, announcerHooks())
    , admin_(settings.adminListen_, settings.adminToken_, clock_, adminHandlers())
    , loop_(kControllerThreads)
{ }

Node::~Node()
{
    stop();
}

void Node::setHooks(NodeHooks hooks)
{
    hooks_ = std::move(hooks);
}

void Node::addService(grpc::Service *service)
{
    services_.push_back(service);
}

Result<void> Node::start()
{
    readMembership();
    pollConfig();
    peerServer_ = std::make_unique<PeerServer>(peerHandlers());
    grpc::ServerBuilder builder;
    int boundPort = 0;
    builder.AddListeningPort(settings_.peerListen_.text(), serverCredentials(settings_.security_),
                             &boundPort);
    configureServer(builder, kMaxServerThreads);
    builder.RegisterService(peerServer_->service());
    for (grpc::Service *service : services_)
        builder.RegisterService(service);
    grpcServer_ = builder.BuildAndStart();
    if (!grpcServer_ || boundPort == 0)
        return notRun(ErrorCode::InvalidSettings,
                      concat("can not listen on ", settings_.peerListen_.text()));
    startControllers();
    return admin_.start();
}

void Node::startControllers()
{
    loop_.every(kMembershipInterval, [this] { readMembership(); });
    loop_.every(kConfigInterval, [this] { pollConfig(); });
    loop_.every(kAnnounceInterval, [this] { announcer_.tick(); });
    loop_.every(std::chrono::milliseconds(settings_.leaseMs_) / 4, [this] { renewLease(); });
}

void Node::renewLease()
{
    leaseController_.tick();
    if (!lease_.isFenced() || fenced_.exchange(true))
        return;
    kLog.error("lease was fenced, stopping for a restart as a new incarnation");
    // The signal ends the wait in main(), which then shuts down as planned.
    kill(getpid(), SIGTERM);
}

void Node::stop()
{
    if (!grpcServer_)
        return;
    loop_.stop();
    leaseController_.release();
    admin_.stop();
    grpcServer_->Shutdown(std::chrono::system_clock::now() + kServerStopGrace);
    grpcServer_.reset();
    while (pendingPeerCallCount() > 0)
        std::this_thread::sleep_for(kPeerCallWait);
}

void Node::readMembership()
{
    const Result<std::vector<Member>> members =
        membership_.members(clock_.now() + kPlatformTimeout);
    if (!members)
        return;
    peers_.setMembers(*members);
    listed_ = std::any_of(members->begin(), members->end(), [this](const Member &member) {
        return member.name_ == settings_.name_ && member.state_ == VmState::Live;
    });
}

std::vector<Member> Node::membersOf(const std::string &role) const
{
    std::vector<Member> members;
    for (const Peer &peer : peers_.peers()) {
        if (peer.member_.role_ == role)
            members.push_back(peer.member_);
    }
    return members;
}

void Node::pollConfig()
{
    const TimePoint now = clock_.now();
    if (now < pollAt_ && !config_.missingRevision())
        return;
    pollAt_ = now + pollInterval(peers_.peers().size() + 1);
    const Result<bool> polled = config_.poll(clock_.now() + kPlatformTimeout);
    if (!polled && polled.error().code_ != ErrorCode::StoreUnavailable)
        kLog.warn(concat("configuration can not be read: ", polled.error().message_));
    if (polled && *polled)
        kLog.info(concat("configuration is in force, revision=", revision()));
}

std::uint64_t Node::revision() const
{
    const std::shared_ptr<const Configuration> current = config_.snapshot();
    return current ? current->revision() : 0;
}

void Node::passOnWithdrawals(const std::set<std::string> &keys)
{
    if (!keys.empty() && config_.offerWithdrawals(keys))
        loop_.post([this] { announcer_.tick(); });
}

void Node::fetchConfigFrom(const std::string &peer)
{
    const std::optional<ConfigOffer> offer =
        fetchConfig(peers_.channelOf(peer), revision() + 1, kFetchTimeout);
    if (!offer)
        return;
    const Result<bool> taken = config_.offerContent(*offer);
    if (!taken)
        kLog.warn(concat("configuration of a peer is refused, peer=", peer, ": ",
                         taken.error().message_));
}

PeerHandlers Node::peerHandlers()
{
    PeerHandlers handlers;
    handlers.witness_ = &witness_;
    handlers.limiter_ = hooks_.limiter_;
    handlers.onShareArrived_ = hooks_.onShareArrived_;
    handlers.revision_ = [this] { return revision(); };
    handlers.onAnnouncement_ = [this](const auto &message, auto &reply) {
        announcer_.onAnnouncement(message, reply);
    };
    handlers.config_ = [this] { return config_.offer(); };
    return handlers;
}

AnnouncerHooks Node::announcerHooks()
{
    AnnouncerHooks hooks;
    hooks.revision_ = [this] { return revision(); };
    hooks.withdrawnKeys_ = [this] { return config_.pendingWithdrawals(); };
    hooks.onRevision_ = [this](const std::string &peer, std::uint64_t theirs) {
        config_.offerRevision(theirs);
        if (theirs > revision())
            loop_.post([this, peer] { fetchConfigFrom(peer); });
    };
    hooks.onWithdrawnKeys_ = [this](const std::set<std::string> &keys) { passOnWithdrawals(keys); };
    hooks.onSuspect_ = [this](const std::string &record) {
        return hooks_.onSuspect_ ? hooks_.onSuspect_(record) : record;
    };
    return hooks;
}

AdminHandlers Node::adminHandlers()
{
    AdminHandlers handlers;
    handlers.isReady_ = [this] { return hooks_.isReady_(); };
    handlers.metrics_ = [this] { return hooks_.metrics_(); };
    handlers.state_ = [this] { return stateDump(); };
    handlers.drain_ = [this] { hooks_.drain_(); };
    handlers.withdraw_ = [this](const std::vector<std::string> &keys) {
        passOnWithdrawals({keys.begin(), keys.end()});
    };
    return handlers;
}

std::string Node::stateDump()
{
    const TimePoint now = clock_.now();
    Json state;
    state["name"] = settings_.name_;
    state["role"] = roleName(settings_.role_);
    state["data_centre"] = settings_.dataCentre_;
    state["incarnation"] = incarnation_;
    state["revision"] = revision();
    state["revision_confirmed"] = config_.admitsKeyedRequests();
    state["withdrawn_keys"] = config_.pendingWithdrawals();
    state["lease"] = {{"held", lease_.isHeld()},
                      {"remaining_ms", (lease_.deadline() - now).count() / 1'000}};
    Json peers = Json::array();
    for (const Peer &peer : peers_.peers())
        peers.push_back({{"name", peer.member_.name_},
                         {"role", peer.member_.role_},
                         {"incarnation", peer.incarnation_},
                         {"live", peer.liveUntil_ > now}});
    state["peers"] = peers;
    if (hooks_.addState_)
        hooks_.addState_(state);
    return state.dump();
}

} // namespace foxtailturn
