#include "stub_lib/service_stub.h"

#include <doctest/doctest.h>

#include "base/json.h"

namespace foxtailturn {
namespace {

// Guards against a count that misses an execution: tests of at-most-once rest on it.
TEST_CASE("executions are counted under each fault")
{
    ServiceStub service;
    const int port = service.server().start("127.0.0.1", 0, 4);
    struct Case
    {
        const char *fault_;
        bool isAnswered_;
        int executions_;
    };
    const Case cases[] = {
        {R"({})", true, 1},
        {R"({"drop_after": true})", false, 2},
        {R"({"refuse": true})", true, 2},
        {R"({"slow_ms": 50})", true, 3},
    };
    for (const Case &c : cases) {
        CAPTURE(c.fault_);
        httplib::Client client("127.0.0.1", port);
        CHECK(client.Post("/fault", c.fault_, "application/json")->status == 200);
        const httplib::Result result = client.Post("/bookings", {{"Idempotency-Key", "k"}},
                                                   R"({"slot": 1})", "application/json");
        CHECK(static_cast<bool>(result) == c.isAnswered_);
        const Json stats = Json::parse(client.Get("/stats")->body);
        CHECK(stats["by_key"]["/bookings k"] == c.executions_);
        CHECK(stats["largest_by_body"] == c.executions_);
        CHECK(stats["credentials"] == 0);
    }
}

} // namespace
} // namespace foxtailturn
