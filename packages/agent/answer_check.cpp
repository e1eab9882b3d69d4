#include "agent/answer_check.h"

#include <utility>

#include "base/json.h"

namespace foxtailturn {

namespace {

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kDonePayload = "[DONE]";

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
    : expectedModel_(std::move(expected))
    , streaming_(streaming)
{ }

std::string AnswerCheck::feed(std::string_view bytes)
{
    if (isTooLong_)
        return {};
    unreleased_.append(bytes);
    if (streaming_)
        parseLines(bytes);
    const bool isHeld = !streaming_ || adapterMatch_ != AdapterMatch::Matched;
    if (partialLine_.size() > kMaxBufferedBytes
        || (isHeld && unreleased_.size() > kMaxBufferedBytes)) {
        isTooLong_ = true;
        unreleased_ = std::string();
        partialLine_ = std::string();
        return {};
    }
    if (isHeld)
        return {};
    return std::exchange(unreleased_, {});
}

std::string AnswerCheck::end()
{
    if (isTooLong_)
        return {};
    if (!streaming_)
        parseObject(unreleased_);
    if (adapterMatch_ == AdapterMatch::Pending)
        adapterMatch_ = AdapterMatch::Mismatched;
    if (adapterMatch_ == AdapterMatch::Mismatched)
        return {};
    if (!streaming_)
        complete_ = true;
    return std::exchange(unreleased_, {});
}

void AnswerCheck::parseLines(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        if (end == std::string_view::npos) {
            partialLine_.append(bytes);
            return;
        }
        partialLine_.append(bytes.substr(0, end));
        parseEvent(partialLine_);
        partialLine_.clear();
        bytes.remove_prefix(end + 1);
    }
}

void AnswerCheck::parseEvent(std::string_view line)
{
    if (line.substr(0, kDataPrefix.size()) != kDataPrefix)
        return;
    const std::string_view payload = trimmed(line.substr(kDataPrefix.size()));
    if (payload == kDonePayload) {
        complete_ = true;
        return;
    }
    // Parsing every event would dominate the cost of relaying a token, so after the adapter is
    // known only events that report usage are parsed.
    const bool hasUsage = payload.find("\"usage\"") != std::string_view::npos;
    if (adapterMatch_ == AdapterMatch::Pending || hasUsage)
        parseObject(payload);
}

void AnswerCheck::parseObject(std::string_view text)
{
    const Json json = parseUntrustedJson(text);
    if (!json.is_object())
        return;
    const auto model = json.find("model");
    if (model != json.end() && model->is_string())
        adapterMatch_ = model->get<std::string>() == expectedModel_ ? AdapterMatch::Matched
                                                                    : AdapterMatch::Mismatched;
    const auto usage = json.find("usage");
    if (usage != json.end() && usage->is_object())
        usedTokens_ = usage->value("prompt_tokens", std::uint64_t{0})
            + usage->value("completion_tokens", std::uint64_t{0});
}

} // namespace foxtailturn
