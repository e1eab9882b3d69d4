#include "gateway/report_update.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtailturn::gateway {

namespace {

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
            report.*field.member_ = boundedCount(value);
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
    else if (name == "step_us")
        report.speed_.stepTime_ = Duration(value.is_number_integer() ? boundedCount(value) : 0);
    else if (name == "stalled")
        report.speed_.isStalled_ = value.is_boolean() && value.get<bool>();
}

double roundedCost(double cost)
{
    constexpr double kStepsPerUnit = 100; // two decimals keep the line short
    return std::round(cost * kStepsPerUnit) / kStepsPerUnit;
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

// Adds the fields of a speed; those of an unknown one are left out.
void addSpeed(Json &json, const placement::TargetSpeed &speed)
{
    if (speed.stepTime_ > Duration::zero())
        json["step_us"] = speed.stepTime_.count();
    if (speed.isStalled_)
        json["stalled"] = true;
}

} // namespace

int boundedCount(const Json &number)
{
    constexpr std::int64_t kMaxCount = 1'000'000'000;
    return static_cast<int>(std::clamp<std::int64_t>(number.get<std::int64_t>(), 0, kMaxCount));
}

Json reportToJson(const SidecarReport &sidecar)
{
    const EngineReport &report = sidecar.engine_;
    Json models = Json::object();
    for (const HostedModel &model : report.models_)
        models[model.name_] = model.adapters_;
    Json json = {{"models", std::move(models)},
                 {"loading", report.loading_},
                 {"eviction_cost", roundedCost(sidecar.evictionCost_)}};
    addSpeed(json, sidecar.speed_);
    for (const auto &field : kIntegerFields)
        json[field.name_] = report.*field.member_;
    for (const auto &field : kCountFields)
        json[field.name_] = report.*field.member_;
    for (const auto &field : kFlagFields)
        json[field.name_] = report.*field.member_;
    return json;
}

Json reportChanges(const SidecarReport &before, const SidecarReport &after)
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
    if (before.speed_ != after.speed_) {
        changes["step_us"] = nullptr;
        changes["stalled"] = nullptr;
        addSpeed(changes, after.speed_);
    }
    return changes;
}

SidecarReport ReportUpdate::applyTo(SidecarReport before) const
{
    for (const auto &[name, value] : fields_.items())
        updateField(before, name, value);
    return before;
}

} // namespace foxtailturn::gateway
