#pragma once

// How much an entry or sidecar reads of one message of a target, an engine or the store at most. A
// connection that exceeds a limit is reset, and the exchange has failed.
//
//     if (body.size() > read_limits::kMaxAnswerBytes)
//         connection->abandon();

#include <cstddef>

#include "base/clock.h"

namespace foxtailturn::gateway::read_limits {

// Start line and fields of a response.
constexpr std::size_t kMaxHeadBytes = 65'536;
// Body of a plain answer that is held until its end; a longer one is passed on as it comes.
constexpr std::size_t kMaxBufferedBytes = 262'144;
// Of a stream since its last event: a part of the next one, which holds a few tokens, or comments.
constexpr std::size_t kMaxBytesBetweenEvents = 262'144;
// Answer to a call of our own: an engine's report, rows of the store. The store returns at most
// 1 MB of rows, whose values are encoded in base64.
constexpr std::size_t kMaxAnswerBytes = 4'194'304;
// Body of a response that is not forwarded, read to the end so that its connection can be used
// again.
constexpr std::size_t kMaxDiscardedBytes = 65'536;
constexpr Duration kMaxDiscardTime = std::chrono::milliseconds(200);
// Interim responses and responses to other requests before the awaited one, heads and bodies.
constexpr std::size_t kMaxSkippedBytes = 1'048'576;

} // namespace foxtailturn::gateway::read_limits
