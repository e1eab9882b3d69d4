#pragma once

// Logs to standard output through log4cxx. Each part has one Logger with a fixed prefix.
//
//     const Logger kLog("limiter");
//     kLog.info("share moved, workspace={} units={}", ...) is written as
//     kLog.info(concat("share moved, workspace=", workspace, " units=", units));
//
// Messages are short sentences. Never log keys, bodies or prompts.

#include <sstream>
#include <string>
#include <string_view>

namespace foxtailturn {

enum class LogLayout { Text, Json };
enum class LogLevel { Debug, Info, Warn, Error };

// Sets layout and lowest level for the process. Call once, before other threads start.
void configureLogging(LogLayout layout, LogLevel level);

// Returns its arguments written one after the other. Thread-safe.
template <typename... Args>
[[nodiscard]] std::string concat(const Args &...args)
{
    std::ostringstream out;
    (out << ... << args);
    return out.str();
}

// Writes the log lines of one part. Thread-safe.
class Logger
{
public:
    // prefix names the part, for example "limiter".
    explicit Logger(std::string_view prefix);

    // Each writes one line at its level. Thread-safe.
    void debug(const std::string &message) const;
    void info(const std::string &message) const;
    void warn(const std::string &message) const;
    void error(const std::string &message) const;

private:
    void write(LogLevel level, const std::string &message) const;

    std::string prefix_;
};

} // namespace foxtailturn
