#include "config/config_follower.h"

#include <deque>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "base/hash.h"
#include "config/config_store.h"
#include "config/test_content.h"
#include "storage/memory_platform.h"

namespace foxtailturn {
namespace {

constexpr Duration kConfirmation = std::chrono::seconds(10);
constexpr Duration kSecond = std::chrono::seconds(1);

struct Fixture
{
    ManualClock clock_;
    MemoryTable table_;
    MemoryObjects objects_;
    ConfigStore store_{table_, objects_, clock_, [this](Duration step) { clock_.advance(step); }};
    std::deque<ConfigFollower> followers_;

    explicit Fixture(int followers = 2)
    {
        for (int i = 0; i < followers; ++i)
            followers_.emplace_back(table_, objects_, clock_, FollowerSettings{kConfirmation});
    }

    TimePoint deadline() const { return clock_.now() + kSecond; }

    // Publishes the next revision; its rate tells revisions apart.
    std::uint64_t publish()
    {
        ConfigurationContent content = testContent();
        const std::uint64_t revision = store_.revisions(deadline())->revision();
        content.workspaces_[0].rate_ = static_cast<std::int64_t>(revision) + 1;
        return store_.publish(content, revision, deadline())->revision_;
    }

    Result<bool> poll(int i) { return followers_[static_cast<std::size_t>(i)].poll(deadline()); }

    std::uint64_t held(int i)
    {
        const auto snapshot = followers_[static_cast<std::size_t>(i)].snapshot();
        return snapshot ? snapshot->revision() : 0;
    }

