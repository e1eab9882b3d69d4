#pragma once

// An entry's connections to the entries that own parts of the workspaces' quotas.
//
//     QuotaPeers peers(context, clock, log, quotas, 7600);
//     Result<void> listening = peers.listen("10.0.0.7");
//     peers.updateConnections();            // after the owners may have changed
//     peers.requestGrant("w1", 2'000, [](const Result<void> &granted) { ... });
//
// An entry connects only to owners. DutyOrder keeps their number small, so the number of
// connections in the fleet grows with the entries and not with their square.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/event_log.h"
#include "gateway/agent_link.h"
#include "gateway/grant_requester.h"
#include "gateway/grant_search.h"
#include "gateway/line_server.h"
#include "net/loop_meter.h"
#include "quota/quota_parts.h"

namespace foxtailturn::gateway {

// Entry names have the form NAME@IP. Not thread-safe; handlers run from the event loop.
class QuotaPeers
{
public:
    // All references must outlive this object. All entries listen on the same port.
    QuotaPeers(asio::io_context &context, const Clock &clock, EventLog &log,
               quota::QuotaParts &quotas, int port);

    // Accepts grant requests of other entries. Error: InvalidSettings when the address can't be
    // used.
    [[nodiscard]] Result<void> listen(const std::string &ip);

    // Sets a handler that is called when an owner's connection is lost, when it does not answer in
    // time, and when it answers that it owns no part of the quota any more.
    void onOwnerLost(std::function<void()> handler) { onOwnerLost_ = std::move(handler); }

    // See LineServer.
    void limitPeers(std::size_t max) { server_.limitPeers(max); }

    // Counts what is done with the messages of other entries. The meter must outlive this object.
    void setMeter(LoopMeter &meter) { meter_ = &meter; }

    // Connects to new owners and disconnects from entries that own nothing any more.
    void updateConnections();

    // Requests a grant of charge, in tokens, from the owners of the workspace's quota, one after
    // the other. Errors: those of GrantSearch::failure().
    void requestGrant(const std::string &workspace, std::int64_t charge,
                      const GrantRequester::GrantHandler &handler);

private:
    void askNext(const std::shared_ptr<GrantSearch> &search, const std::string &workspace,
                 std::int64_t charge, const GrantRequester::GrantHandler &handler);
    void onLines(int peer, const std::vector<std::string> &lines);
    void connect(const std::string &owner);
    void onLink(const std::string &owner, bool isLinked);
    void onMessage(const std::string &owner, const AgentMessage &message);
    [[nodiscard]] TimePoint readySince() const;
    void armTimer();
    void onTimer();

    asio::io_context &context_;
    EventLog &log_;
    quota::QuotaParts &quotas_;
    const Clock &clock_;
    int port_;
    LoopMeter *meter_ = nullptr;
    LineServer server_;
    std::map<std::string, std::shared_ptr<AgentLink>> links_; // by the owner's name
    // Owners that let a request expire. The host of a suspended VM may still accept
    // connections, so only an answer shows that an owner responds again.
    std::set<std::string> unresponsive_;
    GrantRequester requester_;
    std::size_t nextFirst_ = 0; // index of the owner that the next search begins with
    std::function<void()> onOwnerLost_;
    asio::steady_timer timer_;
};

} // namespace foxtailturn::gateway
