#include "config/config_store.h"

#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "base/hash.h"
#include "config/test_content.h"
#include "storage/memory_platform.h"

namespace foxtailturn {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(5);

// A table whose next write has a lost answer, with or without effect, and which runs a hook before
// the publisher can read back.
class LossyTable final : public TableService
{
public:
    enum class Loss { None, Answer, Request };

    Result<std::optional<Row>> read(const std::string &key, TimePoint deadline) override
    {
        return rows_.read(key, deadline);
    }

    Result<RowVersion> write(const std::string &key, const std::string &value, RowVersion expected,
                             TimePoint deadline) override
    {
        const Loss loss = std::exchange(loss_, Loss::None);
        const auto send = [=, this] { return rows_.write(key, value, expected, deadline); };
        Result<RowVersion> result = loss == Loss::Request ? Result<RowVersion>(0) : send();
        lastLost_ = send;
        const auto hook = loss == Loss::None ? nullptr : std::exchange(afterLoss_, nullptr);
        if (hook)
            hook();
        if (loss != Loss::None)
            return outcomeUnknown(ErrorCode::StoreUnavailable, "answer lost");
        return result;
    }

    Result<void> remove(const std::string &key, RowVersion expected, TimePoint deadline) override
    {
        return rows_.remove(key, expected, deadline);
    }

    Result<std::vector<Row>> scan(const std::string &prefix, TimePoint deadline) override
    {
        return rows_.scan(prefix, deadline);
    }

    MemoryTable rows_;
    Loss loss_ = Loss::None;
    std::function<void()> afterLoss_;
    std::function<Result<RowVersion>()> lastLost_;
};

template <typename Table>
struct Fixture
{
    ManualClock clock_;
    Table table_;
    MemoryObjects objects_;
    ConfigStore store_{table_, objects_, clock_, [this](Duration step) { clock_.advance(step); }};

    TimePoint deadline() const { return clock_.now() + kTimeout; }

    PublishResult publish(std::int64_t rate, std::uint64_t expected)
    {
        ConfigurationContent content = testContent();
        content.workspaces_[0].rate_ = rate;
        return store_.publish(content, expected, deadline());
    }

