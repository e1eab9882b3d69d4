#include "placement/evacuations.h"

#include <doctest/doctest.h>

namespace foxtailturn::placement {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr Duration kNotice = seconds(5);

TimePoint at(int millis)
{
    return kStart + milliseconds(millis);
}

// What the store tells, at a time in milliseconds.
enum class News { Put, StalePut, Remove, Snapshot, EmptySnapshot, Copy, EmptyCopy, Tick };

struct Event
{
    int at_ = 0;
    News news_ = News::Tick;
    std::string dataCentre_ = "a";
};

void apply(Evacuations &evacuations, const Event &event)
{
    const EvacuationRow row{event.dataCentre_, {1, event.at_}, event.news_ == News::Remove};
    const TimePoint now = at(event.at_);
    switch (event.news_) {
    case News::Put:
    case News::Remove:
        evacuations.applyChanges({row}, RowAge::Fresh, now);
        break;
    case News::StalePut:
        evacuations.applyChanges({row}, RowAge::Unknown, now);
        break;
    case News::Snapshot:
        evacuations.applySnapshot({row}, {}, now);
        break;
    case News::EmptySnapshot:
        evacuations.applySnapshot({}, {}, now);
        break;
    case News::Copy:
        evacuations.applyCopy({row}, now);
        break;
    case News::EmptyCopy:
        evacuations.applyCopy({}, now);
        break;
    case News::Tick:
        evacuations.confirmCopy(now);
        break;
    }
}

} // namespace

// Guards against requests to a data centre that is evacuated, and against one that stays unused
// after it was taken back, in whatever order the store tells it.
TEST_CASE("an evacuation holds until its row is removed")
{
    struct Case
    {
        std::vector<Event> events_;
        int at_ = 0;
        std::set<std::string> evacuated_;
        std::set<std::string> closed_;
        std::optional<int> takenBackAt_; // data centre a
    };
    const Case cases[] = {
        {{}, 0, {}, {}, {}},
        {{{0, News::Put}}, 1999, {"a"}, {}, {}},
        {{{0, News::Put}}, 2000, {"a"}, {"a"}, {}},
        {{{0, News::StalePut}}, 0, {"a"}, {"a"}, {}},
        {{{0, News::Snapshot}}, 0, {"a"}, {"a"}, {}},
        {{{0, News::Put}, {1500, News::Put}}, 2000, {"a"}, {"a"}, {}}, // the same again
        {{{0, News::Put}, {1500, News::Snapshot}}, 2000, {"a"}, {"a"}, {}},
        {{{0, News::Put}, {3000, News::Remove}}, 3000, {}, {}, 3000},
        {{{0, News::Put}, {1000, News::Remove}}, 3000, {}, {}, 1000},
        {{{0, News::Put}, {3000, News::EmptySnapshot}}, 3000, {}, {}, 3000},
        {{{0, News::Remove}}, 0, {}, {}, {}},
        // Twice the same, the second time while requests return.
        {{{0, News::Put}, {3000, News::Remove}, {4000, News::Put}}, 5999, {"a"}, {}, {}},
        {{{0, News::Put}, {3000, News::Remove}, {4000, News::Put}}, 6000, {"a"}, {"a"}, {}},
        {{{0, News::Put}, {3000, News::Remove}, {4000, News::Put}, {4100, News::Remove}},
         9000,
         {},
         {},
         4100},
        // Two data centres in turn.
        {{{0, News::Put}, {1000, News::Put, "b"}}, 2500, {"a", "b"}, {"a"}, {}},
        {{{0, News::Put}, {1000, News::Put, "b"}, {2000, News::Remove}}, 3000, {"b"}, {"b"}, 2000},
        {{{0, News::Snapshot, "b"}, {1000, News::Snapshot}}, 1000, {"a"}, {"a"}, {}},
        // A store that has come back from a copy, which may lack the row, or its removal.
        {{{0, News::Put}, {3000, News::EmptyCopy}, {8999, News::Tick}}, 9000, {"a"}, {"a"}, {}},
        {{{0, News::Put}, {3000, News::EmptyCopy}, {9000, News::Tick}}, 9000, {}, {}, 9000},
        {{{0, News::Put}, {3000, News::EmptyCopy}, {5000, News::Put}, {9000, News::Tick}},
         9000,
         {"a"},
         {"a"},
         {}},
        {{{0, News::Put}, {3000, News::EmptyCopy}, {4000, News::EmptySnapshot}},
         5000,
         {"a"},
         {"a"},
         {}},
        {{{0, News::Put}, {3000, News::EmptyCopy}, {4000, News::EmptyCopy}, {9500, News::Tick}},
         9500,
         {"a"},
         {"a"},
         {}},
        {{{0, News::Put}, {3000, News::EmptyCopy}, {5000, News::Remove}}, 5000, {}, {}, 5000},
        {{{0, News::Put}, {3000, News::Copy}, {9000, News::Tick}}, 9000, {"a"}, {"a"}, {}},
        {{{0, News::Put}, {3000, News::Remove}, {4000, News::Copy}}, 4000, {"a"}, {"a"}, {}},
        {{{0, News::EmptyCopy}, {9000, News::Tick}}, 9000, {}, {}, {}},
    };
    for (const Case &c : cases) {
        Evacuations evacuations(kNotice);
        for (const Event &event : c.events_)
            apply(evacuations, event);
        INFO("case ", &c - cases);
        CHECK(evacuations.evacuated() == c.evacuated_);
        CHECK(evacuations.closed(at(c.at_)) == c.closed_);
        CHECK(evacuations.isEvacuated("a") == c.evacuated_.contains("a"));
        const std::optional<TimePoint> takenBackAt =
            c.takenBackAt_ ? std::optional(at(*c.takenBackAt_)) : std::nullopt;
        CHECK(evacuations.takenBackAt("a") == takenBackAt);
    }
}

