#include "gateway/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace foxtailturn::gateway {

namespace {

bool isLineEnd(char c)
{
    return c == '\n' || c == '\r';
}

} // namespace

std::vector<StreamEvent> EventSplitter::feed(std::string_view data)
{
    std::vector<StreamEvent> events;
    remainder_ += data;
    const std::string_view text = remainder_;
    std::size_t begin = 0; // of the event under way
    while (searched_ < text.size()) {
        if (std::exchange(isAfterCr_, false) && text[searched_] == '\n') {
            lineBegin_ = ++searched_;
            if (begin + 1 < searched_)
                continue;
            // The carriage return has ended the last event.
            begin = searched_;
            if (events.empty())
                events.emplace_back();
            events.back().text_ += '\n';
            continue;
        }
        const auto *const end = std::find_if(text.begin() + searched_, text.end(), isLineEnd);
        searched_ = end - text.begin();
        if (end == text.end())
            break;
        const std::string_view line = withoutMark(text.substr(lineBegin_, searched_ - lineBegin_));
        isAfterCr_ = *end == '\r';
        isFirstLine_ = false;
        lineBegin_ = ++searched_;
        if (!line.empty()) {
            endLine(line);
            continue;
        }
        event_.text_ = text.substr(begin, searched_ - begin);
        events.push_back(std::exchange(event_, StreamEvent()));
        hasField_ = false;
        begin = searched_;
    }
    remainder_.erase(0, begin);
    lineBegin_ -= begin;
    searched_ -= begin;
    return events;
}

void EventSplitter::endLine(std::string_view line)
{
    if (line.starts_with(':'))
        return;
    hasField_ = true;
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(std::min(colon + 1, line.size()));
    if (value.starts_with(' '))
        value.remove_prefix(1);
    const bool isId = name == "id" && value.find('\0') == std::string_view::npos;
    if (isId)
        event_.id_ = value;
    event_.hasContent_ = event_.hasContent_ || isId || name == "data";
}

std::string_view EventSplitter::withoutMark(std::string_view line) const
{
    if (isFirstLine_ && line.starts_with(kByteOrderMark))
        line.remove_prefix(kByteOrderMark.size());
    return line;
}

bool EventSplitter::isInsideEvent() const
{
    const std::string_view line = withoutMark(std::string_view(remainder_).substr(lineBegin_));
    return hasField_ || (!line.empty() && !line.starts_with(':'));
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
