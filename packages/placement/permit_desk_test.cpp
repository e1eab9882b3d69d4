#include "placement/permit_desk.h"

#include <doctest/doctest.h>
#include <vector>

namespace foxtailturn::placement {

using std::chrono::milliseconds;

namespace {

struct Case
{
    const char *name_;
    PermitAnswer answer_;
    int answeredAfterMs_;
    PermitOutcome outcome_;
};

const TimePoint kStart{std::chrono::hours(1)};

} // namespace

TEST_CASE("a permit ends a fixed time after its request")
{
    const TimePoint end = kStart + kPermitLife;
    const Case cases[] = {
        {"granted", {1, true, {}}, 3, {end, {}}},
        {"granted late", {1, true, {}}, 299, {end, {}}},
        {"read after its end", {1, true, {}}, 300, {std::nullopt, end}},
        {"refused", {1, false, milliseconds(40)}, 3, {std::nullopt, kStart + milliseconds(43)}},
        {"refused for a time out of range",
         {1, false, std::chrono::hours(1)},
         3,
         {std::nullopt, kStart + milliseconds(3) + PermitDesk::kMaxRetry}},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        std::vector<PermitOutcome> outcomes;
        PermitDesk desk(
            [](const std::string &, const PermitRequest &request) { CHECK(request.number_ == 1); });
        desk.request("e", {}, kStart, [&](const PermitOutcome &o) { outcomes.push_back(o); });
        const TimePoint now = kStart + milliseconds(c.answeredAfterMs_);
        desk.onAnswer(c.answer_, now);
        desk.onAnswer(c.answer_, now); // an answer counts once
        REQUIRE(outcomes.size() == 1);
        CHECK(outcomes[0] == c.outcome_);
    }
}

TEST_CASE("requests end without an answer, and with their engine's connection")
{
    std::vector<std::string> ended;
    PermitDesk desk([](const std::string &, const PermitRequest &) {});
    const auto handlerOf = [&](const char *name) {
        return [&ended, name](const PermitOutcome &outcome) {
            CHECK_FALSE(outcome.validUntil_);
            ended.emplace_back(name);
        };
    };
    CHECK(desk.nextExpiry() == TimePoint::max());
    desk.request("e1", {}, kStart, handlerOf("a"));
    desk.request("e2", {}, kStart + milliseconds(10), handlerOf("b"));
    desk.request("e1", {}, kStart + milliseconds(20), handlerOf("c"));
    desk.onLinkLost("e2", kStart + milliseconds(30));
    CHECK(ended == std::vector<std::string>{"b"});
    CHECK(desk.nextExpiry() == kStart + PermitDesk::kAnswerTimeout);
    desk.expire(kStart + PermitDesk::kAnswerTimeout);
    CHECK(ended == std::vector<std::string>{"b", "a"});
    desk.onAnswer({1, true, {}}, kStart + PermitDesk::kAnswerTimeout); // its caller went elsewhere
    desk.expire(kStart + std::chrono::seconds(1));
    CHECK(ended == std::vector<std::string>{"b", "a", "c"});
}

} // namespace foxtailturn::placement
