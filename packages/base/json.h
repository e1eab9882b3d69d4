#pragma once

// Checked reading of JSON with comments.
//
//     Result<Json> json = parseJson(text, "settings.json");
//     JsonObject object(*json, "settings.json");
//     const int port = object.integer("port", {.min_ = 1, .max_ = 65535});
//     object.refuseUnknown();
//     if (object.error()) return tl::unexpected(*object.error());
//
// The first problem is kept and names file and field; later reads return defaults.

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace foxtailturn {

using Json = nlohmann::json;

// Parses JSON with // and /* */ comments. source names the text in errors, which give line and
// column. Error: InvalidConfiguration. Thread-safe.
[[nodiscard]] Result<Json> parseJson(std::string_view text, std::string_view source);

// Parses JSON from outside without comments. Returns a discarded value (is_discarded()) for any
// text that is not valid or holds a number out of range, for which the library throws even when its
// exceptions for syntax are off. filter may leave parts out, as the library's callback does.
// Thread-safe.
[[nodiscard]] Json parseUntrustedJson(std::string_view text,
                                      const Json::parser_callback_t &filter = nullptr);

// Inclusive bounds of an integer field.
struct IntegerRange
{
    std::int64_t min_ = 0;
    std::int64_t max_ = std::numeric_limits<std::int64_t>::max();

    bool operator==(const IntegerRange &) const = default;
};

// Reads the fields of one JSON object and records the first problem. Not thread-safe. The JSON
// value must outlive this object.
class JsonObject
{
public:
    // path names the object in errors, for example "settings.json: listen".
    JsonObject(const Json &json, std::string path);

    // Returns a required field; a default value on any problem, which error() then tells.
    std::string string(const std::string &field);
    std::int64_t integer(const std::string &field, IntegerRange range);
    bool boolean(const std::string &field);

    // Returns an optional field, or fallback when it is absent.
    std::string string(const std::string &field, const std::string &fallback);
    std::int64_t integer(const std::string &field, IntegerRange range, std::int64_t fallback);
    bool boolean(const std::string &field, bool fallback);
    std::vector<std::string> strings(const std::string &field);

    // Returns the field's value, or null when absent. The field counts as known.
    const Json &child(const std::string &field);

    // Records an error for each field that no call above has named.
    void refuseUnknown();

    // Returns the path of a field for nested objects and for errors.
    [[nodiscard]] std::string fieldPath(const std::string &field) const;

    // Records a problem with a field, unless there is one already.
    void fail(const std::string &field, const std::string &problem);

    [[nodiscard]] const std::optional<Error> &error() const { return error_; }

private:
    const Json *find(const std::string &field);

    const Json *json_;
    std::string path_;
    std::set<std::string> known_;
    std::optional<Error> error_;
};

} // namespace foxtailturn
