#pragma once

// Conversions between wire messages and the types of package base.
//
//     wire::Failure failure = toWire(error, clock.now());
//     const TimePoint deadline = deadlineOf(request.remaining_micros(), clock.now());

#include <cstdint>

#include "base/error.h"
#include "foxtailturn.pb.h"

namespace foxtailturn {

// Returns the message for a failure; retryAt_ becomes the time that remains at `now`. Thread-safe.
[[nodiscard]] wire::Failure toWire(const Error &error, TimePoint now);

// Returns the failure of a message received at `now`. An unknown code becomes Internal; the
// execution state is kept. Thread-safe.
[[nodiscard]] Error fromWire(const wire::Failure &failure, TimePoint now);

// Returns the time that remains until deadline in microseconds, 0 when it has passed. Thread-safe.
[[nodiscard]] std::uint64_t remainingMicros(TimePoint deadline, TimePoint now);

// Returns the deadline of a message received at `now`. Thread-safe.
[[nodiscard]] TimePoint deadlineOf(std::uint64_t remainingMicros, TimePoint now);

} // namespace foxtailturn