    std::int64_t rate() { return (*store_.load(deadline()))->findWorkspace("north")->rate_; }
    std::uint64_t revision() { return store_.revisions(deadline())->revision(); }
};

// Guards against an operator who overwrites a change that he hasn't seen.
TEST_CASE("publish refuses when another revision is in force, and tells which")
{
    Fixture<MemoryTable> f;
    CHECK(*f.publish(1, 0) == Published{1, true});
    CHECK(*f.publish(2, 1) == Published{2, true});
    CHECK(*f.publish(2, 2) == Published{2, false});
    const PublishResult late = f.publish(3, 1);
    REQUIRE(!late);
    CHECK(late.error().error_.code_ == ErrorCode::StoreConflict);
    CHECK(late.error().error_.execution_ == Execution::NotRun);
    CHECK(late.error().currentRevision_ == 2);
    CHECK(f.rate() == 2);
}

// Guards against the same in the moment between reading and writing the row.
TEST_CASE("a racing operator gets a conflict, a racing withdrawal is retried")
{
    Fixture<MemoryTable> f;
    REQUIRE(f.publish(1, 0));
    const auto race = [&](std::int64_t rate) {
        f.table_.setBeforeWrite([&f, rate](const std::string &) {
            f.table_.setBeforeWrite(nullptr);
            REQUIRE(f.publish(rate, f.revision()));
        });
    };
    race(2);
    const PublishResult loser = f.publish(3, 1);
    REQUIRE(!loser);
    CHECK(loser.error().error_.code_ == ErrorCode::StoreConflict);
    CHECK(loser.error().currentRevision_ == 2);
    race(4);
    CHECK(*f.store_.withdrawKeys({"key-a"}, f.deadline()) == Published{4, true});
    CHECK(f.rate() == 4);
    CHECK(!(*f.store_.load(f.deadline()))->isKeyActive("key-a"));
}

// Guards against an accepted revision that is reported as failed, and the other way round.
TEST_CASE("a lost answer is settled by reading back")
{
    using Loss = LossyTable::Loss;
    for (const Loss loss : {Loss::Answer, Loss::Request}) {
        for (const bool isOvertaken : {false, true}) {
            CAPTURE(static_cast<int>(loss));
            CAPTURE(isOvertaken);
            Fixture<LossyTable> f;
            REQUIRE(f.publish(1, 0));
            f.table_.loss_ = loss;
            if (isOvertaken)
                f.table_.afterLoss_ = [&f] { REQUIRE(f.publish(9, f.revision())); };
            const PublishResult result = f.publish(2, 1);
            const bool isAccepted = loss == Loss::Answer || !isOvertaken;
            REQUIRE(result.has_value() == isAccepted);
            if (result)
                CHECK(result->revision_ == 2);
            else
                CHECK(result.error().error_.code_ == ErrorCode::StoreConflict);
            CHECK(f.rate() == (isOvertaken ? 9 : 2));
        }
    }
}

// Guards against a guess about an attempt that the row no longer remembers, and against calling a
// plain conflict unknown because of it.
TEST_CASE("more revisions than the row remembers")
{
    for (const bool isAnswerLost : {false, true}) {
        CAPTURE(isAnswerLost);
        Fixture<LossyTable> f;
        REQUIRE(f.publish(1, 0));
        const auto overtake = [&f] {
            for (std::int64_t rate = 100; rate < 130; ++rate)
                REQUIRE(f.publish(rate, f.revision()));
        };
        if (isAnswerLost)
            f.table_.loss_ = LossyTable::Loss::Answer;
        if (isAnswerLost)
            f.table_.afterLoss_ = overtake;
        else
            f.table_.rows_.setBeforeWrite([&](const std::string &) {
                f.table_.rows_.setBeforeWrite(nullptr);
                overtake();
            });
        const PublishResult result = f.publish(2, 1);
        REQUIRE(!result);
        CHECK(result.error().error_.execution_
              == (isAnswerLost ? Execution::OutcomeUnknown : Execution::NotRun));
        CHECK((result.error().error_.code_ == ErrorCode::StoreConflict) == !isAnswerLost);
    }
}

// Guards against a lost request that arrives late and reverts what was published since.
TEST_CASE("a late write has no effect after it was settled")
{
    Fixture<LossyTable> f;
    REQUIRE(f.publish(1, 0));
    f.table_.loss_ = LossyTable::Loss::Request;
    std::function<Result<RowVersion>()> late;
    f.table_.afterLoss_ = [&] { late = f.table_.lastLost_; };
    REQUIRE(f.publish(2, 1));
    REQUIRE(f.publish(3, 2));
    CHECK(late().error().code_ == ErrorCode::StoreConflict);
    CHECK(f.rate() == 3);
}

// Guards against a wrong execution state, on which operators decide whether to repeat.
TEST_CASE("failures of the store")
{
    Fixture<MemoryTable> f;
    REQUIRE(f.publish(1, 0));
    f.objects_.setDown(true);
    CHECK(f.publish(2, 1).error().error_.execution_ == Execution::NotRun);
    f.objects_.setDown(false);
    CHECK(f.revision() == 1);

    f.table_.setFault(TableFault::Down);
    CHECK(f.publish(2, 1).error().error_.code_ == ErrorCode::StoreUnavailable);
    CHECK(f.publish(2, 1).error().error_.execution_ == Execution::NotRun);

    f.table_.setFault(TableFault::DropWrite);
    const TimePoint start = f.clock_.now();
    CHECK(f.publish(2, 1).error().error_.execution_ == Execution::OutcomeUnknown);
    CHECK(f.clock_.now() - start <= kTimeout + std::chrono::seconds(1));
    f.table_.setFault(TableFault::None);
    CHECK(*f.publish(2, 1) == Published{2, true});

    // The object is written, the row is not: nothing is in force, and a repetition succeeds.
    f.table_.setBeforeWrite([&](const std::string &) { f.table_.setFault(TableFault::Down); });
    CHECK(f.publish(3, 2).error().error_.execution_ == Execution::NotRun);
    f.table_.setBeforeWrite(nullptr);
    f.table_.setFault(TableFault::None);
    CHECK(f.rate() == 2);
    CHECK(*f.publish(3, 2) == Published{3, true});
}

// Guards against an apply that brings a withdrawn key back or loses an issued one.
TEST_CASE("keys carry over to the next revision")
{
    Fixture<MemoryTable> f;
    REQUIRE(f.publish(1, 0));
    const Key issued{"key-i", "north", sha256Hex("secret-i"), true, false};
    CHECK(f.store_.addKey(issued, f.deadline())->isChanged_);
    CHECK(!f.store_.addKey(issued, f.deadline())->isChanged_);
    Key other = issued;
    other.hash_ = sha256Hex("another");
    CHECK(f.store_.addKey(other, f.deadline()).error().error_.code_
          == ErrorCode::InvalidConfiguration);
    other = Key{"key-x", "nowhere", sha256Hex("another"), true, false};
    CHECK(f.store_.addKey(other, f.deadline()).error().error_.code_
          == ErrorCode::InvalidConfiguration);
    REQUIRE(f.store_.withdrawKeys({"key-a", "key-unknown"}, f.deadline()));

    ConfigurationContent next = testContent();
    std::erase_if(next.keys_, [](const Key &key) { return key.id_ == "key-w"; });
    REQUIRE(f.store_.publish(next, f.revision(), f.deadline()));
    const auto configuration = *f.store_.load(f.deadline());
    CHECK(configuration->findKey("secret-i"));
    CHECK(configuration->findKey("secret-a").error().code_ == ErrorCode::KeyWithdrawn);
    CHECK(configuration->findKey("secret-w").error().code_ == ErrorCode::KeyWithdrawn);

    next.workspaces_.erase(next.workspaces_.begin());
    std::erase_if(next.keys_, [](const Key &key) { return key.workspace_ == "north"; });
    next.adapters_.clear();
    REQUIRE(f.store_.publish(next, f.revision(), f.deadline()));
    CHECK((*f.store_.load(f.deadline()))->findKey("secret-i").error().code_
          == ErrorCode::KeyWithdrawn);
}

// Guards against an accepted change that a concurrent one overwrites.
TEST_CASE("concurrent operators lose no accepted change")
{
    constexpr int kOperators = 4;
    constexpr int kKeys = 20;
    MemoryTable table;
    MemoryObjects objects;
    SystemClock clock;
    ConfigStore store(table, objects, clock);
    const TimePoint deadline = clock.now() + std::chrono::seconds(60);
    REQUIRE(store.publish(testContent(), 0, deadline));
    std::vector<std::thread> operators;
    operators.reserve(kOperators);
    std::atomic<int> failures = 0;
    for (int i = 0; i < kOperators; ++i) {
        operators.emplace_back([&, i] {
            for (int n = 0; n < kKeys; ++n) {
                const std::string id = "k" + std::to_string(i) + "-" + std::to_string(n);
                failures += store.addKey({id, "north", sha256Hex(id), true}, deadline) ? 0 : 1;
                failures += store.withdrawKeys({id}, deadline) ? 0 : 1;
            }
        });
    }
    for (std::thread &thread : operators)
        thread.join();
    CHECK(failures == 0);
    const auto configuration = *store.load(deadline);
    CHECK(configuration->revision() == 1 + 2 * kOperators * kKeys);
    for (const Key &key : configuration->content().keys_)
        CHECK(key.withdrawn_ == (key.id_ != "key-a" && key.id_ != "key-b"));
}

} // namespace
} // namespace foxtailturn
