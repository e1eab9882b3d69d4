#include "gateway/agent_messages.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/json.h"

namespace foxtailturn::gateway {

namespace {

std::string encodeLine(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string textOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

std::int64_t integerOf(const Json &json, const char *name, std::int64_t defaultValue = 0)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : defaultValue;
}

double numberOf(const Json &json, const char *name, double defaultValue)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number() ? it->get<double>() : defaultValue;
}

int countOf(const Json &json, const char *name, int defaultValue = 0)
{
    constexpr std::int64_t kMaxCount = 1'000'000'000;
    return static_cast<int>(
        std::clamp<std::int64_t>(integerOf(json, name, defaultValue), 0, kMaxCount));
}

bool boolOf(const Json &json, const char *name, bool defaultValue = false)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_boolean() ? it->get<bool>() : defaultValue;
}

void updateModel(HostedModel &model, const Json &adapters)
{
    if (!adapters.is_object())
        return;
    for (const auto &[adapter, version] : adapters.items()) {
        if (version.is_null())
            model.adapters_.erase(adapter);
        else if (version.is_number_integer())
            model.adapters_[adapter] = version.get<std::int64_t>();
    }
}

void updateModels(std::vector<HostedModel> &models, const Json &changes)
{
    for (const auto &[name, adapters] : changes.items()) {
        auto model = std::find_if(models.begin(), models.end(),
                                  [&name = name](const HostedModel &m) { return m.name_ == name; });
        if (adapters.is_null()) {
            if (model != models.end())
                models.erase(model);
            continue;
        }
        if (model == models.end())
            model = models.insert(models.end(), HostedModel{name, {}});
        updateModel(*model, adapters);
    }
}

// Returns the records that can be decoded.
SuspectNotice suspectNoticeOf(const Json &list)
{
    SuspectNotice notice;
    for (const Json &item : list) {
        Result<SuspectRecord> record = SuspectRecord::ofJson(item.dump());
        if (record)
            notice.records_.push_back(std::move(*record));
    }
    return notice;
}

Json toJson(const SidecarReport &sidecar)
{
    constexpr double kCostStepsPerUnit = 100; // two decimals keep the line short
    const EngineReport &report = sidecar.engine_;
    Json models = Json::object();
    for (const HostedModel &model : report.models_) {
        models[model.name_] = Json::object();
        for (const auto &[adapter, version] : model.adapters_)
            models[model.name_][adapter] = version;
    }
    return {{"born", report.startTimeMs_},
            {"sequence", report.sequence_},
            {"busy", report.isBusy_},
            {"draining", report.isDraining_},
            {"queued", report.queued_},
            {"running", report.running_},
            {"prefilling", report.prefilling_},
            {"kv_used", report.kvUsed_},
            {"kv_total", report.kvTotal_},
            {"models", std::move(models)},
            {"loading", report.loading_},
            {"eviction_cost",
             std::round(sidecar.evictionCost_ * kCostStepsPerUnit) / kCostStepsPerUnit}};
}

// Returns the JSON merge patch (RFC 7396) from before to after: the fields of after that differ,
// and null for those that it lacks.
Json mergePatch(const Json &before, const Json &after)
{
    Json patch = Json::object();
    for (const auto &[name, value] : after.items()) {
        const auto old = before.find(name);
        if (old != before.end() && *old == value)
            continue;
        const bool isNested = old != before.end() && old->is_object() && value.is_object();
        patch[name] = isNested ? mergePatch(*old, value) : value;
    }
    for (const auto &[name, value] : before.items()) {
        if (!after.contains(name))
            patch[name] = nullptr;
    }
    return patch;
}

} // namespace

std::string encode(const LoadRequest &request)
{
    return encodeLine({{"load", request.name_},
                       {"version", request.version_},
                       {"instance", request.instance_},
                       {"slots", request.adapterSlots_}});
}

std::string encode(const UseNotice &notice)
{
    return encodeLine({{"use", notice.name_}, {"begin", notice.isBegin_}});
}

std::string encode(const LoadRefusal &refusal)
{
    return encodeLine({{"refused", refusal.name_}});
}

std::string encode(const SidecarReport &report)
{
    return encodeLine({{"report", toJson(report)}});
}

