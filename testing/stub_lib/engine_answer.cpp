#include "stub_lib/engine_answer.h"

#include <algorithm>
#include <ctime>

#include "base/hash.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr std::size_t kDigestDigits = 16;
constexpr std::size_t kTokenDigits = 4;

// Words stand for tokens.
int countWords(const std::string &text)
{
    int words = 0;
    bool inWord = false;
    for (const char c : text) {
        const bool isSpace = c == ' ' || c == '\n';
        words += !isSpace && !inWord ? 1 : 0;
        inWord = !isSpace;
    }
    return words;
}

std::string event(const Json &data)
{
    return concat("data: ", data.dump(), "\n\n");
}

} // namespace

AdapterName splitAdapterName(const std::string &model)
{
    const std::size_t at = model.rfind('@');
    if (at == std::string::npos)
        return {model, ""};
    return {model.substr(0, at), model.substr(at + 1)};
}

std::string promptOf(const Json &body)
{
    if (body.contains("prompt") && body["prompt"].is_string())
        return body["prompt"].get<std::string>();
    std::string prompt;
    if (!body.contains("messages") || !body["messages"].is_array())
        return prompt;
    for (const Json &message : body["messages"]) {
        const bool hasText =
            message.is_object() && message.contains("content") && message["content"].is_string();
        if (hasText)
            prompt += concat(prompt.empty() ? "" : "\n", message["content"].get<std::string>());
    }
    return prompt;
}

std::string promptDigest(const std::string &prompt)
{
    return sha256Hex(prompt).substr(0, kDigestDigits);
}

EngineAnswer makeAnswer(const Json &body, bool isChat, int defaultTokens)
{
    const std::string prompt = promptOf(body);
    const int tokens = body.value("max_completion_tokens", body.value("max_tokens", defaultTokens));
    return EngineAnswer{concat(isChat ? "chatcmpl-" : "cmpl-", randomId()),
                        body.value("model", ""),
                        promptDigest(prompt),
                        isChat,
                        std::max(tokens, 1),
                        countWords(prompt)};
}

std::string EngineAnswer::tokenText(int index) const
{
    if (index > 0)
        return concat(" ", index, ":", digest_.substr(0, kTokenDigits));
    const AdapterName name = splitAdapterName(model_);
    return concat("adapter=", name.adapter_, " version=", name.version_, " prompt=", digest_);
}

std::string EngineAnswer::text() const
{
    std::string text;
    for (int i = 0; i < tokens_; ++i)
        text += tokenText(i);
    return text;
}

Json EngineAnswer::usage() const
{
    return {{"prompt_tokens", promptTokens_},
            {"completion_tokens", tokens_},
            {"total_tokens", promptTokens_ + tokens_}};
}

std::string EngineAnswer::body() const
{
    Json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (isChat_)
        choice["message"] = {{"role", "assistant"}, {"content", text()}};
    else
        choice["text"] = text();
    Json answer = chunk(Json::array({choice}));
    answer["object"] = isChat_ ? "chat.completion" : "text_completion";
    answer["usage"] = usage();
    return answer.dump();
}

Json EngineAnswer::chunk(const Json &choices) const
{
    return {{"id", id_},
            {"object", isChat_ ? "chat.completion.chunk" : "text_completion"},
            {"created", std::time(nullptr)},
            {"model", model_},
            {"choices", choices}};
}

std::string EngineAnswer::tokenEvent(int index) const
{
    Json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (isChat_)
        choice["delta"] = {{"content", tokenText(index)}};
    else
        choice["text"] = tokenText(index);
    return event(chunk(Json::array({choice})));
}

std::string EngineAnswer::endEvents() const
{
    Json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (isChat_)
        choice["delta"] = Json::object();
    else
        choice["text"] = "";
    Json last = chunk(Json::array());
    last["usage"] = usage();
    return concat(event(chunk(Json::array({choice}))), event(last), "data: [DONE]\n\n");
}

} // namespace foxtailturn
