#pragma once

// The commands of foxtailturnctl.
//
//     CommandContext context{options, store, admin, claims, clock, waiter};
//     const Report report = runCommand(context, {"key", "withdraw", "north-main"});

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "claims/claim_admin.h"
#include "config/config_store.h"
#include "ctl/admin_client.h"
#include "ctl/report.h"

namespace foxtailturn {

struct CommandOptions
{
    bool hasPlatform_ = false; // an address of the platform was given
    std::vector<std::string> adminAddresses_;
    Duration timeout_ = std::chrono::seconds(10);
    std::optional<std::uint64_t> expectRevision_;
    std::optional<std::uint64_t> revision_; // of wait
    std::string hash_; // of key add
    std::string answerFile_; // of claims settle

    bool operator==(const CommandOptions &) const = default;
};

// All references must outlive the command.
struct CommandContext
{
    const CommandOptions &options_;
    ConfigStore &store_;
    AdminClient &admin_;
    ClaimAdmin &claims_;
    const Clock &clock_;
    Waiter &waiter_;

    [[nodiscard]] TimePoint deadline() const { return clock_.now() + options_.timeout_; }
};

using Arguments = std::vector<std::string>;

struct Command
{
    const char *name_; // one or two words
    const char *arguments_;
    const char *purpose_;
    std::size_t argumentCount_;
    bool needsPlatform_;
    Report (*run_)(CommandContext &, const Arguments &);
    bool takesMore_ = false; // any number of further arguments
};

// Returns the commands for files and revisions, for keys, and for processes and claims.
[[nodiscard]] const std::vector<Command> &revisionCommands();
[[nodiscard]] const std::vector<Command> &keyCommands();
[[nodiscard]] const std::vector<Command> &fleetCommands();

// Returns the commands that read logs and state dumps.
[[nodiscard]] const std::vector<Command> &logCommands();

// Runs the command that the words name. An unknown command or a wrong number of arguments gives
// ExitCode::Usage.
[[nodiscard]] Report runCommand(CommandContext &context, const Arguments &words);

// Returns the usage text with all commands and exit codes.
[[nodiscard]] std::string usageText();

// Returns the text of a file. Error: InvalidSettings.
[[nodiscard]] Result<std::string> readFile(const std::string &path);

} // namespace foxtailturn
