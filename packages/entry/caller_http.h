#pragma once

// Converts between HTTP messages of callers and the types of this package. Only for source files of
// this package.
//
//     const CallerRequest request = toCallerRequest(head, std::move(body));
//     const std::string answer = errorAnswer(error, request.id_, clock.now(), false);

#include <string>

#include "base/error.h"
#include "callers/caller_service.h"
#include "entry/request_context.h"
#include "http1/message.h"

namespace foxtailturn {

constexpr const char *kJsonContentType = "application/json";

// Converts the request for the filter chain and assigns a new id to it. Thread-safe.
[[nodiscard]] CallerRequest toCallerRequest(const MessageHead &head, std::string body);

// Returns the head of an answer, without its framing. Thread-safe.
[[nodiscard]] MessageHead answerHead(int status, const std::string &contentType,
                                     const std::string &requestId);

// An answer of the entry's own.
struct OwnAnswer
{
    MessageHead head_; // with the length of the body
    std::string body_;
};

// Thread-safe.
[[nodiscard]] OwnAnswer jsonAnswer(std::string body, const std::string &requestId);
[[nodiscard]] OwnAnswer errorAnswer(const Error &error, const std::string &requestId,
                                    TimePoint now);

// Returns the answer to a request that was refused before it was read whole. Thread-safe.
[[nodiscard]] OwnAnswer refusalAnswer(const callers::Refusal &refusal, TimePoint now);

} // namespace foxtailturn
