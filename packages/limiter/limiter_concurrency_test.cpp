#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "limiter/limiter.h"

namespace foxtailturn {
namespace {

constexpr WorkspaceLimit kLimit{.rate_ = 100'000, .burst_ = 50'000};
constexpr int kSpendersPerEntry = 2;
constexpr int kAttempts = 4'000;

class HeldLease final : public LeaseStatus
{
public:
    [[nodiscard]] bool isHeld() const override { return true; }
};

// Two entries whose messages are delivered immediately and in order. a_ starts with all units.
struct LimiterPair
{
    LimiterPair()
    {
        for (Limiter *limiter : {&a_, &b_})
            limiter->setLimit("w", kLimit);
        a_.onGrant("w", {kTotalUnits, true});
        b_.onGrant("w", {0, false});
        // A holder sends units only to peers of a survey that began after its first grant.
        a_.setPeers({"b"});
        b_.setPeers({"a"});
    }

    void deliver(const OutgoingMessages &out)
    {
        for (const ShareRequest &request : out.requests_) {
            if (const auto transfer = limiter(request.receiver_).onRequest(request))
                deliver(*transfer);
        }
        for (const ShareTransfer &transfer : out.transfers_)
            deliver(transfer);
    }

    void deliver(const ShareTransfer &transfer)
    {
        if (const auto ack = limiter(transfer.receiver_).onTransfer(transfer))
            limiter(ack->sender_).onAck(*ack);
    }

    Limiter &limiter(const std::string &name) { return name == "a" ? a_ : b_; }

    ManualClock clock_;
    HeldLease lease_;
    Limiter a_{"a", clock_, lease_};
    Limiter b_{"b", clock_, lease_};
};

// Guards against data races between reservations, messages and reads of the state, and against
// tokens that two threads spend at once. LimiterFixture is single-threaded and cannot detect these.
TEST_CASE("concurrent spending while units are transferred is at most rate x time + burst")
{
    LimiterPair pair;
    const TimePoint begin = pair.clock_.now();
    std::atomic<std::int64_t> charged = 0;
    std::atomic<std::int64_t> chargedAtB = 0;
    std::atomic<int> running = 2 * kSpendersPerEntry;
    std::vector<std::thread> threads;
    for (const char *name : {"a", "b"}) {
        for (int i = 0; i < kSpendersPerEntry; ++i) {
            threads.emplace_back([&, name] {
                for (int attempt = 0; attempt < kAttempts; ++attempt) {
                    Limiter &limiter = pair.limiter(name);
                    const auto reserved = limiter.reserve("w", 1 + attempt % 50, Attempt::First);
                    if (!reserved) {
                        std::this_thread::yield();
                        continue;
                    }
                    charged += reserved->tokens_;
                    if (&limiter == &pair.b_)
                        chargedAtB += reserved->tokens_;
                    limiter.settle(*reserved, reserved->tokens_);
                }
                --running;
            });
        }
    }
    while (running > 0) {
        pair.clock_.advance(std::chrono::milliseconds(1));
        pair.deliver(pair.a_.pollAll());
        pair.deliver(pair.b_.poll("w"));
        std::int64_t units = 0;
        for (const Limiter *limiter : {&pair.a_, &pair.b_}) {
            for (const ShareState &state : limiter->state())
                units += state.units_ + state.unitsInFlight_;
        }
        CHECK(units == kTotalUnits);
    }
    for (std::thread &thread : threads)
        thread.join();
    const std::int64_t elapsedMicros = (pair.clock_.now() - begin).count();
    CHECK(charged <= kLimit.burst_ + kLimit.rate_ * elapsedMicros / 1'000'000);
    CHECK(chargedAtB > 0);
}

} // namespace
} // namespace foxtailturn
