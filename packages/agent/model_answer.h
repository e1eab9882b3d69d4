#pragma once

// Writes an engine's answer to an AnswerBuffer once the engine has named the requested adapter.
//
//     ModelAnswerSink sink("acme-reports@3", streaming, buffer);
//     Result<void> called = client.call(request, sink);
//     Result<std::uint64_t> usedTokens = sink.end();

#include <cstdint>
#include <string>

#include "agent/answer_buffer.h"
#include "agent/answer_check.h"
#include "agent/target_client.h"

namespace foxtailturn {

// Receives one answer of an engine. Not thread-safe.
class ModelAnswerSink final : public TargetSink
{
public:
    // buffer must outlive the sink.
    ModelAnswerSink(std::string engineName, bool streaming, AnswerBuffer &buffer);

    bool onHead(int status, const std::string &contentType) override;
    bool onData(std::string_view data) override;

    // An answer's end is known from its last event or its JSON. The body of a refusal that is
    // passed on tells nothing.
    [[nodiscard]] bool acceptsUnstatedEnd() const override;

    // Ends the answer after the client's call succeeded, and returns the tokens used. Errors:
    // WrongAdapter; TargetFailed if the answer is truncated, too long or has an error status, with
    // NotRun for a status by which the engine did not run the request; Cancelled.
    [[nodiscard]] Result<std::uint64_t> end();

    // Returns whether the sink itself aborted the call; end() tells why.
    [[nodiscard]] bool isRejected() const
    {
        return check_.isTooLong() || check_.adapterMatch() == AdapterMatch::Mismatched;
    }

private:
    [[nodiscard]] bool forward(const std::string &data);
    [[nodiscard]] Result<std::uint64_t> endWithErrorStatus();

    std::string engineName_;
    AnswerBuffer *buffer_;
    AnswerCheck check_;
    int status_ = 0;
    std::string contentType_;
    std::string errorBody_; // body of an answer with an error status
    bool errorBodyTooLarge_ = false;
    bool headForwarded_ = false;
};

// Writes the answer of a plain service to an AnswerBuffer unchanged. Not thread-safe.
class ServiceAnswerSink final : public TargetSink
{
public:
    // buffer must outlive the sink.
    explicit ServiceAnswerSink(AnswerBuffer &buffer);

    bool onHead(int status, const std::string &contentType) override;
    bool onData(std::string_view data) override;

private:
    AnswerBuffer *buffer_;
};

} // namespace foxtailturn
