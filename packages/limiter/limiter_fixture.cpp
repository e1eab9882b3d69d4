#include "limiter/limiter_fixture.h"

#include <algorithm>
#include <utility>

namespace foxtailturn {

namespace {

constexpr std::size_t kAgentCount = 3; // act only as lease witnesses
constexpr Duration kMaintenanceInterval = std::chrono::milliseconds(500);
constexpr Duration kRetryInterval = std::chrono::milliseconds(2);

} // namespace

// Answers fence requests without delay; each request and each answer may be lost.
class LimiterFixture::FaultyWitnessClient final : public WitnessClient
{
public:
    FaultyWitnessClient(LimiterFixture &fixture, std::string self)
        : fixture_(fixture)
        , self_(std::move(self))
    { }

    std::vector<FenceAnswer> fence(const std::vector<FenceRequest> &requests, TimePoint) override;

private:
    LimiterFixture &fixture_;
    std::string self_;
};

struct LimiterFixture::Process final : LeaseStatus
{
    Process(LimiterFixture &fixture, const std::string &name)
        : name_(name)
        , lease_(name, kLeaseLength, fixture.events_.clock_, fixture.table_)
        , witness_(name, fixture.events_.clock_)
        , witnessClient_(fixture, name)
        , reclaimer_(kLeaseMargin, fixture.events_.clock_, fixture.table_, witnessClient_)
        , limiter_(name, fixture.events_.clock_, *this)
        , startedAt_(fixture.events_.clock_.now())
    { }

    [[nodiscard]] bool isHeld() const override { return ignoresLease_ || lease_.isHeld(); }
    [[nodiscard]] bool isRunning() const { return isAlive_ && !isPaused_; }

