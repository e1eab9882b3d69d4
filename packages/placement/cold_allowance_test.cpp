#include "placement/cold_allowance.h"

#include <doctest/doctest.h>

namespace foxtailturn::placement {

using std::chrono::milliseconds;

namespace {

constexpr double kRate = 6.5;
const TimePoint kStart{std::chrono::hours(1)};
const TimePoint kReady = kStart + ColdAllowance::kWindow;
const EngineState kUp{true, 7, Duration::zero()};

PendingPermit requestOf(int entry, std::int64_t number, int priority = 5, std::int64_t born = 7)
{
    return {entry, {number, "i", born, priority, kRate}};
}

std::vector<PendingPermit> requestsOf(int count)
{
    std::vector<PendingPermit> requests;
    requests.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        requests.push_back(requestOf(i, 1));
    return requests;
}

int countGranted(const std::vector<PermitDecision> &decisions)
{
    int granted = 0;
    for (const PermitDecision &decision : decisions)
        granted += decision.answer_.isGranted_ ? 1 : 0;
    return granted;
}

} // namespace

TEST_CASE("the number of permits follows the rate")
{
    CHECK(permitsPerWindow(6.5) == 8);
    CHECK(permitsPerWindow(0.2) == 1);
    CHECK(permitsPerWindow(100) == 130);
    CHECK(permitsPerWindow(-1) == 1);
    CHECK(permitsPerWindow(1e300) == permitsPerWindow(10'000));
}

TEST_CASE("no permit is granted for an engine in another state")
{
    struct Case
    {
        const char *name_;
        EngineState engine_;
        std::int64_t born_;
        TimePoint at_;
        PermitAnswer answer_;
    };
    const Case cases[] = {
        {"the incarnation that runs", kUp, 7, kReady, {1, true, {}}},
        {"an earlier incarnation", kUp, 6, kReady, {1, false, ColdAllowance::kOtherRunRetry}},
        {"an unreachable engine",
         {false, 7, {}},
         7,
         kReady,
         {1, false, ColdAllowance::kOtherRunRetry}},
        {"permits of an earlier process may be in use",
         kUp,
         7,
         kReady - milliseconds(90),
         {1, false, milliseconds(90)}},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        ColdAllowance allowance(kStart);
        const auto decisions = allowance.decide({requestOf(3, 1, 5, c.born_)}, c.engine_, c.at_);
        REQUIRE(decisions.size() == 1);
        CHECK(decisions[0] == PermitDecision{3, c.answer_});
    }
}

TEST_CASE("the most urgent requests of a round are granted first")
{
    ColdAllowance allowance(kStart);
    std::vector<PendingPermit> requests = requestsOf(8);
    requests.push_back(requestOf(20, 1, 0));
    requests.push_back(requestOf(21, 1, 2));
    const auto decisions = allowance.decide(requests, kUp, kReady);
    CHECK(countGranted(decisions) == 8);
    CHECK(decisions[0].source_ == 20);
    CHECK(decisions[1].source_ == 21);
    CHECK(decisions[2].source_ == 0); // requests of one rank in the order in which they came
    CHECK_FALSE(decisions[9].answer_.isGranted_);
}

TEST_CASE("a refused request learns when the next permit is there")
{
    ColdAllowance allowance(kStart);
    CHECK(countGranted(allowance.decide(requestsOf(3), kUp, kReady)) == 3);
    const TimePoint later = kReady + milliseconds(400);
    const auto decisions = allowance.decide(requestsOf(6), kUp, later);
    CHECK(countGranted(decisions) == 5);
    const TimePoint retryAt = later + decisions[5].answer_.retryAfter_;
    CHECK(retryAt > kReady + ColdAllowance::kWindow);
    CHECK(countGranted(allowance.decide(requestsOf(6), kUp, retryAt - milliseconds(2))) == 0);
    CHECK(countGranted(allowance.decide(requestsOf(6), kUp, retryAt)) == 3);
}

TEST_CASE("permits of an earlier incarnation count for the next one")
{
    ColdAllowance allowance(kStart);
    CHECK(countGranted(allowance.decide(requestsOf(8), kUp, kReady)) == 8);
    const EngineState restarted{true, 8, Duration::zero()};
    const auto decisions =
        allowance.decide({requestOf(1, 1, 5, 8)}, restarted, kReady + milliseconds(500));
    CHECK_FALSE(decisions[0].answer_.isGranted_);
}

} // namespace foxtailturn::placement
