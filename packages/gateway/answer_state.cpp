#include "gateway/answer_state.h"

#include <algorithm>
#include <utility>

#include "gateway/read_limits.h"

namespace foxtailturn::gateway {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kLastSuccess = 299;
constexpr int kNoContent = 204; // has no length (RFC 9110, section 8.6)

Error failure(ErrorCode code, std::string what)
{
    return Error{code, Execution::OutcomeUnknown, std::move(what)};
}

AnswerStep failed(AnswerStep step, Error error)
{
    step.verdict_ = AnswerVerdict::Failed;
    step.error_ = std::move(error);
    return step;
}

// Returns whether an answer that a target has begun may end where another target's answer has
// ended. It may not if the first one would have stated the end and the other one has not.
bool mayEnd(BodyFraming first, BodyFraming last)
{
    return first == BodyFraming::UntilClose || last != BodyFraming::UntilClose;
}

} // namespace

std::string_view answerPlaceName(AnswerPlace place)
{
    switch (place) {
    case AnswerPlace::BeforeHead:
        return "before_head";
    case AnswerPlace::BehindHead:
        return "behind_head";
    case AnswerPlace::InsideBody:
        return "inside_body";
    case AnswerPlace::BetweenEvents:
        return "between_events";
    case AnswerPlace::InsideEvent:
        return "inside_event";
    }
    return "unknown";
}

AnswerState::AnswerState(AnswerRequest request)
    : request_(std::move(request))
    , position_(request_.isResumable_ ? request_.lastEventId_ : std::nullopt)
{ }

void AnswerState::beginAttempt()
{
    position_.beginRun();
    hasHead_ = false;
    isStream_ = false;
    targetFraming_ = BodyFraming::None;
    buffer_.clear();
    bytes_ = 0;
    splitter_.clear();
    isAtBeginning_ = true;
    bytesSinceEvent_ = 0;
    attemptEvents_ = 0;
}

AnswerStep AnswerState::onHead(const MessageHead &head)
{
    const bool isSuccess = head.status_ >= kFirstSuccess && head.status_ <= kLastSuccess;
    hasHead_ = true;
    isStream_ = isSuccess && request_.isStream_;
    targetFraming_ = head.framing_;
    if (isTold_) {
        if (isStream_)
            return {};
        return failed({},
                      failure(ErrorCode::TargetFailed,
                              "the target answered the resumed stream with a status other "
                              "than 2xx"));
    }
    head_ = head;
    AnswerStep step;
    if (isStream_)
        step.head_ = tellHead(Body::Stream);
    return step;
}

BodyFraming AnswerState::framingFor(Body body) const
{
    if (targetFraming_ == BodyFraming::None)
        return BodyFraming::None;
    const bool isStated = targetFraming_ != BodyFraming::UntilClose;
    if (body == Body::Whole && isStated)
        return BodyFraming::Length;
    if (body == Body::Plain && targetFraming_ == BodyFraming::Length)
        return BodyFraming::Length;
    return request_.canReadChunks_ ? BodyFraming::Chunks : BodyFraming::UntilClose;
}

// Returns the head of the caller's answer. Of a whole body, all bytes are in buffer_.
MessageHead AnswerState::tellHead(Body body)
{
    isTold_ = true;
    isStreamTold_ = body == Body::Stream;
    framing_ = framingFor(body);
    begunBy_ = targetFraming_;
    MessageHead told;
    told.status_ = head_.status_;
    told.fields_ = forwardableFields(head_);
    if (framing_ == BodyFraming::Chunks)
        told.add("Transfer-Encoding", "chunked");
    if (framing_ == BodyFraming::Length)
        told.add("Content-Length",
                 std::to_string(body == Body::Whole ? buffer_.size()
                                                    : head_.contentLength_.value_or(0)));
    if (framing_ == BodyFraming::None && head_.contentLength_ && head_.status_ != kNoContent)
        told.add("Content-Length", std::to_string(*head_.contentLength_));
    return told;
}

std::string AnswerState::framed(std::string_view data) const
{
    const bool isChunked = framing_ == BodyFraming::Chunks && !data.empty();
    return isChunked ? chunkText(data) : std::string(data);
}

AnswerStep AnswerState::onBody(std::string_view data, std::size_t maxBufferedBytes)
{
    bytes_ += data.size();
    if (isStream_)
        return onEvents(data);
    AnswerStep step;
    if (isTold_) {
        step.body_ = framed(data);
        return step;
    }
    buffer_ += data;
    if (buffer_.size() > maxBufferedBytes) {
        step.head_ = tellHead(Body::Plain);
        step.body_ = framed(std::exchange(buffer_, {}));
    }
    return step;
}

