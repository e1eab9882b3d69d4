#pragma once

// An entry's connections to other entries, for grants from quota pools.
//
//     QuotaPeers peers(context, clock, log, shares, 7600);
//     Result<void> listening = peers.listen("10.0.0.7");
//     peers.updateConnections();            // after the pool owners may have changed
//     peers.requestGrant("w1", 2'000, [](const Result<void> &granted) { ... });
//
// An entry connects only to pool owners, so the number of connections in the fleet is at most
// entries times workspaces.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/event_log.h"
#include "gateway/agent_link.h"
#include "gateway/grant_requester.h"
#include "gateway/line_server.h"
#include "gateway/quota_shares.h"

namespace foxtailturn::gateway {

// Entry names have the form NAME@IP. Not thread-safe; handlers run from the event loop.
class QuotaPeers
{
public:
    // All references must outlive this object. All entries listen on the same port.
    QuotaPeers(asio::io_context &context, const Clock &clock, EventLog &log, QuotaShares &shares,
               int port);

    // Accepts grant requests of other entries. Error: InvalidSettings when the address can't be
    // used.
    [[nodiscard]] Result<void> listen(const std::string &ip);

    // Sets a handler that is called when a pool owner's connection is lost, when it does not answer
    // in time, and when it answers that it no longer owns the pool.
    void onOwnerLost(std::function<void()> handler) { onOwnerLost_ = std::move(handler); }

    // Connects to new pool owners and disconnects from entries that own no pool any more.
    void updateConnections();

    // Requests a grant of charge, in tokens, from the owner of the workspace's pool. Precondition:
    // shares.reachableOwner() is not empty.
    void requestGrant(const std::string &workspace, std::int64_t charge,
                      GrantRequester::GrantHandler handler);

private:
    void onLines(int peer, const std::vector<std::string> &lines);
    void connect(const std::string &owner);
    void onLink(const std::string &owner, bool isLinked);
    void onMessage(const std::string &owner, const AgentMessage &message);
    void armTimer();
    void onTimer();

    asio::io_context &context_;
    EventLog &log_;
    QuotaShares &shares_;
    const Clock &clock_;
    int port_;
    LineServer server_;
    std::map<std::string, std::shared_ptr<AgentLink>> links_; // by the pool owner's name
    // Pool owners that let a request expire. The host of a suspended VM may still accept
    // connections, so only an answer shows that an owner responds again.
    std::set<std::string> unresponsive_;
    GrantRequester requester_;
    std::function<void()> onOwnerLost_;
    asio::steady_timer timer_;
};

} // namespace foxtailturn::gateway
