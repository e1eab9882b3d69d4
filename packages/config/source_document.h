#pragma once

// An operators' file: JSON with comments, and the line of each field.
//
//     Result<SourceDocument> document = parseSource(text, "association.json");
//     int line = document->lineOf("templates.large.adapters[2].id");

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/json.h"
#include "config/problem.h"

namespace foxtailturn {

struct SourceDocument
{
    std::string file_;
    Json json_;
    std::unordered_map<std::string, int> lines_; // by field path
    std::vector<Problem> repeatedFields_; // JSON readers would silently take the last one

    // Returns the line of the field or, if there is none, of the nearest field around it.
    [[nodiscard]] int lineOf(std::string_view field) const;
};

// Parses the text. Error: InvalidConfiguration, with file and line. Thread-safe.
[[nodiscard]] Result<SourceDocument> parseSource(std::string_view text, const std::string &file);

} // namespace foxtailturn
