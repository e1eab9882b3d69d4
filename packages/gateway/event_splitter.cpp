#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace foxtailturn::gateway {

namespace {

constexpr std::string_view kEmptyLine = "\n\n";
constexpr std::string_view kEmptyCrlfLine = "\r\n\r\n";

// Returns the offset after the empty line that ends the first event; npos if it is incomplete. The
// search begins at an offset.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    const std::size_t lf = text.find(kEmptyLine, from);
    // Not behind the event's end: a search of the whole text for each event would be quadratic.
    const std::size_t last = lf == std::string_view::npos ? lf : lf + 1;
    const std::size_t crlf = text.substr(0, last).find(kEmptyCrlfLine, from);
    if (crlf != std::string_view::npos)
        return crlf + kEmptyCrlfLine.size();
    return lf == std::string_view::npos ? lf : lf + kEmptyLine.size();
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
    for (std::size_t end = endOfEvent(text, searchedBytes_); end != std::string_view::npos;
         end = endOfEvent(text, 0)) {
        events.push_back({std::string(text.substr(0, end)), idOf(text.substr(0, end))});
        text.remove_prefix(end);
    }
    remainder_.erase(0, remainder_.size() - text.size());
    // An empty line may have begun in these bytes.
    searchedBytes_ = remainder_.size() - std::min(remainder_.size(), kEmptyCrlfLine.size() - 1);
    return events;
}

void EventSplitter::clear()
{
    remainder_.clear();
    searchedBytes_ = 0;
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
