#include "adapters/adapter_cache.h"

#include <map>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace foxtailturn {
namespace {

const Result<void> kDone = {};
const Result<void> kRefused = notRun(ErrorCode::AdapterLoadFailed, "refused");
const Result<void> kUnknown = outcomeUnknown(ErrorCode::ConnectionLost, "lost");

AdapterId id(int number)
{
    return AdapterId{std::to_string(number), "1"};
}

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::milliseconds(milliseconds));
}

void makeResident(AdapterCache &cache, const AdapterId &adapter, TimePoint now)
{
    REQUIRE(cache.beginLoad(adapter, now));
    cache.loadDone(adapter, kDone, now);
}

// Random orders, answers, lists and pins on an engine whose answers may be lost.
class CacheModel
{
public:
    void step()
    {
        using Step = void (CacheModel::*)();
        static constexpr Step kSteps[] = {
            &CacheModel::load, &CacheModel::load,  &CacheModel::evict,    &CacheModel::pin,
            &CacheModel::pin,  &CacheModel::unpin, &CacheModel::takeList, &CacheModel::applyList};
        now_ += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        (this->*kSteps[*rc::gen::inRange<std::size_t>(0, std::size(kSteps))])();
        for (const auto &[adapter, pin] : pins_)
            RC_ASSERT(engine_.contains(adapter));
        RC_ASSERT(cache_.adaptersInState(SlotState::Resident).size() <= kSlots);
    }

private:
    static constexpr std::size_t kSlots = 3;

    Result<void> answer(bool tookEffect) const
    {
        const bool lost = *rc::gen::inRange(0, 4) == 0;
        return lost ? kUnknown : (tookEffect ? kDone : kRefused);
    }

    void load()
    {
        const AdapterId adapter = id(*rc::gen::inRange(0, 6));
        if (!cache_.beginLoad(adapter, now_))
            return;
        const bool works = *rc::gen::arbitrary<bool>() && engine_.size() < kSlots;
        if (works)
            engine_.emplace(adapter, 0);
        cache_.loadDone(adapter, answer(works), now_);
    }

    void unload(const AdapterId &adapter)
    {
        RC_ASSERT(pins_.count(adapter) == 0);
        const bool works = *rc::gen::arbitrary<bool>();
        if (works)
            engine_.erase(adapter);
        cache_.evictionDone(adapter, answer(works), now_);
    }

    void evict()
    {
        const auto victim = cache_.chooseVictim(now_, [](const AdapterId &) { return false; });
        const AdapterId adapter = victim.value_or(id(0));
        const bool begun = cache_.beginEviction(adapter);
        RC_ASSERT(begun == victim.has_value());
        if (begun)
            unload(adapter);
    }

    void pin()
    {
        const AdapterId adapter = id(*rc::gen::inRange(0, 6));
        if (std::optional<Pin> pin = cache_.pin(adapter, now_))
            pins_.emplace(adapter, std::move(*pin));
    }

    void unpin()
    {
        if (!pins_.empty())
            pins_.erase(pins_.begin());
    }

    void takeList()
    {
        mark_ = cache_.changeMark();
        list_.clear();
        for (const auto &[adapter, running] : engine_)
            list_.push_back({adapter, static_cast<int>(pins_.count(adapter))});
    }

    // The list may have been taken many steps ago.
    void applyList()
    {
        if (!mark_)
            return;
        cache_.reconcile(list_, *mark_, now_);
        mark_.reset();
        for (const AdapterId &adapter : cache_.takeEvictionRetries())
            unload(adapter);
    }

    AdapterCache cache_{kSlots, leastExpectedUse()};
    std::map<AdapterId, int> engine_;
    std::multimap<AdapterId, Pin> pins_;
    std::optional<std::uint64_t> mark_;
    std::vector<EngineAdapter> list_;
    TimePoint now_;
};

// Guards against an adapter evicted while a request runs on it, and against a list that is older
// than an order bringing a removed adapter back.
TEST_CASE("AdapterCache keeps pinned adapters under random operations")
{
    CHECK(rc::check([] {
        CacheModel model;
        const int steps = *rc::gen::inRange(0, 300);
        for (int i = 0; i < steps; ++i)
            model.step();
    }));
}

