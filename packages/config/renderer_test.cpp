#include "config/renderer.h"

#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "base/hash.h"
#include "config/configuration.h"
#include "config/content_json.h"

namespace foxtailturn {
namespace {

// Line numbers in the expected messages count from the first line of this text.
const std::string kSource = R"({ // operators' file
  "schemes": ["legacy", "short", "urn"],
  "targetGroups": [
    {"name": "engines", "kind": "model", "baseModels": ["base-8b"]},
    {"name": "bookings", "kind": "service"}
  ],
  "templates": {
    "member": {
      "parameters": {"code": "string", "count": "integer", "hash": "string",
                     "rate": {"type": "integer", "default": 500}},
      "workspace": {"id": "${code}", "names": {"urn": "urn:${code}"},
                    "rate": "${rate}", "burst": 2000},
      "keys": [{"id": "${code}-main", "hash": "${hash}"}],
      "adapters": [
        {"range": {"variable": "n", "from": 1, "to": "${count}"},
         "id": "${code}-${n:4}",
         "names": {"legacy": "${code}/${n}", "urn": "urn:${code}:${n}"},
         "baseModel": "base-8b", "versions": [1, 2], "current": 2,
         "object": "weights/${code}/${n}/${version}"}
      ]
    }
  },
  "workspaces": [
    {"template": "member", "parameters": {"code": "north", "count": 600,
     "hash": "0000000000000000000000000000000000000000000000000000000000000001"}},
    {"template": "member", "parameters": {"code": "south", "count": 3, "rate": 50,
     "hash": "0000000000000000000000000000000000000000000000000000000000000002"}}
  ],
  "routes": [
    {"id": "chat", "names": {"short": "c"}, "kind": "model", "methods": ["POST"],
     "path": "/v1/chat/completions", "repeatable": true, "targetGroup": "engines",
     "maxTokens": 1000, "deadlineMs": 60000},
    {"id": "book", "names": {}, "kind": "service", "methods": ["POST"], "path": "/slots",
     "repeatable": false, "targetGroup": "bookings", "deadlineMs": 5000}
  ],
  "adapters": [
    {"id": "shared", "names": {"short": "sh"}, "baseModel": "base-8b", "versions": [1],
     "current": 1, "object": "weights/shared/1", "owners": ["north", "south"]}
  ]
})";

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = kSource;
    const std::size_t at = text.find(from);
    REQUIRE_MESSAGE(at != std::string::npos, from);
    text.replace(at, from.size(), to);
    return text;
}

