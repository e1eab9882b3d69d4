#include "config/source_object.h"

#include <charconv>
#include <utility>

#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr std::size_t kMaxPadding = 9;

const Json kNull;
const Json kEmptyList = Json::array();
const Json kEmptyObject = Json::object();

bool isString(const Json &json)
{
    return json.is_string();
}

// Numbers beyond 64 bits signed are refused: nlohmann would wrap them.
bool isInteger(const Json &json)
{
    constexpr auto kMax = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (json.is_number_unsigned())
        return json.get<std::uint64_t>() <= kMax;
    return json.is_number_integer();
}

bool isBoolean(const Json &json)
{
    return json.is_boolean();
}

bool isArray(const Json &json)
{
    return json.is_array();
}

bool isObject(const Json &json)
{
    return json.is_object();
}

// A reference such as "name" or "name:4", split.
struct Reference
{
    std::string name_;
    std::size_t padding_ = 0;
    bool isValid_ = true;
};

Reference splitReference(const std::string &text)
{
    const std::size_t colon = text.find(':');
    Reference reference{text.substr(0, colon)};
    if (colon == std::string::npos)
        return reference;
    const std::string digits = text.substr(colon + 1);
    const char *end = digits.data() + digits.size();
    const auto [last, failure] = std::from_chars(digits.data(), end, reference.padding_);
    reference.isValid_ = failure == std::errc() && last == end && reference.padding_ <= kMaxPadding;
    return reference;
}

tl::expected<std::string, std::string> toText(const Reference &reference, const Json &value)
{
    if (value.is_string() && reference.padding_ == 0)
        return value.get<std::string>();
    if (!isInteger(value))
        return tl::unexpected(concat("parameter '", reference.name_, "' can't be put into a text"));
    std::string text = std::to_string(value.get<std::int64_t>());
    if (text.size() < reference.padding_)
        text.insert(0, reference.padding_ - text.size(), '0');
    return text;
}

} // namespace

void ProblemList::add(Problem problem)
{
    if (seen_.emplace(problem.place_.field_, problem.text_).second)
        items_.push_back(std::move(problem));
}

tl::expected<Json, std::string> expandText(const std::string &text, const Scope &scope)
{
    std::string result;
    std::size_t at = 0;
    while (true) {
        const std::size_t start = text.find("${", at);
        result += text.substr(at, start == std::string::npos ? start : start - at);
        if (start == std::string::npos)
            return Json(std::move(result));
        const std::size_t end = text.find('}', start);
        if (end == std::string::npos)
            return tl::unexpected(std::string("has '${' without '}'"));
        const Reference reference = splitReference(text.substr(start + 2, end - start - 2));
        const auto value = scope.values_.find(reference.name_);
        if (value == scope.values_.end())
            return tl::unexpected(concat("uses the unknown parameter '", reference.name_, "'"));
        if (!reference.isValid_)
            return tl::unexpected(concat("must give a padding from 0 to ", kMaxPadding));
        if (start == 0 && end + 1 == text.size() && reference.padding_ == 0)
            return value->second;
        auto inserted = toText(reference, value->second);
        if (!inserted)
            return tl::unexpected(std::move(inserted.error()));
        result += *inserted;
        at = end + 1;
    }
}

SourceObject::SourceObject(const Json &json, Place place, const Scope &scope, ProblemList &problems)
    : json_(json.is_object() ? &json : &kEmptyObject)
    , place_(std::move(place))
    , scope_(&scope)
    , problems_(&problems)
{
    place_.context_ = scope.context_;
    if (!json.is_object())
        problems.add({place_, "must be an object", std::nullopt});
}

Place SourceObject::place(const std::string &field) const
{
    Place place = place_;
    place.field_ += concat(place_.field_.empty() ? "" : ".", field);
    return place;
}

Place SourceObject::place(const std::string &field, std::size_t index) const
{
    Place item = place(field);
    item.field_ += concat("[", index, "]");
    return item;
}

void SourceObject::fail(const std::string &field, std::string text)
{
    problems_->add({place(field), std::move(text), std::nullopt});
}

bool SourceObject::has(const std::string &field)
{
    known_.insert(field);
    return json_->contains(field);
}

const Json &SourceObject::raw(const std::string &field)
{
    return has(field) ? (*json_)[field] : kNull;
}

std::optional<Json> SourceObject::expand(const std::string &field, const Json &json)
{
    if (!json.is_string())
        return json;
    tl::expected<Json, std::string> expanded = expandText(json.get<std::string>(), *scope_);
    if (expanded)
        return std::move(*expanded);
    fail(field, std::move(expanded.error()));
    return std::nullopt;
}

std::optional<Json> SourceObject::value(const std::string &field)
{
    if (has(field))
        return expand(field, raw(field));
    fail(field, "is missing");
    return std::nullopt;
}

template <typename T>
T SourceObject::scalar(const std::string &field, bool (*isType)(const Json &), const char *type)
{
    const std::optional<Json> json = value(field);
    if (json && isType(*json))
        return json->get<T>();
    if (json)
        fail(field, concat("must be ", type));
    return T{};
}

template <typename T>
std::vector<T> SourceObject::items(const std::string &field, bool (*isType)(const Json &),
                                   const char *type)
{
    std::vector<T> list;
    const std::optional<Json> json = value(field);
    if (!json)
        return list;
    if (!json->is_array()) {
        fail(field, concat("must be a list of ", type));
        return list;
    }
    for (const Json &item : *json) {
        const std::optional<Json> expanded = expand(field, item);
        if (expanded && isType(*expanded))
            list.push_back(expanded->get<T>());
        else if (expanded)
            fail(field, concat("must be a list of ", type));
    }
    return list;
}

std::string SourceObject::string(const std::string &field)
{
    return scalar<std::string>(field, isString, "a string");
}

std::int64_t SourceObject::integer(const std::string &field)
{
    return scalar<std::int64_t>(field, isInteger, "a whole number");
}

bool SourceObject::boolean(const std::string &field)
{
    return scalar<bool>(field, isBoolean, "true or false");
}

std::vector<std::string> SourceObject::strings(const std::string &field)
{
    return items<std::string>(field, isString, "strings");
}

std::vector<std::int64_t> SourceObject::integers(const std::string &field)
{
    return items<std::int64_t>(field, isInteger, "whole numbers");
}

const Json &SourceObject::container(const std::string &field, bool (*isType)(const Json &),
                                    const char *type, const Json &fallback)
{
    if (!has(field)) {
        fail(field, "is missing");
        return fallback;
    }
    const Json &json = raw(field);
    if (isType(json))
        return json;
    fail(field, concat("must be ", type));
    return fallback;
}

const Json &SourceObject::list(const std::string &field)
{
    return container(field, isArray, "a list", kEmptyList);
}

const Json &SourceObject::object(const std::string &field)
{
    return container(field, isObject, "an object", kEmptyObject);
}

void SourceObject::refuseUnknown()
{
    for (const auto &item : json_->items()) {
        if (known_.count(item.key()) == 0)
            fail(item.key(), "is not a known field");
    }
}

} // namespace foxtailturn