    std::string name_;
    bool isAlive_ = true;
    bool isPaused_ = false;
    bool isIsolated_ = false;
    bool ignoresLease_ = false;
    std::vector<std::function<void()>> deferred_; // actions to run on resumption
    LeaseHolder lease_;
    WitnessLog witness_;
    FaultyWitnessClient witnessClient_;
    LeaseReclaimer reclaimer_;
    Limiter limiter_;
    TimePoint startedAt_;
    TimePoint renewAt_;
    TimePoint maintainAt_;
};

std::vector<FenceAnswer>
LimiterFixture::FaultyWitnessClient::fence(const std::vector<FenceRequest> &requests, TimePoint)
{
    std::vector<FenceAnswer> answers;
    const Process &from = *fixture_.find(self_);
    for (const FenceRequest &request : requests) {
        Process *to = fixture_.find(request.witness_);
        if (to == nullptr || !to->isRunning() || !fixture_.canReach(from, *to)
            || fixture_.randomChance(fixture_.faults_.loss_))
            continue;
        const FenceAnswer answer = to->witness_.onFence(request);
        if (!fixture_.randomChance(fixture_.faults_.loss_))
            answers.push_back(answer);
    }
    return answers;
}

LimiterFixture::LimiterFixture(std::uint64_t seed, std::size_t entries, FaultRates faults)
    : random_(seed)
    , faults_(faults)
    , table_(events_, random_, faults_)
    , ledger_(table_)
{
    for (std::size_t i = 0; i < kAgentCount; ++i)
        processes_.push_back(std::make_unique<Process>(*this, "agent-" + std::to_string(i)));
    entries_.resize(entries);
    for (std::size_t i = 0; i < entries; ++i)
        restart(i);
}

LimiterFixture::~LimiterFixture() = default;

bool LimiterFixture::randomChance(double probability)
{
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

LimiterFixture::Process *LimiterFixture::find(const std::string &name)
{
    for (const auto &process : processes_) {
        if (process->name_ == name)
            return process.get();
    }
    return nullptr;
}

bool LimiterFixture::canReach(const Process &from, const Process &to) const
{
    return &from == &to || (!from.isIsolated_ && !to.isIsolated_);
}

void LimiterFixture::runOrDefer(Process &process, std::function<void()> action)
{
    if (!process.isAlive_)
        return;
    if (process.isPaused_)
        process.deferred_.push_back(std::move(action));
    else
        action();
}

void LimiterFixture::send(Process &from, const std::string &to,
                          const std::function<void(Process &)> &deliver)
{
    Process *receiver = find(to);
    if (receiver == nullptr)
        return;
    const int copies = randomChance(faults_.duplicate_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (!canReach(from, *receiver) || randomChance(faults_.loss_))
            continue;
        const Duration range = faults_.maxDelay_ - faults_.minDelay_;
        const Duration delay = faults_.minDelay_ + Duration(random_() % (range.count() + 1));
        events_.after(delay, [=, this] { runOrDefer(*receiver, [=] { deliver(*receiver); }); });
    }
}

void LimiterFixture::after(Duration delay, std::function<void()> action)
{
    events_.after(delay, std::move(action));
}

void LimiterFixture::addWorkspace(const std::string &workspace, WorkspaceLimit limit)
{
    limits_[workspace] = limit;
    for (Process *entry : entries_)
        entry->limiter_.setLimit(workspace, limit);
}

void LimiterFixture::changeLimit(const std::string &workspace, WorkspaceLimit limit,
                                 std::size_t entry)
{
    limits_[workspace] = limit;
    entries_[entry]->limiter_.setLimit(workspace, limit);
}

LimiterFixture::Process &LimiterFixture::start(const std::string &name)
{
    Process &process = *processes_.emplace_back(std::make_unique<Process>(*this, name));
    for (const auto &[workspace, limit] : limits_)
        process.limiter_.setLimit(workspace, limit);
    tick(process);
    return process;
}

void LimiterFixture::kill(std::size_t entry)
{
    entries_[entry]->isAlive_ = false;
}

void LimiterFixture::restart(std::size_t entry)
{
    if (entries_[entry] != nullptr)
        kill(entry);
    const std::string boot = std::to_string(processes_.size());
    entries_[entry] = &start("entry-" + std::to_string(entry) + "." + boot);
}

void LimiterFixture::setPaused(std::size_t entry, bool isPaused)
{
    Process &process = *entries_[entry];
    process.isPaused_ = isPaused;
    if (isPaused)
        return;
    for (const auto &action : std::exchange(process.deferred_, {}))
        runOrDefer(process, action);
}

void LimiterFixture::setIsolated(std::size_t entry, bool isIsolated)
{
    entries_[entry]->isIsolated_ = isIsolated;
}

void LimiterFixture::setIgnoresLease(std::size_t entry)
{
    entries_[entry]->ignoresLease_ = true;
}

bool LimiterFixture::isServing(std::size_t entry) const
{
    return entries_[entry]->isRunning();
}

bool LimiterFixture::isReady(std::size_t entry) const
{
    const Process &process = *entries_[entry];
    return events_.clock_.now() >= process.startedAt_ + 2 * kMaintenanceInterval;
}

Limiter &LimiterFixture::limiter(std::size_t entry)
{
    return entries_[entry]->limiter_;
}

LeaseHolder &LimiterFixture::lease(std::size_t entry)
{
    return entries_[entry]->lease_;
}

void LimiterFixture::tick(Process &process)
{
    const TimePoint now = events_.clock_.now();
    if (now >= process.renewAt_) {
        process.renewAt_ = now + kLeaseRenewal;
        renew(process);
    }
    if (now >= process.maintainAt_) {
        process.maintainAt_ = now + kMaintenanceInterval;
        maintain(process);
    }
    sendShares(process, process.limiter_.pollAll());
    events_.after(kPollInterval,
                  [this, &process] { runOrDefer(process, [this, &process] { tick(process); }); });
}

void LimiterFixture::renew(Process &process)
{
    for (const WitnessContact &contact : process.lease_.startContacts()) {
        send(process, contact.witness_, [=, this, &process](Process &witness) {
            const WitnessAnswer answer = witness.witness_.onContact(contact);
            send(witness, process.name_, [answer](Process &p) { p.lease_.onAnswer(answer); });
        });
    }
    (void)process.lease_.renew(TimePoint::max());
}

void LimiterFixture::maintain(Process &process)
{
    std::map<std::string, LedgerRow> rows;
    for (const auto &[workspace, limit] : limits_) {
        if (Result<LedgerRow> row = ledger_.read(workspace, TimePoint::max()))
            rows[workspace] = *row;
    }
    const Result<LeaseSurvey> survey = process.reclaimer_.run(TimePoint::max());
    if (!survey)
        return;
    std::vector<std::string> peers;
    for (const LeaseRow &lease : survey->live_)
        peers.push_back(lease.holder_);
    process.limiter_.setPeers(peers);
    std::vector<std::string> witnesses;
    for (std::size_t i = 0; i < kAgentCount; ++i)
        witnesses.push_back(processes_[i]->name_);
    for (const std::string &peer : peers) {
        if (peer != process.name_ && witnesses.size() < kMaxWitnesses)
            witnesses.push_back(peer);
    }
    process.lease_.setWitnesses(witnesses);
    for (const auto &[workspace, row] : rows)
        settle(process, workspace, endedHolders(row, survey->live_));
}

void LimiterFixture::settle(Process &process, const std::string &workspace,
                            const std::set<std::string> &ended)
{
    const Result<LedgerRow> row = ledger_.read(workspace, TimePoint::max());
    if (row && !ended.empty()) {
        const NetRequest request{workspace, {ended.begin(), ended.end()}};
        std::vector<NetReport> reports;
        for (const auto &[name, holder] : row->holders_) {
            Process *other = find(name);
            if (!other->isRunning() || !canReach(process, *other) || randomChance(faults_.loss_))
                continue;
            if (std::optional<NetReport> report = other->limiter_.onNetRequest(request))
                reports.push_back(*report);
        }
        (void)ledger_.settle(workspace, ended, reports, TimePoint::max());
    }
    if (Result<LedgerGrant> grant =
            ledger_.take(workspace, process.name_, process, TimePoint::max()))
        process.limiter_.onGrant(workspace, *grant);
}

void LimiterFixture::sendShares(Process &process, const OutgoingMessages &shares)
{
    for (const ShareRequest &request : shares.requests_) {
        send(process, request.receiver_, [=, this](Process &peer) {
            if (std::optional<ShareTransfer> transfer = peer.limiter_.onRequest(request))
                sendShares(peer, {{}, {*transfer}});
        });
    }
    for (const ShareTransfer &transfer : shares.transfers_)
        send(process, transfer.receiver_, [=, this](Process &peer) { deliver(peer, transfer); });
}

void LimiterFixture::deliver(Process &to, const ShareTransfer &transfer)
{
    const std::optional<ShareAck> ack = to.limiter_.onTransfer(transfer);
    if (ack)
        send(to, ack->sender_, [ack](Process &peer) { peer.limiter_.onAck(*ack); });
}

void LimiterFixture::submit(std::size_t entry, const std::string &workspace, TestRequest request,
                            const std::function<void(bool)> &done)
{
    tryReserve(*entries_[entry], workspace, request, now() + kPeerWait, Attempt::First, done);
}

void LimiterFixture::tryReserve(Process &process, const std::string &workspace, TestRequest request,
                                TimePoint waitUntil, Attempt kind,
                                const std::function<void(bool)> &done)
{
    const Result<Reservation> admitted = process.limiter_.reserve(workspace, request.charge_, kind);
    if (!admitted) {
        if (admitted.error().code_ != ErrorCode::RateLimited || now() >= waitUntil)
            return done(false);
        sendShares(process, process.limiter_.poll(workspace));
        return events_.after(kRetryInterval, [=, this, &process] {
            runOrDefer(process, [=, this, &process] {
                tryReserve(process, workspace, request, waitUntil, Attempt::Repeated, done);
            });
        });
    }
    SpendLog &spendLog = spendLogs_[workspace];
    const std::size_t index = spendLog.add(now(), request.charge_);
    events_.after(request.runTime_, [=, this, &process, &spendLog] {
        runOrDefer(process, [=, &process, &spendLog] {
            spendLog.setUsed(index, request.used_);
            process.limiter_.settle(*admitted, request.used_);
        });
    });
    done(true);
}

MicroTokens LimiterFixture::excess(const std::string &workspace, WorkspaceLimit limit) const
{
    const auto it = spendLogs_.find(workspace);
    return it == spendLogs_.end() ? 0 : it->second.excess(limit);
}

std::int64_t LimiterFixture::unitsOfLiveHolders(const std::string &workspace)
{
    std::int64_t units = 0;
    for (const auto &process : processes_) {
        const Result<std::optional<Row>> row =
            table_.table_.read(leaseKey(process->name_), TimePoint::max());
        if (!*row || parseLeaseRow(**row)->state_ != LeaseState::Live)
            continue;
        for (const ShareState &state : process->limiter_.state())
            units += state.workspace_ == workspace ? state.units_ : 0;
    }
    return units;
}

} // namespace foxtailturn
