#include "agent/answer_check.h"

#include <utility>

#include "base/json.h"

namespace foxtailturn {

namespace {

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kDoneMark = "[DONE]";

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
        text.remove_suffix(1);
    return text;
}

} // namespace

AnswerCheck::AnswerCheck(std::string expected, bool streaming)
    : expected_(std::move(expected))
    , streaming_(streaming)
{ }

std::string AnswerCheck::feed(std::string_view bytes)
{
    held_.append(bytes);
    if (streaming_)
        readLines(bytes);
    if (!streaming_ || verdict_ != AdapterVerdict::Right)
        return {};
    return std::exchange(held_, {});
}

std::string AnswerCheck::end()
{
    if (!streaming_)
        readObject(held_);
    if (verdict_ == AdapterVerdict::Pending)
        verdict_ = AdapterVerdict::Wrong;
    if (verdict_ == AdapterVerdict::Wrong)
        return {};
    if (!streaming_)
        complete_ = true;
    return std::exchange(held_, {});
}

void AnswerCheck::readLines(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        if (end == std::string_view::npos) {
            line_.append(bytes);
            return;
        }
        line_.append(bytes.substr(0, end));
        readEvent(line_);
        line_.clear();
        bytes.remove_prefix(end + 1);
    }
}

void AnswerCheck::readEvent(std::string_view line)
{
    if (line.substr(0, kDataPrefix.size()) != kDataPrefix)
        return;
    const std::string_view payload = trimmed(line.substr(kDataPrefix.size()));
    if (payload == kDoneMark) {
        complete_ = true;
        return;
    }
    // Parsing every event would dominate the cost of relaying a token, so after the adapter is
    // known only events that report usage are parsed.
    const bool hasUsage = payload.find("\"usage\"") != std::string_view::npos;
    if (verdict_ == AdapterVerdict::Pending || hasUsage)
        readObject(payload);
}

void AnswerCheck::readObject(std::string_view text)
{
    const Json json = parseUntrustedJson(text);
    if (!json.is_object())
        return;
    const auto model = json.find("model");
    if (model != json.end() && model->is_string())
        verdict_ =
            model->get<std::string>() == expected_ ? AdapterVerdict::Right : AdapterVerdict::Wrong;
    const auto usage = json.find("usage");
    if (usage != json.end() && usage->is_object())
        usedTokens_ = usage->value("prompt_tokens", std::uint64_t{0})
            + usage->value("completion_tokens", std::uint64_t{0});
}

} // namespace foxtailturn
