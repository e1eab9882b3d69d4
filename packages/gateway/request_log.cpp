#include "gateway/request_log.h"

#include <utility>

namespace foxtailturn::gateway {

RequestLog::RequestLog(EventLog &log, const AdmittedRequest &request, const AnswerState &state)
    : log_(log)
    , request_(request)
    , state_(state)
{ }

void RequestLog::write(std::string_view kind, nlohmann::json fields)
{
    fields["request"] = request_.caller_.id_;
    log_.write(LogDetail::Full, kind, std::move(fields));
}

std::string_view RequestLog::told() const
{
    return state_.isTold() ? framingName(state_.framing()) : "nothing";
}

void RequestLog::sent(const PlacementChoice &choice, int attempt, TimePoint now)
{
    if (!log_.admits(LogDetail::Sampled, "sent"))
        return;
    nlohmann::json ineligible = nlohmann::json::object();
    for (const PlacementCandidate &candidate : choice.candidates_) {
        if (candidate.passedOver_ != PassedOver::No)
            ineligible[candidate.target_->record_.instance_] =
                passedOverName(candidate.passedOver_);
    }
    const Target &target = *choice.target_;
    log_.write(LogDetail::Sampled, "sent",
               {{"request", request_.caller_.id_},
                {"target", target.record_.instance_},
                {"adapter", adapterName(request_.caller_.model_, request_.caller_.adapter_)},
                {"attempt", attempt},
                {"expected_us", choice.expected_.count()},
                {"considered", choice.candidates_.size()},
                {"running", target.report_.running_},
                {"queued", target.report_.queued_},
                {"step_us", target.speed_.stepTime_.count()},
                {"stalled", target.speed_.isStalled_},
                {"report_age_us", target.hasReport() ? (now - target.reportedAt_).count() : -1},
                {"passed_over", std::move(ineligible)}});
}

void RequestLog::permit(const std::string &target, const placement::PermitOutcome &outcome)
{
    if (log_.admits(LogDetail::Sampled, "permit"))
        log_.write(LogDetail::Sampled, "permit",
                   {{"request", request_.caller_.id_},
                    {"target", target},
                    {"granted", outcome.validUntil_.has_value()}});
}

void RequestLog::attemptFailed(const std::string &target, const Error &error)
{
    write("attempt_failed",
          {{"target", target},
           {"code", errorName(error.code_)},
           {"execution", executionName(error.execution_)},
           {"what", error.message_},
           {"framing", framingName(state_.targetFraming())},
           {"ended", answerPlaceName(state_.place())},
           {"bytes", state_.bytes()},
           {"events", state_.events()},
           {"attempt_events", state_.attemptEvents()}});
}

void RequestLog::endNotStated(const std::string &target, AnswerVerdict verdict)
{
    const bool isTold = verdict == AnswerVerdict::Complete;
    write("end_not_stated",
          {{"target", target},
           {"end", framingName(state_.targetFraming())},
           {"bytes", state_.bytes()},
           {"events", state_.attemptEvents()},
           {"told", isTold ? told() : "nothing"}});
}

void RequestLog::answerGivenUp(const std::string &target, std::size_t bytes)
{
    write("answer_given_up", {{"target", target}, {"bytes", bytes}});
}

void RequestLog::goesOn(std::string_view why, const RequestCounts &counts)
{
    const std::string lastEvent = state_.resumeId().value_or("");
    write(lastEvent.empty() ? "resent" : "resumed",
          {{"why", why},
           {"sends", counts.sends_},
           {"runs", counts.runs_},
           {"events", state_.events()},
           {"told", told()},
           {"last_event", lastEvent}});
}

void RequestLog::retryBudgetExhausted(std::string_view why)
{
    write("retry_budget_exhausted", {{"why", why}});
}

void RequestLog::answered(const std::string &target, const RequestCounts &counts,
                          std::optional<Duration> firstEvent)
{
    if (!log_.admits(LogDetail::Sampled, "answered"))
        return;
    log_.write(LogDetail::Sampled, "answered",
               {{"request", request_.caller_.id_},
                {"status", state_.status()},
                {"target", target},
                {"framing", framingName(state_.targetFraming())},
                {"sends", counts.sends_},
                {"events", state_.events()},
                {"told", told()},
                {"first_us", firstEvent ? firstEvent->count() : -1},
                {"elapsed_us", counts.elapsed_.count()}});
}

void RequestLog::refused(int status, ErrorCode code, const RequestCounts &counts,
                         nlohmann::json fields)
{
    fields.update({{"status", status},
                   {"code", errorName(code)},
                   {"sends", counts.sends_},
                   {"runs", counts.runs_},
                   {"events", state_.events()},
                   {"elapsed_us", counts.elapsed_.count()}});
    if (state_.isTold())
        fields["told"] = told();
    write(state_.isTold() ? "broken_off" : "refused", std::move(fields));
}

void RequestLog::callerLeft(const RequestCounts &counts)
{
    if (log_.admits(LogDetail::Full, "broken_off"))
        write("broken_off",
              {{"by", "caller"}, {"sends", counts.sends_}, {"events", state_.events()}});
}

} // namespace foxtailturn::gateway
