#pragma once

// An entry's connections to other entries, for charges from the pools of quotas.
//
//     QuotaPeers peers(context, clock, log, shares, 7600);
//     Result<void> listening = peers.listen("10.0.0.7");
//     peers.sync();            // after the keepers may have changed
//     peers.ask("w1", 2'000, [](const Result<void> &granted) { ... });
//
// An entry connects only to entries that keep a pool, so connections grow with entries times
// workspaces at most.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/event_log.h"
#include "gateway/agent_link.h"
#include "gateway/grant_desk.h"
#include "gateway/line_server.h"
#include "gateway/quota_shares.h"

namespace foxtailturn::gateway {

// Names of entries are NAME@IP. Not thread-safe; handlers run from the loop.
class QuotaPeers
{
public:
    // All references must outlive this object. All entries listen on the same port.
    QuotaPeers(asio::io_context &context, const Clock &clock, EventLog &log, QuotaShares &shares,
               int port);

    // Error: InvalidSettings when the address can't be used.
    [[nodiscard]] Result<void> listen(const std::string &ip);

    // Calls the handler when a keeper does not answer, or keeps its pool no more.
    void onKeeperLost(std::function<void()> handler) { onKeeperLost_ = std::move(handler); }

    // Connects to new keepers and leaves those that keep no pool any more.
    void sync();

    // Asks the keeper of a workspace's pool for a charge in tokens. Precondition:
    // shares.keeperToAsk() names one.
    void ask(const std::string &workspace, std::int64_t charge, GrantDesk::GrantHandler handler);

private:
    void onLines(int peer, const std::vector<std::string> &lines);
    void connect(const std::string &keeper);
    void onLink(const std::string &keeper, bool isLinked);
    void onMessage(const std::string &keeper, const AgentMessage &message);
    void armTimer();
    void onTimer();

    asio::io_context &context_;
    EventLog &log_;
    QuotaShares &shares_;
    const Clock &clock_;
    int port_;
    LineServer server_;
    std::map<std::string, std::shared_ptr<AgentLink>> links_; // by the keeper's name
    // Keepers that let a request expire. The system of a frozen VM goes on accepting connections,
    // so only an answer tells that one is back.
    std::set<std::string> silent_;
    GrantDesk desk_;
    std::function<void()> onKeeperLost_;
    asio::steady_timer timer_;
};

} // namespace foxtailturn::gateway