// Guards against a template that renders other identities than its text says.
TEST_CASE("templates render workspaces, keys, routes and ranges of adapters")
{
    RenderResult result = renderSource(kSource, "f");
    for (const Problem &problem : result.problems_)
        FAIL_CHECK(problemText(problem));
    const auto configuration = *Configuration::create(1, std::move(result.content_));
    CHECK(configuration->content().adapters_.size() == 2 * 603 + 1);
    CHECK(configuration->modelsOf("north").size() == 601);
    CHECK(configuration->findWorkspace("urn:north")->rate_ == 500);
    CHECK(configuration->findWorkspace("south")->rate_ == 50);
    CHECK(configuration->findWorkspace("south")->burst_ == 2'000);
    const AdapterVersion *adapter = *configuration->resolveModel("north", "urn:north:600");
    CHECK(adapter->adapter_ == "north-0600");
    CHECK(adapter->object_ == "weights/north/600/2");
    CHECK(adapter == *configuration->resolveModel("north", "north/600"));
    CHECK(adapter == *configuration->resolveModel("north", "north-0600@2"));
    CHECK((*configuration->resolveRoute("POST", "/slots"))->repeatable_ == false);
}

// Guards against a mistake in an operators' file that goes into force, or that is reported at the
// wrong place.
TEST_CASE("refusals name file, line and field")
{
    struct Case
    {
        const char *from_;
        const char *to_;
        const char *message_;
    };
    const Case cases[] = {
        {"2000}", "}", "f:12: not valid JSON"},
        {"\"burst\": 2000", "\"burst\": 2000, \"brust\": 1",
         "f:12: templates.member.workspace.brust (workspaces[0] at line 24) is not a known field"},
        {"\"burst\": 2000", "\"burst\": \"2000\"",
         "f:12: templates.member.workspace.burst (workspaces[0] at line 24) must be a whole "
         "number"},
        {"\"burst\": 2000", "\"burst\": 99999999999999999999", "must be a whole number"},
        {"\"burst\": 2000", "\"burst\": 18446744073709551615", "must be a whole number"},
        {"\"burst\": 2000", "\"burst\": 0",
         "f:12: templates.member.workspace.burst (workspaces[0] at line 24) is 0 and must be from "
         "1"},
        {"\"burst\": 2000", "\"burst\": 2000, \"burst\": 9",
         "f:12: templates.member.workspace.burst is given twice"},
        {"\"urn:${code}\"", "\"urn:${cod}\"",
         "f:11: templates.member.workspace.names.urn (workspaces[0] at line 24) uses the unknown "
         "parameter 'cod'"},
        {"urn:${code}", "urn:${code", "has '${' without '}'"},
        {"${n:4}", "${n:99}", "must give a padding from 0 to 9"},
        {"\"code\": \"north\", ", "",
         "f:24: workspaces[0].parameters.code is missing; templates.member has no default"},
        {"\"rate\": 50,", "\"rte\": 50,",
         "f:26: workspaces[1].parameters.rte is not a parameter of templates.member"},
        {"\"rate\": 50,", "\"rate\": \"50\",",
         "f:26: workspaces[1].parameters.rate must be of type integer"},
        {"\"default\": 500", "\"default\": \"x\"",
         "f:10: templates.member.parameters.rate.default must be of type"},
        {"\"count\": \"integer\"", "\"count\": \"number\"",
         "f:9: templates.member.parameters.count must have the type"},
        {"\"template\": \"member\"", "\"template\": \"guest\"",
         "f:24: workspaces[0].template 'guest' is not a template"},
        {"\"count\": 600", "\"count\": 0", "f:15: templates.member.adapters[0].range.to"},
        {"\"variable\": \"n\"", "\"variable\": \"code\"", "'code' is already a parameter"},
        {"\"urn\": \"urn:${code}:", "\"uri\": \"urn:${code}:",
         "f:17: templates.member.adapters[0].names.uri (workspaces[0] at line 24 n=1) is not a "
         "known"},
        {"\"current\": 2", "\"current\": 3", "f:18: templates.member.adapters[0].current"},
        {"[1, 2], \"current\"", "[1, 2, 2], \"current\"",
         "2 of adapter 'north-0001' is already given"},
        {"\"base-8b\", \"versions\": [1, 2]", "\"base-9b\", \"versions\": [1, 2]",
         "'base-9b' is run by no target group"},
        {"\"kind\": \"service\"}", "\"kind\": \"srv\"}",
         "f:5: targetGroups[1].kind must be model or service"},
        {"\"targetGroup\": \"bookings\"", "\"targetGroup\": \"orders\"",
         "f:34: routes[1].targetGroup 'orders' is not a target group"},
        {"\"targetGroup\": \"bookings\"", "\"targetGroup\": \"engines\"",
         "f:34: routes[1].targetGroup 'engines' serves routes of kind model only"},
        {"\"repeatable\": false, ", "", "routes[1].repeatable is missing"},
        {"\"path\": \"/slots\"", "\"path\": \"/slots/../x\"",
         "f:33: routes[1].path '/slots/../x' must be"},
        {"\"path\": \"/slots\"", "\"path\": \"/v1/chat/completions\"",
         "f:33: routes[1].path 'POST /v1/chat/completions' is already given; see f:31: "
         "routes[0].path"},
        {"\"POST\"], \"path\": \"/slots\"", "\"post\"], \"path\": \"/slots\"",
         "'post' is not an HTTP method"},
        {"\"maxTokens\": 1000", "\"open\": true, \"maxTokens\": 1000",
         "f:32: routes[0].open must be false"},
        {"\"south\"]", "\"west\"]", "f:38: adapters[0].owners 'west' is not a workspace"},
        {"0002\"", "0001\"", "f:13: templates.member.keys[0].hash (workspaces[1] at line 26)"},
        {"0002\"", "000G\"", "must be a SHA-256 hash"},
        {"\"schemes\": [\"legacy\", ", "\"schemes\": [",
         "f:2: schemes must be a list of 3 strings"},
        {"\"legacy\", \"short\"", "\"short\", \"short\"", "f:2: schemes[0] 'short' is given twice"},
        {"\"short\": \"sh\"", "\"short\": \"s h\"",
         "f:37: adapters[0].names.short 's h' must begin"},
        {"\"short\": \"sh\"", "\"short\": \"sh@1\"",
         "f:37: adapters[0].names.short 'sh@1' must begin"},
        // Clashes between two schemes, and between a scheme and an id.
        {"\"short\": \"sh\"", "\"short\": \"south/2\"",
         "f:37: adapters[0].names.short 'south/2' of adapter 'shared' clashes with adapter "
         "'south-0002'; see f:17: templates.member.adapters[0].names.legacy (workspaces[1] at line "
         "26 n=2)"},
        {"\"short\": \"c\"", "\"short\": \"book\"",
         "f:33: routes[1].id 'book' of route 'book' clashes with route 'chat'; see f:30: "
         "routes[0].names.short"},
        {"urn:${code}\"}", "urn:x\"}",
         "'urn:x' of workspace 'south' clashes with workspace 'north'"},
    };
    for (const Case &c : cases) {
        CAPTURE(c.from_);
        CAPTURE(c.to_);
        const RenderResult result = renderSource(replaced(c.from_, c.to_), "f");
        REQUIRE(!result.problems_.empty());
        const std::string text = problemText(result.problems_.front());
        CHECK_MESSAGE(text.find(c.message_) != std::string::npos, text);
    }
}

std::string number(const char *prefix, int n)
{
    return prefix + std::to_string(n);
}

Names anyNames(const std::string &base)
{
    Names names;
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (*rc::gen::arbitrary<bool>())
            names[i] = base + ":" + std::to_string(i);
    }
    return names;
}

