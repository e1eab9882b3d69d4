#include "http_storage/http_platform.h"

#include <doctest/doctest.h>

#include "http_storage/http_transport.h"
#include "stub_lib/platform_stub.h"

namespace foxtailturn {
namespace {

constexpr const char *kHost = "127.0.0.1";
constexpr int kTestWorkers = 16;

// A running platform stub with one client of each service.
struct Fixture
{
    Fixture()
        : port_(stub_.server().start(kHost, 0, kTestWorkers))
        , table_(kHost, port_, clock_)
        , objects_(kHost, port_, clock_)
        , membership_(kHost, port_, clock_)
    { }

    TimePoint testDeadline() const { return clock_.now() + std::chrono::seconds(5); }

    void setFaults(const StubFaults &faults)
    {
        for (std::size_t i = 0; i < kStubServices; ++i)
            stub_.setFaults(static_cast<StubService>(i), faults);
    }

    SystemClock clock_;
    PlatformStub stub_;
    int port_;
    HttpTable table_;
    HttpObjects objects_;
    HttpMembership membership_;
};

// Guards against keys with URL delimiters that address another row.
TEST_CASE_FIXTURE(Fixture, "rows keep any key and value")
{
    const std::string keys[] = {"config/current", "a?b=c&d", "a%2Fb", "ä ö+#", "..", "line\nend"};
    for (const std::string &key : keys) {
        CAPTURE(key);
        const Result<RowVersion> version =
            table_.write(key, key + "{\"v\": 1}", kAbsent, testDeadline());
        REQUIRE(version);
        CHECK(*table_.read(key, testDeadline()) == Row{key, key + "{\"v\": 1}", *version});
        CHECK(table_.scan(key, testDeadline())->size() == 1);
    }
    CHECK(table_.scan("", testDeadline())->size() == std::size(keys));
    CHECK(*table_.read("other", testDeadline()) == std::nullopt);
}

// Guards against a lost update: a write or removal on another version must not take effect.
TEST_CASE_FIXTURE(Fixture, "rows change only on the expected version")
{
    const RowVersion first = table_.write("k", "a", kAbsent, testDeadline()).value();
    const RowVersion second = table_.write("k", "b", first, testDeadline()).value();
    CHECK(second > first);
    const Error kConflict{ErrorCode::StoreConflict, Execution::NotRun, "row has another version"};
    CHECK(table_.write("k", "c", kAbsent, testDeadline()).error() == kConflict);
    CHECK(table_.write("k", "c", first, testDeadline()).error() == kConflict);
    CHECK(table_.write("absent", "c", first, testDeadline()).error() == kConflict);
    CHECK(table_.remove("k", first, testDeadline()).error() == kConflict);
    CHECK(table_.remove("k", kAbsent, testDeadline()).error() == kConflict);
    CHECK(table_.remove("absent", first, testDeadline()).error() == kConflict);
    CHECK((*table_.read("k", testDeadline()))->value_ == "b");
    CHECK(table_.remove("k", second, testDeadline()));
    CHECK(table_.remove("k", kAbsent, testDeadline()));
    CHECK(*table_.read("k", testDeadline()) == std::nullopt);
}

// Guards against content altered in transit and against overwriting an immutable object.
TEST_CASE_FIXTURE(Fixture, "objects are binary and immutable")
{
    const std::string content(100'000, '\0');
    CHECK(*objects_.get("o/1", testDeadline()) == std::nullopt);
    CHECK(objects_.put("o/1", content, testDeadline()));
    CHECK(objects_.put("o/1", content, testDeadline()));
    CHECK(objects_.put("o/1", "other", testDeadline()).error().code_ == ErrorCode::StoreConflict);
    CHECK(*objects_.get("o/1", testDeadline()) == content);
}

TEST_CASE_FIXTURE(Fixture, "members are listed with their state")
{
    const Member live{"entry-1", "entry", "127.0.0.1:1", "a", VmState::Live};
    const Member leaving{"agent/2", "agent", "127.0.0.1:2", "b", VmState::Leaving};
    CHECK(membership_.put(live, testDeadline()));
    CHECK(membership_.put(leaving, testDeadline()));
    CHECK(*membership_.members(testDeadline()) == std::vector{leaving, live});
}

// Guards against a failure reported as NotRun whose write took effect or may still do so, and
// against OutcomeUnknown where a caller could safely go on.
TEST_CASE_FIXTURE(Fixture, "each fault is classified exactly")
{
    struct Case
    {
        const char *name_;
        StubFaults faults_;
        int deadlineMs_;
        Execution write_;
        bool hasEffect_;
        bool readFails_;
    };
    const Case cases[] = {
        {"down", {.down_ = true}, 5000, Execution::NotRun, false, true},
        {"slow", {.slowMs_ = 400}, 100, Execution::OutcomeUnknown, true, true},
        {"lost answer", {.loseAnswers_ = true}, 5000, Execution::OutcomeUnknown, true, false},
        {"dropped", {.dropRequests_ = true}, 5000, Execution::OutcomeUnknown, false, false},
        {"past deadline", {}, 0, Execution::NotRun, false, true},
    };
    for (const Case &c : cases) {
        CAPTURE(c.name_);
        const RowVersion version = table_.write(c.name_, "old", kAbsent, testDeadline()).value();
        setFaults(c.faults_);
        const auto deadline = [&] {
            return clock_.now() + std::chrono::milliseconds(c.deadlineMs_);
        };
        const Error writes[] = {
            table_.write(c.name_, "new", version, deadline()).error(),
            objects_.put(c.name_, "new", deadline()).error(),
            membership_.put(Member{c.name_, "entry", "a", "b", VmState::Live}, deadline()).error(),
        };
        for (const Error &error : writes) {
            CHECK(error.code_ == ErrorCode::StoreUnavailable);
            CHECK(error.execution_ == c.write_);
        }
        const auto read = table_.read(c.name_, deadline());
        CHECK(read.has_value() != c.readFails_);
        CHECK((read || read.error().execution_ == Execution::NotRun));
        CHECK(table_.scan(c.name_, deadline()).has_value() != c.readFails_);
        CHECK(objects_.get(c.name_, deadline()).has_value() != c.readFails_);
        CHECK(membership_.members(deadline()).has_value() != c.readFails_);
        setFaults({});
        std::this_thread::sleep_for(std::chrono::milliseconds(c.faults_.slowMs_));
        CHECK(((*table_.read(c.name_, testDeadline()))->value_ == "new") == c.hasEffect_);
        CHECK((*objects_.get(c.name_, testDeadline())).has_value() == c.hasEffect_);
    }
}

// Guards against removals classified unlike writes.
TEST_CASE_FIXTURE(Fixture, "a removal whose answer is lost has an unknown outcome")
{
    const RowVersion version = table_.write("k", "a", kAbsent, testDeadline()).value();
    setFaults({.down_ = true});
    CHECK(table_.remove("k", version, testDeadline()).error().execution_ == Execution::NotRun);
    setFaults({.loseAnswers_ = true});
    CHECK(table_.remove("k", version, testDeadline()).error().execution_
          == Execution::OutcomeUnknown);
    setFaults({});
    CHECK(*table_.read("k", testDeadline()) == std::nullopt);
}

// Guards against a wait past the deadline, and against pooled connections that outlive the service.
TEST_CASE_FIXTURE(Fixture, "a stopped service is refused at once and found again")
{
    REQUIRE(table_.write("k", "a", kAbsent, testDeadline()));
    stub_.server().finish();
    const Error error = table_.write("k", "b", kAbsent, testDeadline()).error();
    CHECK(error.code_ == ErrorCode::StoreUnavailable);
    CHECK(error.execution_ == Execution::NotRun);
    PlatformStub next;
    REQUIRE(next.server().start(kHost, port_, kTestWorkers) == port_);
    CHECK(table_.write("k", "b", kAbsent, testDeadline()));
}

// Guards against accepting statuses and ETags outside the protocol, such as those of a proxy.
TEST_CASE("answers outside the protocol")
{
    struct Case
    {
        int status_;
        const char *etag_;
        const char *effect_;
        Execution write_;
    };
    const Case cases[] = {
        {500, "", "", Execution::OutcomeUnknown},
        {503, "", "", Execution::OutcomeUnknown},
        {503, "", "none", Execution::NotRun},
        {404, "", "", Execution::OutcomeUnknown},
        {200, "", "", Execution::OutcomeUnknown},
        {200, "W/\"5\"", "", Execution::OutcomeUnknown},
        {200, "\"5x\"", "", Execution::OutcomeUnknown},
        {200, "\"\"", "", Execution::OutcomeUnknown},
    };
    for (const Case &c : cases) {
        CAPTURE(c.status_);
        CAPTURE(c.etag_);
        StubServer server;
        const auto answer = [&](const httplib::Request &, httplib::Response &response) {
            response.status = c.status_;
            response.set_header("ETag", c.etag_);
            response.set_header("x-effect", c.effect_);
        };
        server.Put("/rows/k", answer);
        const SystemClock clock;
        HttpTable table(kHost, server.start(kHost, 0, 2), clock);
        const TimePoint deadline = clock.now() + std::chrono::seconds(5);
        const Error error = table.write("k", "v", kAbsent, deadline).error();
        CHECK(error.code_ == ErrorCode::StoreUnavailable);
        CHECK(error.execution_ == c.write_);
    }
}

// Guards against an answer without end that takes the memory of its reader.
TEST_CASE("an answer without end is longer than the limit")
{
    StubServer server;
    const std::string piece(1'048'576, 'x');
    server.Get("/endless", [&](const httplib::Request &, httplib::Response &response) {
        response.set_chunked_content_provider("text/plain", [&](size_t, httplib::DataSink &sink) {
            return sink.write(piece.data(), piece.size());
        });
    });
    const SystemClock clock;
    HttpTransport transport(kHost, server.start(kHost, 0, 2), clock);
    const Result<HttpAnswer> answer = transport.send({.method_ = "GET", .path_ = "/endless"},
                                                     clock.now() + std::chrono::seconds(20));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code_ == ErrorCode::StoreUnavailable);
    CHECK(answer.error().message_.find("longer than the limit") != std::string::npos);
}

// Guards against a caller that an unresponsive service blocks past the deadline.
TEST_CASE_FIXTURE(Fixture, "the deadline bounds the wait for an unresponsive service")
{
    setFaults({.slowMs_ = 2000});
    const TimePoint start = clock_.now();
    CHECK(!table_.read("k", start + std::chrono::milliseconds(200)));
    CHECK(clock_.now() - start < std::chrono::milliseconds(1000));
}

} // namespace
} // namespace foxtailturn
