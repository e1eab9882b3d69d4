#pragma once

// Answers of targets that end in every way, for tests of what a caller makes of them.
//
//     for (const Attempt &attempt : allAttempts(setup))
//         feed(answerOf(setup, attempt, index, lastEventId).bytes_);

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "http1/message.h"

namespace foxtailturn::gateway {

constexpr int kEvents = 4; // of a whole stream

enum class Route { Resumable, Stream, Plain, LargePlain, AtMostOnce };
enum class Caller { Http11, Http10, HasFirstEvent };
enum class Place {
    InsideHead,
    BehindHead,
    BetweenEvents,
    InsideEvent,
    BeforeEmptyLine,
    InsideChunkSize,
    BeforeLastChunk,
    InTrailer,
    End,
};
enum class How { Stated, Close, Reset, Silence };
enum class Ids {
    All,
    Some, // every other event
    None, // the stream begins anew, as the target can't know where to go on
    Repeated, // the same id twice; begins anew
    Anew, // all, and the stream begins anew all the same
};

struct Setup
{
    Route route_ = Route::Resumable;
    Caller caller_ = Caller::Http11;
    std::string lineEnd_ = "\n";
    int idStep_ = 1; // between the ids of two events
    std::size_t portion_ = 0; // bytes that are read at once; 0: all

    [[nodiscard]] bool isStream() const
    {
        return route_ == Route::Resumable || route_ == Route::Stream;
    }
    [[nodiscard]] bool isRepeatable() const
    {
        return route_ == Route::Resumable || route_ == Route::Plain || route_ == Route::LargePlain;
    }
    [[nodiscard]] std::optional<std::string> callersId() const
    {
        return caller_ == Caller::HasFirstEvent ? std::optional(std::to_string(idStep_))
                                                : std::nullopt;
    }
};

struct Attempt
{
    BodyFraming framing_ = BodyFraming::Length;
    Place place_ = Place::End;
    How how_ = How::Stated;
    Ids ids_ = Ids::All;
    int status_ = 200;

    [[nodiscard]] bool isInsideEvent() const
    {
        return place_ == Place::InsideEvent || place_ == Place::BeforeEmptyLine;
    }
    [[nodiscard]] bool hasAllEvents() const
    {
        return place_ == Place::End || place_ == Place::BeforeLastChunk
            || place_ == Place::InTrailer;
    }
};

// An answer as a target sends it.
struct Sent
{
    std::string bytes_;
    std::string body_;
    int first_ = 1; // number of its first event
    int last_ = 0; // of the last whole one; first_ - 1 if there is none
    bool isFirstNumbered_ = false; // the first event has an id
};

// Returns each way in which a target may answer.
[[nodiscard]] std::vector<Attempt> allAttempts(const Setup &setup);

// Returns the answer of a target that is asked to go on behind an event. index counts the attempts
// of a request from 0; a later one comes further before it breaks off.
[[nodiscard]] Sent answerOf(const Setup &setup, const Attempt &attempt, int index,
                            const std::optional<std::string> &lastEventId);

} // namespace foxtailturn::gateway
