#include <doctest/doctest.h>

#include <memory>

#include "lease/lease_holder.h"
#include "lease/lease_reclaimer.h"
#include "lease/witness_log.h"
#include "storage/memory_platform.h"

namespace foxtailturn {
namespace {

using std::chrono::milliseconds;

const TimePoint kNoDeadline = TimePoint::max();

// One holder, three witnesses and a reclaimer that exchange messages by direct calls.
struct LeaseFixture final : WitnessClient
{
    std::vector<FenceAnswer> fence(const std::vector<FenceRequest> &requests, TimePoint) override
    {
        std::vector<FenceAnswer> answers;
        for (const FenceRequest &request : requests) {
            if (const auto it = witnesses_.find(request.witness_); it != witnesses_.end())
                answers.push_back(it->second->onFence(request));
        }
        return answers;
    }

    void acquire() { REQUIRE(holder_.acquire({"w1", "w2", "w3"}, kNoDeadline)); }

    // Runs one renewal round that reaches only the given witnesses.
    void contact(const std::set<std::string> &reached)
    {
        for (const WitnessContact &contact : holder_.startContacts()) {
            const auto it = witnesses_.find(contact.witness_);
            if (reached.count(contact.witness_) != 0 && it != witnesses_.end())
                holder_.onAnswer(it->second->onContact(contact));
        }
    }

    // Replaces a witness by a new incarnation.
    void restart(const std::string &name)
    {
        witnesses_.erase(name);
        addWitness(name + ".2");
    }

    void addWitness(const std::string &name)
    {
        witnesses_[name] = std::make_unique<WitnessLog>(name, clock_);
    }

    // Returns whether the reclaimer fences the holder after the given time without renewal.
    bool reclaim(Duration idleTime = kLeaseLength + kLeaseMargin)
    {
        REQUIRE(reclaimer_.run(kNoDeadline));
        clock_.advance(idleTime);
        return !reclaimer_.run(kNoDeadline)->ended_.empty();
    }

    LeaseFixture()
    {
        for (const char *name : {"w1", "w2", "w3"})
            addWitness(name);
    }

