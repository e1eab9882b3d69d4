#include "admission/waiting_order.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace foxtailturn::admission {

namespace {

using std::chrono::milliseconds;

const TimePoint kNow = TimePoint(std::chrono::hours(1));

Claim claimOf(int rank, int dueInMs, std::uint64_t number)
{
    return {rank, kNow + milliseconds(dueInMs), number};
}

struct Case
{
    std::string load_;
    std::vector<Claim> claims_;
    std::vector<std::uint64_t> order_; // numbers
};

const std::vector<Case> kCases = {
    {"short urgent prompts behind long ones that have waited for the same adapter",
     {claimOf(1, 900, 1), claimOf(2, 1900, 2), claimOf(0, 400, 3)},
     {3, 1, 2}},
    {"callers of one rank with different objectives",
     {claimOf(1, 800, 1), claimOf(1, 300, 2), claimOf(1, 500, 3)},
     {2, 3, 1}},
    {"a backlog in which some are late already",
     {claimOf(1, -50, 1), claimOf(1, 0, 2), claimOf(1, 700, 3)},
     {3, 1, 2}},
    {"a late urgent one goes before one of a higher rank that is in time",
     {claimOf(1, 500, 1), claimOf(0, -10, 2)},
     {2, 1}},
    {"urgent ones without end: the oldest has a place in four",
     {claimOf(2, 100, 1), claimOf(0, 10, 2), claimOf(0, 20, 3), claimOf(0, 30, 4),
      claimOf(0, 40, 5), claimOf(0, 50, 6), claimOf(1, 60, 7), claimOf(0, 70, 8)},
     {2, 3, 4, 1, 5, 6, 8, 7}},
};

} // namespace

TEST_CASE("requests go by rank, then by what is still in time, and none waits for ever")
{
    for (const Case &c : kCases) {
        CAPTURE(c.load_);
        std::vector<std::uint64_t> order;
        for (const Claim &claim : inOrder(c.claims_, kNow))
            order.push_back(claim.number_);
        CHECK(order == c.order_);
    }
}

} // namespace foxtailturn::admission
