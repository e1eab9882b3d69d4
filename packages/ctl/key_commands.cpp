#include "base/hash.h"
#include "base/log.h"
#include "ctl/command.h"

namespace foxtailturn {

namespace {

constexpr int kSecretParts = 4; // of 64 random bits each

std::string newSecret()
{
    std::string secret = "ft-";
    for (int i = 0; i < kSecretParts; ++i)
        secret += randomId();
    return secret;
}

Report publishFailure(const PublishFailure &failure)
{
    Report report = failureReport(failure.error_);
    report.json_["currentRevision"] = failure.currentRevision_;
    return report;
}

// Without --hash a secret is made and printed once; it is kept nowhere.
Report addKey(CommandContext &context, const Arguments &arguments)
{
    const std::string &hash = context.options_.hash_;
    const std::string secret = hash.empty() ? newSecret() : "";
    const Key key{arguments[0], arguments[1], hash.empty() ? sha256Hex(secret) : hash, true, false};
    const PublishResult result = context.store_.addKey(key, context.deadline());
    if (!result)
        return publishFailure(result.error());
    Report report;
    report.table_ = {{"REVISION", "KEY", "SECRET"},
                     {std::to_string(result->revision_), key.id_, secret}};
    report.json_ = {{"revision", result->revision_}, {"key", key.id_}, {"secret", secret}};
    return report;
}

// Tells the processes directly; returns how many took it.
std::size_t withdrawDirectly(CommandContext &context, const std::string &keyId, Report &report)
{
    std::size_t count = 0;
    for (const std::string &address : context.options_.adminAddresses_) {
        const Result<void> sent = context.admin_.withdraw(address, {keyId});
        if (sent)
            ++count;
        else
            report.errors_.push_back(sent.error().message_);
    }
    return count;
}

Report withdrawKey(CommandContext &context, const Arguments &arguments)
{
    Report report;
    // The processes first: a slow store must not delay the end of the key's requests.
    const std::size_t told = withdrawDirectly(context, arguments[0], report);
    report.json_["processesTold"] = told;
    const PublishResult result = context.store_.withdrawKeys({arguments[0]}, context.deadline());
    if (!result) {
        Report failed = publishFailure(result.error());
        report.code_ = told > 0 ? ExitCode::NotInForce : failed.code_;
        report.errors_.insert(report.errors_.end(), failed.errors_.begin(), failed.errors_.end());
        if (told > 0)
            report.errors_.push_back(concat("the withdrawal is in the memory of ", told,
                                            " processes only; repeat it when the store is back"));
        return report;
    }
    const auto configuration = context.store_.load(context.deadline());
    if (configuration && *configuration && !(*configuration)->holdsWithdrawal(arguments[0]))
        return failureReport(ExitCode::Refused, concat("there is no key '", arguments[0], "'"));
    report.table_ = {{"REVISION", "KEY", "PROCESSES TOLD"},
                     {std::to_string(result->revision_), arguments[0], std::to_string(told)}};
    report.json_["revision"] = result->revision_;
    return report;
}

Report listKeys(CommandContext &context, const Arguments &)
{
    const auto configuration = context.store_.load(context.deadline());
    if (!configuration)
        return failureReport(configuration.error());
    Report report;
    report.table_ = {{"KEY", "WORKSPACE", "ORIGIN", "STATE"}};
    report.json_["keys"] = Json::array();
    if (*configuration == nullptr)
        return report;
    for (const Key &key : (*configuration)->content().keys_) {
        const char *origin = key.issued_ ? "issued" : "file";
        const char *state = key.withdrawn_ ? "withdrawn" : "active";
        report.table_.push_back({key.id_, key.workspace_, origin, state});
        report.json_["keys"].push_back(
            {{"id", key.id_}, {"workspace", key.workspace_}, {"origin", origin}, {"state", state}});
    }
    return report;
}

} // namespace

const std::vector<Command> &keyCommands()
{
    static const std::vector<Command> kCommands = {
        {"key add", "ID WORKSPACE [--hash=SHA256]", "issues a key and prints its secret once", 2,
         true, addKey},
        {"key withdraw", "ID [--admin=IP:port,...]",
         "withdraws a key; tells the given processes directly, too", 1, true, withdrawKey},
        {"key list", "", "lists the keys of the revision in force", 0, true, listKeys},
    };
    return kCommands;
}

} // namespace foxtailturn