AnswerStep AnswerState::onEvents(std::string_view data)
{
    AnswerStep step;
    std::string text;
    bytesSinceEvent_ += data.size();
    for (const StreamEvent &event : splitter_.feed(data)) {
        const bool isAtBeginning = std::exchange(isAtBeginning_, false);
        if (event.isComment()) {
            append(text, event, isAtBeginning);
            continue;
        }
        bytesSinceEvent_ = 0;
        ++attemptEvents_;
        ++step.seenEvents_;
        const EventPlace place = position_.place(event);
        if (place == EventPlace::Unknown)
            break;
        if (place == EventPlace::Known)
            continue;
        append(text, event, isAtBeginning);
        ++events_;
        ++step.events_;
    }
    step.body_ = framed(text);
    bytesSinceEvent_ = std::max(bytesSinceEvent_, splitter_.remainder().size());
    if (const std::optional<Error> error = checkEvents())
        return failed(std::move(step), *error);
    return step;
}

// Appends what the caller gets of an event. The byte order mark belongs to the beginning of a
// stream.
void AnswerState::append(std::string &text, const StreamEvent &event, bool isAtBeginning)
{
    std::string_view told = event.text_;
    if (isAtBeginning && hasToldEvents_ && told.starts_with(kByteOrderMark))
        told.remove_prefix(kByteOrderMark.size());
    text += told;
    hasToldEvents_ = true;
}

std::optional<Error> AnswerState::checkEvents() const
{
    if (const std::optional<PositionGap> gap = position_.gapOfRun())
        return failure(ErrorCode::TargetFailed,
                       "the run can't be joined to the stream: "
                           + std::string(positionGapName(*gap)));
    if (bytesSinceEvent_ > read_limits::kMaxBytesBetweenEvents)
        return failure(ErrorCode::PayloadTooLarge, "too many bytes of the stream without an event");
    return std::nullopt;
}

std::optional<Error> AnswerState::brokenOff() const
{
    if (!isStream_)
        return std::nullopt;
    const bool isStated = targetFraming_ != BodyFraming::UntilClose;
    const ErrorCode code = isStated ? ErrorCode::TargetFailed : ErrorCode::ConnectionLost;
    if (splitter_.isInsideEvent() || (splitter_.isInsideLine() && !isStated))
        return failure(code, "the stream ended inside an event");
    if (!isStated && attemptEvents_ == 0)
        return failure(code, "the connection ended before the first event of the stream");
    if (!position_.hasReachedCaller())
        return failure(code, "the run ended before the last event that the caller has");
    return std::nullopt;
}

AnswerStep AnswerState::onEnd()
{
    AnswerStep step;
    if (const std::optional<Error> error = brokenOff())
        return failed({}, *error);
    if (isStream_)
        step.body_ = framed(splitter_.remainder()); // comments
    if (!isTold_) {
        step.head_ = tellHead(Body::Whole);
        step.body_ = framed(std::exchange(buffer_, {}));
    }
    if (!mayEnd(begunBy_, targetFraming_)) {
        step.verdict_ = AnswerVerdict::EndNotStated;
        return step;
    }
    if (framing_ == BodyFraming::Chunks)
        step.body_ += kLastChunk;
    step.verdict_ = AnswerVerdict::Complete;
    return step;
}

AnswerPlace AnswerState::place() const
{
    if (!hasHead_)
        return AnswerPlace::BeforeHead;
    if (bytes_ == 0)
        return AnswerPlace::BehindHead;
    if (!isStream_)
        return AnswerPlace::InsideBody;
    return splitter_.isInsideEvent() ? AnswerPlace::InsideEvent : AnswerPlace::BetweenEvents;
}

bool AnswerState::mayGoOn() const
{
    return !isTold_ || (isStreamTold_ && request_.isResumable_ && !position_.gap());
}

std::optional<PositionGap> AnswerState::gap() const
{
    return isTold_ && isStreamTold_ && request_.isResumable_ ? position_.gap() : std::nullopt;
}

std::optional<std::string> AnswerState::resumeId() const
{
    return request_.isResumable_ ? position_.lastId() : std::nullopt;
}

AnswerBreak AnswerState::breakOff() const
{
    if (!isTold_)
        return AnswerBreak::Refuse;
    return framing_ == BodyFraming::UntilClose ? AnswerBreak::Reset : AnswerBreak::Close;
}

} // namespace foxtailturn::gateway
