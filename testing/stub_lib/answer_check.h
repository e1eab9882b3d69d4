#pragma once

// Checks that an answer belongs to its request and is whole.
//
//     AnswerCheck check({"a@3", "write-up", promptDigest(prompt)});
//     check.feed(bytes);   // SSE, as it arrives
//     check.verdict()
//
// The text must be that of engine_answer.h: adapter, version and prompt digest of the request, then
// all tokens in order.

#include <string>

#include "base/json.h"

namespace foxtailturn {

struct ExpectedAnswer
{
    std::string adapter_; // "adapter@version"; "adapter" or "adapter@*" accepts any version
    std::string requested_; // model name in the request; an entry may repeat it
    std::string digest_; // of the prompt

    bool operator==(const ExpectedAnswer &) const = default;
};

enum class Verdict {
    Complete,
    Cut, // the end is missing, without an error event
    Wrong, // adapter, version, prompt or a token is not that of the request
    Failed, // an error event
};

// Not thread-safe.
class AnswerCheck
{
public:
    explicit AnswerCheck(ExpectedAnswer expected);

    // Takes bytes of an SSE answer. Returns the number of tokens that they completed.
    int feed(const std::string &bytes);

    // Takes a whole JSON answer.
    void takeBody(const std::string &body);

    [[nodiscard]] Verdict verdict() const;

    // "code/execution" of the error event, or empty.
    [[nodiscard]] const std::string &errorCode() const { return errorCode_; }

private:
    int takeEvent(const std::string &data);
    bool takeText(const Json &choice);
    void checkModel(const Json &answer);
    void checkText();
    void checkTokens(std::size_t position);

    ExpectedAnswer expected_;
    std::string buffer_; // bytes after the last whole line
    std::string text_;
    int tokens_ = 0; // counted from usage; 0: not told
    bool isDone_ = false;
    bool isWrong_ = false;
    std::string errorCode_;
};

// Returns "code/execution" of an error body in foxtailturn's format, else "http_STATUS".
[[nodiscard]] std::string errorCodeOfBody(const std::string &body, int status);

} // namespace foxtailturn
