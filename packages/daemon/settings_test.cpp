#include "daemon/settings.h"

#include <doctest/doctest.h>

#include "base/json.h"

namespace foxtailturn {
namespace {

Json entrySettings()
{
    return {{"role", "entry"},
            {"name", "entry-1"},
            {"data_centre", "dc-a"},
            {"listen", "127.0.0.1:8080"},
            {"peer_listen", "127.0.0.1:9080"},
            {"admin_listen", "127.0.0.1:7080"},
            {"admin_token", "a-long-token"},
            {"platform", "127.0.0.1:9000"},
            {"insecure", true}};
}

TEST_CASE("complete settings are accepted")
{
    const Result<Settings> settings = Settings::parse(entrySettings().dump(), "s");
    REQUIRE(settings);
    CHECK(settings->listen_ == Endpoint{"127.0.0.1", 8080});
    CHECK(settings->maxBodyBytes_ == 4'194'304);
    CHECK(settings->memoryBytes() > 0);
    Json small = entrySettings();
    small["memory_mb"] = 160;
    CHECK(Settings::parse(small.dump(), "s")->memoryBytes() == 160 * 1'048'576);
}

// Guards against a process that starts with a setting that it misread.
TEST_CASE("each wrong setting is refused and named")
{
    struct Case
    {
        const char *field_;
        Json value_; // null: the field is removed
        const char *message_;
    };
    const Case cases[] = {
        {"role", "router", "s: role must be one of: agent, entry"},
        {"name", nullptr, "s: name is missing"},
        {"name", "a/b", "s: name must be a name without spaces and slashes"},
        {"listen", "localhost:1", "s: listen must be an IP address and a port, as 10.0.0.7:8080"},
        {"listen", "127.0.0.1:0", "s: listen must be an IP address and a port, as 10.0.0.7:8080"},
        {"lease_ms", 10, "s: lease_ms must be from 1000 to 120000"},
        {"lease_ms", "10 s", "s: lease_ms must be a whole number"},
        {"memory_mb", -1, "s: memory_mb must be from 0 to 1048576"},
        {"max_body_bytes", 0, "s: max_body_bytes must be from 1 to 16777216"},
        {"max_body_bytes", 16'777'217, "s: max_body_bytes must be from 1 to 16777216"},
        {"insecure", false, "s: tls is missing; set insecure to true to run without TLS"},
        {"admin_token", "short", "s: admin_token must have at least 8 bytes"},
        {"target", Json::object(), "s: target is not a known field"},
        {"lisen", "127.0.0.1:1", "s: lisen is not a known field"},
    };
    for (const Case &c : cases) {
        CAPTURE(c.message_);
        Json json = entrySettings();
        json.erase(c.field_);
        if (!c.value_.is_null())
            json[c.field_] = c.value_;
        const Result<Settings> settings = Settings::parse(json.dump(), "s");
        REQUIRE(!settings);
        CHECK(settings.error().code_ == ErrorCode::InvalidSettings);
        CHECK(settings.error().message_ == c.message_);
    }
}

} // namespace
} // namespace foxtailturn
