#include "peer/share_controller.h"

#include <algorithm>
#include <map>
#include <thread>
#include <utility>

#include "base/log.h"
#include "peer/async_call.h"
#include "peer/incarnation.h"
#include "peer/reply_collector.h"
#include "peer/share_messages.h"

namespace foxtailturn {

namespace {

const Logger kLog("limiter");

constexpr auto kTableTimeout = std::chrono::seconds(1);
constexpr auto kFenceTimeout = std::chrono::milliseconds(200);
constexpr auto kShareTimeout = std::chrono::milliseconds(200);
constexpr auto kNetReportTimeout = std::chrono::milliseconds(500);
constexpr auto kLeaveRetryInterval = std::chrono::milliseconds(20);
constexpr const char *kEntryRole = "entry";

} // namespace

PeerWitnessClient::PeerWitnessClient(const Clock &clock, PeerDirectory &peers, WitnessLog &own)
    : clock_(&clock)
    , peers_(&peers)
    , ownLog_(&own)
{ }

std::vector<FenceAnswer> PeerWitnessClient::fence(const std::vector<FenceRequest> &requests,
                                                  TimePoint deadline)
{
    // Failed witnesses never reply. The short timeout leaves the rest of the deadline for writing
    // the row.
    const Duration timeout = std::min<Duration>(deadline - clock_->now(), kFenceTimeout);
    auto answers = std::make_shared<ReplyCollector<FenceAnswer>>();
    for (const FenceRequest &fence : requests) {
        const FenceAnswer own = ownLog_->onFence(fence);
        if (own.fenced_)
            answers->add(own);
        wire::FenceRequest request;
        request.set_holder(fence.holder_);
        request.set_witness(fence.witness_);
        request.set_quiet_micros(fence.idleMicros_);
        callPeer<wire::FenceReply>(
            peers_->channelOf(processNameOf(fence.witness_)), timeout, request,
            [](auto &async, auto... args) { async.Fence(args...); },
            [answers, fence](const wire::FenceReply &reply) {
                answers->add({fence.holder_, fence.witness_, reply.fenced()});
            });
    }
    return answers->waitFor(requests.size(), timeout);
}

ShareController::ShareController(std::string self, const Clock &clock, const LeaseStatus &lease,
                                 Limiter &limiter, ShareLedger &ledger, LeaseReclaimer &reclaimer,
                                 PeerDirectory &peers)
    : self_(std::move(self))
    , clock_(&clock)
    , lease_(&lease)
    , limiter_(&limiter)
    , ledger_(&ledger)
    , reclaimer_(&reclaimer)
    , peers_(&peers)
{ }

void ShareController::setWorkspaces(std::vector<std::string> workspaces)
{
    const std::lock_guard lock(mutex_);
    workspaces_ = std::move(workspaces);
}

std::vector<std::string> ShareController::workspaces() const
{
    const std::lock_guard lock(mutex_);
    return workspaces_;
}

TimePoint ShareController::callDeadline() const
{
    return clock_->now() + kTableTimeout;
}

void ShareController::exchange()
{
    send(limiter_->pollAll());
}

void ShareController::send(const OutgoingMessages &shares)
{
    for (const ShareRequest &request : shares.requests_)
        sendRequest(request);
    for (const ShareTransfer &transfer : shares.transfers_)
        sendTransfer(transfer);
}

void ShareController::sendTransfer(const ShareTransfer &transfer)
{
    callPeer<wire::ShareAck>(
        peers_->channelOf(processNameOf(transfer.receiver_)), kShareTimeout, toWire(transfer),
        [](auto &async, auto... args) { async.TransferShare(args...); },
        [this](const wire::ShareAck &ack) {
            if (ack.accepted())
                limiter_->onAck(fromWire(ack));
        });
}

void ShareController::sendRequest(const ShareRequest &request)
{
    const std::string peer = processNameOf(request.receiver_);
    callPeer<wire::ShareReply>(
        peers_->channelOf(peer), kShareTimeout, toWire(request),
        [](auto &async, auto... args) { async.RequestShare(args...); },
        [this, peer](const wire::ShareReply &reply) {
            if (reply.has_transfer())
                acceptReply(peer, fromWire(reply.transfer()));
        });
}

void ShareController::acceptReply(const std::string &peer, const ShareTransfer &transfer)
{
    const std::optional<ShareAck> ack = limiter_->onTransfer(transfer);
    shareArrived();
    if (!ack)
        return;
    callPeer<wire::Empty>(
        peers_->channelOf(peer), kShareTimeout, toWire(*ack),
        [](auto &async, auto... args) { async.AcknowledgeShare(args...); },
        [](const wire::Empty &) {});
}

void ShareController::shareArrived()
{
    const std::lock_guard lock(mutex_);
    ++arrivalCount_;
    arrived_.notify_all();
}

void ShareController::waitForShare(TimePoint until)
{
    std::unique_lock lock(mutex_);
    const std::uint64_t previousCount = arrivalCount_;
    arrived_.wait_for(lock, until - clock_->now(), [&] { return arrivalCount_ != previousCount; });
}

void ShareController::reconcile()
{
    // The rows must be read before the leases: then a holder in a row without a live lease in the
    // later survey has ended.
    std::map<std::string, LedgerRow> rows;
    for (const std::string &workspace : workspaces()) {
        Result<LedgerRow> row = ledger_->read(workspace, callDeadline());
        if (!row)
            return;
        rows.emplace(workspace, *std::move(row));
    }
    const Result<LeaseSurvey> survey = reclaimer_->run(callDeadline());
    if (!survey)
        return;
    bool allSettled = true;
    for (auto &[workspace, row] : rows)
        allSettled = settleEndedHolders(workspace, row, *survey) && allSettled;
    if (allSettled)
        removeEndedLeases(survey->ended_);
    setPeers(*survey);
    if (joinLedger(rows))
        ++completedPasses_;
}

void ShareController::setPeers(const LeaseSurvey &survey)
{
    std::set<std::string> entries;
    for (const Peer &peer : peers_->peers()) {
        if (peer.member_.role_ == kEntryRole)
            entries.insert(peer.member_.name_);
    }
    std::vector<std::string> holders;
    for (const LeaseRow &lease : survey.live_) {
        if (lease.holder_ != self_ && entries.contains(processNameOf(lease.holder_)))
            holders.push_back(lease.holder_);
    }
    limiter_->setPeers(std::move(holders));
}

bool ShareController::joinLedger(const std::map<std::string, LedgerRow> &rows)
{
    for (const auto &[workspace, row] : rows) {
        const auto own = row.holders_.find(self_);
        if (own != row.holders_.end() && row.spareUnits_ == 0) {
            // The response to an earlier take() may have been lost. The row has the units taken.
            limiter_->onGrant(workspace, {own->second.takenUnits_, false});
            continue;
        }
        const Result<LedgerGrant> grant = ledger_->take(workspace, self_, *lease_, callDeadline());
        if (!grant)
            return false;
        limiter_->onGrant(workspace, *grant);
    }
    return !rows.empty();
}

bool ShareController::settleEndedHolders(const std::string &workspace, LedgerRow &row,
                                         const LeaseSurvey &survey)
{
    const std::set<std::string> ended = endedHolders(row, survey.live_);
    if (ended.empty())
        return true;
    if (ended.contains(self_))
        return false;
    const NetRequest request{workspace, {ended.begin(), ended.end()}};
    const Result<Settlement> settled =
        ledger_->settle(workspace, ended, collectNetReports(row, request), callDeadline());
    if (!settled || !settled->missingReporters_.empty())
        return false;
    row.spareUnits_ += settled->reclaimedUnits_;
    kLog.info(concat("reclaimed shares of ended holders, workspace=", workspace,
                     " units=", settled->reclaimedUnits_));
    return true;
}

void ShareController::removeEndedLeases(const std::vector<std::string> &ended)
{
    for (const std::string &holder : ended) {
        const Result<void> forgotten = reclaimer_->forget(holder, callDeadline());
        if (forgotten)
            kLog.info(concat("removed lease row of ended holder, holder=", holder));
    }
}

std::vector<NetReport> ShareController::collectNetReports(const LedgerRow &row,
                                                          const NetRequest &request)
{
    auto reports = std::make_shared<ReplyCollector<NetReport>>();
    std::size_t requestCount = 0;
    const std::set<std::string> ended(request.fenced_.begin(), request.fenced_.end());
    for (const auto &[holder, grant] : row.holders_) {
        if (holder == self_ || ended.contains(holder))
            continue;
        ++requestCount;
        callPeer<wire::NetReply>(
            peers_->channelOf(processNameOf(holder)), kNetReportTimeout, toWire(request),
            [](auto &async, auto... args) { async.ReportNet(args...); },
            [reports, workspace = request.workspace_](const wire::NetReply &reply) {
                reports->add(fromWire(reply, workspace));
            });
    }
    std::vector<NetReport> collected = reports->waitFor(requestCount, kNetReportTimeout);
    const std::optional<NetReport> own = limiter_->onNetRequest(request);
    if (own)
        collected.push_back(*own);
    return collected;
}

void ShareController::leave(TimePoint deadline)
{
    while (!limiter_->isDrained() && clock_->now() < deadline) {
        send(limiter_->drainAll());
        send(limiter_->pollAll());
        std::this_thread::sleep_for(kLeaveRetryInterval);
    }
}

} // namespace foxtailturn
