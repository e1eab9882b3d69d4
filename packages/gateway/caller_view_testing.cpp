#include "gateway/caller_view_testing.h"

#include <charconv>
#include <map>
#include <optional>

namespace foxtailturn::gateway {

namespace {

// Takes a line that ends with CRLF from the front; nullopt if there is none.
std::optional<std::string_view> takeHttpLine(std::string_view &text)
{
    const std::size_t end = text.find("\r\n");
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end + 2);
    return line;
}

std::optional<std::size_t> numberOf(std::string_view text, int base)
{
    std::size_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

// Reads a chunked body; returns whether the last chunk and the trailer section's end were there.
bool readChunks(std::string_view text, std::string &body)
{
    constexpr int kHex = 16;
    while (const std::optional<std::string_view> line = takeHttpLine(text)) {
        const std::optional<std::size_t> size = numberOf(*line, kHex);
        if (!size)
            return false;
        if (*size == 0)
            return takeHttpLine(text) == std::string_view();
        body += text.substr(0, *size);
        if (text.size() < *size + 2 || text.substr(*size, 2) != "\r\n")
            return false;
        text.remove_prefix(*size + 2);
    }
    return false;
}

// Takes a line of an event stream from the front; nullopt if none is complete.
std::optional<std::string_view> takeStreamLine(std::string_view &text)
{
    const std::size_t end = text.find_first_of("\r\n");
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::string_view line = text.substr(0, end);
    const bool isCrlf = text.substr(end, 2) == "\r\n";
    text.remove_prefix(end + (isCrlf ? 2 : 1));
    return line;
}

} // namespace

CallerView readAnswer(std::string_view bytes, ConnectionEnd end)
{
    CallerView view;
    std::map<std::string, std::string, std::less<>> fields;
    const std::optional<std::string_view> start = takeHttpLine(bytes);
    if (!start)
        return view;
    for (;;) {
        const std::optional<std::string_view> line = takeHttpLine(bytes);
        if (!line)
            return view;
        if (line->empty())
            break;
        const std::size_t colon = line->find(": ");
        fields[std::string(line->substr(0, colon))] = line->substr(colon + 2);
    }
    constexpr std::size_t kStatusAt = 9; // behind "HTTP/1.1 "
    constexpr int kDecimal = 10;
    view.status_ = static_cast<int>(numberOf(start->substr(kStatusAt, 3), kDecimal).value_or(0));
    if (fields["Transfer-Encoding"] == "chunked") {
        view.framing_ = "chunks";
        view.isComplete_ = readChunks(bytes, view.body_);
    } else if (fields.contains("Content-Length")) {
        view.framing_ = "length";
        const std::size_t length = numberOf(fields["Content-Length"], kDecimal).value_or(0);
        view.body_ = bytes.substr(0, length);
        view.isComplete_ = bytes.size() >= length;
    } else {
        view.framing_ = "close";
        view.body_ = bytes;
        view.isComplete_ = end == ConnectionEnd::Close;
    }
    return view;
}

EventsView readEvents(std::string_view body)
{
    EventsView view;
    if (body.starts_with("\xEF\xBB\xBF"))
        body.remove_prefix(3);
    std::string data;
    while (const std::optional<std::string_view> line = takeStreamLine(body)) {
        if (line->empty()) {
            if (!data.empty())
                view.data_.push_back(data);
            data.clear();
            view.endsInside_ = false;
            continue;
        }
        if (line->front() == ':')
            continue;
        view.endsInside_ = true;
        constexpr std::string_view kData = "data: ";
        if (line->starts_with(kData))
            data += line->substr(kData.size());
    }
    view.endsInside_ = view.endsInside_ || !body.empty();
    return view;
}

} // namespace foxtailturn::gateway
