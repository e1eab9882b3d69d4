#include "ctl/command.h"

#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include <asio.hpp>
#include <doctest/doctest.h>
#include <httplib.h>

#include "base/hash.h"
#include "storage/memory_platform.h"

namespace foxtailturn {
namespace {

const std::string kSource = R"({
  "schemes": ["a", "b", "c"],
  "targetGroups": [{"name": "s", "kind": "service"}],
  "templates": {"t": {"parameters": {"code": "string", "rate": "integer"},
    "workspace": {"id": "${code}", "names": {}, "rate": "${rate}", "burst": 9}}},
  "workspaces": [{"template": "t", "parameters": {"code": "north", "rate": 5}}],
  "routes": []
})";

class FakeAdmin final : public AdminClient
{
public:
    Result<Json> state(const std::string &address) override
    {
        if (revisions_.count(address) == 0)
            return outcomeUnknown(ErrorCode::ConnectionLost, address + " can't be reached");
        return Json{{"revision", revisions_[address]}};
    }

    Result<void> drain(const std::string &address) override
    {
        return state(address).map([](const Json &) {});
    }

    Result<void> withdraw(const std::string &address, const std::set<std::string> &ids) override
    {
        withdrawn_.insert(ids.begin(), ids.end());
        return drain(address);
    }

    std::map<std::string, std::uint64_t> revisions_;
    std::set<std::string> withdrawn_;
};

// Moves the clock instead of waiting, and lets processes reach revision 2.
class FakeWaiter final : public Waiter
{
public:
    FakeWaiter(ManualClock &clock, FakeAdmin &admin)
        : clock_(clock)
        , admin_(admin)
    { }

    void waitUntil(TimePoint time) override
    {
        clock_.advance(time - clock_.now());
        for (auto &[address, revision] : admin_.revisions_)
            revision = 2;
    }

private:
    ManualClock &clock_;
    FakeAdmin &admin_;
};

struct Fixture
{
    ManualClock clock_;
    ManualWallClock wallClock_;
    MemoryTable table_;
    MemoryObjects objects_;
    FakeAdmin admin_;
    FakeWaiter waiter_{clock_, admin_};
    ConfigStore store_{table_, objects_, clock_, [this](Duration step) { clock_.advance(step); }};
    ClaimAdmin claims_{ClaimServices{table_, clock_, wallClock_, waiter_}, ClaimLimits{}};
    CommandOptions options_;
    const std::string file_ = "ctl_test_" + randomId() + ".json";

    Fixture()
    {
        options_.hasPlatform_ = true;
        write(kSource);
    }
    ~Fixture() { std::remove(file_.c_str()); }

    void write(const std::string &text) const { std::ofstream(file_) << text; }

    Report run(const Arguments &words)
    {
        CommandContext context{options_, store_, admin_, claims_, clock_, waiter_};
        return runCommand(context, words);
    }

    int code(const Arguments &words) { return static_cast<int>(run(words).code_); }
};

// Guards against exit codes that differ from the documented ones, on which scripts rely.
TEST_CASE("exit codes")
{
    Fixture f;
    CHECK(f.code({}) == 2);
    CHECK(f.code({"valdate", f.file_}) == 2);
    CHECK(f.code({"validate"}) == 2);
    CHECK(f.code({"validate", "no-such-file"}) == 2);
    const std::string huge = f.file_ + ".huge";
    std::ofstream(huge) << R"({"revision": 1e400})";
    CHECK(f.code({"validate", huge}) == 1); // used to end in an uncaught exception
    std::ofstream(huge) << "{";
    CHECK(f.code({"validate", huge}) == 1);
    std::remove(huge.c_str());
    CHECK(f.code({"explain"}) == 2);
    CHECK(f.code({"explain", "r", "no-such-file"}) == 2);
    CHECK(f.code({"explain", "r", f.file_, f.file_}) == 1); // no line of that request
    CHECK(f.code({"state"}) == 2);
    CHECK(f.code({"validate", f.file_}) == 0);
    CHECK(f.code({"render", f.file_}) == 0);
    CHECK(f.code({"diff", f.file_}) == 0);
    CHECK(f.code({"apply", f.file_}) == 0);
    f.options_.expectRevision_ = 0;
    CHECK(f.code({"apply", f.file_}) == 3);
    CHECK(f.run({"apply", f.file_}).json_["currentRevision"] == 1);
    f.options_.expectRevision_ = 1;
    f.table_.setFault(TableFault::Down);
    CHECK(f.code({"apply", f.file_}) == 4);
    CHECK(f.code({"status"}) == 4);
    f.options_.hasPlatform_ = false;
    CHECK(f.code({"status"}) == 2);
}

// Guards against an error that leaves the operator searching.
TEST_CASE("a refused file gives file, line and field")
{
    Fixture f;
    std::string text = kSource;
    text.replace(text.find("\"rate\": 5"), 9, "\"rate\": 0");
    f.write(text);
    const Report report = f.run({"apply", f.file_});
    CHECK(report.code_ == ExitCode::Refused);
    CHECK(report.errors_.front().rfind(f.file_ + ":5: templates.t.workspace.rate", 0) == 0);
    CHECK(report.json_["problems"][0]["line"] == 5);
    CHECK(f.store_.revisions(f.clock_.now())->revision() == 0);
}

