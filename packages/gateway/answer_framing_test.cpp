#include "gateway/answer_framing.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

// Guards against a length or a last chunk that no target has sent, and chunks for callers that
// can't read them.
TEST_CASE("a caller is told of an end as its target has told of it")
{
    using enum BodyFraming;
    struct Case
    {
        BodyFraming target_;
        AnswerBody body_;
        bool canReadChunks_;
        BodyFraming caller_;
    };
    const Case cases[] = {
        {None, AnswerBody::Whole, true, None},
        {None, AnswerBody::Stream, true, None},
        {Length, AnswerBody::Whole, true, Length},
        {Length, AnswerBody::Plain, true, Length},
        {Length, AnswerBody::Stream, true, Chunks},
        {Length, AnswerBody::Whole, false, Length},
        {Length, AnswerBody::Plain, false, Length},
        {Length, AnswerBody::Stream, false, UntilClose},
        {Chunks, AnswerBody::Whole, true, Length},
        {Chunks, AnswerBody::Plain, true, Chunks},
        {Chunks, AnswerBody::Stream, true, Chunks},
        {Chunks, AnswerBody::Whole, false, Length},
        {Chunks, AnswerBody::Plain, false, UntilClose},
        {Chunks, AnswerBody::Stream, false, UntilClose},
        {UntilClose, AnswerBody::Whole, true, UntilClose},
        {UntilClose, AnswerBody::Plain, true, UntilClose},
        {UntilClose, AnswerBody::Stream, true, UntilClose},
        {UntilClose, AnswerBody::Stream, false, UntilClose},
    };
    for (const Case &c : cases) {
        CAPTURE(framingName(c.target_));
        CAPTURE(static_cast<int>(c.body_));
        CAPTURE(c.canReadChunks_);
        CHECK(callerFraming(c.target_, c.body_, c.canReadChunks_) == c.caller_);
    }
}

// Guards against a resumed stream that ends as complete where its last target has stated no end.
TEST_CASE("an answer that began with a length or chunks needs a stated end")
{
    using enum BodyFraming;
    CHECK(mayEnd(Chunks, Chunks));
    CHECK(mayEnd(Chunks, Length));
    CHECK_FALSE(mayEnd(Chunks, UntilClose));
    CHECK_FALSE(mayEnd(Length, UntilClose));
    CHECK(mayEnd(UntilClose, UntilClose));
    CHECK(mayEnd(UntilClose, Chunks));
}

} // namespace foxtailturn::gateway
