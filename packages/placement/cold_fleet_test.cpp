// Entries that see an engine return at once, against the decision of its sidecar.

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include "placement/cold_allowance.h"
#include "placement/permit_desk.h"

namespace foxtailturn::placement {

using std::chrono::milliseconds;

namespace {

constexpr int kEntries = 28;
constexpr double kRate = 6.5;
constexpr double kBound = 6.5 * 1.5 + 5; // requests in any one second
const TimePoint kStart{std::chrono::hours(1)};

struct Event
{
    TimePoint at_;
    std::function<void()> run_;

    bool operator<(const Event &other) const { return other.at_ < at_; }
};

// A fleet with one engine. Entries always have requests for it; messages may be late, and entries
// may be suspended.
class Fleet
{
public:
    explicit Fleet(unsigned seed)
        : random_(seed)
        , allowance_(kStart)
    {
        for (int i = 0; i < kEntries; ++i)
            desks_.emplace_back(
                [this, i](const std::string &, const PermitRequest &request) { ask(i, request); });
        suspendedUntil_.assign(kEntries, kStart);
    }

    void run(Duration length)
    {
        for (int i = 0; i < kEntries; ++i)
            at(kStart, [this, i] { request(i); });
        const TimePoint end = kStart + length;
        while (!events_.empty() && events_.top().at_ < end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at_;
            event.run_();
        }
    }

    // The sidecar's process ends and starts again.
    void restartSidecar(TimePoint when)
    {
        at(when, [this] {
            waiting_.clear();
            allowance_ = ColdAllowance(now_);
        });
    }

    void restartEngine(TimePoint when)
    {
        at(when, [this] { ++born_; });
    }

    [[nodiscard]] std::ptrdiff_t mostInOneSecond() const
    {
        std::vector<TimePoint> sorted = sends_;
        std::sort(sorted.begin(), sorted.end());
        std::ptrdiff_t most = 0;
        for (auto first = sorted.begin(); first != sorted.end(); ++first)
            most = std::max(most,
                            std::upper_bound(first, sorted.end(), *first + std::chrono::seconds(1))
                                - first);
        return most;
    }

    [[nodiscard]] std::size_t sends() const { return sends_.size(); }

private:
    int draw(int least, int most) { return std::uniform_int_distribution(least, most)(random_); }

    void at(TimePoint when, std::function<void()> run) { events_.push({when, std::move(run)}); }

    // Runs on an entry, once it isn't suspended.
    void onEntry(int entry, TimePoint when, const std::function<void()> &run)
    {
        at(when, [this, entry, run] {
            if (now_ < suspendedUntil_[entry])
                onEntry(entry, suspendedUntil_[entry], run);
            else
                run();
        });
    }

    void request(int entry)
    {
        if (draw(0, 40) == 0)
            suspendedUntil_[entry] = now_ + milliseconds(draw(50, 2000));
        desks_[entry].request("e", {0, "i", born_, draw(0, 5), kRate}, now_,
                              [this, entry](const PermitOutcome &outcome) {
                                  if (outcome.validUntil_)
                                      connect(entry, *outcome.validUntil_);
                                  const TimePoint again =
                                      std::max(outcome.retryAt_, now_) + milliseconds(draw(1, 40));
                                  onEntry(entry, again, [this, entry] { request(entry); });
                              });
        onEntry(entry, desks_[entry].nextExpiry(), [this, entry] { desks_[entry].expire(now_); });
    }

    // Messages take a few milliseconds, and now and then much longer.
    milliseconds delay() { return milliseconds(draw(0, 20) == 0 ? draw(50, 600) : draw(1, 5)); }

    void ask(int entry, const PermitRequest &request)
    {
        at(now_ + delay(), [this, entry, request] {
            waiting_.push_back({entry, request});
            at(now_ + milliseconds(4), [this] { decide(); });
        });
    }

    void decide()
    {
        const EngineState engine{true, born_, Duration::zero()};
        for (const auto &[entry, answer] :
             allowance_.decide(std::exchange(waiting_, {}), engine, now_))
            onEntry(entry, now_ + delay(), [this, entry = entry, answer = answer] {
                desks_[entry].onAnswer(answer, now_);
            });
    }

    // Opening a connection takes time, after which the permit is looked at again.
    void connect(int entry, TimePoint validUntil)
    {
        onEntry(entry, now_ + delay(), [this, validUntil] {
            if (now_ < validUntil)
                sends_.push_back(now_);
        });
    }

    std::mt19937 random_;
    ColdAllowance allowance_;
    std::vector<PermitDesk> desks_;
    std::vector<TimePoint> suspendedUntil_;
    std::vector<PendingPermit> waiting_;
    std::priority_queue<Event> events_;
    TimePoint now_ = kStart;
    std::int64_t born_ = 7;
    std::vector<TimePoint> sends_;
};

} // namespace

TEST_CASE("a cold engine gets no more than its bound in any second")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        fleet.restartSidecar(kStart + milliseconds(3000 + 37 * seed));
        fleet.restartEngine(kStart + milliseconds(5000 + 41 * seed));
        fleet.run(std::chrono::seconds(10));
        CHECK(static_cast<double>(fleet.mostInOneSecond()) <= kBound);
        CHECK(fleet.mostInOneSecond() <= static_cast<std::ptrdiff_t>(permitsPerWindow(kRate)));
        CHECK(fleet.sends() > 20); // the engine is used
    }
}

} // namespace foxtailturn::placement
