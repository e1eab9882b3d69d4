#include <charconv>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include <gflags/gflags.h>

#include "base/log.h"
#include "base/wall_clock.h"
#include "ctl/command.h"
#include "http_storage/http_platform.h"

DEFINE_string(platform, "", "IP:port of the platform's services");
DEFINE_string(admin, "", "IP:port of the admin HTTP of processes, separated by commas");
DEFINE_string(admin_token, "",
              "token of the admin HTTP; --fromenv=admin_token reads it from FLAGS_admin_token");
DEFINE_string(output, "table", "table or json");
DEFINE_int64(timeout_ms, 10'000, "time limit of a command in milliseconds");
DEFINE_int64(expect_revision, -1, "apply: revision that must be in force; -1: any");
DEFINE_int64(revision, -1, "wait: revision to wait for");
DEFINE_string(hash, "", "key add: SHA-256 of a secret that exists already");
DEFINE_string(answer, "", "claims settle: file with the JSON answer for resends");

// Exported by gflags but not declared in its headers. gflags calls it after reporting a wrong flag,
// by default with exit code 1, which means something else here.
namespace google {
extern void (*gflags_exitfunc)(int); // NOLINT(readability-identifier-naming): name given by gflags
} // namespace google

namespace foxtailturn {
namespace {

void exitForUsage(int code)
{
    std::exit(code == 0 ? 0 : static_cast<int>(ExitCode::Usage));
}

struct Address
{
    std::string host_;
    int port_ = 0;
};

std::optional<Address> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    Address address{text.substr(0, colon)};
    const char *end = text.data() + text.size();
    const auto [last, failure] = std::from_chars(text.data() + colon + 1, end, address.port_);
    const bool isPort = failure == std::errc() && last == end && address.port_ > 0;
    return isPort ? std::optional(address) : std::nullopt;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        items.push_back(item);
    return items;
}

std::optional<std::uint64_t> optionalNumber(std::int64_t value)
{
    return value < 0 ? std::nullopt : std::optional(static_cast<std::uint64_t>(value));
}

Report run(const Arguments &words)
{
    const std::optional<Address> platform = parseAddress(FLAGS_platform);
    if (!FLAGS_platform.empty() && !platform)
        return failureReport(ExitCode::Usage, "--platform must be IP:port");
    const Address address = platform.value_or(Address{"127.0.0.1", 1});
    const SystemClock clock;
    const SystemWallClock wallClock;
    BlockingWaiter waiter(clock);
    HttpTable table(address.host_, address.port_, clock);
    HttpObjects objects(address.host_, address.port_, clock);
    ConfigStore store(table, objects, clock);
    ClaimAdmin claims(ClaimServices{table, clock, wallClock, waiter}, ClaimLimits{});
    CommandOptions options;
    options.hasPlatform_ = platform.has_value();
    options.adminAddresses_ = splitList(FLAGS_admin);
    options.timeout_ = std::chrono::milliseconds(FLAGS_timeout_ms);
    options.expectRevision_ = optionalNumber(FLAGS_expect_revision);
    options.revision_ = optionalNumber(FLAGS_revision);
    options.hash_ = FLAGS_hash;
    options.answerFile_ = FLAGS_answer;
    HttpAdminClient admin(FLAGS_admin_token, options.timeout_);
    CommandContext context{options, store, admin, claims, clock, waiter};
    return runCommand(context, words);
}

} // namespace
} // namespace foxtailturn

int main(int argc, char **argv)
{
    using namespace foxtailturn;
    gflags::SetUsageMessage(usageText());
    google::gflags_exitfunc = exitForUsage;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    configureLogging(LogLayout::Text, LogLevel::Error);
    const bool isJson = FLAGS_output == "json";
    Report report = isJson || FLAGS_output == "table"
        ? run(Arguments(argv + 1, argv + argc))
        : failureReport(ExitCode::Usage, "--output must be table or json");
    printReport(report, isJson ? OutputFormat::Json : OutputFormat::Table, std::cout, std::cerr);
    return static_cast<int>(report.code_);
}
