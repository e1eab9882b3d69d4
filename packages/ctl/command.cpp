#include "ctl/command.h"

#include <fstream>
#include <iterator>
#include <sstream>

#include "base/log.h"

namespace foxtailturn {

namespace {

Arguments splitWords(const std::string &text)
{
    std::istringstream stream(text);
    return {std::istream_iterator<std::string>(stream), {}};
}

bool beginsWith(const Arguments &words, const Arguments &prefix)
{
    return words.size() >= prefix.size() && std::equal(prefix.begin(), prefix.end(), words.begin());
}

std::vector<Command> allCommands()
{
    std::vector<Command> commands = revisionCommands();
    for (const auto *group : {&keyCommands(), &fleetCommands(), &logCommands()})
        commands.insert(commands.end(), group->begin(), group->end());
    return commands;
}

} // namespace

Report runCommand(CommandContext &context, const Arguments &words)
{
    for (const Command &command : allCommands()) {
        const Arguments name = splitWords(command.name_);
        if (!beginsWith(words, name))
            continue;
        const Arguments arguments(words.begin() + static_cast<std::ptrdiff_t>(name.size()),
                                  words.end());
        const bool isTooMany = arguments.size() > command.argumentCount_ && !command.takesMore_;
        if (arguments.size() < command.argumentCount_ || isTooMany)
            return failureReport(
                ExitCode::Usage,
                concat("usage: foxtailturnctl ", command.name_, " ", command.arguments_));
        if (command.needsPlatform_ && !context.options_.hasPlatform_)
            return failureReport(ExitCode::Usage, "--platform=IP:port is missing");
        return command.run_(context, arguments);
    }
    return failureReport(ExitCode::Usage,
                         words.empty() ? "a command is missing, see --help"
                                       : concat("unknown command '", words.front(), "'"));
}

std::string usageText()
{
    std::ostringstream out;
    out << "operates a foxtailturn fleet\n\n";
    for (const Command &command : allCommands())
        out << "  " << command.name_ << ' ' << command.arguments_ << "\n      " << command.purpose_
            << '\n';
    out << "\nexit codes: 0 done, 1 refused by validation, 2 usage or settings, 3 conflict,\n"
           "4 service unavailable, 5 not yet in force\n";
    return out.str();
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file.good() && !file.eof())
        return notRun(ErrorCode::InvalidSettings, concat("file '", path, "' can't be read"));
    return text;
}

} // namespace foxtailturn
