#include "limiter/token_bucket.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

#include "limiter/share_policy.h"

namespace foxtailturn {
namespace {

constexpr MicroTokens tokens(std::int64_t count)
{
    return count * kMicroTokensPerToken;
}

// Guards against rounding errors that accumulate over many small refills.
TEST_CASE("refill does not depend on how often it is computed")
{
    constexpr std::int64_t kUnits = 333'333;
    TimePoint now;
    TokenBucket refilledOften({.rate_ = 7, .burst_ = 1000}, now);
    TokenBucket refilledOnce({.rate_ = 7, .burst_ = 1000}, now);
    refilledOften.addUnits(kUnits, 0, now);
    refilledOnce.addUnits(kUnits, 0, now);
    for (int i = 0; i < 100'000; ++i) {
        now += Duration(1 + i % 7);
        refilledOften.level(now);
    }
    CHECK(refilledOften.level(now) == refilledOnce.level(now));
    CHECK(refilledOnce.level(now) == 7 * kUnits * now.time_since_epoch().count() / kTotalUnits);
}

// Guards against refunds that are held back while the bucket refills: with a full refund the third
// take would succeed, and the workspace could use 2000 tokens at once with a burst of 1000.
TEST_CASE("charged tokens that refill has replaced are not refunded")
{
    TimePoint now;
    TokenBucket bucket({.rate_ = 100, .burst_ = 1000}, now);
    bucket.addUnits(kTotalUnits, tokens(1000), now);
    REQUIRE(bucket.take(1, tokens(1000), now));
    now += std::chrono::seconds(10);
    REQUIRE(bucket.take(2, tokens(1000), now));
    bucket.settle(1, tokens(1000), now);
    CHECK_FALSE(bucket.take(3, tokens(1), now));
    bucket.settle(2, tokens(400), now);
    CHECK(bucket.level(now) == tokens(400));
}

struct Charge
{
    TimePoint at_;
    MicroTokens amount_ = 0;
};

MicroTokens maxDebt(const std::vector<Charge> &charges, std::int64_t rate)
{
    MicroTokens debt = 0;
    MicroTokens largest = 0;
    TimePoint last;
    for (const Charge &charge : charges) {
        debt = std::max<MicroTokens>(0, debt - rate * (charge.at_ - last).count()) + charge.amount_;
        largest = std::max(largest, debt);
        last = charge.at_;
    }
    return largest;
}

// Tokens count as used at the time of their charge. Charges are settled in random order and at
// random times.
TEST_CASE("tokens used in any interval are at most rate x time + burst")
{
    constexpr WorkspaceLimit kLimit{.rate_ = 1000, .burst_ = 3000};
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        TimePoint now;
        TokenBucket bucket(kLimit, now);
        bucket.addUnits(kTotalUnits, tokens(kLimit.burst_), now);
        std::vector<Charge> charges;
        std::vector<std::size_t> open;
        for (int step = 0; step < 1000; ++step) {
            now += Duration(random() % 700'000);
            const auto amount = static_cast<MicroTokens>(random() % tokens(kLimit.burst_));
            if (bucket.take(charges.size() + 1, amount, now)) {
                open.push_back(charges.size());
                charges.push_back({now, amount});
            }
            if (open.empty() || random() % 2 == 0)
                continue;
            const std::size_t index = random() % open.size();
            Charge &charge = charges[open[index]];
            const auto refund = static_cast<MicroTokens>(random() % (charge.amount_ + 1));
            charge.amount_ -= refund;
            bucket.settle(open[index] + 1, refund, now);
            open.erase(open.begin() + static_cast<long>(index));
        }
        CHECK(maxDebt(charges, kLimit.rate_) <= tokens(kLimit.burst_));
    }
}

// Guards against a transfer of more tokens than the capacity of its units, and against an offer of
// more than the holder has.
TEST_CASE("decideOffer keeps its guarantees for random states of both sides")
{
    std::mt19937_64 random(1);
    constexpr std::int64_t kBurst = 5000;
    for (int i = 0; i < 100'000; ++i) {
        const auto randomUpTo = [&](std::int64_t end) {
            return random() % 4 == 0 ? 0 : static_cast<std::int64_t>(random() % (end + 1));
        };
        OwnShare own{randomUpTo(kTotalUnits), 0, randomUpTo(9000), randomUpTo(tokens(kBurst)),
                     randomUpTo(9000)};
        own.level_ = randomUpTo(kBurst * own.units_);
        ShareRequest request;
        request.missingLevel_ = randomUpTo(tokens(kBurst));
        request.missingUnits_ = randomUpTo(kTotalUnits);
        request.waitedMicros_ = randomUpTo(9000);
        request.units_ = randomUpTo(kTotalUnits);
        request.level_ = randomUpTo(kBurst * request.units_);
        request.demand_ = randomUpTo(9000);
        const ShareOffer offer = decideOffer(own, request, kBurst);
        REQUIRE(offer.units_ >= 0);
        REQUIRE(offer.units_ <= own.units_);
        REQUIRE(offer.level_ >= 0);
        REQUIRE(offer.level_ <= std::min(own.level_, kBurst * offer.units_));
        REQUIRE(own.level_ - offer.level_ <= kBurst * (own.units_ - offer.units_));
    }
}

} // namespace
} // namespace foxtailturn