// Guards against orders in a tight loop for an adapter that cannot be loaded.
TEST_CASE("AdapterCache backs off after failed loads")
{
    AdapterCache cache(2, leastExpectedUse());
    REQUIRE(cache.beginLoad(id(1), at(0)));
    cache.loadDone(id(1), kRefused, at(0));
    CHECK(cache.state(id(1)) == SlotState::Absent);
    CHECK(cache.backOffUntil(id(1), at(499)) == at(500));
    CHECK(!cache.beginLoad(id(1), at(499)));
    REQUIRE(cache.beginLoad(id(1), at(500)));
    cache.loadDone(id(1), kRefused, at(500));
    CHECK(cache.backOffUntil(id(1), at(500)) == at(1500));
    makeResident(cache, id(1), at(1500));
    CHECK(cache.backOffUntil(id(1), at(1500)) == std::nullopt);
}

// Guards against eviction of an adapter that a restarted agent's predecessor still uses.
TEST_CASE("AdapterCache pins what the engine runs after a restart of the agent")
{
    AdapterCache cache(2, leastExpectedUse());
    const auto notWanted = [](const AdapterId &) { return false; };
    cache.reconcile({{id(1), 1}, {id(2), 0}}, cache.changeMark(), at(0));
    CHECK(cache.pinCount(id(1)) == 1);
    CHECK(!cache.beginEviction(id(1)));
    CHECK(cache.chooseVictim(at(0), notWanted) == id(2));
    CHECK(cache.needsReconciliation());
    cache.reconcile({{id(1), 0}, {id(2), 0}}, cache.changeMark(), at(1));
    CHECK(!cache.needsReconciliation());
    CHECK(cache.beginEviction(id(1)));
}

// Guards against a slot counted as free, or an adapter used, while the outcome of its order is
// unknown.
TEST_CASE("AdapterCache resolves orders of unknown outcome from the engine's list")
{
    AdapterCache cache(1, leastExpectedUse());
    REQUIRE(cache.beginLoad(id(1), at(0)));
    cache.loadDone(id(1), kUnknown, at(0));
    CHECK(!cache.pin(id(1), at(0)));
    CHECK(!cache.hasFreeSlot());
    cache.reconcile({{id(1), 0}}, cache.changeMark(), at(1));
    CHECK(cache.pin(id(1), at(1)));

    REQUIRE(cache.beginEviction(id(1)));
    cache.evictionDone(id(1), kUnknown, at(2));
    cache.reconcile({{id(1), 0}}, cache.changeMark(), at(3));
    CHECK(!cache.pin(id(1), at(3))); // the order may still take effect
    CHECK(cache.takeEvictionRetries() == std::vector<AdapterId>{id(1)});
    cache.evictionDone(id(1), kDone, at(4));
    CHECK(cache.hasFreeSlot());
}

// Guards against a scan over rarely used adapters that evicts popular ones.
TEST_CASE("AdapterCache evicts by the given policy")
{
    struct Case
    {
        KeepValue keepValue_;
        AdapterId victim_;
    };
    const Case cases[] = {{leastRecentlyUsed(), id(1)}, {leastExpectedUse(), id(2)}};
    for (const Case &c : cases) {
        AdapterCache cache(2, c.keepValue_);
        for (int i = 0; i < 10; ++i)
            cache.recordUse(id(1), at(i));
        cache.recordUse(id(2), at(20));
        makeResident(cache, id(1), at(10));
        makeResident(cache, id(2), at(20));
        CHECK(cache.chooseVictim(at(30), [](const AdapterId &) { return false; }) == c.victim_);
    }
}

// Guards against requests sent to adapters that a cold engine no longer has.
TEST_CASE("AdapterCache removes adapters that a restarted engine no longer lists")
{
    AdapterCache cache(2, leastExpectedUse());
    makeResident(cache, id(1), at(0));
    const std::optional<Pin> pin = cache.pin(id(1), at(0));
    cache.reconcile({}, cache.changeMark(), at(1));
    CHECK(cache.state(id(1)) == SlotState::Absent);
    CHECK(cache.hasFreeSlot());
}

} // namespace
} // namespace foxtailturn
