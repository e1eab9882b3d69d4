#pragma once

// Handles one request of a caller from the filter chain to the end of its answer, in a thread of
// the request's own.
//
//     RequestHandler handler(parts);
//     handler.run(head, std::move(body), channel);

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "config/configuration.h"
#include "entry/answer_channel.h"
#include "entry/entry_server.h"
#include "entry/filter.h"
#include "entry/forwarder.h"
#include "entry/live_request.h"

namespace foxtailturn {

// Objects that the handler uses. They must outlive it.
struct RequestHandlerParts
{
    const Clock &clock_;
    const FilterChain &chain_;
    Forwarder &forwarder_;
    RetryGuard &retryGuard_;
    RequestObserver &observer_;
    std::function<std::shared_ptr<const Configuration>()> configuration_;
};

// Thread-safe.
class RequestHandler
{
public:
    explicit RequestHandler(RequestHandlerParts parts);

    // Answers the request. Returns when it is no longer worked on.
    void run(const MessageHead &head, std::string body, AnswerChannel &channel);

    // Counts a request that was refused before run().
    void countRefusal();

    // Refuses requests from now on.
    void drain() { draining_ = true; }

    [[nodiscard]] EntryCounts counts() const { return {requests_, refused_, failed_, open_}; }

private:
    void handle(const MessageHead &head, std::string body, AnswerChannel &channel);
    [[nodiscard]] Result<void> check(const RequestContext &context) const;
    void sendError(LiveRequest &live, const Error &error, AnswerChannel &channel);
    void listModels(LiveRequest &live, AnswerChannel &channel);
    void sendAnswer(LiveRequest &live, bool canReadChunks, AnswerChannel &channel);
    void sendLongAnswer(LiveRequest &live, MessageHead head, FetchedAnswer answer,
                        bool canReadChunks, AnswerChannel &channel);
    void sendStream(LiveRequest &live, bool canReadChunks, AnswerChannel &channel);
    // Forwards one event to the caller. Returns whether another one may follow.
    [[nodiscard]] bool forwardEvent(LiveRequest &live, AnswerStream &answer,
                                    AnswerChannel &channel);
    // Ends the answer without the final chunk, so that a truncated answer never looks complete.
    void abortAnswer(LiveRequest &live, const Error &error, AnswerChannel &channel);

    RequestHandlerParts parts_;
    std::atomic<bool> draining_ = false;
    std::atomic<std::uint64_t> requests_ = 0;
    std::atomic<std::uint64_t> refused_ = 0;
    std::atomic<std::uint64_t> failed_ = 0;
    std::atomic<std::uint64_t> open_ = 0;
};

} // namespace foxtailturn
