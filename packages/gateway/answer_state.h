#pragma once

// What the caller of a request has been told of its answer, against what the targets have told.
// Decides what is sent to the caller, and when an answer is complete, is broken off or may go on at
// another target. No I/O.
//
//     AnswerState state({.isStream_ = true, .isResumable_ = true});
//     state.beginAttempt();
//     send(state.onHead(head));
//     send(state.onBody(data));
//     AnswerStep step = state.onEnd();                // the body has ended as its framing says
//     if (step.verdict_ == AnswerVerdict::Failed && state.mayGoOn())
//         askAnotherTarget(state.resumeId());
//     else if (step.verdict_ == AnswerVerdict::Failed)
//         breakOff(state.breakOff());
//
// Only a last chunk, or a length that a target has stated, ends an answer for a caller that can
// read chunks, so whatever happens between here and the caller, a part of an answer never looks
// whole. A stream goes on at another target only behind an event that both know (StreamPosition).

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "callers/caller_service.h"
#include "gateway/event_splitter.h"
#include "gateway/read_limits.h"
#include "gateway/stream_position.h"
#include "http1/message.h"

namespace foxtailturn::gateway {

using callers::AnswerBreak;

// What the caller has asked for.
struct AnswerRequest
{
    bool isStream_ = false; // a success is an event stream
    bool isResumable_ = false; // that another target may go on with
    bool canReadChunks_ = true; // false for callers of HTTP/1.0
    std::optional<std::string> lastEventId_ = std::nullopt; // the caller's own

    bool operator==(const AnswerRequest &) const = default;
};

enum class AnswerVerdict {
    Continue, // the attempt goes on
    Complete, // the caller has the whole answer
    EndNotStated, // the stream may have ended; another target may know
    Failed, // the attempt has failed
};

// What follows from a part of a target's answer. head_ and body_ are sent first, in this order.
struct AnswerStep
{
    std::optional<MessageHead> head_ = std::nullopt;
    std::string body_ = {}; // with the caller's framing
    AnswerVerdict verdict_ = AnswerVerdict::Continue;
    std::optional<Error> error_ = std::nullopt; // of a failed attempt
    int events_ = 0; // in body_
    int seenEvents_ = 0; // the same, and those that the caller had before
};

// How far the answer of an attempt has come.
enum class AnswerPlace { BeforeHead, BehindHead, InsideBody, BetweenEvents, InsideEvent };

// Returns the name of a place in logs. Thread-safe.
[[nodiscard]] std::string_view answerPlaceName(AnswerPlace place);

// Not thread-safe.
class AnswerState
{
public:
    explicit AnswerState(AnswerRequest request);

    // Begins an attempt at a target. Precondition: mayGoOn().
    void beginAttempt();

    // Read the parts of a target's own answer. onEnd() is called where its framing or the close of
    // its connection ends it; after a failed attempt nothing is read until the next one begins.
    [[nodiscard]] AnswerStep onHead(const MessageHead &head);
    // A plain body is kept up to maxBufferedBytes; a longer one is passed on as it comes.
    [[nodiscard]] AnswerStep onBody(std::string_view data,
                                    std::size_t maxBufferedBytes = read_limits::kMaxBufferedBytes);
    [[nodiscard]] AnswerStep onEnd();

    // Returns why the answer of the attempt under way would be broken off if its connection ended
    // now; nullopt if its bytes may be whole.
    [[nodiscard]] std::optional<Error> brokenOff() const;

    // Returns whether the answer of another target can go on where the caller's stands.
    [[nodiscard]] bool mayGoOn() const;

    // Returns why a stream that has begun can't go on elsewhere; nullopt for other answers.
    [[nodiscard]] std::optional<PositionGap> gap() const;

    // Returns the id behind which the next attempt goes on; nullopt if it begins as the caller has
    // asked.
    [[nodiscard]] std::optional<std::string> resumeId() const;

    [[nodiscard]] AnswerBreak breakOff() const;

    // Returns whether the head was sent to the caller.
    [[nodiscard]] bool isTold() const { return isTold_; }
    // How the caller is told of the end. Precondition: isTold().
    [[nodiscard]] BodyFraming framing() const { return framing_; }
    // Of the attempt under way: how far it has come, its framing, bytes of its body, events,
    // whether it is a stream.
    [[nodiscard]] AnswerPlace place() const;
    [[nodiscard]] BodyFraming targetFraming() const { return targetFraming_; }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] int attemptEvents() const { return attemptEvents_; }
    [[nodiscard]] bool isStream() const { return isStream_; }
    // Events that were forwarded, by all attempts.
    [[nodiscard]] int events() const { return events_; }
    // Status that the caller is told, or is to be told once a buffered answer is whole; 0 before.
    [[nodiscard]] int status() const { return head_.status_; }

    // Bytes that are kept of the attempt under way: of a buffered answer, or since the last event.
    [[nodiscard]] std::size_t heldBytes() const
    {
        return buffer_.size() + (isStream_ ? bytesSinceEvent_ : 0);
    }

    bool operator==(const AnswerState &) const = default;

private:
    enum class Body {
        Whole, // known to its end before the head is sent
        Plain, // sent on while it arrives, from one target
        Stream, // the same, and other targets may go on with it
    };

    [[nodiscard]] MessageHead tellHead(Body body);
    [[nodiscard]] BodyFraming framingFor(Body body) const;
    [[nodiscard]] std::string framed(std::string_view data) const;
    void append(std::string &text, const StreamEvent &event, bool isAtBeginning);
    [[nodiscard]] AnswerStep onEvents(std::string_view data);
    [[nodiscard]] std::optional<Error> checkEvents() const;

    AnswerRequest request_;

    // What the caller was told.
    bool isTold_ = false;
    bool isStreamTold_ = false;
    BodyFraming framing_ = BodyFraming::None;
    BodyFraming begunBy_ = BodyFraming::None; // of the target whose head the caller was told
    bool hasToldEvents_ = false; // or comments
    StreamPosition position_;
    int events_ = 0;

    // The attempt under way.
    MessageHead head_;
    bool hasHead_ = false;
    bool isStream_ = false;
    BodyFraming targetFraming_ = BodyFraming::None;
    std::string buffer_; // of a plain answer that was not told yet
    std::size_t bytes_ = 0;
    EventSplitter splitter_;
    bool isAtBeginning_ = true; // no event or comment was read
    std::size_t bytesSinceEvent_ = 0;
    int attemptEvents_ = 0; // that it has sent
};

} // namespace foxtailturn::gateway
