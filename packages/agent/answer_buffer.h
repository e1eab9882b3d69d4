#pragma once

// Buffers the answer of one execution, so that a broken stream to an entry can resume at an offset.
//
//     buffer.setHead({200, "text/event-stream", "acme-reports@3"});
//     buffer.append("data: ...");
//     buffer.finish(usedTokens);
// and, in the thread that sends to the entry:
//     AnswerChunk chunk = buffer.next(offset, headSent, clock.now() + kProgressInterval);

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "memory/byte_budget.h"

namespace foxtailturn {

struct AnswerHead
{
    int status_ = 200;
    std::string contentType_;
    std::string servedBy_; // adapter and version that the engine reported
    bool replayed_ = false;

    bool operator==(const AnswerHead &) const = default;
};

// Result of one read: the data available from an offset, and whether the answer has ended after it.
struct AnswerChunk
{
    std::optional<AnswerHead> head_;
    std::string data_;
    std::uint64_t offset_ = 0;
    bool finished_ = false;
    std::uint64_t usedTokens_ = 0;
    std::optional<Error> failure_;

    bool operator==(const AnswerChunk &) const = default;
};

// One writer, any number of readers. Thread-safe.
class AnswerBuffer
{
public:
    // Data of an answer that no reader was given yet, and up to this much behind what the last one
    // was given, for one that resumes.
    static constexpr std::size_t kKeptBytes = 262'144;

    // Clock and budget must outlive the buffer. The budget is of all buffers together; the first
    // block of an answer is not taken from it, so that short answers never wait.
    AnswerBuffer(const Clock &clock, memory::ByteBudget &budget);

    // Sets status, content type and the other fields of the head. Precondition: called once, before
    // append(). Thread-safe.
    void setHead(AnswerHead head);

    // Appends data; waits up to a second for readers to make room in the budget. Returns false if
    // there is none, the execution was cancelled, the answer has ended or it would exceed 16 MiB;
    // the writer must then stop. Thread-safe.
    [[nodiscard]] bool append(std::string_view data);

    // End the answer. If an append() was rejected, finish() fails the answer with Cancelled
    // (OutcomeUnknown), because data is missing. Later calls of finish() and fail() have no effect.
    // Thread-safe.
    void finish(std::uint64_t usedTokens);
    void fail(Error error);

    // Requests that the writer stop; the answer ends only with finish() or fail(). Thread-safe.
    void cancel();
    [[nodiscard]] bool isCancelled() const;
    [[nodiscard]] bool isEnded() const;

    // Returns data from offset on, waiting until `until` for data, the head or the end; the end is
    // told with the last data. The result is empty on timeout, and a failure (ConnectionLost,
    // OutcomeUnknown) if the data at offset is not kept any more. headReceived: the reader has the
    // head already, so leave it out. Precondition: offset is at most the number of bytes written.
    // Thread-safe.
    [[nodiscard]] AnswerChunk next(std::uint64_t offset, bool headReceived, TimePoint until);

    // Returns the time of the last read: now while a reader waits in next(). Thread-safe.
    [[nodiscard]] TimePoint lastReadAt() const;

    // Returns the number of bytes written so far. Thread-safe.
    [[nodiscard]] std::uint64_t size() const;

private:
    static constexpr std::size_t kBlockBytes = 65'536;

    struct Block
    {
        std::string data_; // full but in the last block
        std::unique_ptr<memory::ByteShare> share_; // null for the first block of the answer
    };

    // All with mutex_ locked.
    [[nodiscard]] bool hasUnread(std::uint64_t offset, bool headReceived) const;
    [[nodiscard]] bool isOver() const { return finished_ || failure_ || cancelled_; }
    [[nodiscard]] bool addBlock(std::unique_lock<std::mutex> &lock);
    void dropReadBlocks(std::size_t kept);

    const Clock *clock_;
    memory::ByteBudget *budget_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<AnswerHead> head_;
    std::deque<Block> blocks_;
    std::uint64_t begin_ = 0; // offset of the first block
    std::uint64_t end_ = 0; // number of bytes written
    std::uint64_t readTo_ = 0; // offset up to which a reader was given data
    bool finished_ = false;
    bool cancelled_ = false;
    bool appendRejected_ = false; // an append() was rejected before the end
    int waitingReaders_ = 0;
    std::uint64_t usedTokens_ = 0;
    std::optional<Error> failure_;
    TimePoint lastReadAt_;
};

} // namespace foxtailturn
