#include "ctl/report.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace foxtailturn {

namespace {

constexpr std::size_t kColumnGap = 2;

ExitCode exitCodeOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidConfiguration:
        return ExitCode::Refused;
    case ErrorCode::InvalidSettings:
    case ErrorCode::BadRequest:
    case ErrorCode::Unauthenticated:
        return ExitCode::Usage;
    case ErrorCode::StoreConflict:
        return ExitCode::Conflict;
    default:
        return ExitCode::Unavailable;
    }
}

void printTable(const std::vector<std::vector<std::string>> &table, std::ostream &out)
{
    std::vector<std::size_t> widths;
    for (const auto &row : table) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : table) {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
            out << std::left << std::setw(static_cast<int>(widths[i] + kColumnGap)) << row[i];
        if (!row.empty())
            out << row.back();
        out << '\n';
    }
}

} // namespace

Report failureReport(const Error &error)
{
    Report report = failureReport(exitCodeOf(error.code_), error.message_);
    report.json_["code"] = errorName(error.code_);
    report.json_["execution"] = executionName(error.execution_);
    return report;
}

Report failureReport(ExitCode code, const std::string &message)
{
    Report report;
    report.code_ = code;
    report.errors_ = {message};
    return report;
}

void printReport(const Report &report, OutputFormat format, std::ostream &out, std::ostream &err)
{
    if (format == OutputFormat::Json) {
        Json json = report.json_;
        json["exitCode"] = static_cast<int>(report.code_);
        json["errors"] = report.errors_;
        out << json.dump(2) << '\n';
        return;
    }
    printTable(report.table_, out);
    for (const std::string &error : report.errors_)
        err << "error: " << error << '\n';
}

} // namespace foxtailturn
