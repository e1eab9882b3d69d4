#include "agent/frame_sender.h"

#include <algorithm>
#include <string_view>

#include "wire/convert.h"

namespace foxtailturn {

namespace {

constexpr auto kProgressInterval = std::chrono::milliseconds(500);
constexpr std::size_t kMaxDataBytes = 65'536;

wire::Frame frameOf(const ExecutionId &id)
{
    wire::Frame frame;
    frame.set_request_id(id.requestId_);
    frame.set_attempt(id.attempt_);
    return frame;
}

bool sendHead(const ExecutionId &id, const AnswerHead &head, const FrameWriter &write)
{
    wire::Frame frame = frameOf(id);
    frame.mutable_head()->set_status(static_cast<std::uint32_t>(head.status_));
    frame.mutable_head()->set_content_type(head.contentType_);
    frame.mutable_head()->set_served_by(head.servedBy_);
    frame.mutable_head()->set_replayed(head.replayed_);
    return write(frame);
}

bool sendData(const ExecutionId &id, std::uint64_t offset, std::string_view data,
              const FrameWriter &write)
{
    while (!data.empty()) {
        const std::string_view piece = data.substr(0, kMaxDataBytes);
        wire::Frame frame = frameOf(id);
        frame.set_offset(offset);
        frame.set_data(std::string(piece));
        if (!write(frame))
            return false;
        offset += piece.size();
        data.remove_prefix(piece.size());
    }
    return true;
}

bool sendProgress(const ExecutionId &id, const FrameWriter &write)
{
    wire::Frame frame = frameOf(id);
    frame.mutable_progress();
    return write(frame);
}

void sendEnd(const ExecutionId &id, std::uint64_t totalBytes, std::uint64_t usedTokens,
             const FrameWriter &write)
{
    wire::Frame frame = frameOf(id);
    frame.mutable_end()->set_total_bytes(totalBytes);
    frame.mutable_end()->set_used_tokens(usedTokens);
    write(frame);
}

} // namespace

wire::Frame failureFrame(const ExecutionId &id, const Error &error, TimePoint now)
{
    wire::Frame frame = frameOf(id);
    *frame.mutable_failure() = toWire(error, now);
    return frame;
}

void sendFrames(AnswerBuffer &answer, const ExecutionId &id, std::uint64_t offset,
                bool headReceived, const Clock &clock, const FrameWriter &write)
{
    bool open = sendProgress(id, write);
    while (open) {
        const AnswerChunk chunk =
            answer.next(offset, headReceived, clock.now() + kProgressInterval);
        const bool isEmpty = !chunk.head_ && chunk.data_.empty();
        if (chunk.head_) {
            headReceived = true;
            open = sendHead(id, *chunk.head_, write);
        }
        if (open && !chunk.data_.empty())
            open = sendData(id, offset, chunk.data_, write);
        offset += chunk.data_.size();
        if (!open)
            return;
        if (chunk.failure_) {
            write(failureFrame(id, *chunk.failure_, clock.now()));
            return;
        }
        if (chunk.finished_) {
            sendEnd(id, offset, chunk.usedTokens_, write);
            return;
        }
        if (isEmpty)
            open = sendProgress(id, write);
    }
}

} // namespace foxtailturn
