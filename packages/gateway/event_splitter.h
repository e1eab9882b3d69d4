#pragma once

// Splits the body of an event stream into whole events.
//
//     EventSplitter splitter;
//     for (const StreamEvent &event : splitter.feed(data))
//         forward(event.text_);
//     splitter.rest();   // bytes of an event that has not ended
//
// A target may stop in the middle of an event; forwarding whole events only keeps a resumed stream
// free of torn ones.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailturn::gateway {

struct StreamEvent
{
    std::string text_; // with the empty line that ends it
    std::string id_; // empty if the event has none

    bool operator==(const StreamEvent &) const = default;
};

// Not thread-safe.
class EventSplitter
{
public:
    // Returns the events that the data completes.
    [[nodiscard]] std::vector<StreamEvent> feed(std::string_view data);

    [[nodiscard]] const std::string &rest() const { return rest_; }
    void clear() { rest_.clear(); }

private:
    std::string rest_;
};

// Returns the number of an event id; nullopt if it is none. Thread-safe.
[[nodiscard]] std::optional<std::int64_t> eventNumber(std::string_view id);

} // namespace foxtailturn::gateway
