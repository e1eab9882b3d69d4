#include "gateway/quota_peers.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

// Number of a request that only checks whether the peer answers; GrantDesk counts from one.
constexpr std::int64_t kProbe = 0;

} // namespace

QuotaPeers::QuotaPeers(asio::io_context &context, const Clock &clock, EventLog &log,
                       QuotaShares &shares, int port)
    : context_(context)
    , log_(log)
    , shares_(shares)
    , clock_(clock)
    , port_(port)
    , server_(context)
    , desk_(clock,
            [this](const std::string &keeper, const GrantRequest &request) {
                const auto link = links_.find(keeper);
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
    std::string answers;
    for (const std::string &line : lines) {
        const AgentMessage message = decodeAgentMessage(line);
        if (!message.grantRequest_)
            continue;
        const GrantRequest &request = *message.grantRequest_;
        const Result<void> granted = shares_.grant(request.workspace_, request.charge_);
        GrantAnswer answer{request.number_, granted.has_value(), true, Duration::zero()};
        if (!granted) {
            answer.isKeeper_ = granted.error().code_ != ErrorCode::LeaseExpired;
            const TimePoint now = clock_.now();
            answer.retryAfter_ =
                std::max(granted.error().retryAt_.value_or(now) - now, Duration::zero());
        }
        answers += encode(answer);
    }
    if (!answers.empty())
        server_.send(peer, answers);
}

void QuotaPeers::sync()
{
    const std::set<std::string> keepers = shares_.keepers();
    for (const std::string &keeper : keepers) {
        connect(keeper);
        const std::shared_ptr<AgentLink> link = links_[keeper];
        if (silent_.contains(keeper))
            link->renew(); // the connection may be dead while the pool owner is alive
        // A row that was read late may show a write of a pool owner that has gone since.
        shares_.noteKeeper(keeper, link->isConnected() && !silent_.contains(keeper));
    }
    std::erase_if(silent_,
                  [&keepers](const std::string &keeper) { return !keepers.contains(keeper); });
    std::erase_if(links_, [&keepers](const auto &entry) {
        if (keepers.contains(entry.first))
            return false;
        entry.second->stop();
        return true;
    });
}

void QuotaPeers::connect(const std::string &keeper)
{
    if (links_.contains(keeper))
        return;
    const std::string address = keeper.substr(keeper.rfind('@') + 1) + ":" + std::to_string(port_);
    AgentLink::Handlers handlers;
    handlers.onState_ = [this, keeper](bool isLinked) { onLink(keeper, isLinked); };
    handlers.onMessage_ = [this, keeper](const AgentMessage &message) {
        onMessage(keeper, message);
    };
    const auto link =
        std::make_shared<AgentLink>(context_, address, std::move(handlers), AgentLink::kNoSilence);
    links_[keeper] = link;
    link->start();
}

void QuotaPeers::onLink(const std::string &keeper, bool isLinked)
{
    const bool isSilent = silent_.contains(keeper);
    if (!isSilent)
        log_.write(LogDetail::Full, isLinked ? "keeper_regained" : "keeper_lost",
                   {{"keeper", keeper}});
    shares_.noteKeeper(keeper, isLinked && !isSilent);
    if (isLinked) {
        desk_.resend(keeper);
        if (isSilent)
            links_[keeper]->send(encode(GrantRequest{kProbe, "", 0}));
    } else if (!isSilent && onKeeperLost_) {
        onKeeperLost_();
    }
}

void QuotaPeers::onMessage(const std::string &keeper, const AgentMessage &message)
{
    if (!message.grantAnswer_)
        return;
    if (silent_.erase(keeper) > 0) {
        log_.write(LogDetail::Full, "keeper_regained", {{"keeper", keeper}});
        shares_.noteKeeper(keeper, true);
    }
    if (message.grantAnswer_->number_ == kProbe)
        return;
    if (!message.grantAnswer_->isKeeper_) {
        shares_.noteKeeper(keeper, false);
        if (onKeeperLost_)
            onKeeperLost_();
    }
    desk_.answer(*message.grantAnswer_);
}

void QuotaPeers::ask(const std::string &workspace, std::int64_t charge,
                     GrantDesk::GrantHandler handler)
{
    const std::string keeper = shares_.keeperToAsk(workspace);
    connect(keeper);
    desk_.ask(keeper, workspace, charge, std::move(handler));
    armTimer();
}

void QuotaPeers::armTimer()
{
    const std::optional<TimePoint> at = desk_.nextExpiry();
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
    for (const std::string &keeper : desk_.expire()) {
        const bool isNews = silent_.insert(keeper).second;
        shares_.noteKeeper(keeper, false);
        if (isNews) {
            log_.write(LogDetail::Full, "keeper_lost", {{"keeper", keeper}});
            if (onKeeperLost_)
                onKeeperLost_();
        }
        // A connection may be dead without a reset; only a new one shows whether the peer is up.
        const auto link = links_.find(keeper);
        if (link != links_.end())
            link->second->renew();
    }
    armTimer();
}

} // namespace foxtailturn::gateway
