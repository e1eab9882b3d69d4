#include <chrono>

#include "base/log.h"
#include "ctl/command.h"

namespace foxtailturn {

namespace {

constexpr Duration kWaitStep = std::chrono::milliseconds(200);

std::string text(const Json &json)
{
    return json.is_string() ? json.get<std::string>() : json.dump();
}

// Adds a row for each process; returns whether all hold the revision.
bool addProcesses(CommandContext &context, std::uint64_t revision, Report &report)
{
    bool areAllCurrent = true;
    report.table_.push_back({"PROCESS", "REVISION"});
    report.json_["processes"] = Json::array();
    for (const std::string &address : context.options_.adminAddresses_) {
        const Result<Json> state = context.admin_.state(address);
        const Json held = state ? state->value("revision", Json()) : Json();
        const std::string shown = state ? text(held) : state.error().message_;
        report.table_.push_back({address, shown});
        report.json_["processes"].push_back({{"address", address}, {"revision", held}});
        areAllCurrent = areAllCurrent && held.is_number_unsigned() && held >= revision;
    }
    return areAllCurrent;
}

Report status(CommandContext &context, const Arguments &)
{
    const Result<RevisionRow> row = context.store_.revisions(context.deadline());
    Report report;
    if (!row)
        report = failureReport(row.error());
    const std::uint64_t revision = row ? row->revision() : 0;
    if (row) {
        report.json_["revision"] = revision;
        report.json_["digest"] = row->digest();
        report.table_ = {{"STORE", concat("revision ", revision)}, {"DIGEST", row->digest()}, {}};
    }
    const bool areAllCurrent = addProcesses(context, revision, report);
    if (row && !areAllCurrent)
        report.code_ = ExitCode::NotInForce;
    return report;
}

Report wait(CommandContext &context, const Arguments &)
{
    if (!context.options_.revision_ || context.options_.adminAddresses_.empty())
        return failureReport(ExitCode::Usage, "--revision and --admin are needed");
    const TimePoint deadline = context.deadline();
    while (true) {
        Report report;
        if (addProcesses(context, *context.options_.revision_, report))
            return report;
        if (context.clock_.now() >= deadline) {
            report.code_ = ExitCode::NotInForce;
            report.errors_ = {concat("revision ", *context.options_.revision_,
                                     " is not in force everywhere yet")};
            return report;
        }
        context.waiter_.waitUntil(context.clock_.now() + kWaitStep);
    }
}

Report drain(CommandContext &context, const Arguments &arguments)
{
    const Result<void> sent = context.admin_.drain(arguments[0]);
    if (!sent)
        return failureReport(sent.error());
    Report report;
    report.table_ = {{"PROCESS", "STATE"}, {arguments[0], "draining"}};
    report.json_["draining"] = arguments[0];
    return report;
}

Report dump(CommandContext &context, const Arguments &)
{
    Report report;
    for (const std::string &address : context.options_.adminAddresses_) {
        const Result<Json> state = context.admin_.state(address);
        report.json_["processes"][address] = state ? *state : Json();
        if (state)
            continue;
        report.code_ = ExitCode::Unavailable;
        report.errors_.push_back(state.error().message_);
    }
    report.table_ = {{report.json_.dump(2)}};
    return report;
}

Report listClaims(CommandContext &context, const Arguments &)
{
    const auto claims = context.claims_.listUnresolved("");
    if (!claims)
        return failureReport(claims.error());
    Report report;
    report.table_ = {{"WORKSPACE", "ROUTE", "IDEMPOTENCY KEY", "ATTEMPT"}};
    report.json_["claims"] = Json::array();
    for (const ObservedClaim &claim : *claims) {
        report.table_.push_back({claim.key_.workspace_, claim.key_.route_,
                                 claim.key_.idempotencyKey_, claim.claim_.attemptId_});
        report.json_["claims"].push_back({{"workspace", claim.key_.workspace_},
                                          {"route", claim.key_.route_},
                                          {"key", claim.key_.idempotencyKey_},
                                          {"attempt", claim.claim_.attemptId_}});
    }
    return report;
}

// With --answer the call counts as run with this answer, otherwise as not run.
Report settleClaim(CommandContext &context, const Arguments &arguments)
{
    std::optional<RecordedAnswer> answer;
    if (!context.options_.answerFile_.empty()) {
        const Result<std::string> body = readFile(context.options_.answerFile_);
        if (!body)
            return failureReport(body.error());
        answer = RecordedAnswer{200, "application/json", *body};
    }
    const ClaimKey key{arguments[0], arguments[1], arguments[2]};
    const auto observed = context.claims_.observe(key);
    if (!observed)
        return failureReport(observed.error());
    if (!observed->has_value())
        return failureReport(ExitCode::Refused, "there is no such unresolved claim");
    // The attempt may still run until then, see ClaimAdmin.
    context.waiter_.waitUntil((*observed)->settleFrom_);
    const Result<void> settled = context.claims_.settle(**observed, answer);
    if (!settled)
        return failureReport(settled.error());
    Report report;
    report.table_ = {{"CLAIM", "STATE"}, {arguments[2], answer ? "ran" : "not run"}};
    report.json_ = {{"claim", arguments[2]}, {"ran", answer.has_value()}};
    return report;
}

} // namespace

const std::vector<Command> &fleetCommands()
{
    static const std::vector<Command> kCommands = {
        {"status", "[--admin=IP:port,...]", "shows the revision of the store and of processes", 0,
         true, status},
        {"wait", "--revision=N --admin=IP:port,...", "waits until all processes hold a revision", 0,
         false, wait},
        {"drain", "IP:port", "lets a process finish its work and take no more", 1, false, drain},
        {"dump", "--admin=IP:port,...", "prints the state of processes", 0, false, dump},
        {"claims list", "", "lists unresolved claims; running calls are among them", 0, true,
         listClaims},
        {"claims settle", "WORKSPACE ROUTE KEY [--answer=FILE]",
         "settles a claim as run with this answer, or as not run; waits about a minute", 3, true,
         settleClaim},
    };
    return kCommands;
}

} // namespace foxtailturn
