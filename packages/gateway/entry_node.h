#pragma once

// An entry process: the gateway with its connections to callers, targets, the store, the sidecars
// and other entries.
//
//     EntryNode entry(context, codec, settings);
//     Result<void> started = entry.start();
//     entry.run();               // until the handler of stop() stops the context

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "callers/caller_connection.h"
#include "gateway/admin_port.h"
#include "gateway/agent_link.h"
#include "gateway/gateway.h"
#include "gateway/gateway_callers.h"
#include "gateway/ledger_sync.h"
#include "gateway/node_settings.h"
#include "gateway/quota_peers.h"
#include "gateway/report_queue.h"
#include "gateway/row_queue.h"
#include "gateway/store_client.h"
#include "gateway/suspect_exchange.h"

namespace foxtailturn::gateway {

// Not thread-safe: all calls come from the thread that runs the context.
class EntryNode
{
public:
    // context and codec must outlive the node.
    EntryNode(asio::io_context &context, const PlatformCodec &codec, const NodeSettings &settings);

    // Error: InvalidSettings when an address can't be used.
    [[nodiscard]] Result<void> start();

    // Runs the context until it is stopped, callers before what is learned of the fleet.
    void run();

    // Applies the changed store address. All other settings need a restart.
    void reload(const NodeSettings &settings);

    // Shuts down gracefully: reports not ready at once, lets requests in progress finish within the
    // stop grace period, then calls onStopped.
    void stop(std::function<void()> onStopped);

private:
    void onOperatorRows(std::vector<StoreRow> rows, TableContent content);
    void onEvacuationRows(const std::vector<StoreRow> &rows, TableContent content);
    void onVersionRow(const StoreRow &row);
    void onVersionsRead();
    void onTargetRows(const std::vector<StoreRow> &rows, TableContent content);
    // Opens and closes links where targets were listed or unlisted since the last call.
    void updateSidecarLinks();
    void updateSidecarLink(const std::string &engine);
    void ensureSidecarLink(const Target &target);
    [[nodiscard]] ReportQueue::Handlers reportHandlers();
    void handleUrgentLines(const std::string &engine, std::vector<std::string> &lines);
    void onSidecarMessage(const std::string &engine, const AgentMessage &message);
    void tick();
    void writeMetrics();
    void writeLog();
    void pollShutdown();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::string sidecarAddress(const std::string &engine) const;

    asio::io_context &context_;
    const PlatformCodec &codec_;
    NodeSettings settings_;
    SystemClock clock_;
    SystemWallClock wallClock_;
    EventLog log_;
    MetricRegistry metrics_;
    LoopMeter meter_;
    StoreClient store_;
    Gateway gateway_;
    GatewayCallers callerService_;
    callers::CallerListener callers_;
    AdminPort admin_;
    DeferredWork deferredWork_;
    RowQueue versionRows_; // rows of the operator's table that are to be looked at for versions
    TableWatch operatorWatch_;
    TableWatch targetWatch_;
    std::map<std::string, std::shared_ptr<AgentLink>> sidecarLinks_; // by the engine's address
    std::optional<std::int64_t> linksRevision_; // of the configuration that the links were made for
    ReportQueue sidecarReports_;
    LedgerSync ledgerSync_;
    QuotaPeers quotaPeers_;
    SuspectExchange suspects_;
    TimePoint suspectsPrunedAt_{};
    asio::steady_timer tickTimer_;
    asio::steady_timer stopTimer_;
    TimePoint awaitsOwnersUntil_ = TimePoint::max(); // set when a configuration is in force
    std::optional<ShutdownSchedule> schedule_; // once the shutdown has begun
    bool hasEndedRequests_ = false;
    bool hasReadVersions_ = false; // all that were declared when the operator's table was read
    bool hasNewVersion_ = false; // since the last load requests
    TimePoint releaseDeadline_{}; // the release has until then to reach the store
    std::function<void()> onStopped_;
    bool isStopping_ = false;
};

} // namespace foxtailturn::gateway
