#include "gateway/stream_position.h"

namespace foxtailturn::gateway {

std::string_view positionGapName(PositionGap gap)
{
    switch (gap) {
    case PositionGap::EventWithoutId:
        return "event_without_id";
    case PositionGap::IdsNotIncreasing:
        return "ids_not_increasing";
    case PositionGap::EventMissing:
        return "event_missing";
    }
    return "unknown";
}

StreamPosition::StreamPosition(const std::optional<std::string> &callersId)
    : last_(callersId ? eventNumber(*callersId) : std::nullopt)
{ }

void StreamPosition::beginRun()
{
    mustJoin_ = last_.has_value();
    lastOfRun_.reset();
    gapOfRun_.reset();
}

EventPlace StreamPosition::place(const StreamEvent &event)
{
    const std::optional<std::int64_t> number = eventNumber(event.id_);
    // The caller's own position was never shown to it by this answer: a run without ids is passed
    // on as it comes.
    if (mustJoin_ && !hasForwarded_ && !number && !lastOfRun_)
        mustJoin_ = false;
    const EventPlace place = mustJoin_ ? placeInFurtherRun(number) : placeInFirstRun(number);
    hasForwarded_ = hasForwarded_ || place == EventPlace::Next;
    return place;
}

EventPlace StreamPosition::placeInFirstRun(std::optional<std::int64_t> number)
{
    if (gap_ == PositionGap::IdsNotIncreasing)
        return EventPlace::Next;
    if (!number)
        gap_ = PositionGap::EventWithoutId;
    else if (last_ && *number <= *last_)
        gap_ = PositionGap::IdsNotIncreasing;
    else
        gap_.reset();
    if (number)
        last_ = number;
    return EventPlace::Next;
}

EventPlace StreamPosition::placeInFurtherRun(std::optional<std::int64_t> number)
{
    const bool isBehindCaller = lastOfRun_ && *lastOfRun_ < *last_;
    if (!number) {
        if (!lastOfRun_)
            return reject(PositionGap::EventWithoutId);
        if (isBehindCaller)
            return EventPlace::Known;
        gap_ = PositionGap::EventWithoutId;
        return EventPlace::Next;
    }
    if (lastOfRun_ && *number <= *lastOfRun_)
        return reject(PositionGap::IdsNotIncreasing);
    if (isBehindCaller && *number > *last_)
        return reject(PositionGap::EventMissing);
    lastOfRun_ = number;
    if (*number <= *last_)
        return EventPlace::Known;
    last_ = number;
    gap_.reset();
    return EventPlace::Next;
}

EventPlace StreamPosition::reject(PositionGap gap)
{
    gapOfRun_ = gap;
    return EventPlace::Unknown;
}

bool StreamPosition::hasReachedCaller() const
{
    return !mustJoin_ || !lastOfRun_ || *lastOfRun_ >= *last_;
}

std::optional<std::string> StreamPosition::lastId() const
{
    if (!hasForwarded_ || !last_)
        return std::nullopt;
    return std::to_string(*last_);
}

} // namespace foxtailturn::gateway
