#pragma once

// A small valid content for tests: workspaces north and south, keys with the secrets "secret-a",
// "secret-b" and "secret-w" (withdrawn), an adapter "report" of north with versions 1 and 2.

#include "base/hash.h"
#include "config/content.h"

namespace foxtailturn {

inline ConfigurationContent testContent()
{
    ConfigurationContent content;
    content.schemes_ = {"legacy", "short", "urn"};
    content.targetGroups_ = {{"engines", RouteKind::Model, {"base"}},
                             {"bookings", RouteKind::Service, {}}};
    content.workspaces_ = {{"north", {"", "n", "urn:north"}, 1'000, 5'000, 2},
                           {"south", {"", "s", "urn:south"}, 100, 500, 1}};
    content.keys_ = {{"key-a", "north", sha256Hex("secret-a")},
                     {"key-b", "south", sha256Hex("secret-b")},
                     {"key-w", "south", sha256Hex("secret-w"), false, true}};
    Route completions;
    completions.id_ = "completions";
    completions.kind_ = RouteKind::Model;
    completions.methods_ = {"POST"};
    completions.pathPrefix_ = "/v1/completions";
    completions.repeatable_ = true;
    completions.targetGroup_ = "engines";
    completions.priority_ = PriorityClass::Batch;
    completions.maxTokens_ = 2'000;
    completions.deadlineMs_ = 60'000;
    Route book;
    book.id_ = "book";
    book.names_ = {"", "", "urn:book"};
    book.methods_ = {"POST"};
    book.pathPrefix_ = "/slots";
    book.targetGroup_ = "bookings";
    book.deadlineMs_ = 5'000;
    Route lookUp = book;
    lookUp.id_ = "look-up";
    lookUp.names_ = {"", "", "urn:look-up"};
    lookUp.methods_ = {"GET"};
    lookUp.pathPrefix_ = "/slots/open";
    lookUp.open_ = true;
    lookUp.repeatable_ = true;
    content.routes_ = {completions, book, lookUp};
    const Names names = {"legacy/report", "", "urn:report"};
    content.adapters_ = {{"report", 1, false, "base", "weights/report/1", names, {"north"}},
                         {"report", 2, true, "base", "weights/report/2", names, {"north"}}};
    return content;
}

} // namespace foxtailturn
