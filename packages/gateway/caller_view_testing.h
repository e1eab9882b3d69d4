#pragma once

// What a caller makes of the bytes of one answer and the end of its connection. For tests only;
// written from RFC 9112, section 6.3, and the event stream format, without any code of the gateway.
//
//     const CallerView view = readAnswer(bytes, ConnectionEnd::Close);
//     CHECK(view.isComplete_);
//     CHECK(readEvents(view.body_).data_ == std::vector<std::string>{"a", "b"});

#include <string>
#include <string_view>
#include <vector>

namespace foxtailturn::gateway {

enum class ConnectionEnd { Open, Close, Reset };

struct CallerView
{
    int status_ = 0; // 0: no whole head
    std::string framing_ = {}; // "none", "length", "chunks" or "close"
    std::string body_ = {};
    bool isComplete_ = false;
};

// Returns the answer as a caller reads it.
[[nodiscard]] CallerView readAnswer(std::string_view bytes, ConnectionEnd end);

// The events that a caller is given, and whether the body ends inside one.
struct EventsView
{
    std::vector<std::string> data_ = {};
    bool endsInside_ = false;
};

[[nodiscard]] EventsView readEvents(std::string_view body);

} // namespace foxtailturn::gateway
