#include "gateway/grant_requester.h"

#include <vector>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

using std::chrono::milliseconds;

struct Fixture
{
    ManualClock clock_;
    std::vector<std::pair<std::string, GrantRequest>> sent_;
    GrantRequester requester_{clock_,
                              [this](const std::string &owner, const GrantRequest &request) {
                                  sent_.emplace_back(owner, request);
                              }};
    std::vector<Result<void>> outcomes_;

    void requestGrant(const std::string &owner = "e1")
    {
        requester_.requestGrant(
            owner, "w", 700, [this](const Result<void> &granted) { outcomes_.push_back(granted); });
    }
};

} // namespace

TEST_CASE("an answer completes the request with its number")
{
    Fixture f;
    f.requestGrant();
    f.requestGrant();
    REQUIRE(f.sent_.size() == 2);
    CHECK(f.sent_[0].first == "e1");
    CHECK(f.sent_[0].second == GrantRequest{1, "w", 700});
    f.requester_.onAnswer({2, false, true, milliseconds(30)}, f.clock_.now());
    REQUIRE(f.outcomes_.size() == 1);
    REQUIRE_FALSE(f.outcomes_[0]);
    CHECK(f.outcomes_[0].error().code_ == ErrorCode::RateLimited);
    CHECK(f.outcomes_[0].error().retryAt_ == f.clock_.now() + milliseconds(30));
    f.requester_.onAnswer({1, true, true, Duration::zero()}, f.clock_.now());
    REQUIRE(f.outcomes_.size() == 2);
    CHECK(f.outcomes_[1]);
    CHECK_FALSE(f.requester_.nextExpiry());
}

// Guards against a handler that runs twice, and against an answer without a pending request.
TEST_CASE("duplicate and unknown answers are ignored")
{
    Fixture f;
    f.requestGrant();
    f.requester_.onAnswer({1, true, true, Duration::zero()}, f.clock_.now());
    f.requester_.onAnswer({1, true, true, Duration::zero()}, f.clock_.now());
    f.requester_.onAnswer({9, true, true, Duration::zero()}, f.clock_.now());
    CHECK(f.outcomes_.size() == 1);
}

// Guards against a caller that waits without limit for an unresponsive owner, and against a
// grant that is used long after the owner has charged it, as after a suspension of this process.
TEST_CASE("a request expires, and a late grant is not used")
{
    Fixture f;
    f.requestGrant();
    f.clock_.advance(milliseconds(50));
    f.requestGrant("e2");
    CHECK(f.requester_.nextExpiry()
          == f.clock_.now() + GrantRequester::kGrantTimeout - milliseconds(50));
    f.clock_.advance(GrantRequester::kGrantTimeout - milliseconds(50));
    f.requester_.onAnswer({1, true, true, Duration::zero()}, f.clock_.now());
    CHECK(f.outcomes_.empty());
    CHECK(f.requester_.expire(f.clock_.now()) == std::set<std::string>{"e1"});
    REQUIRE(f.outcomes_.size() == 1);
    REQUIRE_FALSE(f.outcomes_[0]);
    CHECK(f.outcomes_[0].error().code_ == ErrorCode::LeaseExpired);
    CHECK(f.requester_.expire(f.clock_.now()).empty());
    f.requester_.onAnswer({2, true, true, Duration::zero()}, f.clock_.now());
    CHECK(f.outcomes_.size() == 2);
}

// Guards against an entry that is behind and refuses callers though the owner answered in time, and
// against owners that it takes for unresponsive then.
TEST_CASE("an answer that came in time is used though the entry is behind")
{
    struct Case
    {
        Duration lag_;
        Duration readySince_; // after the request
        bool isGranted_;
        bool isOwnerBlamed_;
    };
    const Duration maxAge = GrantRequester::kMaxGrantAge;
    for (const Case &c : {Case{milliseconds(300), milliseconds(0), true, false},
                          Case{milliseconds(300), milliseconds(199), true, false},
                          Case{milliseconds(300), milliseconds(200), false, true},
                          Case{maxAge - milliseconds(1), milliseconds(0), true, false},
                          Case{maxAge, milliseconds(0), false, false},
                          Case{maxAge, milliseconds(200), false, true}}) {
        CAPTURE(c.lag_.count());
        CAPTURE(c.readySince_.count());
        for (const bool isTimerFirst : {false, true}) {
            CAPTURE(isTimerFirst);
            Fixture f;
            const TimePoint ready = f.clock_.now() + c.readySince_;
            f.requestGrant();
            f.clock_.advance(c.lag_);
            std::set<std::string> unresponsive;
            if (isTimerFirst)
                unresponsive = f.requester_.expire(ready);
            f.requester_.onAnswer({1, true, true, Duration::zero()}, ready);
            f.requester_.onAnswer({1, true, true, Duration::zero()},
                                  ready); // to a repeated request
            unresponsive.merge(f.requester_.expire(ready));
            REQUIRE(f.outcomes_.size() == 1);
            CHECK(f.outcomes_[0].has_value() == c.isGranted_);
            CHECK(unresponsive.contains("e1") == c.isOwnerBlamed_);
        }
    }
}

// Guards against a request that waits for ever, or keeps the loop busy, while the entry is behind.
TEST_CASE("a request whose answer may be unread is looked at again")
{
    Fixture f;
    const TimePoint begin = f.clock_.now();
    f.requestGrant();
    f.clock_.advance(GrantRequester::kGrantTimeout);
    CHECK(f.requester_.expire(begin).empty());
    CHECK(f.outcomes_.empty());
    CHECK(f.requester_.nextExpiry() == f.clock_.now() + GrantRequester::kRecheckInterval);
    f.clock_.advance(GrantRequester::kMaxGrantAge - GrantRequester::kGrantTimeout
                     - milliseconds(1));
    CHECK(f.requester_.expire(begin).empty());
    CHECK(f.requester_.nextExpiry() == begin + GrantRequester::kMaxGrantAge);
    f.clock_.advance(milliseconds(1));
    CHECK(f.requester_.expire(begin).empty()); // nobody is blamed
    REQUIRE(f.outcomes_.size() == 1);
    CHECK(f.outcomes_[0].error().code_ == ErrorCode::LeaseExpired);
}

// Guards against a caller that is told that its workspace is over its rate by an entry that does
// not know.
TEST_CASE("an entry that owns nothing does not tell that the workspace is over its rate")
{
    Fixture f;
    f.requestGrant();
    f.requester_.onAnswer({1, false, false, Duration::zero()}, f.clock_.now());
    REQUIRE(f.outcomes_.size() == 1);
    REQUIRE_FALSE(f.outcomes_[0]);
    CHECK(f.outcomes_[0].error().code_ == ErrorCode::LeaseExpired);
}

// Guards against requests that are lost with a connection although it is re-established before
// their deadline.
TEST_CASE("resend repeats the pending requests to one owner only")
{
    Fixture f;
    f.requestGrant("e1");
    f.requestGrant("e2");
    f.requester_.resend("e2");
    REQUIRE(f.sent_.size() == 3);
    CHECK(f.sent_[2].first == "e2");
    CHECK(f.sent_[2].second.number_ == 2);
}

} // namespace foxtailturn::gateway
