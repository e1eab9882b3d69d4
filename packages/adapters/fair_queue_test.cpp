#include "adapters/fair_queue.h"

#include <doctest/doctest.h>

namespace foxtailturn {
namespace {

RunRank always(const WorkRequest &)
{
    return RunRank::Runnable;
}

class Pusher
{
public:
    explicit Pusher(FairQueue &queue)
        : queue_(queue)
    { }

    void push(const std::string &workspace, int count, double cost = 1,
              Priority priority = Priority::Chat, const std::string &adapter = "a")
    {
        for (int i = 0; i < count; ++i)
            queue_.push(WorkRequest{.id_ = std::to_string(++last_),
                                    .workspace_ = workspace,
                                    .adapter_ = {adapter, "1"},
                                    .priority_ = priority,
                                    .cost_ = cost,
                                    .deadline_ = TimePoint(std::chrono::seconds(last_))});
    }

private:
    FairQueue &queue_;
    int last_ = 0;
};

// Guards against a flooding workspace that delays the others, whatever its requests cost.
TEST_CASE("FairQueue starts work in proportion to the weights during a flood")
{
    struct Case
    {
        double floodWeight_;
        double floodCost_;
        double floodShare_; // of the work
    };
    const Case cases[] = {{1, 1, 0.5}, {3, 1, 0.75}, {1, 10, 0.5}, {1, 0.5, 0.5}};
    for (const Case &c : cases) {
        CAPTURE(c.floodWeight_);
        CAPTURE(c.floodCost_);
        FairQueue queue;
        Pusher pusher(queue);
        queue.setWeight("flood", c.floodWeight_);
        pusher.push("flood", 2000, c.floodCost_);
        pusher.push("small", 1000);
        std::map<std::string, double> work;
        while (work["small"] < 300) {
            const WorkRequest next = *queue.pop(always);
            work[next.workspace_] += next.cost_;
        }
        const double share = work["flood"] / (work["flood"] + work["small"]);
        CHECK(share == doctest::Approx(c.floodShare_).epsilon(0.05));
    }
}

// Guards against batch work that never starts while chat keeps coming.
TEST_CASE("FairQueue starts a batch request after at most kMaxConsecutiveChat chat requests")
{
    FairQueue queue;
    Pusher pusher(queue);
    pusher.push("w", 100);
    pusher.push("w", 5, 1, Priority::Batch);
    int consecutiveChat = 0;
    int batch = 0;
    while (batch < 5) {
        const WorkRequest next = *queue.pop(always);
        consecutiveChat = next.priority_ == Priority::Chat ? consecutiveChat + 1 : 0;
        batch += next.priority_ == Priority::Batch ? 1 : 0;
        REQUIRE(consecutiveChat <= kMaxConsecutiveChat);
    }
}

// Guards against grouping by adapter that undoes fairness.
TEST_CASE("FairQueue lets InBatch requests overtake others by at most the slack")
{
    FairQueue queue(3);
    Pusher pusher(queue);
    pusher.push("first", 1, 1, Priority::Chat, "cold");
    pusher.push("other", 10, 1, Priority::Chat, "hot");
    const auto rank = [](const WorkRequest &request) {
        return request.adapter_.adapter_ == "hot" ? RunRank::InBatch : RunRank::Runnable;
    };
    int passed = 0;
    while (queue.pop(rank)->workspace_ != "first")
        ++passed;
    CHECK(passed > 0);
    CHECK(passed <= 4);
}

// Guards against requests that run after their deadline or are refused before it.
TEST_CASE("FairQueue returns exactly the requests whose deadline has passed")
{
    FairQueue queue;
    Pusher pusher(queue);
    pusher.push("w", 3);
    CHECK(queue.takeExpired(TimePoint(std::chrono::microseconds(1'999'999))).size() == 1);
    CHECK(queue.earliestDeadline() == TimePoint(std::chrono::seconds(2)));
    CHECK(queue.takeExpired(TimePoint(std::chrono::seconds(2))).front().id_ == "2");
    CHECK(queue.size() == 1);
    CHECK(queue.waitingFor({"a", "1"}) == 1);
}

// Guards against refusing a small workspace's request because another one fills the queue.
TEST_CASE("FairQueue names the last batch request of the longest workspace for refusal")
{
    FairQueue queue;
    Pusher pusher(queue);
    pusher.push("flood", 5, 1, Priority::Batch);
    pusher.push("flood", 5);
    pusher.push("small", 1);
    CHECK(queue.overflowVictim() == "5");
}

} // namespace
} // namespace foxtailturn