std::string encodeUpdate(const SidecarReport &before, const SidecarReport &after)
{
    return encodeLine({{"update", mergePatch(toJson(before), toJson(after))}});
}

SidecarReport ReportUpdate::applyTo(SidecarReport before) const
{
    EngineReport &report = before.engine_;
    report.startTimeMs_ = integerOf(fields_, "born", report.startTimeMs_);
    report.sequence_ = integerOf(fields_, "sequence", report.sequence_);
    report.isBusy_ = boolOf(fields_, "busy", report.isBusy_);
    report.isDraining_ = boolOf(fields_, "draining", report.isDraining_);
    report.queued_ = countOf(fields_, "queued", report.queued_);
    report.running_ = countOf(fields_, "running", report.running_);
    report.prefilling_ = countOf(fields_, "prefilling", report.prefilling_);
    report.kvUsed_ = integerOf(fields_, "kv_used", report.kvUsed_);
    report.kvTotal_ = integerOf(fields_, "kv_total", report.kvTotal_);
    before.evictionCost_ = numberOf(fields_, "eviction_cost", before.evictionCost_);
    const auto models = fields_.find("models");
    if (models != fields_.end() && models->is_object())
        updateModels(report.models_, *models);
    const auto loading = fields_.find("loading");
    if (loading != fields_.end() && loading->is_array()) {
        report.loading_.clear();
        for (const Json &name : *loading) {
            if (name.is_string())
                report.loading_.push_back(name.get<std::string>());
        }
    }
    return before;
}

std::string encode(const GrantRequest &request)
{
    return encodeLine(
        {{"ask", request.number_}, {"workspace", request.workspace_}, {"charge", request.charge_}});
}

std::string encode(const GrantAnswer &answer)
{
    return encodeLine({{"grant", answer.number_},
                       {"granted", answer.isGranted_},
                       {"keeper", answer.isOwner_},
                       {"retry_after_us", answer.retryAfter_.count()}});
}

std::string encode(const SuspectNotice &notice)
{
    constexpr std::size_t kMaxRecordsPerLine = 100; // receivers bound the length of a line
    std::string lines;
    Json list = Json::array();
    for (const SuspectRecord &record : notice.records_) {
        list.push_back(Json::parse(record.toJson()));
        if (list.size() == kMaxRecordsPerLine || &record == &notice.records_.back())
            lines += encodeLine({{"suspects", std::exchange(list, Json::array())}});
    }
    return lines;
}

AgentMessage decodeAgentMessage(std::string_view line)
{
    AgentMessage message;
    const Json json = parseUntrustedJson(line);
    if (!json.is_object())
        return message;
    if (json.contains("load")) {
        message.load_ = LoadRequest{textOf(json, "load"), integerOf(json, "version"),
                                    textOf(json, "instance"), countOf(json, "slots")};
    } else if (json.contains("use")) {
        message.use_ = UseNotice{textOf(json, "use"), boolOf(json, "begin")};
    } else if (json.contains("refused")) {
        message.refusal_ = LoadRefusal{textOf(json, "refused")};
    } else if (json.contains("ask")) {
        message.grantRequest_ = GrantRequest{integerOf(json, "ask"), textOf(json, "workspace"),
                                             countOf(json, "charge")};
    } else if (json.contains("grant")) {
        message.grantAnswer_ =
            GrantAnswer{integerOf(json, "grant"), boolOf(json, "granted"), boolOf(json, "keeper"),
                        Duration(countOf(json, "retry_after_us"))};
    } else if (json.contains("suspects") && json["suspects"].is_array()) {
        message.suspects_ = suspectNoticeOf(json["suspects"]);
    } else if (json.contains("report") && json["report"].is_object()) {
        message.report_ = ReportUpdate(json["report"]).applyTo({});
    } else if (json.contains("update") && json["update"].is_object()) {
        message.update_ = ReportUpdate(json["update"]);
    }
    return message;
}

std::vector<std::string> extractLines(std::string &buffer)
{
    std::vector<std::string> lines;
    std::size_t begin = 0;
    for (std::size_t end = buffer.find('\n'); end != std::string::npos;
         end = buffer.find('\n', begin)) {
        lines.push_back(buffer.substr(begin, end - begin));
        begin = end + 1;
    }
    buffer.erase(0, begin);
    return lines;
}

} // namespace foxtailturn::gateway
