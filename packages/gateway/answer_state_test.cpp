#include "gateway/answer_state.h"

#include <doctest/doctest.h>

#include "gateway/read_limits.h"

namespace foxtailturn::gateway {

namespace {

enum class Body { Whole, Plain, Stream };

const std::string kEvent = "id: 1\ndata: a\n\n";

MessageHead headOf(BodyFraming framing, int status = 200)
{
    MessageHead head;
    head.status_ = status;
    head.framing_ = framing;
    if (framing == BodyFraming::Length)
        head.contentLength_ = 1;
    return head;
}

AnswerState stateFor(Body body, bool canReadChunks)
{
    AnswerState state({.isStream_ = body == Body::Stream,
                       .isResumable_ = body == Body::Stream,
                       .canReadChunks_ = canReadChunks});
    state.beginAttempt();
    return state;
}

// Drives an attempt whose body is whole.
AnswerStep play(AnswerState &state, BodyFraming framing, const std::string &data)
{
    AnswerStep step = state.onHead(headOf(framing));
    if (step.verdict_ != AnswerVerdict::Continue)
        return step;
    if (framing != BodyFraming::None)
        step = state.onBody(data);
    return step.verdict_ == AnswerVerdict::Continue ? state.onEnd() : step;
}

} // namespace

// Guards against a part of an answer that looks whole because only a close ends it, a length that
// no target has stated, and chunks for callers that can't read them.
TEST_CASE("the framing shows each caller that can read chunks whether its answer is whole")
{
    using enum BodyFraming;
    struct Case
    {
        BodyFraming target_;
        Body body_;
        bool canReadChunks_;
        BodyFraming caller_;
    };
    const Case cases[] = {
        {None, Body::Whole, true, None},
        {None, Body::Stream, true, None},
        {Length, Body::Whole, true, Length},
        {Length, Body::Plain, true, Length},
        {Length, Body::Stream, true, Chunks},
        {Length, Body::Whole, false, Length},
        {Length, Body::Plain, false, Length},
        {Length, Body::Stream, false, UntilClose},
        {Chunks, Body::Whole, true, Length},
        {Chunks, Body::Plain, true, Chunks},
        {Chunks, Body::Stream, true, Chunks},
        {Chunks, Body::Whole, false, Length},
        {Chunks, Body::Plain, false, UntilClose},
        {Chunks, Body::Stream, false, UntilClose},
        {UntilClose, Body::Whole, true, Chunks},
        {UntilClose, Body::Plain, true, Chunks},
        {UntilClose, Body::Stream, true, Chunks},
        {UntilClose, Body::Whole, false, UntilClose},
        {UntilClose, Body::Plain, false, UntilClose},
        {UntilClose, Body::Stream, false, UntilClose},
    };
    for (const Case &c : cases) {
        CAPTURE(framingName(c.target_));
        CAPTURE(static_cast<int>(c.body_));
        CAPTURE(c.canReadChunks_);
        AnswerState state = stateFor(c.body_, c.canReadChunks_);
        const bool isLarge = c.body_ == Body::Plain;
        const std::string data =
            isLarge ? std::string(read_limits::kMaxBufferedBytes + 1, 'x') : kEvent;
        CHECK(play(state, c.target_, data).verdict_ == AnswerVerdict::Complete);
        CHECK(state.framing() == c.caller_);
        CHECK(state.breakOff()
              == (c.caller_ == UntilClose ? AnswerBreak::Reset : AnswerBreak::Close));
    }
}

// Guards against a resumed stream that ends as complete where its last target has stated no end.
TEST_CASE("a stream whose first target states its end needs a stated end")
{
    using enum BodyFraming;
    struct Case
    {
        BodyFraming first_; // breaks off
        BodyFraming second_;
        AnswerVerdict verdict_;
    };
    const Case cases[] = {
        {Chunks, Chunks, AnswerVerdict::Complete},
        {Chunks, Length, AnswerVerdict::Complete},
        {Chunks, UntilClose, AnswerVerdict::EndNotStated},
        {Length, UntilClose, AnswerVerdict::EndNotStated},
        {UntilClose, UntilClose, AnswerVerdict::Complete},
        {UntilClose, Chunks, AnswerVerdict::Complete},
    };
    for (const Case &c : cases) {
        CAPTURE(framingName(c.first_));
        CAPTURE(framingName(c.second_));
        AnswerState state = stateFor(Body::Stream, true);
        static_cast<void>(state.onHead(headOf(c.first_)));
        static_cast<void>(state.onBody(kEvent));
        REQUIRE(state.mayGoOn());
        CHECK(state.resumeId() == "1");
        state.beginAttempt();
        const AnswerStep end = play(state, c.second_, "id: 2\ndata: b\n\n");
        CHECK(end.verdict_ == c.verdict_);
        const bool hasLastChunk = end.body_.ends_with(kLastChunk);
        CHECK(hasLastChunk == (c.verdict_ == AnswerVerdict::Complete));
    }
}

// Guards against what a resumed stream must not contain.
TEST_CASE("an attempt that does not fit the stream fails, and adds nothing to it")
{
    struct Case
    {
        int status_;
        std::string body_;
        std::string error_; // a part of it; empty: no error
        std::string forwarded_;
    };
    const Case cases[] = {
        {200, "id: 2\ndata: b\n\n", "", "id: 2\ndata: b\n\n"},
        {200, "\xEF\xBB\xBFid: 2\ndata: b\n\n", "", "id: 2\ndata: b\n\n"},
        {200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "", "id: 2\ndata: b\n\n"},
        {200, ": c\n\n", "", ": c\n\n"},
        {404, "no", "status other than 2xx", ""},
        {200, "data: b\n\n", "can't be joined to the stream: event_without_id", ""},
        {200, "id: 0\n\nid: 2\n\n", "can't be joined to the stream: event_missing", ""},
        {200, "id: 0\ndata: z\n\n", "ended before the last event", ""},
        {200, "id: 2\ndata: b", "ended inside an event", ""},
    };
    for (const Case &c : cases) {
        CAPTURE(c.body_);
        AnswerState state({.isStream_ = true, .isResumable_ = true, .canReadChunks_ = false});
        state.beginAttempt();
        static_cast<void>(state.onHead(headOf(BodyFraming::Chunks)));
        CHECK(state.onBody(kEvent).body_ == kEvent);
        state.beginAttempt();
        std::string forwarded;
        AnswerStep step = state.onHead(headOf(BodyFraming::Chunks, c.status_));
        if (step.verdict_ == AnswerVerdict::Continue)
            step = state.onBody(c.body_);
        forwarded = step.body_;
        if (step.verdict_ == AnswerVerdict::Continue)
            step = state.onEnd();
        CHECK(forwarded == c.forwarded_);
        CHECK(step.error_.has_value() == !c.error_.empty());
        if (step.error_)
            CHECK(step.error_->message_.find(c.error_) != std::string::npos);
    }
}

// Guards against bytes without end that are held for an event, also of many small comments.
TEST_CASE("a stream fails that brings too many bytes without an event")
{
    for (const char *const piece : {"x", ":\n\n"}) {
        AnswerState state = stateFor(Body::Stream, true);
        static_cast<void>(state.onHead(headOf(BodyFraming::Chunks)));
        std::string portion;
        while (portion.size() < read_limits::kMaxBytesBetweenEvents / 4)
            portion += piece;
        int fed = 0;
        AnswerStep step;
        while (step.verdict_ == AnswerVerdict::Continue && ++fed < 10)
            step = state.onBody(portion);
        REQUIRE(step.error_);
        CHECK(step.error_->code_ == ErrorCode::PayloadTooLarge);
        CHECK(fed <= 5);
    }
}

} // namespace foxtailturn::gateway
