#pragma once

// Where the caller of an event stream stands, and which events of a further run go on from there.
//
//     StreamPosition position(lastEventIdOfTheCaller);
//     position.beginRun();
//     switch (position.place(event)) { ... }        // for each event that a target sends
//     if (!position.gap())
//         askAnotherTarget(position.lastId());      // a new run can be joined
//
// The ids of events are decimal integers that increase. A run that is joined to an earlier one must
// show by its ids where it stands: it goes on behind the last event that the caller has, or begins
// anew and reaches that event.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/event_splitter.h"

namespace foxtailturn::gateway {

// Why no further run can be joined to a stream, or a run can't.
enum class PositionGap {
    EventWithoutId, // an event has no id that is a decimal integer
    IdsNotIncreasing,
    EventMissing, // the run does not contain the last event that the caller has
};

// Returns the name of a gap in logs and metrics. Thread-safe.
[[nodiscard]] std::string_view positionGapName(PositionGap gap);

// What to do with an event of the run under way.
enum class EventPlace {
    Next, // forward it
    Known, // skip it: the caller has it
    Unknown, // the run can't be joined; gapOfRun() tells why
};

// Not thread-safe.
class StreamPosition
{
public:
    // callersId: the last event that the caller has of an earlier answer; nullopt if it asks for
    // the whole stream.
    explicit StreamPosition(const std::optional<std::string> &callersId);

    // Begins a run at a target. Precondition: gap() is nullopt.
    void beginRun();

    // Places the next event of the run, and counts it as forwarded if it is the next one.
    // Precondition: the event is not a comment, and no event of the run was Unknown.
    [[nodiscard]] EventPlace place(const StreamEvent &event);

    // Returns whether the run has come up to the last event that the caller has, as far as it
    // shows.
    [[nodiscard]] bool hasReachedCaller() const;

    // Returns why no further run can go on behind the last forwarded event; nullopt if one can.
    [[nodiscard]] std::optional<PositionGap> gap() const { return gap_; }

    // Returns why the run under way can't be joined; nullopt if it can.
    [[nodiscard]] std::optional<PositionGap> gapOfRun() const { return gapOfRun_; }

    // Returns the id behind which the next run goes on; nullopt before the first event.
    [[nodiscard]] std::optional<std::string> lastId() const;

    bool operator==(const StreamPosition &) const = default;

private:
    [[nodiscard]] EventPlace placeInFirstRun(std::optional<std::int64_t> number);
    [[nodiscard]] EventPlace placeInFurtherRun(std::optional<std::int64_t> number);
    [[nodiscard]] EventPlace reject(PositionGap gap);

    std::optional<std::int64_t> last_; // id of the last event that the caller has
    bool hasForwarded_ = false;
    std::optional<PositionGap> gap_;

    bool mustJoin_ = false; // the run has to go on behind last_
    std::optional<std::int64_t> lastOfRun_;
    std::optional<PositionGap> gapOfRun_;
};

} // namespace foxtailturn::gateway
