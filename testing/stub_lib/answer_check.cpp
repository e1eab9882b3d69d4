#include "stub_lib/answer_check.h"

#include "base/log.h"
#include "stub_lib/engine_answer.h"

namespace foxtailturn {

namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "[DONE]";

std::string describeError(const Json &error)
{
    const Json code = error.value("code", Json("unknown"));
    const std::string name = code.is_string() ? code.get<std::string>() : code.dump();
    const Json execution = error.value("execution", Json("unstated"));
    return concat(name, '/', execution.is_string() ? execution.get<std::string>() : "invalid");
}

// Returns the field's value from "name=value", or an empty text.
std::string fieldOf(const std::string &text, const std::string &name)
{
    const std::string start = concat(name, '=');
    const std::size_t begin = text.find(start);
    if (begin == std::string::npos)
        return "";
    const std::size_t from = begin + start.size();
    return text.substr(from, text.find(' ', from) - from);
}

} // namespace

AnswerCheck::AnswerCheck(ExpectedAnswer expected)
    : expected_(std::move(expected))
{ }

int AnswerCheck::feed(const std::string &bytes)
{
    buffer_ += bytes;
    int tokens = 0;
    std::size_t begin = 0;
    for (std::size_t end = buffer_.find('\n'); end != std::string::npos;
         end = buffer_.find('\n', begin)) {
        std::string line = buffer_.substr(begin, end - begin);
        begin = end + 1;
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (line.rfind(kDataPrefix, 0) == 0)
            tokens += takeEvent(line.substr(kDataPrefix.size()));
    }
    buffer_.erase(0, begin);
    return tokens;
}

int AnswerCheck::takeEvent(const std::string &data)
{
    if (isDone_) {
        isWrong_ = true;
        return 0;
    }
    if (data == kDone) {
        isDone_ = true;
        if (errorCode_.empty())
            checkText();
        return 0;
    }
    const Result<Json> event = parseJson(data, "event");
    if (!event || !event->is_object()) {
        isWrong_ = true;
        return 0;
    }
    if (event->contains("error")) {
        errorCode_ = describeError((*event)["error"]);
        return 0;
    }
    checkModel(*event);
    int tokens = 0;
    for (const Json &choice : event->value("choices", Json::array()))
        tokens += takeText(choice) ? 1 : 0;
    return tokens;
}

bool AnswerCheck::takeText(const Json &choice)
{
    std::string text;
    if (choice.contains("text"))
        text = choice["text"].get<std::string>();
    for (const char *field : {"delta", "message"}) {
        if (choice.contains(field))
            text += choice[field].value("content", "");
    }
    text_ += text;
    return !text.empty();
}

void AnswerCheck::checkModel(const Json &answer)
{
    const std::string model = answer.value("model", "");
    const AdapterName expected = splitAdapterName(expected_.adapter_);
    const bool isAnyVersion = expected.version_.empty() || expected.version_ == "*";
    const bool isExpected = model == expected_.adapter_ || model == expected_.requested_
        || (isAnyVersion && splitAdapterName(model).adapter_ == expected.adapter_);
    if (!isExpected)
        isWrong_ = true;
    if (answer.contains("usage") && answer["usage"].is_object())
        tokens_ = answer["usage"].value("completion_tokens", 0);
}

void AnswerCheck::checkText()
{
    const AdapterName expected = splitAdapterName(expected_.adapter_);
    const bool isAnyVersion = expected.version_.empty() || expected.version_ == "*";
    const bool isExpected = fieldOf(text_, "adapter") == expected.adapter_
        && (isAnyVersion || fieldOf(text_, "version") == expected.version_)
        && fieldOf(text_, "prompt") == expected_.digest_;
    if (!isExpected)
        isWrong_ = true;
    const std::size_t prompt = text_.find("prompt=");
    if (prompt != std::string::npos)
        checkTokens(text_.find(' ', prompt));
}

void AnswerCheck::checkTokens(std::size_t position)
{
    EngineAnswer whole;
    whole.digest_ = expected_.digest_;
    int index = 1;
    while (position < text_.size()) {
        const std::string token = whole.tokenText(index);
        if (text_.compare(position, token.size(), token) != 0) {
            isWrong_ = true;
            return;
        }
        position += token.size();
        ++index;
    }
    if (tokens_ != 0 && tokens_ != index)
        isWrong_ = true;
}

void AnswerCheck::takeBody(const std::string &body)
{
    const Result<Json> answer = parseJson(body, "answer");
    if (!answer || !answer->is_object()) {
        isWrong_ = true;
        return;
    }
    checkModel(*answer);
    for (const Json &choice : answer->value("choices", Json::array()))
        takeText(choice);
    isDone_ = true;
    checkText();
}

Verdict AnswerCheck::verdict() const
{
    if (isWrong_)
        return Verdict::Wrong;
    if (!errorCode_.empty())
        return Verdict::Failed;
    return isDone_ ? Verdict::Complete : Verdict::Cut;
}

std::string errorCodeOfBody(const std::string &body, int status)
{
    const Result<Json> json = parseJson(body, "error");
    const bool hasError =
        json && json->is_object() && json->contains("error") && (*json)["error"].is_object();
    return hasError ? describeError((*json)["error"]) : concat("http_", status);
}

} // namespace foxtailturn
