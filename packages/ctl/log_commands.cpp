#include <iostream>
#include <iterator>

#include "base/log.h"
#include "ctl/command.h"
#include "ctl/explain.h"

namespace foxtailturn {

namespace {

// Fields that every line has, or that the other columns show.
bool isShownElsewhere(const std::string &name)
{
    return name == "kind" || name == "process" || name == "time_us" || name == "request";
}

std::string detailsOf(const StoryLine &line)
{
    std::string text;
    for (const auto &[name, value] : line.fields_.items()) {
        if (isShownElsewhere(name))
            continue;
        text += text.empty() ? "" : " ";
        text += concat(name, "=", value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

Result<void> readLogs(LogReader &reader, const Arguments &files)
{
    if (files.empty()) {
        const std::string text{std::istreambuf_iterator<char>(std::cin), {}};
        reader.read("standard input", text);
    }
    for (const std::string &file : files) {
        const Result<std::string> text = readFile(file);
        if (!text)
            return tl::unexpected(text.error());
        reader.read(file, *text);
    }
    return {};
}

Report explain(CommandContext &, const Arguments &arguments)
{
    LogReader reader;
    const Arguments files(arguments.begin() + 1, arguments.end());
    if (const Result<void> read = readLogs(reader, files); !read)
        return failureReport(ExitCode::Usage, read.error().message_);
    const Explanation explanation = reader.explain(arguments.front());
    Report report;
    if (explanation.lines_.empty())
        report = failureReport(ExitCode::Refused,
                               concat("no line mentions request '", arguments.front(), "'"));
    else
        report.table_.push_back({"AT", "PROCESS", "WHAT", "DETAILS"});
    const std::int64_t begin = explanation.lines_.empty() ? 0 : explanation.lines_.front().timeUs_;
    for (const StoryLine &line : explanation.lines_) {
        report.table_.push_back({concat(line.timeUs_ - begin, " us"), line.process_,
                                 line.isContext_ ? concat("(", line.kind_, ")") : line.kind_,
                                 detailsOf(line)});
    }
    if (!explanation.configuration_.empty())
        report.table_.push_back({"", "", "configuration:", explanation.configuration_});
    report.json_["configuration"] = explanation.configuration_;
    for (const std::string &answer : explanation.answers_)
        report.table_.push_back({"", "", "answer:", answer});
    report.json_["answers"] = explanation.answers_;
    if (!explanation.cause_.empty())
        report.table_.push_back({"", "", "cause:", explanation.cause_});
    report.json_["cause"] = explanation.cause_;
    report.json_["problems"] = reader.problems();
    for (const std::string &problem : reader.problems())
        report.table_.push_back({"", "", "note:", problem});
    return report;
}

Report state(CommandContext &context, const Arguments &arguments)
{
    const Result<Json> answer = context.admin_.state(arguments.front());
    if (!answer)
        return failureReport(answer.error());
    Report report;
    report.json_["state"] = *answer;
    report.table_.push_back({answer->dump(2)});
    return report;
}

} // namespace

const std::vector<Command> &logCommands()
{
    static const std::vector<Command> kCommands = {
        {"explain", "REQUEST_ID [LOGFILE...]",
         "tells from logs, or standard input, what became of a request and why", 1, false, explain,
         true},
        {"state", "ADDRESS", "prints the state dump of a process", 1, false, state},
    };
    return kCommands;
}

} // namespace foxtailturn
