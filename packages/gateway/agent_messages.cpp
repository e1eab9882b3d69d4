#include "gateway/agent_messages.h"

#include "base/json.h"

namespace foxtailturn::gateway {

namespace {

std::string line(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string textOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

std::int64_t integerOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

double numberOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number() ? it->get<double>() : 0;
}

int countOf(const Json &json, const char *name)
{
    constexpr std::int64_t kMost = 1'000'000'000;
    return static_cast<int>(std::clamp<std::int64_t>(integerOf(json, name), 0, kMost));
}

bool flagOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_boolean() && it->get<bool>();
}

EngineReport decodeReport(const Json &json)
{
    EngineReport report;
    report.bornMs_ = integerOf(json, "born");
    report.sequence_ = integerOf(json, "sequence");
    report.isBusy_ = flagOf(json, "busy");
    report.isDraining_ = flagOf(json, "draining");
    report.queued_ = countOf(json, "queued");
    report.running_ = countOf(json, "running");
    report.prefilling_ = countOf(json, "prefilling");
    report.kvUsed_ = integerOf(json, "kv_used");
    report.kvTotal_ = integerOf(json, "kv_total");
    const auto models = json.find("models");
    if (models != json.end() && models->is_object()) {
        for (const auto &[name, adapters] : models->items()) {
            HostedModel model{name, {}};
            for (const auto &[adapter, version] : adapters.items()) {
                if (version.is_number_integer())
                    model.adapters_[adapter] = version.get<std::int64_t>();
            }
            report.models_.push_back(std::move(model));
        }
    }
    const auto loading = json.find("loading");
    if (loading != json.end() && loading->is_array()) {
        for (const Json &name : *loading) {
            if (name.is_string())
                report.loading_.push_back(name.get<std::string>());
        }
    }
    return report;
}

} // namespace

std::string encode(const LoadRequest &request)
{
    return line({{"load", request.name_},
                 {"version", request.version_},
                 {"instance", request.instance_},
                 {"slots", request.adapterSlots_}});
}

std::string encode(const UseNotice &notice)
{
    return line({{"use", notice.name_}, {"begin", notice.isBegin_}});
}

std::string encode(const LoadRefusal &refusal)
{
    return line({{"refused", refusal.name_}});
}

std::string encode(const SidecarReport &sidecar)
{
    const EngineReport &report = sidecar.engine_;
    Json models = Json::object();
    for (const HostedModel &model : report.models_) {
        models[model.name_] = Json::object();
        for (const auto &[adapter, version] : model.adapters_)
            models[model.name_][adapter] = version;
    }
    return line({{"report",
                  {{"born", report.bornMs_},
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
                   {"eviction_cost", sidecar.evictionCost_}}}});
}

std::string encode(const GrantRequest &request)
{
    return line(
        {{"ask", request.number_}, {"workspace", request.workspace_}, {"charge", request.charge_}});
}

std::string encode(const GrantAnswer &answer)
{
    return line({{"grant", answer.number_},
                 {"granted", answer.isGranted_},
                 {"keeper", answer.isKeeper_},
                 {"retry_after_us", answer.retryAfter_.count()}});
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
        message.use_ = UseNotice{textOf(json, "use"), flagOf(json, "begin")};
    } else if (json.contains("refused")) {
        message.refusal_ = LoadRefusal{textOf(json, "refused")};
    } else if (json.contains("ask")) {
        message.grantRequest_ = GrantRequest{integerOf(json, "ask"), textOf(json, "workspace"),
                                             countOf(json, "charge")};
    } else if (json.contains("grant")) {
        message.grantAnswer_ =
            GrantAnswer{integerOf(json, "grant"), flagOf(json, "granted"), flagOf(json, "keeper"),
                        Duration(countOf(json, "retry_after_us"))};
    } else if (json.contains("report") && json["report"].is_object()) {
        const Json &report = json["report"];
        message.report_ = SidecarReport{decodeReport(report), numberOf(report, "eviction_cost")};
    }
    return message;
}

std::vector<std::string> takeLines(std::string &buffer)
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
