#pragma once

// How the end of an answer is told to its caller (RFC 9112, section 6.3).
//
//     const BodyFraming framing = callerFraming(reply.framing_, AnswerBody::Stream, canReadChunks);
//     if (!mayEnd(framing, reply.framing_))
//         askAnotherTarget();      // the target has not stated the end
//
// The caller is told no more than the target has told: a body that ended with its target's
// connection reaches the caller without a length and without chunks, and ends with the caller's
// connection.

#include "http1/message.h"

namespace foxtailturn::gateway {

enum class AnswerBody {
    Whole, // known to its end before the head is sent
    Plain, // sent on while it arrives, from one target
    Stream, // the same, and other targets may go on with it
};

// Returns the framing of an answer to a caller, before its head is sent. target is the framing of
// the target's answer; canReadChunks is false for a caller of HTTP/1.0. Thread-safe.
[[nodiscard]] BodyFraming callerFraming(BodyFraming target, AnswerBody body, bool canReadChunks);

// Returns whether an answer that was begun with a framing may end where a target's answer, framed
// as target, has ended. It may not if the caller would be told of an end that the target has not
// stated. Thread-safe.
[[nodiscard]] bool mayEnd(BodyFraming caller, BodyFraming target);

} // namespace foxtailturn::gateway
