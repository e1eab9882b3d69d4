#pragma once

// Text and format of an engine stand-in's answers, in the style of the OpenAI interface. Text names
// adapter, version and prompt, and each token its index and prompt, so that a test sees an answer
// that belongs to another request or lacks a part.
//
//     const EngineAnswer answer = makeAnswer(body, true, 16);
//     answer.tokenText(0) == "adapter=a version=3 prompt=0123456789abcdef"
//     answer.tokenText(1) == " 1:0123"

#include <string>

#include "base/json.h"

namespace foxtailturn {

// The adapter named "name@version" as two parts; version is empty without an '@'.
struct AdapterName
{
    std::string adapter_;
    std::string version_;

    bool operator==(const AdapterName &) const = default;
};

[[nodiscard]] AdapterName splitAdapterName(const std::string &model);

// Returns the prompt of a request: "prompt", or the contents of "messages" joined by line ends.
[[nodiscard]] std::string promptOf(const Json &body);

// Returns the digest of a prompt as answers repeat it.
[[nodiscard]] std::string promptDigest(const std::string &prompt);

// One answer. All methods are thread-safe.
struct EngineAnswer
{
    std::string id_;
    std::string model_;
    std::string digest_;
    bool isChat_ = false;
    int tokens_ = 0;
    int promptTokens_ = 0;

    [[nodiscard]] std::string tokenText(int index) const;
    [[nodiscard]] std::string text() const;

    // The answer as one JSON body.
    [[nodiscard]] std::string body() const;

    // The SSE event of one token, and the events after the last: finish reason, usage, [DONE].
    [[nodiscard]] std::string tokenEvent(int index) const;
    [[nodiscard]] std::string endEvents() const;

    bool operator==(const EngineAnswer &) const = default;

private:
    [[nodiscard]] Json chunk(const Json &choices) const;
    [[nodiscard]] Json usage() const;
};

// Returns the answer to a request body; defaultTokens applies without max_tokens.
[[nodiscard]] EngineAnswer makeAnswer(const Json &body, bool isChat, int defaultTokens);

} // namespace foxtailturn