    ManualClock clock_;
    MemoryTable table_;
    std::map<std::string, std::unique_ptr<WitnessLog>> witnesses_;
    LeaseHolder holder_{"h", kLeaseLength, clock_, table_};
    LeaseReclaimer reclaimer_{kLeaseMargin, clock_, table_, *this};
};

// Guards against computing the deadline from the time of the answer instead of that of the call.
TEST_CASE("the deadline is computed from the time of sending")
{
    LeaseFixture fixture;
    const TimePoint sentAt = fixture.clock_.now();
    fixture.table_.setBeforeWrite(
        [&](const std::string &) { fixture.clock_.advance(kLeaseMargin); });
    fixture.acquire();
    CHECK(fixture.holder_.deadline() == sentAt + kLeaseLength);
    const std::vector<WitnessContact> contacts = fixture.holder_.startContacts();
    const TimePoint startedAt = fixture.clock_.now();
    fixture.clock_.advance(milliseconds(700));
    for (const WitnessContact &contact : contacts)
        fixture.holder_.onAnswer(fixture.witnesses_[contact.witness_]->onContact(contact));
    CHECK(fixture.holder_.deadline() == startedAt + kLeaseLength);
    fixture.clock_.advance(startedAt + kLeaseLength - fixture.clock_.now());
    CHECK_FALSE(fixture.holder_.isHeld());
}

// Guards against losing or wrongly extending a lease when the answer of a write is lost.
TEST_CASE("a renewal whose answer is lost is resolved by reading the row back")
{
    struct Case
    {
        TableFault fault_;
        bool isRenewed_;
    };
    for (const Case &c : {Case{TableFault::Down, false}, Case{TableFault::DropWrite, false},
                          Case{TableFault::LoseWriteAnswer, true}}) {
        CAPTURE(static_cast<int>(c.fault_));
        LeaseFixture fixture;
        fixture.acquire();
        const TimePoint before = fixture.holder_.deadline();
        fixture.clock_.advance(milliseconds(500));
        fixture.table_.setFault(c.fault_);
        CHECK(fixture.holder_.renew(kNoDeadline).has_value() == c.isRenewed_);
        CHECK((fixture.holder_.deadline() > before) == c.isRenewed_);
        fixture.table_.setFault(TableFault::None);
        CHECK(fixture.holder_.renew(kNoDeadline));
    }
}

// A write whose answer was lost is applied later and replaces the witnesses in the row.
TEST_CASE("majorities of both witness sets are needed until a delayed write is resolved")
{
    LeaseFixture fixture;
    fixture.acquire();
    fixture.holder_.setWitnesses({"w4", "w5", "w6"});
    fixture.table_.setFault(TableFault::DropWrite);
    const TimePoint writtenAt = fixture.clock_.now();
    REQUIRE_FALSE(fixture.holder_.renew(kNoDeadline));
    fixture.table_.setFault(TableFault::None);
    const TimePoint before = fixture.holder_.deadline();
    fixture.clock_.advance(milliseconds(100));
    fixture.contact({"w1", "w2", "w3"});
    CHECK(fixture.holder_.deadline() == before);
    for (const char *name : {"w4", "w5"})
        fixture.addWitness(name);
    fixture.contact({"w1", "w2", "w4", "w5"});
    CHECK(fixture.holder_.deadline() == fixture.clock_.now() + kLeaseLength);

    const Row row = **fixture.table_.read("leases/h", kNoDeadline);
    LeaseRow delayed{"h", LeaseState::Live, 2, kLeaseLength.count(), {"w4", "w5", "w6"}};
    REQUIRE(fixture.table_.write(row.key_, encodeLeaseRow(delayed), row.version_, writtenAt));
    CHECK(fixture.holder_.renew(kNoDeadline).error().code_ == ErrorCode::StoreConflict);
    CHECK(fixture.holder_.renew(kNoDeadline));
}

struct FenceCase
{
    const char *description_;
    std::set<std::string> contacted_; // shortly before the fence
    std::set<std::string> restarted_; // after the contacts
    bool isFenced_;
    bool isHeldAfter_;
};

// Guards against fencing a holder that still has its lease, and against never fencing a dead one.
TEST_CASE("a fence needs a majority of the row's witness incarnations without recent contact")
{
    const std::set<std::string> none;
    const FenceCase cases[] = {
        {"no contact with any witness", none, none, true, false},
        {"majority in contact", {"w1", "w2"}, none, false, true},
        {"minority in contact", {"w3"}, none, true, false},
        {"one witness restarted", none, {"w1"}, true, false},
        {"majority restarted", none, {"w1", "w2"}, false, false},
        {"restarted witness lost its record of a contact", {"w1", "w2"}, {"w1"}, false, true},
    };
    for (const FenceCase &c : cases) {
        CAPTURE(c.description_);
        LeaseFixture fixture;
        fixture.acquire();
        REQUIRE_FALSE(fixture.reclaim(kLeaseLength));
        fixture.contact(c.contacted_);
        for (const std::string &name : c.restarted_)
            fixture.restart(name);
        fixture.clock_.advance(kLeaseMargin);
        const Result<LeaseSurvey> survey = fixture.reclaimer_.run(kNoDeadline);
        CHECK(survey->ended_.empty() == !c.isFenced_);
        fixture.contact({"w1", "w2", "w3", "w1.2", "w2.2"});
        CHECK((fixture.holder_.deadline() > fixture.clock_.now()) == c.isHeldAfter_);
    }
}

// Guards against regaining a fenced lease, whether by witnesses or by the table.
TEST_CASE("a suspended holder that was fenced cannot renew")
{
    LeaseFixture fixture;
    fixture.acquire();
    REQUIRE(fixture.reclaim());
    CHECK_FALSE(fixture.holder_.isHeld());
    fixture.contact({"w1", "w2", "w3"});
    CHECK_FALSE(fixture.holder_.isHeld());
    CHECK(fixture.holder_.refusingWitnesses().size() == 3);
    CHECK(fixture.holder_.renew(kNoDeadline).error().code_ == ErrorCode::LeaseExpired);
    CHECK(fixture.holder_.isFenced());
    REQUIRE(fixture.reclaimer_.forget("h", kNoDeadline));
    CHECK(fixture.holder_.renew(kNoDeadline).error().code_ == ErrorCode::LeaseExpired);
}

// The holder writes its row between the witnesses' answers and the reclaimer's write.
TEST_CASE("a row changed before the fence is written prevents the fence")
{
    LeaseFixture fixture;
    fixture.acquire();
    fixture.table_.setBeforeWrite([&](const std::string &) {
        fixture.table_.setBeforeWrite(nullptr);
        REQUIRE(fixture.holder_.renew(kNoDeadline));
    });
    CHECK_FALSE(fixture.reclaim());
    CHECK(fixture.holder_.isHeld());
    CHECK_FALSE(fixture.reclaim(kLeaseLength)); // the observation period restarts
    CHECK(fixture.reclaim(kLeaseMargin));
}

// Guards against a fence by a witness that started too recently to know of earlier contacts.
TEST_CASE("a witness fences only after running for the required time without contact")
{
    ManualClock clock;
    WitnessLog log("w", clock);
    const FenceRequest request{"h", "w", 1000};
    clock.advance(Duration(999));
    CHECK_FALSE(log.onFence(request).fenced_);
    clock.advance(Duration(1));
    CHECK(log.onFence(request).fenced_);
    CHECK_FALSE(log.onContact({"h", "w", 1}).accepted_);
    CHECK_FALSE(log.onContact({"g", "w.old", 1}).accepted_);
}

// Guards against waiting for the lease of a stopped process to expire, and against its renewal.
TEST_CASE("a released lease ends immediately, even if the answer was lost")
{
    LeaseFixture fixture;
    fixture.acquire();
    fixture.table_.setFault(TableFault::LoseWriteAnswer);
    CHECK(fixture.holder_.release(kNoDeadline));
    fixture.table_.setFault(TableFault::None);
    CHECK_FALSE(fixture.holder_.isHeld());
    CHECK(fixture.reclaim(Duration(0)));
    CHECK(fixture.holder_.renew(kNoDeadline).error().code_ == ErrorCode::LeaseExpired);
}

// Guards against reporting the lease of a corrupt row as ended.
TEST_CASE("the lease of a row that cannot be parsed is reported as live")
{
    LeaseFixture fixture;
    REQUIRE(fixture.table_.write("leases/x", "{}", kAbsent, kNoDeadline));
    const Result<LeaseSurvey> survey = fixture.reclaimer_.run(kNoDeadline);
    REQUIRE(survey->live_.size() == 1);
    CHECK(survey->live_[0].holder_ == "x");
}

} // namespace
} // namespace foxtailturn
