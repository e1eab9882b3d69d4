#pragma once

// Passes an engine's answer into an AnswerBuffer once the engine has named the right adapter.
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

// One answer of an engine. Used by one thread.
class ModelAnswerSink final : public TargetSink
{
public:
    // buffer must outlive the sink.
    ModelAnswerSink(std::string engineName, bool streaming, AnswerBuffer &buffer);

    bool onHead(int status, const std::string &contentType) override;
    bool onData(std::string_view data) override;

    // Ends a call that the client reported as complete; returns the tokens used. Errors:
    // WrongAdapter; TargetFailed when the answer is truncated or the engine refused, with NotRun
    // when its status says that it did not run the request.
    [[nodiscard]] Result<std::uint64_t> end();

    [[nodiscard]] bool isWrongAdapter() const { return check_.verdict() == AdapterVerdict::Wrong; }

private:
    [[nodiscard]] bool pass(const std::string &data);
    [[nodiscard]] Result<std::uint64_t> endRefused();

    std::string engineName_;
    AnswerBuffer *buffer_;
    AnswerCheck check_;
    int status_ = 0;
    std::string contentType_;
    std::string refusal_; // body of an answer that is no success
    bool refusalTooLarge_ = false;
    bool headSet_ = false;
};

// Passes the answer of a plain service into an AnswerBuffer unchanged. Used by one thread.
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