// Returns any valid content, in any order.
ConfigurationContent anyContent()
{
    ConfigurationContent content;
    content.schemes_ = {"a", "b", "c"};
    content.targetGroups_ = {{"s", RouteKind::Service, {}}, {"e", RouteKind::Model, {"y", "x"}}};
    const int workspaces = *rc::gen::inRange(1, 5);
    for (int i = workspaces; i > 0; --i) {
        const std::string id = number("w", i);
        content.workspaces_.push_back({id, anyNames(id), *rc::gen::inRange(1, 1'000'000'000),
                                       *rc::gen::inRange(1, 1'000'000'000),
                                       *rc::gen::inRange(1, 1'000)});
        content.keys_.push_back({number("k", i), id, sha256Hex(id), *rc::gen::arbitrary<bool>(),
                                 *rc::gen::arbitrary<bool>()});
    }
    for (int i = *rc::gen::inRange(0, 6); i > 0; --i) {
        Route route{number("r", i),
                    anyNames(number("r", i)),
                    RouteKind::Service,
                    {"PUT", "GET"},
                    number("/r", i),
                    *rc::gen::arbitrary<bool>(),
                    *rc::gen::arbitrary<bool>(),
                    "s",
                    PriorityClass::Batch,
                    0,
                    *rc::gen::inRange(1, 86'400'000)};
        content.routes_.push_back(std::move(route));
    }
    for (int i = *rc::gen::inRange(0, 20); i > 0; --i) {
        const std::string id = number("a", i);
        AdapterVersion adapter{id, 0, false, "x", "o/" + id, anyNames(id), {"w1"}};
        const int versions = *rc::gen::inRange(1, 4);
        for (int version = versions; version > 0; --version) {
            adapter.version_ = version;
            adapter.current_ = version == 1;
            content.adapters_.push_back(adapter);
        }
    }
    return content;
}

// Guards against a field that is lost or changed between publishing and following, and against
// equal content with different digests.
TEST_CASE("canonical JSON is read back unchanged and doesn't depend on the order")
{
    CHECK(rc::check([] {
        ConfigurationContent content = anyContent();
        const auto configuration = *Configuration::create(1, content);
        const std::string text = toCanonicalJson(configuration->content());
        const Result<ConfigurationContent> parsed = parseCanonicalJson(text);
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(*parsed == configuration->content());
        std::reverse(content.adapters_.begin(), content.adapters_.end());
        std::reverse(content.workspaces_.begin(), content.workspaces_.end());
        const auto reversed = *Configuration::create(2, std::move(content));
        RC_ASSERT(toCanonicalJson(reversed->content()) == text);
    }));
}

// Guards against a broken or truncated object that is put in force.
TEST_CASE("damaged canonical JSON is refused")
{
    const RenderResult result = renderSource(kSource, "f");
    const std::string text = toCanonicalJson(result.content_);
    REQUIRE(parseCanonicalJson(text));
    CHECK(!parseCanonicalJson(text.substr(0, text.size() / 2)));
    CHECK(!parseCanonicalJson("{}"));
    for (const char *field : {"\"burst\"", "\"open\"", "\"owners\"", "\"issued\"", "\"kind\""}) {
        std::string damaged = text;
        damaged.replace(damaged.find(field) + 1, 1, "x");
        CHECK(!parseCanonicalJson(damaged));
    }
}

} // namespace
} // namespace foxtailturn
