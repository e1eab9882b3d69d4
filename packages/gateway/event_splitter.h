#pragma once

// Splits the body of an event stream (server-sent events) into complete events.
//
//     EventSplitter splitter;
//     for (const StreamEvent &event : splitter.feed(data))
//         forward(event.text_);
//     splitter.isInsideEvent();   // after the end of the body: the stream has been broken off
//
// Lines end with CR, LF or CRLF, also mixed, as the format defines them (WHATWG HTML, "Server-sent
// events"). As only complete events are forwarded, a stream that is resumed at another target
// contains no truncated ones.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailturn::gateway {

// Lines up to an empty line.
struct StreamEvent
{
    std::string text_; // with the empty line that ends it
    std::string id_ = {}; // of its last valid id field; empty if there is none
    bool hasContent_ = false; // it has a data or id field

    // Returns whether the lines say nothing, such as comments, and show no progress of the stream.
    // Thread-safe.
    [[nodiscard]] bool isComment() const { return !hasContent_; }

    bool operator==(const StreamEvent &) const = default;
};

// Not thread-safe.
class EventSplitter
{
public:
    // Returns the events that the data completes. Their texts joined are the stream's bytes.
    [[nodiscard]] std::vector<StreamEvent> feed(std::string_view data);

    // Returns the bytes behind the last complete event. The caller bounds their number.
    [[nodiscard]] const std::string &remainder() const { return remainder_; }

    // Returns whether an event has begun and is not complete.
    [[nodiscard]] bool isInsideEvent() const;

    // Returns whether a line has begun and is not complete.
    [[nodiscard]] bool isInsideLine() const { return lineBegin_ < remainder_.size(); }

    void clear() { *this = EventSplitter(); }

    bool operator==(const EventSplitter &) const = default;

private:
    void endLine(std::string_view line);
    [[nodiscard]] std::string_view withoutMark(std::string_view line) const;

    std::string remainder_;
    std::size_t lineBegin_ = 0; // offset in the remainder of the line under way
    std::size_t searched_ = 0; // bytes of the remainder without the end of that line
    bool isAfterCr_ = false; // a line feed that follows belongs to the last line
    bool isFirstLine_ = true;
    bool hasField_ = false; // the remainder has a line that is no comment
    StreamEvent event_; // of the remainder, without its text
};

// What an event stream may begin with; it is no part of the first line.
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

// Returns an event id as a number; nullopt if it is not a decimal integer. Thread-safe.
[[nodiscard]] std::optional<std::int64_t> eventNumber(std::string_view id);

} // namespace foxtailturn::gateway
