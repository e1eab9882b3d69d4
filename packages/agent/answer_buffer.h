#pragma once

// The answer of one execution, kept so that a broken stream to an entry can resume at an offset.
//
//     buffer.setHead({200, "text/event-stream", "acme-reports@3"});
//     buffer.append("data: ...");
//     buffer.finish(usedTokens);
// and, in the thread that sends to the entry:
//     AnswerPart part = buffer.next(offset, headSent, clock.now() + kProgressInterval);

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"

namespace foxtailturn {

struct AnswerHead
{
    int status_ = 200;
    std::string contentType_;
    std::string servedBy_; // adapter and version that the engine named
    bool replayed_ = false;

    bool operator==(const AnswerHead &) const = default;
};

// What a reader receives: new data if there is any, and the end when all data has been read.
struct AnswerPart
{
    std::optional<AnswerHead> head_;
    std::string data_;
    std::uint64_t offset_ = 0;
    bool finished_ = false;
    std::uint64_t usedTokens_ = 0;
    std::optional<Error> failure_;

    bool operator==(const AnswerPart &) const = default;
};

// One writer, any number of readers. Thread-safe.
class AnswerBuffer
{
public:
    // clock must outlive the buffer.
    explicit AnswerBuffer(const Clock &clock);

    // Sets status and content type. Precondition: called once, before append(). Thread-safe.
    void setHead(AnswerHead head);

    // Adds data; returns false when the execution was cancelled or the answer is too large, and
    // then the writer must stop. Thread-safe.
    [[nodiscard]] bool append(std::string_view data);

    // Ends the answer. finish() after an append() that was refused fails the answer with Cancelled
    // (OutcomeUnknown), because data is missing. Later calls of finish() and fail() have no effect.
    // Thread-safe.
    void finish(std::uint64_t usedTokens);
    void fail(Error error);

    // Asks the writer to stop. Thread-safe.
    void cancel();
    [[nodiscard]] bool isCancelled() const;
    [[nodiscard]] bool isEnded() const;

    // Returns what follows offset, waiting for it until `until`; an empty part when nothing came.
    // Precondition: offset is at most the number of bytes written. Thread-safe.
    [[nodiscard]] AnswerPart next(std::uint64_t offset, bool headSeen, TimePoint until);

    // Returns when a reader last asked; a reader that waits counts as asking. Thread-safe.
    [[nodiscard]] TimePoint lastReadAt() const;

    // Returns the number of bytes written so far. Thread-safe.
    [[nodiscard]] std::uint64_t size() const;

private:
    [[nodiscard]] bool hasNews(std::uint64_t offset, bool headSeen) const;

    const Clock *clock_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<AnswerHead> head_;
    std::string data_;
    bool finished_ = false;
    bool cancelled_ = false;
    bool incomplete_ = false; // an append() was refused before the end
    int waitingReaders_ = 0;
    std::uint64_t usedTokens_ = 0;
    std::optional<Error> failure_;
    TimePoint lastReadAt_;
};

} // namespace foxtailturn
