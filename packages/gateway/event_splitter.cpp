#include "gateway/event_splitter.h"

#include <charconv>

namespace foxtailturn::gateway {

namespace {

// Returns the offset after the empty line that ends the first event; npos if it is incomplete.
std::size_t endOfEvent(std::string_view text)
{
    const std::size_t lf = text.find("\n\n");
    const std::size_t crlf = text.find("\r\n\r\n");
    if (lf == std::string_view::npos && crlf == std::string_view::npos)
        return std::string_view::npos;
    constexpr std::size_t kLfLength = 2;
    constexpr std::size_t kCrlfLength = 4;
    return lf < crlf ? lf + kLfLength : crlf + kCrlfLength;
}

std::string idOf(std::string_view event)
{
    constexpr std::string_view kField = "id:";
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(kField))
            continue;
        line.remove_prefix(kField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return std::string(line);
    }
    return "";
}

} // namespace

std::vector<StreamEvent> EventSplitter::feed(std::string_view data)
{
    std::vector<StreamEvent> events;
    remainder_ += data;
    std::string_view text = remainder_;
    for (std::size_t end = endOfEvent(text); end != std::string_view::npos;
         end = endOfEvent(text)) {
        events.push_back({std::string(text.substr(0, end)), idOf(text.substr(0, end))});
        text.remove_prefix(end);
    }
    remainder_.erase(0, remainder_.size() - text.size());
    return events;
}

std::optional<std::int64_t> eventNumber(std::string_view id)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
    if (error != std::errc() || end != id.data() + id.size() || id.empty())
        return std::nullopt;
    return number;
}

} // namespace foxtailturn::gateway
