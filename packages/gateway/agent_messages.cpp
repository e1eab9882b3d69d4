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

std::int64_t integerOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

int countOf(const Json &number)
{
    constexpr std::int64_t kMaxCount = 1'000'000'000;
    return static_cast<int>(std::clamp<std::int64_t>(number.get<std::int64_t>(), 0, kMaxCount));
}

int countOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number_integer() ? countOf(*it) : 0;
}

bool boolOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_boolean() && it->get<bool>();
}

template <typename T>
struct ReportField
{
    const char *name_;
    T EngineReport::*member_;
};

constexpr ReportField<std::int64_t> kIntegerFields[] = {{"born", &EngineReport::startTimeMs_},
                                                        {"sequence", &EngineReport::sequence_},
                                                        {"kv_used", &EngineReport::kvUsed_},
                                                        {"kv_total", &EngineReport::kvTotal_}};
constexpr ReportField<int> kCountFields[] = {{"queued", &EngineReport::queued_},
                                             {"running", &EngineReport::running_},
                                             {"prefilling", &EngineReport::prefilling_}};
constexpr ReportField<bool> kFlagFields[] = {{"busy", &EngineReport::isBusy_},
                                             {"draining", &EngineReport::isDraining_}};

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
    if (!changes.is_object())
        return;
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

void updateLoading(std::vector<std::string> &loading, const Json &names)
{
    if (!names.is_array())
        return;
    loading.clear();
    for (const Json &name : names) {
        if (name.is_string())
            loading.push_back(name.get<std::string>());
    }
}

// Applies a number or a flag. Returns whether the name is that of such a field.
bool updateFigure(EngineReport &report, const std::string &name, const Json &value)
{
    for (const auto &field : kIntegerFields) {
        if (name != field.name_)
            continue;
        if (value.is_number_integer())
            report.*field.member_ = value.get<std::int64_t>();
        return true;
    }
    for (const auto &field : kCountFields) {
        if (name != field.name_)
            continue;
        if (value.is_number_integer())
            report.*field.member_ = countOf(value);
        return true;
    }
    for (const auto &field : kFlagFields) {
        if (name != field.name_)
            continue;
        if (value.is_boolean())
            report.*field.member_ = value.get<bool>();
        return true;
    }
    return false;
}

void updateField(SidecarReport &report, const std::string &name, const Json &value)
{
    if (updateFigure(report.engine_, name, value))
        return;
    if (name == "models")
        updateModels(report.engine_.models_, value);
    else if (name == "loading")
        updateLoading(report.engine_.loading_, value);
    else if (name == "eviction_cost" && value.is_number())
        report.evictionCost_ = value.get<double>();
}

// Returns the records that can be decoded.
SuspectNotice suspectNoticeOf(const Json &list)
{
    SuspectNotice notice;
    notice.records_.reserve(list.size());
    for (const Json &item : list) {
        Result<SuspectRecord> record = SuspectRecord::ofValue(item);
        if (record)
            notice.records_.push_back(std::move(*record));
    }
    return notice;
}

double roundedCost(double cost)
{
    constexpr double kStepsPerUnit = 100; // two decimals keep the line short
    return std::round(cost * kStepsPerUnit) / kStepsPerUnit;
}

Json toJson(const SidecarReport &sidecar)
{
    const EngineReport &report = sidecar.engine_;
    Json models = Json::object();
    for (const HostedModel &model : report.models_)
        models[model.name_] = model.adapters_;
    Json json = {{"models", std::move(models)},
                 {"loading", report.loading_},
                 {"eviction_cost", roundedCost(sidecar.evictionCost_)}};
    for (const auto &field : kIntegerFields)
        json[field.name_] = report.*field.member_;
    for (const auto &field : kCountFields)
        json[field.name_] = report.*field.member_;
    for (const auto &field : kFlagFields)
        json[field.name_] = report.*field.member_;
    return json;
}

const HostedModel *findModel(const EngineReport &report, const std::string &name)
{
    const auto it = std::find_if(report.models_.begin(), report.models_.end(),
                                 [&name](const HostedModel &m) { return m.name_ == name; });
    return it == report.models_.end() ? nullptr : &*it;
}

Json adapterChanges(const HostedModel &before, const HostedModel &after)
{
    Json changes = Json::object();
    for (const auto &[adapter, version] : after.adapters_) {
        const auto old = before.adapters_.find(adapter);
        if (old == before.adapters_.end() || old->second != version)
            changes[adapter] = version;
    }
    for (const auto &[adapter, version] : before.adapters_) {
        if (!after.adapters_.contains(adapter))
            changes[adapter] = nullptr;
    }
    return changes;
}

Json modelChanges(const EngineReport &before, const EngineReport &after)
{
    Json changes = Json::object();
    for (const HostedModel &model : after.models_) {
        const HostedModel *old = findModel(before, model.name_);
        if (old == nullptr)
            changes[model.name_] = model.adapters_;
        else if (old->adapters_ != model.adapters_)
            changes[model.name_] = adapterChanges(*old, model);
    }
    for (const HostedModel &model : before.models_) {
        if (findModel(after, model.name_) == nullptr)
            changes[model.name_] = nullptr;
    }
    return changes;
}

template <typename T>
void addChange(Json &changes, const ReportField<T> &field, const EngineReport &before,
               const EngineReport &after)
{
    if (before.*field.member_ != after.*field.member_)
        changes[field.name_] = after.*field.member_;
}

