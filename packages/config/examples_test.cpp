#include <fstream>
#include <iterator>
#include <set>

#include <doctest/doctest.h>

#include "config/configuration.h"
#include "config/renderer.h"

namespace foxtailturn {
namespace {

std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(FOXTAILTURN_EXAMPLES) + "/" + name);
    REQUIRE(file.good());
    return {std::istreambuf_iterator<char>(file), {}};
}

// Guards against examples that the renderer refuses or that are below the real size.
TEST_CASE("the examples render at real size")
{
    struct Case
    {
        const char *file_;
        const char *workspace_;
        const char *names_[3];
        const char *unrepeatable_;
        const char *open_;
    };
    const Case cases[] = {
        {"association.json",
         "member-002",
         {"D1401/report", "antwerp.report.1401", "urn:be-central:antwerp:report:1401@1"},
         "/bookings/7",
         "/register/7"},
        {"emporium.json",
         "kolkata/front",
         {"L1401-writer", "kolkata/stall/1401", "urn:emporium:kolkata:writer:1401"},
         "/orders/deposits",
         "/orders/stock/7"},
    };
    for (const Case &c : cases) {
        CAPTURE(c.file_);
        RenderResult result = renderSource(readExample(c.file_), c.file_);
        for (const Problem &problem : result.problems_)
            FAIL_CHECK(problemText(problem));
        const auto configuration = *Configuration::create(1, std::move(result.content_));
        std::set<std::string> adapters;
        for (const AdapterVersion &adapter : configuration->content().adapters_)
            adapters.insert(adapter.adapter_);
        CHECK(adapters.size() == 3'000);
        CHECK(configuration->content().workspaces_.size() == 5);
        const Workspace *workspace = configuration->findWorkspace(c.workspace_);
        REQUIRE(workspace != nullptr);
        for (const char *name : c.names_) {
            const auto found = configuration->resolveModel(workspace->id_, name);
            REQUIRE(found);
            CHECK((*found)->adapter_.find("-1401") != std::string::npos);
        }
        CHECK(!(*configuration->resolveRoute("POST", c.unrepeatable_))->repeatable_);
        CHECK((*configuration->resolveRoute("GET", c.open_))->open_);
        CHECK(configuration->findKey("example-" + workspace->id_ + "-main"));
    }
}

} // namespace
} // namespace foxtailturn
