#include "gateway/node_settings.h"

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

namespace {

constexpr const char *kEntry = R"({
    // a comment
    "name": "vm-1", "role": "entry", "ip": "10.0.0.1", "data_centre": "a",
    "caller_address": "10.0.0.1:80", "ready_address": "10.0.0.1:81", "peer_port": 7600,
    "store_address": "10.9.0.1:82", "stop_grace_s": 6, "unknown_field": [1]
})";

} // namespace

TEST_CASE("an entry's settings are parsed; unknown fields are ignored")
{
    const Result<NodeSettings> settings = NodeSettings::parse(kEntry, "f");
    REQUIRE(settings);
    CHECK(settings->role_ == NodeRole::Entry);
    CHECK(settings->peerPort_ == 7600);
    CHECK(settings->stopGrace_ == std::chrono::seconds(6));
    CHECK(settings->metricsPort_ == 0);
    CHECK(settings->milliCores_ == 1000);
    const Result<NodeSettings> small = NodeSettings::parse(
        R"({"name":"a","role":"entry","ip":"1","peer_port":1,"caller_address":"b",)"
        R"("store_address":"c","processor_share":0.09,"store_silence_limit_ms":5000,)"
        R"("evacuation_notice_ms":5000,"memory_mb":120,"max_fds":3075})",
        "f");
    REQUIRE(small);
    CHECK(small->milliCores_ == 90);
    CHECK(small->memoryMb_ == 120);
    CHECK(small->maxDescriptors_ == 3075);
    CHECK(small->storeSilenceLimit_ == std::chrono::seconds(5));
    CHECK(small->evacuationNotice_ == std::chrono::seconds(5));
    CHECK(settings->evacuationNotice_ == Duration::zero());
}

// Guards against a process that starts with settings with which it can not serve.
TEST_CASE("invalid settings return InvalidSettings and name the field")
{
    struct Case
    {
        std::string text_;
        std::string expectedText_;
    };
    const Case cases[] = {
        {"", "f"},
        {"[]", "f"},
        {R"({"role":"entry"})", "name"},
        {R"({"name":"a","role":"x","ip":"1","peer_port":1})", "role"},
        {R"({"name":"a","role":"entry","ip":"1","peer_port":1})", "caller_address"},
        {R"({"name":"a","role":"sidecar","ip":"1","peer_port":1})", "engine_address"},
        {R"({"name":"a","role":"sidecar","ip":"1","peer_port":70000})", "peer_port"},
        {R"({"name":"a","role":"sidecar","ip":"1","peer_port":1e400})", "f"},
        {R"({"name":"a","role":"x","ip":"1","peer_port":1,"processor_share":0})",
         "processor_share"},
        {R"({"name":"a","role":"x","ip":"1","peer_port":1,"processor_share":"1"})",
         "processor_share"},
        {R"({"name":"a","role":"x","ip":"1","peer_port":1,"memory_mb":0})", "memory_mb"},
        {R"({"name":"a","role":"x","ip":"1","peer_port":1,"max_fds":100})", "max_fds"},
        {R"({"name":"a","role":"x","ip":"1","peer_port":1,"store_silence_limit_ms":9})",
         "store_silence_limit_ms"},
    };
    for (const Case &c : cases) {
        CAPTURE(c.text_);
        const Result<NodeSettings> settings = NodeSettings::parse(c.text_, "f");
        REQUIRE_FALSE(settings);
        CHECK(settings.error().code_ == ErrorCode::InvalidSettings);
        CHECK(settings.error().message_.find(c.expectedText_) != std::string::npos);
    }
    CHECK_FALSE(NodeSettings::read("/nonexistent/file"));
}

} // namespace foxtailturn::gateway
