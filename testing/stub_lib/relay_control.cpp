#include "stub_lib/relay_control.h"

#include <optional>
#include <utility>

#include "base/json.h"

namespace foxtailturn {

namespace {

const Json kNoJson;

constexpr std::pair<const char *, RelayMode> kModes[] = {
    {"pass", RelayMode::Pass},
    {"delay", RelayMode::Delay},
    {"cut", RelayMode::Cut},
    {"silent", RelayMode::Silent},
    {"silence_open", RelayMode::SilenceOpen},
};

std::optional<RelayMode> modeOf(const std::string &name)
{
    for (const auto &[modeName, mode] : kModes) {
        if (name == modeName)
            return mode;
    }
    return std::nullopt;
}

} // namespace

RelayControl::RelayControl(TcpRelay &relay)
    : relay_(relay)
{
    server_.Post("/mode", [this](const auto &in, auto &out) { postMode(in, out); });
    server_.Get("/stats", [this](const auto &in, auto &out) { getStats(in, out); });
    server_.Get("/health", [](const auto &, auto &out) { answerJson(out, 200, "{}"); });
}

void RelayControl::postMode(const httplib::Request &request, httplib::Response &response)
{
    const Result<Json> json = parseJson(request.body, "mode");
    JsonObject object(json ? *json : kNoJson, "mode");
    const std::string name = object.string("mode");
    const std::optional<RelayMode> mode = modeOf(name);
    const int delayMs = static_cast<int>(object.integer("delay_ms", {.max_ = 600'000}, 0));
    object.refuseUnknown();
    if (!mode)
        object.fail("mode", "must be pass, delay, cut, silent or silence_open");
    if (object.error()) {
        answerJson(response, 400, Json{{"error", object.error()->message_}}.dump());
        return;
    }
    relay_.setMode({*mode, delayMs});
    answerJson(response, 200, "{}");
}

void RelayControl::getStats(const httplib::Request &, httplib::Response &response)
{
    const RelayStats stats = relay_.stats();
    const Json json = {{"port", relay_.port()},
                       {"accepted", stats.accepted_},
                       {"open", stats.open_},
                       {"forwarded_bytes", stats.forwardedBytes_}};
    answerJson(response, 200, json.dump());
}

} // namespace foxtailturn
