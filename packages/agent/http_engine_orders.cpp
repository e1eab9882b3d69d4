#include "agent/http_engine_orders.h"

#include <utility>

#include "base/json.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr char kVersionSeparator = '@';

// Returns the number of running requests of an adapter. For an engine that reports only a total,
// that total is returned for each adapter, because any of them may be in use.
int runningCount(const Json &report, const std::string &name)
{
    const auto byAdapter = report.find("running_by_adapter");
    if (byAdapter != report.end() && byAdapter->is_object())
        return byAdapter->value(name, 0);
    return report.value("running", 0);
}

} // namespace

std::string engineModelName(const AdapterId &id)
{
    return id.adapter_ + kVersionSeparator + id.version_;
}

AdapterId adapterOfModelName(const std::string &name)
{
    const std::size_t separator = name.rfind(kVersionSeparator);
    if (separator == std::string::npos)
        return {};
    return {name.substr(0, separator), name.substr(separator + 1)};
}

HttpEngineOrders::HttpEngineOrders(std::string host, int port, const Clock &clock,
                                   ObjectNameFunction objectName)
    : exchange_(std::move(host), port, clock)
    , objectName_(std::move(objectName))
{ }

Result<void> HttpEngineOrders::load(const AdapterId &adapter, FencingNumber fencing,
                                    TimePoint deadline)
{
    const Json body = {{"lora_name", engineModelName(adapter)},
                       {"lora_path", objectName_(adapter)}};
    return postOrder("/v1/load_lora_adapter", body.dump(), fencing, deadline);
}

Result<void> HttpEngineOrders::unload(const AdapterId &adapter, FencingNumber fencing,
                                      TimePoint deadline)
{
    const Json body = {{"lora_name", engineModelName(adapter)}};
    return postOrder("/v1/unload_lora_adapter", body.dump(), fencing, deadline);
}

Result<void> HttpEngineOrders::postOrder(const std::string &path, const std::string &body,
                                         FencingNumber fencing, TimePoint deadline)
{
    MessageHead head;
    head.method_ = "POST";
    head.target_ = path;
    head.add("Content-Type", "application/json");
    head.add("x-fencing-number", std::to_string(fencing));
    const Result<BufferedAnswer> result = exchange_.call(std::move(head), body, deadline);
    if (!result && result.error().execution_ == Execution::NotRun)
        return notRun(ErrorCode::TargetFailed, "engine refused the connection");
    if (!result)
        return outcomeUnknown(ErrorCode::TargetFailed, "engine did not answer the order");
    if (result->status_ == 200)
        return {};
    if (result->status_ == 412)
        return notRun(ErrorCode::StaleFencingNumber, "engine follows a larger fencing number");
    return notRun(ErrorCode::AdapterLoadFailed,
                  concat("engine refused the order with status ", result->status_));
}

Result<std::string> HttpEngineOrders::get(const std::string &path, TimePoint deadline)
{
    const Result<BufferedAnswer> result = exchange_.get(path, deadline);
    if (!result || result->status_ != 200)
        return notRun(ErrorCode::TargetFailed, "engine did not answer");
    return result->body_;
}

Result<std::vector<EngineAdapter>> HttpEngineOrders::list(TimePoint deadline)
{
    const Result<std::string> models = get("/v1/models", deadline);
    if (!models)
        return tl::unexpected(models.error());
    const Json json = parseUntrustedJson(*models);
    if (!json.is_object() || !json.contains("data") || !json["data"].is_array())
        return notRun(ErrorCode::TargetFailed, "engine's model list can not be read");
    const Result<std::string> load = get("/load", deadline);
    if (!load)
        return tl::unexpected(load.error());
    const Json report = parseUntrustedJson(*load);
    if (!report.is_object())
        return notRun(ErrorCode::TargetFailed, "engine's load report can not be read");
    std::vector<EngineAdapter> adapters;
    for (const Json &model : json["data"]) {
        const std::string name = model.is_object() ? model.value("id", "") : "";
        const AdapterId id = adapterOfModelName(name);
        if (!id.empty())
            adapters.push_back({id, runningCount(report, name)});
    }
    return adapters;
}

} // namespace foxtailturn
