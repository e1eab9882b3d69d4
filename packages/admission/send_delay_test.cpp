#include "admission/send_delay.h"

#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace foxtailturn::admission {

namespace {

using std::chrono::milliseconds;

struct Waiter
{
    std::string name_;
    int rank_;
    int readMs_;
};

struct Case
{
    std::string load_;
    std::vector<Waiter> waiters_; // at different entries, in the order in which they are to go
};

const std::vector<Case> kCases = {
    {"an urgent short prompt and long ones that wait for a hot adapter",
     {{"reroute", 0, 22}, {"plan", 1, 240}, {"batch", 2, 240}}},
    {"one rank: the prompt that holds others up the least", {{"short", 1, 22}, {"long", 1, 240}}},
    {"a long urgent prompt goes before a short one of a later rank",
     {{"urgent", 0, 1000}, {"later", 1, 22}}},
};

} // namespace

TEST_CASE("after a load requests go by rank, then by the time to read their prompts")
{
    for (const Case &c : kCases) {
        CAPTURE(c.load_);
        for (std::size_t i = 1; i < c.waiters_.size(); ++i) {
            const Waiter &first = c.waiters_[i - 1];
            const Waiter &next = c.waiters_[i];
            CAPTURE(next.name_);
            CHECK(sendDelay(first.rank_, milliseconds(first.readMs_))
                  < sendDelay(next.rank_, milliseconds(next.readMs_)));
        }
    }
}

TEST_CASE("no request is held back for long, an urgent short one not at all")
{
    CHECK(sendDelay(0, milliseconds(22)) == Duration::zero());
    for (const int rank : {-1, 0, 1, 2, 9}) {
        for (const int readMs : {-5, 0, 22, 240, 5000})
            CHECK(sendDelay(rank, milliseconds(readMs)) <= kMaxSendDelay);
    }
}

} // namespace foxtailturn::admission