// Returns the JSON merge patch (RFC 7396) from before to after: the fields of after that differ,
// and null for models and adapters that it lacks.
Json changesOf(const SidecarReport &before, const SidecarReport &after)
{
    const EngineReport &from = before.engine_;
    const EngineReport &to = after.engine_;
    Json changes = Json::object();
    for (const auto &field : kIntegerFields)
        addChange(changes, field, from, to);
    for (const auto &field : kCountFields)
        addChange(changes, field, from, to);
    for (const auto &field : kFlagFields)
        addChange(changes, field, from, to);
    if (Json models = modelChanges(from, to); !models.empty())
        changes["models"] = std::move(models);
    if (from.loading_ != to.loading_)
        changes["loading"] = to.loading_;
    const double cost = roundedCost(after.evictionCost_);
    if (cost != roundedCost(before.evictionCost_))
        changes["eviction_cost"] = cost;
    return changes;
}

// Encodes at least one line.
std::string encodeDigests(const char *name, const std::vector<std::uint64_t> &digests)
{
    constexpr std::size_t kMaxDigestsPerLine = 2000; // receivers bound the length of a line
    std::string lines;
    std::size_t begin = 0;
    do {
        const std::size_t end = std::min(digests.size(), begin + kMaxDigestsPerLine);
        lines += encodeLine({{name,
                              std::vector(digests.begin() + static_cast<std::ptrdiff_t>(begin),
                                          digests.begin() + static_cast<std::ptrdiff_t>(end))}});
        begin = end;
    } while (begin < digests.size());
    return lines;
}

// Each reads one kind of message from its line and the value of the kind's own field. Returns
// whether it is that message.
bool readLoad(Json &line, Json &, AgentMessage &message)
{
    message.load_ = LoadRequest{textOf(line, "load"), integerOf(line, "version"),
                                textOf(line, "instance"), countOf(line, "slots")};
    return true;
}

bool readUse(Json &line, Json &, AgentMessage &message)
{
    message.use_ = UseNotice{textOf(line, "use"), boolOf(line, "begin")};
    return true;
}

bool readRefusal(Json &line, Json &, AgentMessage &message)
{
    message.refusal_ = LoadRefusal{textOf(line, "refused")};
    return true;
}

bool readGrantRequest(Json &line, Json &, AgentMessage &message)
{
    message.grantRequest_ =
        GrantRequest{integerOf(line, "ask"), textOf(line, "workspace"), countOf(line, "charge")};
    return true;
}

bool readGrantAnswer(Json &line, Json &, AgentMessage &message)
{
    message.grantAnswer_ =
        GrantAnswer{integerOf(line, "grant"), boolOf(line, "granted"), boolOf(line, "keeper"),
                    Duration(countOf(line, "retry_after_us"))};
    return true;
}

bool readSuspects(Json &, Json &records, AgentMessage &message)
{
    if (!records.is_array())
        return false;
    message.suspects_ = suspectNoticeOf(records);
    return true;
}

std::vector<std::uint64_t> digestsOf(const Json &list)
{
    std::vector<std::uint64_t> digests;
    for (const Json &digest : list) {
        if (digest.is_number_unsigned())
            digests.push_back(digest.get<std::uint64_t>());
    }
    return digests;
}

bool readSuspectOffer(Json &, Json &digests, AgentMessage &message)
{
    if (!digests.is_array())
        return false;
    message.suspectOffer_ = SuspectOffer{digestsOf(digests)};
    return true;
}

bool readSuspectRequest(Json &, Json &digests, AgentMessage &message)
{
    if (!digests.is_array())
        return false;
    message.suspectRequest_ = SuspectRequest{digestsOf(digests)};
    return true;
}

bool readReport(Json &, Json &fields, AgentMessage &message)
{
    if (!fields.is_object())
        return false;
    message.report_ = ReportUpdate(std::move(fields)).applyTo({});
    return true;
}

bool readUpdate(Json &, Json &fields, AgentMessage &message)
{
    if (!fields.is_object())
        return false;
    message.update_ = ReportUpdate(std::move(fields));
    return true;
}

struct MessageKind
{
    const char *name_; // of the field that only this kind has
    bool (*read_)(Json &line, Json &field, AgentMessage &message);
};

// The most frequent first.
constexpr MessageKind kMessageKinds[] = {
    {"update", readUpdate},
    {"use", readUse},
    {"suspects", readSuspects},
    {"report", readReport},
    {"load", readLoad},
    {"refused", readRefusal},
    {"ask", readGrantRequest},
    {"grant", readGrantAnswer},
    {"suspects_held", readSuspectOffer},
    {"suspects_wanted", readSuspectRequest},
};

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
    return encodeLine({{"update", changesOf(before, after)}});
}

SidecarReport ReportUpdate::applyTo(SidecarReport before) const
{
    for (const auto &[name, value] : fields_.items())
        updateField(before, name, value);
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
        list.push_back(record.toValue());
        if (list.size() == kMaxRecordsPerLine || &record == &notice.records_.back())
            lines += encodeLine({{"suspects", std::exchange(list, Json::array())}});
    }
    return lines;
}

std::string encode(const SuspectOffer &offer)
{
    return encodeDigests("suspects_held", offer.digests_);
}

std::string encode(const SuspectRequest &request)
{
    return encodeDigests("suspects_wanted", request.digests_);
}

AgentMessage decodeAgentMessage(std::string_view line)
{
    AgentMessage message;
    Json json = parseUntrustedJson(line);
    if (!json.is_object())
        return message;
    for (const MessageKind &kind : kMessageKinds) {
        const auto field = json.find(kind.name_);
        if (field != json.end() && kind.read_(json, *field, message))
            return message;
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