// Guards against a withdrawal that has to wait for the store, or is reported as done without it.
TEST_CASE("key add, list and withdraw")
{
    Fixture f;
    REQUIRE(f.code({"apply", f.file_}) == 0);
    const Report added = f.run({"key", "add", "k1", "north"});
    REQUIRE(added.code_ == ExitCode::Ok);
    const std::string secret = added.json_["secret"];
    const auto load = [&f] { return *f.store_.load(f.clock_.now()); };
    CHECK(load()->findKey(secret)->workspace_->id_ == "north");
    CHECK(f.code({"key", "add", "k2", "nowhere"}) == 1);

    f.options_.adminAddresses_ = {"entry:1", "gone:1"};
    f.admin_.revisions_["entry:1"] = 1;
    f.table_.setFault(TableFault::Down);
    CHECK(f.code({"key", "withdraw", "k1"}) == 5);
    CHECK(f.admin_.withdrawn_.count("k1") == 1);
    f.admin_.revisions_.clear();
    CHECK(f.code({"key", "withdraw", "k1"}) == 4);
    f.table_.setFault(TableFault::None);
    CHECK(f.code({"key", "withdraw", "k1"}) == 0);
    CHECK(load()->findKey(secret).error().code_ == ErrorCode::KeyWithdrawn);
    CHECK(f.code({"key", "withdraw", "k9"}) == 1);
    CHECK(f.run({"key", "list"}).json_["keys"][0]["state"] == "withdrawn");
}

// Guards against a script that goes on before a revision is in force.
TEST_CASE("status, wait, drain and dump")
{
    Fixture f;
    REQUIRE(f.code({"apply", f.file_}) == 0);
    f.options_.adminAddresses_ = {"entry:1"};
    f.admin_.revisions_["entry:1"] = 0;
    CHECK(f.code({"status"}) == 5);
    CHECK(f.code({"wait"}) == 2);
    f.options_.revision_ = 2;
    CHECK(f.code({"wait"}) == 0);
    CHECK(f.code({"status"}) == 0);
    f.options_.revision_ = 3;
    CHECK(f.code({"wait"}) == 5);
    CHECK(f.code({"drain", "entry:1"}) == 0);
    CHECK(f.code({"drain", "gone:1"}) == 4);
    CHECK(f.run({"dump"}).json_["processes"]["entry:1"]["revision"] == 2);
    CHECK(f.code({"claims", "list"}) == 0);
    CHECK(f.code({"claims", "settle", "w", "r", "k"}) == 1);
}

// Guards against requests that a process's admin HTTP doesn't accept.
TEST_CASE("HttpAdminClient sends what the admin HTTP expects")
{
    httplib::Server server;
    std::string body;
    const auto guarded = [](const httplib::Request &request, httplib::Response &response) {
        response.status = request.get_header_value("x-admin-token") == "t" ? 200 : 401;
        response.set_content(R"({"revision": 7})", "application/json");
    };
    server.Get("/state", guarded);
    server.Post("/drain", guarded);
    server.Post("/withdraw", [&](const httplib::Request &request, httplib::Response &response) {
        body = request.body;
        guarded(request, response);
    });
    const std::string address = "127.0.0.1:" + std::to_string(server.bind_to_any_port("127.0.0.1"));
    std::thread thread([&server] { server.listen_after_bind(); });
    HttpAdminClient admin("t", std::chrono::seconds(2));
    const Result<Json> state = admin.state(address);
    REQUIRE(state);
    CHECK((*state)["revision"] == 7);
    CHECK(admin.drain(address));
    CHECK(admin.withdraw(address, {"k1", "k2"}));
    CHECK(body == R"({"keys":["k1","k2"]})");
    HttpAdminClient stranger("x", std::chrono::seconds(2));
    CHECK(stranger.drain(address).error().code_ == ErrorCode::Unauthenticated);
    CHECK(stranger.drain("127.0.0.1:1").error().code_ == ErrorCode::ConnectionLost);
    server.stop();
    thread.join();
}

// Guards against a process that answers without end, and against a command that waits for it.
TEST_CASE("HttpAdminClient reads an answer without end up to a limit or its timeout")
{
    struct Case
    {
        std::string first_;
        std::string repeated_;
        std::string error_; // a part of it
    };
    const std::string piece(65'536, 'x');
    std::string fields;
    while (fields.size() < piece.size())
        fields += "a: b\r\n";
    const Case cases[] = {
        {"HTTP/1.1 200 OK\r\n\r\n", piece, "longer than the limit"},
        {"HTTP/1.1 200 OK\r\n", fields, "too many bytes before the answer"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", "", "by the deadline"},
    };
    for (const Case &c : cases) {
        CAPTURE(c.error_);
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        std::thread server([&] {
            asio::ip::tcp::socket peer = acceptor.accept();
            asio::error_code error;
            asio::write(peer, asio::buffer(c.first_), error);
            while (!error && !c.repeated_.empty())
                asio::write(peer, asio::buffer(c.repeated_), error);
            std::string request;
            asio::read(peer, asio::dynamic_buffer(request), error); // until the client closes
        });
        HttpAdminClient admin("t", std::chrono::seconds(2));
        const auto begin = std::chrono::steady_clock::now();
        const Result<Json> state =
            admin.state("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
        CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(4));
        REQUIRE_FALSE(state);
        CHECK(state.error().code_ == ErrorCode::ConnectionLost);
        CAPTURE(state.error().message_);
        CHECK(state.error().message_.find(c.error_) != std::string::npos);
        server.join();
    }
}

TEST_CASE("printReport writes a table or one JSON document")
{
    Report report = failureReport(ExitCode::Conflict, "no");
    report.table_ = {{"A", "B"}, {"long", "x"}};
    std::ostringstream out;
    std::ostringstream err;
    printReport(report, OutputFormat::Table, out, err);
    CHECK(out.str() == "A     B\nlong  x\n");
    CHECK(err.str() == "error: no\n");
    std::ostringstream json;
    printReport(report, OutputFormat::Json, json, err);
    CHECK(Json::parse(json.str())["exitCode"] == 3);
}

} // namespace
} // namespace foxtailturn
