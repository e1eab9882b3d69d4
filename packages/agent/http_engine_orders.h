#pragma once

// Sends adapter orders to an engine over its HTTP interface: POST /v1/load_lora_adapter,
// POST /v1/unload_lora_adapter, GET /v1/models and GET /load.
//
//     HttpEngineOrders orders("10.0.0.7", 8000, clock, objectName);
//     Result<void> loaded = orders.load({"acme-reports", "3"}, fencing, deadline);

#include <functional>
#include <string>

#include "adapters/engine_orders.h"
#include "base/clock.h"
#include "http1/http_exchange.h"

namespace foxtailturn {

// Returns the model name of an adapter version in the engine, for example "acme-reports@3".
[[nodiscard]] std::string engineModelName(const AdapterId &id);

// Parses a model name of the engine. Returns an empty id if the name has no version, as for base
// models.
[[nodiscard]] AdapterId adapterOfModelName(const std::string &name);

// Thread-safe.
class HttpEngineOrders final : public EngineOrders
{
public:
    // Returns the object name of an adapter's weights in the weight store.
    using ObjectNameFunction = std::function<std::string(const AdapterId &)>;

    // clock must outlive this object. objectName must be thread-safe.
    HttpEngineOrders(std::string host, int port, const Clock &clock, ObjectNameFunction objectName);

    Result<void> load(const AdapterId &adapter, FencingNumber fencing, TimePoint deadline) override;
    Result<void> unload(const AdapterId &adapter, FencingNumber fencing,
                        TimePoint deadline) override;
    Result<std::vector<EngineAdapter>> list(TimePoint deadline) override;

private:
    [[nodiscard]] Result<void> postOrder(const std::string &path, const std::string &body,
                                         FencingNumber fencing, TimePoint deadline);
    [[nodiscard]] Result<std::string> get(const std::string &path, TimePoint deadline);

    HttpExchange exchange_;
    ObjectNameFunction objectName_;
};

} // namespace foxtailturn
