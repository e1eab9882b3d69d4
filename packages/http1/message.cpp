#include "http1/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace foxtailturn {

namespace {

constexpr std::array<std::string_view, 8> kHopByHop = {
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "expect",
};

std::string_view reasonOf(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

void appendFields(std::string &text, const std::vector<HeaderField> &fields)
{
    for (const HeaderField &field : fields) {
        text += field.name_;
        text += ": ";
        text += field.value_;
        text += "\r\n";
    }
    text += "\r\n";
}

// Returns whether a comma-separated list names the field.
bool listNames(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        while (!item.empty() && item.front() == ' ')
            item.remove_prefix(1);
        while (!item.empty() && item.back() == ' ')
            item.remove_suffix(1);
        if (equalsIgnoringCase(item, name))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

std::string_view framingName(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::None:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunks:
        return "last_chunk";
    case BodyFraming::UntilClose:
        return "close";
    }
    return "unknown";
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

const std::string *MessageHead::find(std::string_view name) const
{
    for (const HeaderField &field : fields_) {
        if (equalsIgnoringCase(field.name_, name))
            return &field.value_;
    }
    return nullptr;
}

int MessageHead::count(std::string_view name) const
{
    return static_cast<int>(
        std::count_if(fields_.begin(), fields_.end(), [name](const HeaderField &field) {
            return equalsIgnoringCase(field.name_, name);
        }));
}

void MessageHead::add(std::string_view name, std::string_view value)
{
    fields_.push_back({std::string(name), std::string(value)});
}

bool isHopByHop(std::string_view name)
{
    return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                       [name](std::string_view hop) { return equalsIgnoringCase(hop, name); });
}

std::size_t heldBytes(const MessageHead &head)
{
    std::size_t bytes = head.target_.size() + head.fields_.capacity() * sizeof(HeaderField);
    for (const HeaderField &field : head.fields_)
        bytes += field.name_.size() + field.value_.size();
    return bytes;
}

std::vector<HeaderField> forwardableFields(const MessageHead &head)
{
    const std::string *connection = head.find("Connection");
    std::vector<HeaderField> fields;
    fields.reserve(head.fields_.size());
    for (const HeaderField &field : head.fields_) {
        const bool isNamed = connection != nullptr && listNames(*connection, field.name_);
        if (!isNamed && !isHopByHop(field.name_)
            && !equalsIgnoringCase(field.name_, "Content-Length"))
            fields.push_back(field);
    }
    return fields;
}

std::string requestText(const MessageHead &head)
{
    std::string text = head.method_ + " " + head.target_ + " HTTP/1.1\r\n";
    appendFields(text, head.fields_);
    return text;
}

std::string responseText(const MessageHead &head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status_) + " ";
    text += reasonOf(head.status_);
    text += "\r\n";
    appendFields(text, head.fields_);
    return text;
}

std::string chunkText(std::string_view data)
{
    constexpr int kHex = 16;
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), data.size(), kHex).ptr;
    std::string text(size.data(), end);
    text += "\r\n";
    text += data;
    text += "\r\n";
    return text;
}

} // namespace foxtailturn
