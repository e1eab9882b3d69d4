#pragma once

// The sidecar process of one engine: polls the engine's report, sends it orders, reports its state
// to the entries and passes suspect records on between them.
//
//     SidecarNode sidecar(context, codec, settings);
//     Result<void> started = sidecar.start();
//     context.run();

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/metrics.h"
#include "gateway/admin_port.h"
#include "gateway/http_caller.h"
#include "gateway/line_server.h"
#include "gateway/node_settings.h"
#include "placement/cold_allowance.h"
#include "placement/engine_watch.h"
#include "retry/suspect_relay.h"
#include "sidecar/adapter_manager.h"
#include "sidecar/report_schedule.h"
#include "sidecar/suspect_offers.h"

namespace foxtailturn::gateway {

// Not thread-safe: all calls come from the thread that runs the context.
class SidecarNode
{
public:
    // context and codec must outlive the node.
    SidecarNode(asio::io_context &context, const PlatformCodec &codec,
                const NodeSettings &settings);

    // Error: InvalidSettings when an address can't be used.
    [[nodiscard]] Result<void> start();

    // Stops immediately, since no request passes through this process, and calls onStopped.
    void stop(const std::function<void()> &onStopped);

private:
    void onEntryConnected(int entry);
    void sendToSilentEntries();
    void onEntryLines(int entry, const std::vector<std::string> &lines);
    void decidePermitsSoon();
    void decidePermits();
    void sendEngineState();
    [[nodiscard]] Duration ageOf(const EngineReport &report) const;
    [[nodiscard]] std::int64_t upMillis() const;
    void poll();
    void onReport(const HttpAnswer &answer);
    void sendNextOrder();
    void onOrderAnswer(int status);
    void schedulePoll();
    void publishSoon();
    void publishIfDue();
    [[nodiscard]] SidecarReport reportForEntries(TimePoint now) const;
    void updateMetrics();

    const PlatformCodec &codec_;
    NodeSettings settings_;
    SystemClock clock_;
    SystemWallClock wallClock_;
    EventLog log_;
    MetricRegistry metrics_;
    HttpCaller caller_;
    AdminPort admin_;
    LineServer entries_;
    asio::steady_timer pollTimer_;
    AdapterManager adapterManager_;
    SuspectRelay suspects_;
    SuspectOffers suspectOffers_;
    EngineReport report_;
    placement::SpeedMeter speedMeter_;
    std::map<std::string, TimePoint> loadStartTimes_; // times of accepted loads in progress
    bool hasReport_ = false;
    bool isCallInFlight_ = false;
    ReportSchedule schedule_; // its last report is the one that every connected entry has
    asio::steady_timer publishTimer_;
    bool isPublishPending_ = false;
    TimePoint nextFlushAt_{};
    std::string engineState_ = "unknown";
    placement::EngineWatch watch_;
    placement::ColdAllowance allowance_;
    std::vector<placement::PendingPermit> permitRequests_; // to be decided together
    asio::steady_timer permitTimer_;
    bool isDecisionPending_ = false;
};

} // namespace foxtailturn::gateway
