#pragma once

// One HTTP/1.1 exchange with a target or an admin port, on a connection of its own.
//
//     const HttpExchange exchange("10.0.0.7", 8000, clock);
//     const Result<void> done = exchange.run(head, body, deadline, sink);
//     const Result<BufferedAnswer> report = exchange.get("/load", deadline);
//
// What is read is bounded: the head of an answer, interim answers before it, and the body of an
// answer that is buffered here. Whoever passes a sink bounds what it keeps.

#include <cstddef>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "http1/message.h"
#include "http1/target_sink.h"

namespace foxtailturn {

struct BufferedAnswer
{
    int status_ = 0;
    std::string body_;

    bool operator==(const BufferedAnswer &) const = default;
};

// Thread-safe: each call blocks the calling thread and uses a connection of its own.
class HttpExchange
{
public:
    static constexpr std::size_t kMaxHeadBytes = 65'536; // interim answers included
    static constexpr std::size_t kMaxBufferedBytes = 4'194'304;

    // host is an IP address. clock must outlive this object.
    HttpExchange(std::string host, int port, const Clock &clock);

    // Sends a request and passes the answer to sink. head needs neither Host nor the fields of
    // framing and connection. Errors: TargetFailed with NotRun if no connection was made; Cancelled
    // if the sink aborted, TargetTimeout at the deadline and TargetFailed for an answer that breaks
    // off, is no HTTP, is too long or ends in a way that sink does not accept, each with
    // OutcomeUnknown.
    [[nodiscard]] Result<void> run(MessageHead head, std::string_view body, TimePoint deadline,
                                   TargetSink &sink) const;

    // The same, with the whole answer as the result. Error besides: TargetFailed with
    // OutcomeUnknown if its body is longer than kMaxBufferedBytes.
    [[nodiscard]] Result<BufferedAnswer> call(MessageHead head, std::string_view body,
                                              TimePoint deadline) const;
    [[nodiscard]] Result<BufferedAnswer> get(const std::string &target, TimePoint deadline) const;

private:
    std::string host_;
    int port_;
    const Clock *clock_;
};

} // namespace foxtailturn
