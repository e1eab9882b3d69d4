#include "base/json.h"

#include <algorithm>

#include "base/log.h"

namespace foxtailturn {

namespace {

const Json kNull;

} // namespace

Result<Json> parseJson(std::string_view text, std::string_view source)
{
    try {
        return Json::parse(text, nullptr, true, true);
    } catch (const Json::parse_error &e) {
        const std::size_t end = std::min(e.byte, text.size());
        const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<long>(end), '\n');
        return notRun(ErrorCode::InvalidConfiguration,
                      concat(source, ":", line, ": not valid JSON: ", e.what()));
    } catch (const Json::exception &e) {
        // A number out of range; the library gives no position.
        return notRun(ErrorCode::InvalidConfiguration,
                      concat(source, ": not valid JSON: ", e.what()));
    }
}

Json parseUntrustedJson(std::string_view text, const Json::parser_callback_t &filter)
{
    try {
        return Json::parse(text, filter, false);
    } catch (const Json::exception &) {
        return Json(Json::value_t::discarded);
    }
}

JsonObject::JsonObject(const Json &json, std::string path)
    : json_(&json)
    , path_(std::move(path))
{
    if (!json.is_object())
        error_ = Error{ErrorCode::InvalidConfiguration, Execution::NotRun,
                       concat(path_, ": must be an object")};
}

std::string JsonObject::fieldPath(const std::string &field) const
{
    return concat(path_, ": ", field);
}

void JsonObject::fail(const std::string &field, const std::string &problem)
{
    if (!error_)
        error_ = Error{ErrorCode::InvalidConfiguration, Execution::NotRun,
                       concat(fieldPath(field), " ", problem)};
}

const Json *JsonObject::find(const std::string &field)
{
    known_.insert(field);
    if (!json_->is_object())
        return nullptr;
    const auto it = json_->find(field);
    return it == json_->end() ? nullptr : &*it;
}

std::string JsonObject::string(const std::string &field)
{
    if (find(field) == nullptr)
        fail(field, "is missing");
    return string(field, "");
}

std::string JsonObject::string(const std::string &field, const std::string &fallback)
{
    const Json *value = find(field);
    if (value == nullptr)
        return fallback;
    if (value->is_string())
        return value->get<std::string>();
    fail(field, "must be a string");
    return fallback;
}

std::int64_t JsonObject::integer(const std::string &field, IntegerRange range)
{
    if (find(field) == nullptr)
        fail(field, "is missing");
    return integer(field, range, range.min_);
}

std::int64_t JsonObject::integer(const std::string &field, IntegerRange range,
                                 std::int64_t fallback)
{
    const Json *value = find(field);
    if (value == nullptr)
        return fallback;
    if (!value->is_number_integer()) {
        fail(field, "must be a whole number");
        return fallback;
    }
    const auto number = value->get<std::int64_t>();
    if (number < range.min_ || number > range.max_) {
        fail(field, concat("must be from ", range.min_, " to ", range.max_));
        return fallback;
    }
    return number;
}

bool JsonObject::boolean(const std::string &field)
{
    if (find(field) == nullptr)
        fail(field, "is missing");
    return boolean(field, false);
}

bool JsonObject::boolean(const std::string &field, bool fallback)
{
    const Json *value = find(field);
    if (value == nullptr)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    fail(field, "must be true or false");
    return fallback;
}

std::vector<std::string> JsonObject::strings(const std::string &field)
{
    std::vector<std::string> items;
    const Json *value = find(field);
    if (value == nullptr)
        return items;
    if (!value->is_array()) {
        fail(field, "must be a list of strings");
        return items;
    }
    for (const Json &item : *value) {
        if (!item.is_string()) {
            fail(field, "must be a list of strings");
            return items;
        }
        items.push_back(item.get<std::string>());
    }
    return items;
}

const Json &JsonObject::child(const std::string &field)
{
    const Json *value = find(field);
    return value == nullptr ? kNull : *value;
}

void JsonObject::refuseUnknown()
{
    if (!json_->is_object())
        return;
    for (const auto &item : json_->items()) {
        if (known_.count(item.key()) == 0)
            fail(item.key(), "is not a known field");
    }
}

} // namespace foxtailturn
