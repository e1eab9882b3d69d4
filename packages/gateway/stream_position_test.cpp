#include "gateway/stream_position.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

// Places events with these ids; returns a letter for each: next, known or unknown.
std::string placesOf(StreamPosition &position, const std::vector<std::string> &ids)
{
    position.beginRun();
    std::string places;
    for (const std::string &id : ids) {
        const EventPlace place = position.place({.text_ = "", .id_ = id, .hasContent_ = true});
        places += place == EventPlace::Next ? 'n' : place == EventPlace::Known ? 'k' : 'u';
        if (place == EventPlace::Unknown)
            break;
    }
    return places;
}

} // namespace

// Guards against runs that are joined where their ids don't tell that they fit.
TEST_CASE("a further run is joined only where its ids show its place")
{
    using Ids = std::vector<std::string>;
    struct Case
    {
        Ids first_;
        Ids further_;
        std::string places_;
        std::optional<PositionGap> gap_;
    };
    const Case cases[] = {
        {{"1", "2"}, {"3", "4"}, "nn", std::nullopt}, // goes on
        {{"1", "2"}, {"1", "2", "3"}, "kkn", std::nullopt}, // begins anew
        {{"10", "20"}, {"30"}, "n", std::nullopt},
        {{"", "2"}, {"3"}, "n", std::nullopt},
        {{"1"}, {"1", "", "3"}, "knn", std::nullopt},
        {{"1", "", "3"}, {"1", "", "3", "4"}, "kkkn", std::nullopt},
        {{"1", "2"}, {""}, "u", PositionGap::EventWithoutId},
        {{"1", "2"}, {"x"}, "u", PositionGap::EventWithoutId},
        {{"1", "2"}, {"1", "3"}, "ku", PositionGap::EventMissing},
        {{"1", "2"}, {"3", "3"}, "nu", PositionGap::IdsNotIncreasing},
        {{"1", "2"}, {"1", "1"}, "ku", PositionGap::IdsNotIncreasing},
    };
    for (const Case &c : cases) {
        StreamPosition position(std::nullopt);
        REQUIRE(placesOf(position, c.first_) == std::string(c.first_.size(), 'n'));
        CHECK(placesOf(position, c.further_) == c.places_);
        CHECK(position.gapOfRun() == c.gap_);
        CHECK_FALSE(position.gap());
    }
}

// Guards against a further run that is asked for where nobody knows from where it should go on.
TEST_CASE("a stream has a gap behind an event that does not tell its place")
{
    struct Case
    {
        std::vector<std::string> ids_;
        std::optional<PositionGap> gap_;
        std::optional<std::string> lastId_;
    };
    const Case cases[] = {
        {{}, std::nullopt, std::nullopt},
        {{"7"}, std::nullopt, "7"},
        {{""}, PositionGap::EventWithoutId, std::nullopt},
        {{"1", ""}, PositionGap::EventWithoutId, "1"},
        {{"1", "1a"}, PositionGap::EventWithoutId, "1"},
        {{"1", "", "3"}, std::nullopt, "3"},
        {{"1", "1"}, PositionGap::IdsNotIncreasing, "1"},
        {{"2", "1", "3"}, PositionGap::IdsNotIncreasing, "1"},
    };
    for (const Case &c : cases) {
        StreamPosition position(std::nullopt);
        CHECK(placesOf(position, c.ids_) == std::string(c.ids_.size(), 'n'));
        CHECK(position.gap() == c.gap_);
        CHECK(position.lastId() == c.lastId_);
    }
}

// Guards against events that a caller has from an earlier answer.
TEST_CASE("the caller's own position is where its stream begins")
{
    StreamPosition position("2");
    CHECK(placesOf(position, {"1", "2", "3"}) == "kkn");
    CHECK(position.lastId() == "3");
    StreamPosition goesOn("2");
    CHECK(placesOf(goesOn, {"3", "4"}) == "nn");
    StreamPosition withoutIds("2");
    CHECK(placesOf(withoutIds, {"", ""}) == "nn");
    CHECK(withoutIds.gap() == PositionGap::EventWithoutId);
    StreamPosition opaque("abc");
    CHECK(placesOf(opaque, {"1"}) == "n");
}

// Guards against a run that ends as complete before the event behind which it should go on.
TEST_CASE("a run that ends before the caller's position has not reached it")
{
    StreamPosition position(std::nullopt);
    CHECK(placesOf(position, {"1", "2", "3"}) == "nnn");
    CHECK(placesOf(position, {"1", "2"}) == "kk");
    CHECK_FALSE(position.hasReachedCaller());
    CHECK(placesOf(position, {"1", "2", "3"}) == "kkk");
    CHECK(position.hasReachedCaller());
    CHECK(placesOf(position, {}).empty());
    CHECK(position.hasReachedCaller());
}

} // namespace foxtailturn::gateway
