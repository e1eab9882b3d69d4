#pragma once

// Simulates entries with leases and limiters in virtual time. Messages and table calls are in
// memory and subject to injected faults. For the fault tests and the benchmark; not installed.
//
//     LimiterFixture fixture(seed, 3, faults);
//     fixture.addWorkspace("w", {.rate_ = 1000, .burst_ = 5000});
//     fixture.run(std::chrono::seconds(2));
//     fixture.submit(0, "w", {.charge_ = 100, .used_ = 60}, [](bool admitted) { ... });
//     fixture.kill(1);
//     CHECK(fixture.excess("w") <= 0);

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lease/lease_holder.h"
#include "lease/lease_reclaimer.h"
#include "lease/witness_log.h"
#include "limiter/limiter.h"
#include "limiter/share_ledger.h"
#include "limiter/test_faults.h"

namespace foxtailturn {

struct TestRequest
{
    std::int64_t charge_ = 0;
    std::int64_t used_ = 0;
    Duration runTime_{}; // run time, after which the reservation is settled
};

class LimiterFixture
{
public:
    LimiterFixture(std::uint64_t seed, std::size_t entries, FaultRates faults);
    ~LimiterFixture();

    void addWorkspace(const std::string &workspace, WorkspaceLimit limit);
    void changeLimit(const std::string &workspace, WorkspaceLimit limit, std::size_t entry);
    void run(Duration time) { events_.run(time); }
    void after(Duration delay, std::function<void()> action);

    // Sends a request to an entry. Calls done(admitted) within kPeerWait, unless the entry is
    // killed or suspended.
    void submit(
        std::size_t entry, const std::string &workspace, TestRequest request,
        const std::function<void(bool)> &done = [](bool) {});

    void kill(std::size_t entry);
    void restart(std::size_t entry); // kills the old incarnation and starts a new one
    void setPaused(std::size_t entry, bool isPaused);
    void setIsolated(std::size_t entry, bool isIsolated); // from all processes, not from the table
    void setStoreDown(bool isDown) { table_.isDown_ = isDown; }
    void setFaults(FaultRates faults) { faults_ = faults; }
    void setIgnoresLease(std::size_t entry); // a violation that the checks must detect

    [[nodiscard]] bool isServing(std::size_t entry) const;
    // Returns whether the entry has run long enough to be known to its peers, as a readiness check
    // would require.
    [[nodiscard]] bool isReady(std::size_t entry) const;
    [[nodiscard]] Limiter &limiter(std::size_t entry);
    [[nodiscard]] LeaseHolder &lease(std::size_t entry);
    [[nodiscard]] ShareLedger &ledger() { return ledger_; }
    [[nodiscard]] std::mt19937_64 &random() { return random_; }
    [[nodiscard]] TimePoint now() const { return events_.clock_.now(); }
    [[nodiscard]] std::uint64_t storeWrites() const { return table_.table_.writeCount(); }

    // Returns the maximum over all intervals of tokens spent minus (rate x time + burst), in
    // micro-tokens.
    [[nodiscard]] MicroTokens excess(const std::string &workspace, WorkspaceLimit limit) const;
    // Returns the sum of the units of all incarnations whose lease is neither fenced nor released.
    [[nodiscard]] std::int64_t unitsOfLiveHolders(const std::string &workspace);

private:
    struct Process;
    class FaultyWitnessClient;

    bool randomChance(double probability);
    void runOrDefer(Process &process, std::function<void()> action);
    void send(Process &from, const std::string &to, const std::function<void(Process &)> &deliver);
    [[nodiscard]] Process *find(const std::string &name);
    [[nodiscard]] bool canReach(const Process &from, const Process &to) const;
    Process &start(const std::string &name);
    void tick(Process &process);
    void renew(Process &process);
    void maintain(Process &process);
    void settle(Process &process, const std::string &workspace, const std::set<std::string> &ended);
    void sendShares(Process &process, const OutgoingMessages &shares);
    void deliver(Process &to, const ShareTransfer &transfer);
    void tryReserve(Process &process, const std::string &workspace, TestRequest request,
                    TimePoint waitUntil, Attempt attempt, const std::function<void(bool)> &done);

    std::mt19937_64 random_;
    FaultRates faults_;
    EventQueue events_;
    FaultyTable table_;
    ShareLedger ledger_;
    std::map<std::string, WorkspaceLimit> limits_;
    std::vector<std::unique_ptr<Process>> processes_; // all incarnations, preceded by the agents
    std::vector<Process *> entries_; // current incarnation of each entry
    std::map<std::string, SpendLog> spendLogs_;
};

} // namespace foxtailturn
