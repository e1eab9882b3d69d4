#include "gateway/quota_peers.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

// Number of a request that only checks whether the peer answers; GrantRequester counts from one.
constexpr std::int64_t kProbeNumber = 0;

} // namespace

QuotaPeers::QuotaPeers(asio::io_context &context, const Clock &clock, EventLog &log,
                       quota::QuotaParts &quotas, int port)
    : context_(context)
    , log_(log)
    , quotas_(quotas)
    , clock_(clock)
    , port_(port)
    , server_(context)
    , requester_(clock,
                 [this](const std::string &owner, const GrantRequest &request) {
                     const auto link = links_.find(owner);
                     if (link != links_.end())
                         link->second->send(encode(request));
                 })
    , timer_(context)
{
    server_.onLines(
        [this](int peer, const std::vector<std::string> &lines) { onLines(peer, lines); });
}

Result<void> QuotaPeers::listen(const std::string &ip)
{
    return server_.listen(ip + ":" + std::to_string(port_));
}

void QuotaPeers::onLines(int peer, const std::vector<std::string> &lines)
{
    const LoopMeter::Scope scope(meter_, WorkKind::Peers);
    std::string answers;
    for (const std::string &line : lines) {
        const AgentMessage message = decodeAgentMessage(line);
        if (!message.grantRequest_)
            continue;
        const GrantRequest &request = *message.grantRequest_;
        const Result<void> granted = quotas_.grant(request.workspace_, request.charge_);
        GrantAnswer answer{request.number_, granted.has_value(), true, Duration::zero()};
        if (!granted) {
            answer.isOwner_ = granted.error().code_ != ErrorCode::LeaseExpired;
            const TimePoint now = clock_.now();
            answer.retryAfter_ =
                std::max(granted.error().retryAt_.value_or(now) - now, Duration::zero());
        }
        answers += encode(answer);
    }
    if (!answers.empty())
        server_.send(peer, answers);
}

void QuotaPeers::updateConnections()
{
    const std::set<std::string> owners = quotas_.allOtherOwners();
    for (const std::string &owner : owners) {
        connect(owner);
        const std::shared_ptr<AgentLink> link = links_[owner];
        if (unresponsive_.contains(owner))
            link->reconnect(); // the connection may be dead while the owner is alive
        quotas_.setOwnerAnswering(owner, link->isConnected() && !unresponsive_.contains(owner));
    }
    std::erase_if(unresponsive_,
                  [&owners](const std::string &owner) { return !owners.contains(owner); });
    std::erase_if(links_, [&](const auto &entry) {
        if (owners.contains(entry.first))
            return false;
        quotas_.setOwnerAnswering(entry.first, false);
        entry.second->stop();
        return true;
    });
}

void QuotaPeers::connect(const std::string &owner)
{
    if (links_.contains(owner))
        return;
    const std::string address = owner.substr(owner.rfind('@') + 1) + ":" + std::to_string(port_);
    AgentLink::Handlers handlers;
    handlers.onState_ = [this, owner](bool isLinked) { onLink(owner, isLinked); };
    handlers.onMessage_ = [this, owner](const AgentMessage &message) { onMessage(owner, message); };
    const auto link = std::make_shared<AgentLink>(context_, address, std::move(handlers),
                                                  AgentLink::kNoIdleTimeout);
    links_[owner] = link;
    link->start();
}

void QuotaPeers::onLink(const std::string &owner, bool isLinked)
{
    const bool isUnresponsive = unresponsive_.contains(owner);
    if (!isUnresponsive)
        log_.write(LogDetail::Full, isLinked ? "keeper_regained" : "keeper_lost",
                   {{"keeper", owner}});
    quotas_.setOwnerAnswering(owner, isLinked && !isUnresponsive);
    if (isLinked) {
        requester_.resend(owner);
        if (isUnresponsive)
            links_[owner]->send(encode(GrantRequest{kProbeNumber, "", 0}));
    } else if (!isUnresponsive && onOwnerLost_) {
        onOwnerLost_();
    }
}

void QuotaPeers::onMessage(const std::string &owner, const AgentMessage &message)
{
    const LoopMeter::Scope scope(meter_, WorkKind::Peers);
    if (!message.grantAnswer_)
        return;
    if (unresponsive_.erase(owner) > 0) {
        log_.write(LogDetail::Full, "keeper_regained", {{"keeper", owner}});
        quotas_.setOwnerAnswering(owner, true);
    }
    if (message.grantAnswer_->number_ == kProbeNumber)
        return;
    if (!message.grantAnswer_->isOwner_) {
        quotas_.setOwnerAnswering(owner, false);
        if (onOwnerLost_)
            onOwnerLost_();
    }
    requester_.onAnswer(*message.grantAnswer_, readySince());
}

void QuotaPeers::requestGrant(const std::string &workspace, std::int64_t charge,
                              const GrantRequester::GrantHandler &handler)
{
    const auto search = std::make_shared<GrantSearch>(quotas_.otherOwners(workspace), nextFirst_++);
    askNext(search, workspace, charge, handler);
}

void QuotaPeers::askNext(const std::shared_ptr<GrantSearch> &search, const std::string &workspace,
                         std::int64_t charge, const GrantRequester::GrantHandler &handler)
{
    std::optional<std::string> owner = search->next();
    while (owner && !quotas_.isAnswering(*owner))
        owner = search->next();
    if (!owner) {
        handler(search->failure(clock_.now()));
        return;
    }
    requester_.requestGrant(
        *owner, workspace, charge,
        [this, search, workspace, charge, handler](const Result<void> &granted) {
            if (granted) {
                handler(granted);
                return;
            }
            search->onRefused(granted.error());
            askNext(search, workspace, charge, handler);
        });
    armTimer();
}

TimePoint QuotaPeers::readySince() const
{
    return meter_ == nullptr ? clock_.now() : meter_->readySince();
}

void QuotaPeers::armTimer()
{
    const std::optional<TimePoint> at = requester_.nextExpiry();
    if (!at)
        return;
    timer_.expires_after(std::max(*at - clock_.now(), Duration::zero()));
    timer_.async_wait([this](const asio::error_code &why) {
        if (!why)
            onTimer();
    });
}

void QuotaPeers::onTimer()
{
    const LoopMeter::Scope scope(meter_, WorkKind::Peers);
    for (const std::string &owner : requester_.expire(readySince())) {
        const bool isNewlyUnresponsive = unresponsive_.insert(owner).second;
        quotas_.setOwnerAnswering(owner, false);
        if (isNewlyUnresponsive) {
            log_.write(LogDetail::Full, "keeper_lost", {{"keeper", owner}});
            if (onOwnerLost_)
                onOwnerLost_();
        }
        // A connection may be dead without a reset; only a new one shows whether the peer is up.
        const auto link = links_.find(owner);
        if (link != links_.end())
            link->second->reconnect();
    }
    armTimer();
}

} // namespace foxtailturn::gateway
