#pragma once

// Decides who goes first among requests that wait for the same adapter at all entries.
//
//     sendAt = loadedAt + admission::sendDelay(rank, readTime);
//
// Each entry learns at the same moment that an adapter is loaded, and would send at once what waits
// for it. An engine reads prompts in the order of their arrival, so each request is held back for a
// moment that grows with its rank, and among equal ranks with the time to read its prompt. The
// bound of the delay is what keeps any from being starved.

#include "base/clock.h"

namespace foxtailturn::admission {

inline constexpr Duration kMaxSendDelay = std::chrono::milliseconds(80);

// Returns how long after the load the request is sent. Rank 0 is the most urgent. Thread-safe.
[[nodiscard]] Duration sendDelay(int rank, Duration readTime);

} // namespace foxtailturn::admission
