#include <algorithm>
#include <map>

#include "base/log.h"
#include "config/content_json.h"
#include "config/key_merge.h"
#include "config/renderer.h"
#include "ctl/command.h"

namespace foxtailturn {

namespace {

using ItemTexts = std::map<std::string, std::string>; // JSON text by kind and id

Json problemJson(const Problem &problem)
{
    return {{"file", problem.place_.file_},
            {"line", problem.place_.line_},
            {"field", problem.place_.field_},
            {"instance", problem.place_.context_},
            {"problem", problem.text_}};
}

// Renders the file; on problems the report is set.
std::optional<ConfigurationContent> renderFile(const std::string &path, Report &report)
{
    const Result<std::string> text = readFile(path);
    if (!text) {
        report = failureReport(text.error());
        return std::nullopt;
    }
    RenderResult result = renderSource(*text, path);
    if (result.problems_.empty())
        return std::move(result.content_);
    report.code_ = ExitCode::Refused;
    report.json_["problems"] = Json::array();
    for (const Problem &problem : result.problems_) {
        report.errors_.push_back(problemText(problem));
        report.json_["problems"].push_back(problemJson(problem));
    }
    return std::nullopt;
}

void addCounts(const ConfigurationContent &content, Report &report)
{
    const std::pair<const char *, std::size_t> counts[] = {
        {"workspaces", content.workspaces_.size()},
        {"keys", content.keys_.size()},
        {"routes", content.routes_.size()},
        {"adapterVersions", content.adapters_.size()},
    };
    report.table_.push_back({"KIND", "COUNT"});
    for (const auto &[name, count] : counts) {
        report.table_.push_back({name, std::to_string(count)});
        report.json_[name] = count;
    }
}

Report validate(CommandContext &, const Arguments &arguments)
{
    Report report;
    if (const auto content = renderFile(arguments[0], report))
        addCounts(*content, report);
    return report;
}

Report render(CommandContext &, const Arguments &arguments)
{
    Report report;
    if (const auto content = renderFile(arguments[0], report)) {
        report.json_ = Json::parse(toCanonicalJson(*content));
        report.table_.push_back({report.json_.dump(2)});
    }
    return report;
}

ItemTexts itemTexts(const ConfigurationContent &content)
{
    ItemTexts texts;
    const Json json = Json::parse(toCanonicalJson(content));
    for (const auto &list : json.items()) {
        if (list.key() == "schemes")
            texts.emplace(list.key(), list.value().dump());
        else
            for (const Json &item : list.value()) {
                const std::string id = item.contains("id") ? item["id"] : item["name"];
                const std::string version =
                    item.contains("version") ? concat("@", item["version"].dump()) : "";
                texts.emplace(concat(list.key(), "/", id, version), item.dump());
            }
    }
    return texts;
}

void addDifference(const ItemTexts &before, const ItemTexts &after, Report &report)
{
    report.table_.push_back({"CHANGE", "ITEM"});
    report.json_["changes"] = Json::array();
    const auto add = [&](const char *change, const std::string &item) {
        report.table_.push_back({change, item});
        report.json_["changes"].push_back({{"change", change}, {"item", item}});
    };
    for (const auto &[item, text] : before) {
        const auto found = after.find(item);
        if (found == after.end())
            add("removed", item);
        else if (found->second != text)
            add("changed", item);
    }
    for (const auto &[item, text] : after) {
        if (before.count(item) == 0)
            add("added", item);
    }
}

Report diff(CommandContext &context, const Arguments &arguments)
{
    Report report;
    std::optional<ConfigurationContent> next = renderFile(arguments[0], report);
    if (!next)
        return report;
    const auto current = context.store_.load(context.deadline());
    if (!current)
        return failureReport(current.error());
    const ConfigurationContent before = *current ? (*current)->content() : ConfigurationContent();
    Result<ConfigurationContent> merged = withCurrentKeys(std::move(*next), before);
    if (!merged)
        return failureReport(merged.error());
    sortContent(*merged);
    report.json_["revision"] = *current ? (*current)->revision() : 0;
    addDifference(itemTexts(before), itemTexts(*merged), report);
    return report;
}

Report apply(CommandContext &context, const Arguments &arguments)
{
    Report report;
    std::optional<ConfigurationContent> content = renderFile(arguments[0], report);
    if (!content)
        return report;
    const TimePoint deadline = context.deadline();
    std::uint64_t expected = context.options_.expectRevision_.value_or(0);
    if (!context.options_.expectRevision_) {
        const Result<RevisionRow> row = context.store_.revisions(deadline);
        if (!row)
            return failureReport(row.error());
        expected = row->revision();
    }
    const PublishResult result = context.store_.publish(std::move(*content), expected, deadline);
    if (!result) {
        report = failureReport(result.error().error_);
        report.json_["currentRevision"] = result.error().currentRevision_;
        return report;
    }
    report.table_ = {{"REVISION", "CHANGED"},
                     {std::to_string(result->revision_), result->isChanged_ ? "yes" : "no"}};
    report.json_ = {{"revision", result->revision_}, {"changed", result->isChanged_}};
    return report;
}

} // namespace

const std::vector<Command> &revisionCommands()
{
    static const std::vector<Command> kCommands = {
        {"validate", "FILE", "checks a file and counts what it renders", 1, false, validate},
        {"render", "FILE", "prints the rendered configuration", 1, false, render},
        {"diff", "FILE", "compares a file with the revision in force", 1, true, diff},
        {"apply", "FILE [--expect-revision=N]", "publishes a file as the next revision", 1, true,
         apply},
    };
    return kCommands;
}

} // namespace foxtailturn
