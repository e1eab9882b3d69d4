#pragma once

// Reading of one object of an operators' file, with parameters replaced by their values.
//
//     const Scope scope{{{"code", "north"}, {"n", 7}}, "workspaces[0] n=7"};
//     SourceObject object(json, place, scope, problems);
//     std::string id = object.string("id"); // "${code}-${n:4}" gives "north-0007"
//     object.refuseUnknown();
//
// A text that is exactly "${name}" takes the type of the parameter; otherwise the value is inserted
// as text. "${name:4}" pads a number with zeros to 4 digits. Every problem is recorded; reads then
// return defaults.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/json.h"
#include "config/problem.h"

namespace foxtailturn {

// Problems in the order found; instances of one template repeat a problem, and only the first of
// those is kept. Not thread-safe.
class ProblemList
{
public:
    void add(Problem problem);

    [[nodiscard]] const std::vector<Problem> &items() const { return items_; }

private:
    std::vector<Problem> items_;
    std::set<std::pair<std::string, std::string>> seen_; // field and text
};

// Values of the parameters in one instance of a template.
struct Scope
{
    std::map<std::string, Json> values_;
    std::string context_;
};

// Returns text with each parameter replaced; the error says what is wrong. Thread-safe.
[[nodiscard]] tl::expected<Json, std::string> expandText(const std::string &text,
                                                         const Scope &scope);

// Not thread-safe. All references must outlive this object.
class SourceObject
{
public:
    SourceObject(const Json &json, Place place, const Scope &scope, ProblemList &problems);

    // Return a required field, or a default after a problem.
    std::string string(const std::string &field);
    std::int64_t integer(const std::string &field);
    bool boolean(const std::string &field);
    std::vector<std::string> strings(const std::string &field);
    std::vector<std::int64_t> integers(const std::string &field);

    // Returns whether the field is there. The field counts as known.
    bool has(const std::string &field);

    // Returns the raw value of a required list or object; an empty one after a problem.
    const Json &list(const std::string &field);
    const Json &object(const std::string &field);

    // Returns the raw value, or null when absent. The field counts as known.
    const Json &raw(const std::string &field);

    // Records a problem for each field that no call has named.
    void refuseUnknown();

    // Records a problem with a field.
    void fail(const std::string &field, std::string text);

    // Returns the place of a field, and of an item of a list.
    [[nodiscard]] Place place(const std::string &field) const;
    [[nodiscard]] Place place(const std::string &field, std::size_t index) const;

    [[nodiscard]] const Place &place() const { return place_; }

private:
    std::optional<Json> value(const std::string &field);
    std::optional<Json> expand(const std::string &field, const Json &json);

    template <typename T>
    T scalar(const std::string &field, bool (*isType)(const Json &), const char *type);

    template <typename T>
    std::vector<T> items(const std::string &field, bool (*isType)(const Json &), const char *type);

    const Json &container(const std::string &field, bool (*isType)(const Json &), const char *type,
                          const Json &fallback);

    const Json *json_;
    Place place_;
    const Scope *scope_;
    ProblemList *problems_;
    std::set<std::string> known_;
};

} // namespace foxtailturn
