#include "gateway/node_settings.h"

#include <fstream>
#include <sstream>

#include "base/json.h"

namespace foxtailturn::gateway {

namespace {

constexpr int kMaxPort = 65'535;
constexpr std::int64_t kMinSilenceLimitMs = 1500; // milliseconds
constexpr std::int64_t kMaxSilenceLimitMs = 60'000; // milliseconds
constexpr double kMaxCores = 1024;
constexpr double kMilliCoresPerCore = 1000;
constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kMaxMemoryMb = 1'048'576;
constexpr std::int64_t kMinDescriptors = 256;
constexpr std::int64_t kMaxDescriptors = 1'048'576;
constexpr std::int64_t kMaxStopGraceSeconds = 3600;
constexpr std::int64_t kMinDrainNoticeMs =
    300; // milliseconds; each quarter costs one call to the store
constexpr std::int64_t kMaxDrainNoticeMs = 60'000; // milliseconds

tl::unexpected<Error> invalid(std::string message)
{
    return notRun(ErrorCode::InvalidSettings, std::move(message));
}

} // namespace

Result<NodeSettings> NodeSettings::read(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return invalid("cannot read the settings file " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str(), path);
}

Result<NodeSettings> NodeSettings::parse(std::string_view text, const std::string &source)
{
    const Result<Json> json = parseJson(text, source);
    if (!json)
        return invalid(json.error().message_);
    if (!json->is_object())
        return invalid(source + ": expected a JSON object at the top level");
    JsonObject object(*json, source);
    NodeSettings settings;
    settings.name_ = object.string("name");
    const std::string role = object.string("role");
    settings.ip_ = object.string("ip");
    settings.dataCentre_ = object.string("data_centre", "");
    settings.callerAddress_ = object.string("caller_address", "");
    settings.readyAddress_ = object.string("ready_address", "");
    settings.peerPort_ =
        static_cast<int>(object.integer("peer_port", {.min_ = 1, .max_ = kMaxPort}));
    settings.metricsPort_ =
        static_cast<int>(object.integer("metrics_port", {.min_ = 0, .max_ = kMaxPort}, 0));
    settings.engineAddress_ = object.string("engine_address", "");
    settings.storeAddress_ = object.string("store_address", "");
    settings.stopGrace_ = std::chrono::seconds(
        object.integer("stop_grace_s", {.min_ = 0, .max_ = kMaxStopGraceSeconds}, 8));
    settings.drainNotice_ = std::chrono::milliseconds(object.integer(
        "drain_notice_ms", {.min_ = kMinDrainNoticeMs, .max_ = kMaxDrainNoticeMs}, 2000));
    settings.evacuationNotice_ = std::chrono::milliseconds(
        object.integer("evacuation_notice_ms", {.min_ = 0, .max_ = kMaxDrainNoticeMs}, 0));
    settings.storeSilenceLimit_ = std::chrono::milliseconds(object.integer(
        "store_silence_limit_ms", {.min_ = kMinSilenceLimitMs, .max_ = kMaxSilenceLimitMs}, 3000));
    settings.quotaTolerance_ = object.integer("quota_tolerance", {.min_ = 0}, 0);
    const Json &share = object.child("processor_share");
    if (share.is_number() && share.get<double>() > 0 && share.get<double>() <= kMaxCores)
        settings.milliCores_ = static_cast<std::int64_t>(share.get<double>() * kMilliCoresPerCore);
    else if (!share.is_null())
        object.fail("processor_share", "must be a number of cores above 0");
    settings.memoryMb_ = object.integer("memory_mb", {.min_ = kMinMemoryMb, .max_ = kMaxMemoryMb},
                                        settings.memoryMb_);
    settings.maxDescriptors_ = static_cast<int>(object.integer(
        "max_fds", {.min_ = kMinDescriptors, .max_ = kMaxDescriptors}, settings.maxDescriptors_));
    constexpr int kMaxPercent = 100;
    settings.retryPercent_ =
        static_cast<int>(object.integer("retry_percent", {.min_ = 0, .max_ = kMaxPercent}, 15));
    if (role == "entry")
        settings.role_ = NodeRole::Entry;
    else if (role == "sidecar")
        settings.role_ = NodeRole::Sidecar;
    else
        object.fail("role", "must be entry or sidecar");
    if (settings.role_ == NodeRole::Entry
        && (settings.callerAddress_.empty() || settings.storeAddress_.empty()))
        object.fail("caller_address", "an entry needs caller_address and store_address");
    if (settings.role_ == NodeRole::Sidecar && settings.engineAddress_.empty())
        object.fail("engine_address", "a sidecar needs engine_address");
    if (object.error())
        return invalid(object.error()->message_);
    return settings;
}

} // namespace foxtailturn::gateway
