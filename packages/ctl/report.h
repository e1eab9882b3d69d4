#pragma once

// The result of a command: an exit code, a table for people and JSON for programs.
//
//     Report report;
//     report.table_ = {{"REVISION", "DIGEST"}, {"7", "ab12"}};
//     printReport(report, OutputFormat::Table, std::cout, std::cerr);

#include <iosfwd>
#include <string>
#include <vector>

#include "base/json.h"

namespace foxtailturn {

// Exit codes of foxtailturnctl.
enum class ExitCode {
    Ok = 0,
    Refused = 1, // refused by validation
    Usage = 2, // wrong arguments or settings
    Conflict = 3, // another operator's change came first
    Unavailable = 4, // the platform or a process can't be reached
    NotInForce = 5, // accepted, but not yet in force everywhere
};

enum class OutputFormat { Table, Json };

struct Report
{
    ExitCode code_ = ExitCode::Ok;
    std::vector<std::vector<std::string>> table_; // the first row is the header
    Json json_ = Json::object();
    std::vector<std::string> errors_;

    bool operator==(const Report &) const = default;
};

// Returns the report of a failure; the error's code gives the exit code.
[[nodiscard]] Report failureReport(const Error &error);

// Returns the report of a failure with the given exit code.
[[nodiscard]] Report failureReport(ExitCode code, const std::string &message);

// Prints table and errors, or one JSON document with "exitCode" and "errors" to out.
void printReport(const Report &report, OutputFormat format, std::ostream &out, std::ostream &err);

} // namespace foxtailturn
