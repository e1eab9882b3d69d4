// Plays the load of a workspace on fleets of 4 to 68 entries and checks what callers get.

#include <random>

#include <doctest/doctest.h>

#include "quota/quota_testing.h"

namespace foxtailturn::quota {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Fleet;

// A workspace of the large deployment: 104,777 tokens a second, requests of 9,190 to 11,291 tokens.
constexpr TokenQuota kLarge{104'777, 200'000, true, 200};
constexpr std::int64_t kTolerance = 110'000;

struct Outcome
{
    int asked_ = 0;
    int served_ = 0;
    std::int64_t tokens_ = 0; // served

    [[nodiscard]] double refusedPart() const
    {
        return 1 - static_cast<double>(served_) / std::max(asked_, 1);
    }
};

// Sends requests at random entries that are up, at a share of the rate, for a time.
Outcome play(Fleet &fleet, std::mt19937 &random, Duration time, double load,
             std::size_t entries = 0)
{
    constexpr Duration kStep = milliseconds(20);
    Outcome outcome;
    const std::size_t count = entries == 0 ? fleet.size() : entries;
    double owed = 0; // tokens that are asked for but not sent yet
    Duration sinceSync{};
    for (Duration passed{}; passed < time; passed += kStep) {
        fleet.clock_.advance(kStep);
        owed +=
            load * static_cast<double>(kLarge.rate_) * std::chrono::duration<double>(kStep).count();
        while (owed > 0) {
            const std::int64_t tokens = random() % 2 == 0 ? 9'190 + random() % 2'101 : 900;
            owed -= static_cast<double>(tokens);
            const std::size_t entry = random() % count;
            if (!fleet.isUp(entry))
                continue;
            ++outcome.asked_;
            if (!fleet.charge(entry, tokens))
                continue;
            ++outcome.served_;
            outcome.tokens_ += tokens;
        }
        sinceSync += kStep;
        if (sinceSync >= milliseconds(1500)) {
            fleet.syncAll(1, Duration::zero());
            sinceSync = Duration::zero();
        }
    }
    return outcome;
}

} // namespace

// Guards against refusals of a workspace within its rate because its requests meet an entry that
// holds too little: with 68 entries an entry's own share was smaller than one request.
TEST_CASE("a workspace at 0.56 of its rate is refused nothing, on 4 to 68 entries")
{
    for (const int count : {4, 21, 68}) {
        CAPTURE(count);
        std::mt19937 random(11);
        Fleet fleet(count, kLarge, kTolerance);
        fleet.syncAll(28); // 14 s before traffic starts
        const Outcome outcome = play(fleet, random, seconds(40), 0.56);
        CHECK(outcome.asked_ > 400);
        CHECK(outcome.served_ == outcome.asked_);
        CHECK(fleet.store_.conflicts() == 0);
    }
}

// Guards against units that have to follow the demand: all requests at one entry.
TEST_CASE("a workspace whose requests all come to one entry gets its rate")
{
    std::mt19937 random(12);
    Fleet fleet(21, kLarge, kTolerance);
    fleet.syncAll(28);
    const Outcome outcome = play(fleet, random, seconds(40), 0.9, 1);
    CHECK(outcome.refusedPart() < 0.01);
}

// Guards against more than the quota over all entries, in any window, and against a workspace over
// its rate that gets less than its rate.
TEST_CASE("a workspace at four times its rate gets its rate and no more")
{
    std::mt19937 random(13);
    Fleet fleet(68, kLarge, kTolerance);
    fleet.syncAll(28);
    play(fleet, random, seconds(10), 4); // the burst is used up
    const Outcome outcome = play(fleet, random, seconds(8), 4);
    CHECK(outcome.tokens_ <= kLarge.rate_ * 8 + kLarge.burst_ + kTolerance / 2);
    CHECK(outcome.tokens_ > kLarge.rate_ * 8 * 9 / 10);
}

// Guards against callers that are refused until an owner that is gone for good was replaced.
TEST_CASE("the loss of one owner refuses nothing, the loss of two for the time of the takeover")
{
    std::mt19937 random(14);
    Fleet fleet(21, kLarge, kTolerance);
    fleet.syncAll(28);
    const std::vector<std::string> owners = fleet.entry(0).ownersOf("w");
    const auto kill = [&fleet](const std::string &name) {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (Fleet::nameOf(i) == name)
                fleet.kill(i);
        }
        fleet.syncAll(1, Duration::zero());
    };
    kill(owners[0]);
    CHECK(play(fleet, random, seconds(20), 0.56).refusedPart() == 0);
    kill(owners[1]);
    play(fleet, random, seconds(30), 0.56);
    CHECK(play(fleet, random, seconds(10), 0.56).refusedPart() == 0);
}

// Guards against refusals for long after all machines lose power: it took more than 14 s.
TEST_CASE("after all entries restart at once callers are served as before within five seconds")
{
    std::mt19937 random(15);
    Fleet fleet(68, kLarge, kTolerance);
    fleet.syncAll(28);
    play(fleet, random, seconds(10), 0.56);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.restart(i);
    fleet.syncAll(2, milliseconds(250));
    CHECK(play(fleet, random, seconds(5), 0.56).refusedPart() < 0.1);
    CHECK(play(fleet, random, seconds(10), 0.56).refusedPart() < 0.01);
}

// Guards against refusals while the store turns a third of the entries away, also owners.
TEST_CASE("entries without the store for nine seconds refuse nothing")
{
    std::mt19937 random(16);
    Fleet fleet(68, kLarge, kTolerance);
    fleet.syncAll(28);
    Outcome outcome;
    for (int i = 0; i < 450; ++i) { // no entry reaches the store
        fleet.clock_.advance(milliseconds(20));
        ++outcome.asked_;
        outcome.served_ += fleet.charge(random() % fleet.size(), 1'100) ? 1 : 0;
    }
    CHECK(outcome.served_ == outcome.asked_);
}

} // namespace foxtailturn::quota
