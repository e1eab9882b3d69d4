#pragma once

// Sends the answer of an execution to an entry as frames.
//
//     sendFrames(buffer, id, 0, false, clock, [&](const wire::Frame &f) { return writer->Write(f);
//     });

#include <cstdint>
#include <functional>

#include "agent/answer_buffer.h"
#include "agent/execution_table.h"
#include "foxtailturn.pb.h"

namespace foxtailturn {

// Writes a frame; returns false when the stream is broken.
using FrameWriter = std::function<bool(const wire::Frame &)>;

// Sends all frames from offset on. A Progress frame comes first and after each 0.5 s without data.
// Returns after the End or Failure frame, or when the stream breaks. Thread-safe for different
// writers.
void sendFrames(AnswerBuffer &answer, const ExecutionId &id, std::uint64_t offset,
                bool headReceived, const Clock &clock, const FrameWriter &write);

// Returns a Failure frame. Thread-safe.
[[nodiscard]] wire::Frame failureFrame(const ExecutionId &id, const Error &error, TimePoint now);

} // namespace foxtailturn
