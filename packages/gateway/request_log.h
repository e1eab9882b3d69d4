#pragma once

// The log lines of one request, from its first attempt to what its caller was told.
//
//     RequestLog lines(log, request, state);
//     lines.attemptFailed(target, error);
//     lines.goesOn("why", counts);
//
// foxtailturnctl explain reads them; docs/OPERATIONS.md lists them.

#include <optional>
#include <string>
#include <string_view>

#include "base/event_log.h"
#include "gateway/admitted_request.h"
#include "gateway/answer_state.h"
#include "gateway/placement.h"
#include "placement/permit_desk.h"

namespace foxtailturn::gateway {

// What became of a request so far.
struct RequestCounts
{
    int sends_ = 0;
    int runs_ = 0; // attempts that may have run
    Duration elapsed_{}; // since its arrival

    bool operator==(const RequestCounts &) const = default;
};

// Not thread-safe.
class RequestLog
{
public:
    // All must outlive this object.
    RequestLog(EventLog &log, const AdmittedRequest &request, const AnswerState &state);

    // The request is sent to the chosen target. attempt counts from 1.
    void sent(const PlacementChoice &choice, int attempt, TimePoint now);

    // A sidecar has granted or refused to send the request to its cold engine.
    void permit(const std::string &target, const placement::PermitOutcome &outcome);

    void attemptFailed(const std::string &target, const Error &error);

    // A target's answer has ended with its connection, without a length or chunks.
    void endNotStated(const std::string &target, AnswerVerdict verdict);

    // The rest of an answer that nobody needs was not read.
    void answerGivenUp(const std::string &target, std::size_t bytes);

    // The request goes to another target, for the answer anew or behind the last event.
    void goesOn(std::string_view why, const RequestCounts &counts);
    void retryBudgetExhausted(std::string_view why);

    // Ends of the request. fields: what else the line tells.
    void answered(const std::string &target, const RequestCounts &counts,
                  std::optional<Duration> firstEvent);
    void refused(int status, ErrorCode code, const RequestCounts &counts, nlohmann::json fields);
    void callerLeft(const RequestCounts &counts);

private:
    void write(std::string_view kind, nlohmann::json fields);
    [[nodiscard]] std::string_view told() const;

    EventLog &log_;
    const AdmittedRequest &request_;
    const AnswerState &state_;
};

} // namespace foxtailturn::gateway