    void setDown(bool isDown)
    {
        table_.setFault(isDown ? TableFault::Down : TableFault::None);
        objects_.setDown(isDown);
    }
};

// Guards against a fleet whose polls alone exhaust the table service.
TEST_CASE("polls use at most half of the reads")
{
    CHECK(pollInterval(21) == kSecond);
    CHECK(pollInterval(1'270) == std::chrono::milliseconds(1'270));
}

// Guards against a process that goes back to an older revision.
TEST_CASE("late, duplicate and crossed offers never go back")
{
    Fixture f;
    ConfigFollower &a = f.followers_[0];
    ConfigFollower &b = f.followers_[1];
    CHECK(*f.poll(0) == false);
    CHECK(!a.offer());
    f.publish();
    CHECK(*f.poll(0));
    const ConfigOffer first = *a.offer();
    f.publish();
    CHECK(*f.poll(0));
    const ConfigOffer second = *a.offer();
    CHECK(*b.offerContent(second));
    CHECK(*b.offerContent(first) == false);
    CHECK(*b.offerContent(second) == false);
    b.offerRevision(1);
    CHECK(b.missingRevision() == std::nullopt);
    CHECK(f.held(1) == 2);
    const std::uint64_t changes = b.changeCount();
    CHECK(*f.poll(1) == false);
    CHECK(b.changeCount() == changes);
}

// Guards against a process without a usable configuration because of one bad object.
TEST_CASE("a missing or broken object keeps the last good revision")
{
    Fixture f;
    ConfigFollower &a = f.followers_[0];
    f.publish();
    REQUIRE(f.poll(0));
    const TimePoint confirmed = a.confirmedUntil();
    f.clock_.advance(kSecond);
    RevisionRow row = *f.store_.revisions(f.deadline());
    const RowVersion version = (*f.table_.read("config/current", f.deadline()))->version_;
    row = row.advanced(sha256Hex("missing"), "attempt");
    REQUIRE(f.table_.write("config/current", toJson(row), version, f.deadline()));
    CHECK(f.poll(0).error().code_ == ErrorCode::StaleConfiguration);
    REQUIRE(f.objects_.put(contentObjectName(sha256Hex("missing")), "{}", f.deadline()));
    CHECK(f.poll(0).error().code_ == ErrorCode::InvalidConfiguration);
    CHECK(f.held(0) == 1);
    CHECK(a.missingRevision() == 2);
    // What can't be read may hold a withdrawal, so it doesn't confirm.
    CHECK(a.confirmedUntil() == confirmed);

    ConfigOffer offer = *a.offer();
    offer.revision_ = 2;
    CHECK(a.offerContent(offer).error().code_ == ErrorCode::InvalidConfiguration);
    offer.revision_ = 3;
    offer.canonicalJson_.pop_back();
    CHECK(a.offerContent(offer).error().code_ == ErrorCode::InvalidConfiguration);
    CHECK(f.held(0) == 1);
}

// Guards against a store outage that stops a new process or the spreading of a revision.
TEST_CASE("peers supply content and withdrawals while the store is down")
{
    Fixture f;
    ConfigFollower &a = f.followers_[0];
    ConfigFollower &b = f.followers_[1];
    f.publish();
    REQUIRE(f.poll(0));
    f.setDown(true);
    CHECK(f.poll(1).error().code_ == ErrorCode::StoreUnavailable);
    CHECK(b.offerWithdrawals({"key-a"}));
    b.offerRevision(1);
    CHECK(b.missingRevision() == 1);
    CHECK(*b.offerContent(*a.offer()));
    CHECK(b.snapshot()->findKey("secret-a").error().code_ == ErrorCode::KeyWithdrawn);
    CHECK(b.snapshot()->findKey("secret-b"));
    CHECK(!b.offerWithdrawals({"key-a"}));
    CHECK(b.pendingWithdrawals() == std::set<std::string>{"key-a"});

    // A revision without the withdrawal doesn't bring the key back; one with it takes it over.
    f.setDown(false);
    f.publish();
    REQUIRE(*f.poll(1));
    CHECK(!b.snapshot()->isKeyActive("key-a"));
    REQUIRE(f.store_.withdrawKeys(b.pendingWithdrawals(), f.deadline()));
    REQUIRE(*f.poll(1));
    CHECK(b.pendingWithdrawals().empty());
    CHECK(!b.snapshot()->isKeyActive("key-a"));
    CHECK(!b.offerWithdrawals({"key-a"}));
}

// Guards against a process that is cut off and goes on admitting a withdrawn key.
TEST_CASE("keyed requests are admitted only until the confirmed deadline")
{
    Fixture f;
    ConfigFollower &a = f.followers_[0];
    f.publish();
    CHECK(!a.admitsKeyedRequests());
    REQUIRE(f.poll(0));
    CHECK(a.confirmedUntil() == f.clock_.now() + kConfirmation);
    f.setDown(true);
    f.clock_.advance(kConfirmation - kSecond);
    CHECK(!f.poll(0));
    CHECK(a.admitsKeyedRequests());

    // A majority confirms from the time of asking, not of the answer; late answers don't shorten.
    const TimePoint asked = f.clock_.now();
    f.clock_.advance(kSecond);
    CHECK(!a.admitsKeyedRequests());
    a.confirmByWitnesses(1, asked);
    a.confirmByWitnesses(1, asked - kSecond);
    CHECK(a.confirmedUntil() == asked + kConfirmation);

    // Witnesses that know of a newer revision confirm only once it is held.
    f.setDown(false);
    f.publish();
    const TimePoint later = f.clock_.now();
    a.confirmByWitnesses(2, later);
    CHECK(a.confirmedUntil() == asked + kConfirmation);
    CHECK(a.missingRevision() == 2);
    REQUIRE(f.poll(1));
    REQUIRE(*a.offerContent(*f.followers_[1].offer()));
    CHECK(a.confirmedUntil() == later + kConfirmation);
}

// Guards against an offer of a revision that doesn't exist, which would be looked for for ever.
TEST_CASE("a poll settles a wrong offer")
{
    Fixture f;
    f.publish();
    f.followers_[0].offerRevision(99);
    CHECK(f.followers_[0].missingRevision() == 99);
    REQUIRE(f.poll(0));
    CHECK(f.followers_[0].missingRevision() == std::nullopt);
}

// Guards against orders of events that the cases above don't have.
TEST_CASE("any order of polls, offers, withdrawals and faults keeps the invariants")
{
    CHECK(rc::check([] {
        constexpr int kFollowers = 3;
        Fixture f(kFollowers);
        std::deque<ConfigOffer> old;
        std::vector<std::uint64_t> held(kFollowers, 0);
        std::vector<bool> withdrawn(kFollowers, false);
        std::uint64_t published = f.publish();
        bool isDown = false;
        for (const int op : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 70))) {
            const int i = op % kFollowers;
            ConfigFollower &follower = f.followers_[static_cast<std::size_t>(i)];
            switch (op / 10) {
            case 0:
                isDown = !isDown;
                f.setDown(isDown);
                break;
            case 1:
                if (!isDown)
                    published = f.publish();
                break;
            case 2:
            case 3:
                RC_ASSERT(follower.poll(f.deadline()).has_value() == !isDown);
                if (!isDown)
                    RC_ASSERT(f.held(i) == published);
                if (const auto offer = follower.offer())
                    old.push_back(*offer);
                break;
            case 4:
                if (!old.empty())
                    RC_ASSERT(follower.offerContent(old[op % old.size()]).has_value());
                break;
            case 5:
                follower.offerWithdrawals({"key-a"});
                withdrawn[static_cast<std::size_t>(i)] = true;
                break;
            default:
                f.clock_.advance(kSecond * op % 7);
            }
            for (int j = 0; j < kFollowers; ++j) {
                const auto at = static_cast<std::size_t>(j);
                RC_ASSERT(f.held(j) >= held[at]);
                held[at] = f.held(j);
                const auto snapshot = f.followers_[at].snapshot();
                // Not one expression: the macro would evaluate both sides of ||.
                if (snapshot && withdrawn[at])
                    RC_ASSERT(!snapshot->isKeyActive("key-a"));
                if (snapshot)
                    RC_ASSERT(snapshot->findWorkspace("north")->rate_
                              == static_cast<std::int64_t>(snapshot->revision()));
            }
        }
    }));
}

} // namespace
} // namespace foxtailturn
