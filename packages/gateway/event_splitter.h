#pragma once

// Splits the body of an event stream (server-sent events) into complete events.
//
//     EventSplitter splitter;
//     for (const StreamEvent &event : splitter.feed(data))
//         forward(event.text_);
//     splitter.remainder();   // bytes of an incomplete event
//
// A target may fail in the middle of an event. As only complete events are forwarded, a stream that
// is resumed at another target contains no truncated ones.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailturn::gateway {

struct StreamEvent
{
    std::string text_; // including the empty line that ends it
    std::string id_; // empty if the event has none

    // Returns whether the event is a comment, which shows no progress of the stream. Thread-safe.
    [[nodiscard]] bool isComment() const { return id_.empty() && text_.starts_with(':'); }

    bool operator==(const StreamEvent &) const = default;
};

// Not thread-safe.
class EventSplitter
{
public:
    // Returns the events that the data completes.
    [[nodiscard]] std::vector<StreamEvent> feed(std::string_view data);

    // Returns the bytes of the incomplete event. The caller bounds their number.
    [[nodiscard]] const std::string &remainder() const { return remainder_; }
    void clear();

private:
    std::string remainder_;
    std::size_t searchedBytes_ = 0; // of the remainder, without the end of an event
};

// Returns an event id as a number; nullopt if it is not a decimal integer. Thread-safe.
[[nodiscard]] std::optional<std::int64_t> eventNumber(std::string_view id);

} // namespace foxtailturn::gateway