// Guards against a jump of the load of the other data centres, and against urgent requests that
// wait for adapters first.
TEST_CASE("requests leave and return step by step, the least urgent ones first")
{
    struct Case
    {
        std::vector<Event> events_;
        int at_ = 0;
        std::array<double, 3> shares_{}; // by rank
    };
    const std::vector<Event> taken = {{0, News::Put}, {3000, News::Remove}};
    const Case cases[] = {
        {{}, 0, {1, 1, 1}},
        {{{0, News::Put}}, 0, {1, 1, 1}},
        {{{0, News::Put}}, 750, {0.625, 0.5, 0.25}},
        {{{0, News::Put}}, 1500, {0.25, 0, 0}},
        {{{0, News::Put}}, 2000, {0, 0, 0}},
        {{{0, News::StalePut}}, 0, {0, 0, 0}},
        {{{0, News::Put}, {750, News::Put}}, 750, {0.625, 0.5, 0.25}},
        {taken, 3000, {0, 0, 0}},
        {taken, 4500, {0.375, 0.5, 0.75}},
        {taken, 7000, {1, 1, 1}},
        // Taken back while requests leave: none that stayed leaves any more.
        {{{0, News::Put}, {750, News::Remove}}, 750, {0.625, 0.5, 0.25}},
        {{{0, News::Put}, {750, News::Remove}}, 2250, {0.625, 0.5, 0.75}},
        // Evacuated again while requests return: no more come than did then.
        {{taken[0], taken[1], {4500, News::Put}}, 4500, {0.375, 0.5, 0.75}},
        {{taken[0], taken[1], {4500, News::Put}}, 5250, {0.375, 0.5, 0.25}},
        {{taken[0], taken[1], {4500, News::Put}}, 6500, {0, 0, 0}},
    };
    for (const Case &c : cases) {
        Evacuations evacuations(kNotice);
        for (const Event &event : c.events_)
            apply(evacuations, event);
        INFO("case ", &c - cases);
        for (int rank = 0; rank < 3; ++rank)
            CHECK(evacuations.share("a", rank, at(c.at_)) == doctest::Approx(c.shares_.at(rank)));
        CHECK(evacuations.share("a", 9, at(c.at_)) == doctest::Approx(c.shares_[2]));
    }
}

// Guards against requests of one adapter that go back and forth.
TEST_CASE("a request that has left stays away until the data centre is taken back")
{
    Evacuations evacuations(kNotice);
    apply(evacuations, {0, News::Put});
    const MoveKey key{0, UINT64_MAX / 2};
    CHECK(evacuations.use("a", key, at(999)) == DataCentreUse::Open);
    CHECK(evacuations.use("a", key, at(1000)) == DataCentreUse::Avoided);
    CHECK(evacuations.closedOrAvoided(key, at(1000)) == std::set<std::string>{"a"});
    CHECK(evacuations.closed(at(1000)).empty());
    CHECK(evacuations.use("a", key, at(2000)) == DataCentreUse::Closed);
    apply(evacuations, {3000, News::Remove});
    CHECK(evacuations.use("a", key, at(4999)) == DataCentreUse::Avoided);
    CHECK(evacuations.use("a", key, at(5001)) == DataCentreUse::Open);
    CHECK(evacuations.use("b", key, at(5001)) == DataCentreUse::Open);
}

// Guards against steps where no bound says how long they may take.
TEST_CASE("without a notice all requests leave at once")
{
    Evacuations evacuations(Duration::zero());
    apply(evacuations, {0, News::Put});
    CHECK(evacuations.isClosed("a", at(0)));
}

// Guards against changes that are told twice, or not at all.
TEST_CASE("changes are told once")
{
    using Changes = Evacuations::Changes;
    Evacuations evacuations(kNotice);
    const Evacuations::Rows put = {{"a", {1, 5}}};
    CHECK(evacuations.applyChanges(put, RowAge::Fresh, kStart)
          == Changes{{"a", true, true, {1, 5}}});
    CHECK(evacuations.applySnapshot(put, {1, 6}, kStart).empty());
    CHECK(evacuations.applyChanges({{"a", {1, 7}, true}, {"b", {1, 8}}}, RowAge::Unknown, kStart)
          == Changes{{"a", false, true, {1, 7}}, {"b", true, false, {1, 8}}});
    CHECK(evacuations.applySnapshot({}, {1, 9}, kStart) == Changes{{"b", false, true, {1, 9}}});
}

} // namespace foxtailturn::placement
