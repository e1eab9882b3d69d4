#include "base/event_log.h"

#include <doctest/doctest.h>

namespace foxtailturn {

// Guards against a stuck reader of standard output that stops the event loop or fills the memory.
TEST_CASE("a sink that takes nothing bounds the queue and drops lines")
{
    const ManualWallClock fixed;
    EventLog log("p", fixed, [](std::string_view) -> std::size_t { return 0; });
    const std::string text(10'000, 'x');
    for (int i = 0; i < EventLog::kFullPerSecond; ++i)
        log.write(LogDetail::Full, "k", {{"text", text}});
    log.flush();
    CHECK(log.dropped() > 0);
}

// Guards against a log that grows with the load and against silent gaps in it.
TEST_CASE("lines over the cap are left out and counted")
{
    ManualWallClock clock;
    std::string out;
    EventLog log("p", clock, [&out](std::string_view bytes) {
        out += bytes;
        return bytes.size();
    });
    for (int i = 0; i < EventLog::kSampledPerSecond + 5; ++i)
        log.write(LogDetail::Sampled, "sent", nlohmann::json::object());
    log.flush();
    CHECK(out.find("\"kind\":\"left_out\"") != std::string::npos);
    CHECK(out.find("\"lines\":5") != std::string::npos);
    clock.advance(std::chrono::seconds(1));
    CHECK(log.admits(LogDetail::Sampled, "sent"));
}

// Guards against an exception on bytes that are no UTF-8, which callers can send.
TEST_CASE("bytes that are no text are replaced")
{
    const ManualWallClock clock;
    std::string out;
    EventLog log("p", clock, [&out](std::string_view bytes) {
        out += bytes;
        return bytes.size();
    });
    log.write(LogDetail::Full, "refused", {{"request", "\xff\xfe"}});
    log.flush();
    CHECK(nlohmann::json::accept(out.substr(0, out.find('\n'))));
}

} // namespace foxtailturn
