#include "config/template.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/log.h"

namespace foxtailturn {

namespace {

const Scope kNoScope;

bool isString(const Json &json)
{
    return json.is_string();
}

bool isInteger(const Json &json)
{
    return json.is_number_integer();
}

bool isBoolean(const Json &json)
{
    return json.is_boolean();
}

bool isStrings(const Json &json)
{
    return json.is_array() && std::all_of(json.begin(), json.end(), isString);
}

struct TypeEntry
{
    ParameterType type_;
    std::string_view name_;
    bool (*matches_)(const Json &);
};

constexpr std::array kTypes = {
    TypeEntry{ParameterType::String, "string", isString},
    TypeEntry{ParameterType::Integer, "integer", isInteger},
    TypeEntry{ParameterType::Boolean, "boolean", isBoolean},
    TypeEntry{ParameterType::Strings, "strings", isStrings},
};

const TypeEntry &entryOf(ParameterType type)
{
    return *std::ranges::find(kTypes, type, &TypeEntry::type_);
}

std::optional<ParameterType> typeOf(const std::string &name)
{
    const auto *const it = std::ranges::find(kTypes, name, &TypeEntry::name_);
    return it == kTypes.end() ? std::nullopt : std::optional(it->type_);
}

Place fieldPlace(const Place &place, const std::string &field)
{
    Place result = place;
    result.field_ += concat(".", field);
    return result;
}

// Reads "string", or {"type": "string", "default": "x"}.
Parameter readParameter(const Json &json, const Place &place, ProblemList &problems)
{
    Parameter parameter;
    std::string typeName;
    if (json.is_string()) {
        typeName = json.get<std::string>();
    } else {
        SourceObject object(json, place, kNoScope, problems);
        typeName = object.string("type");
        if (object.has("default"))
            parameter.default_ = object.raw("default");
        object.refuseUnknown();
    }
    const std::optional<ParameterType> type = typeOf(typeName);
    if (!type) {
        problems.add({place, "must have the type string, integer, boolean or strings", {}});
        return parameter;
    }
    parameter.type_ = *type;
    if (parameter.default_ && !entryOf(*type).matches_(*parameter.default_))
        problems.add({fieldPlace(place, "default"), concat("must be of type ", typeName), {}});
    return parameter;
}

} // namespace

Template readTemplate(const Json &json, const Place &place, ProblemList &problems)
{
    Template result{&json, place, {}};
    SourceObject object(json, place, kNoScope, problems);
    for (const auto &item : object.object("parameters").items()) {
        const Place parameterPlace = fieldPlace(object.place("parameters"), item.key());
        result.parameters_.emplace(item.key(),
                                   readParameter(item.value(), parameterPlace, problems));
    }
    return result;
}

std::optional<Scope> bindParameters(const Template &declared, const Json &values,
                                    const Place &place, ProblemList &problems)
{
    Scope scope;
    bool isComplete = true;
    const auto fail = [&](const std::string &field, std::string text) {
        problems.add({fieldPlace(place, field), std::move(text), std::nullopt});
        isComplete = false;
    };
    for (const auto &item : values.items()) {
        if (declared.parameters_.count(item.key()) == 0)
            fail(item.key(), concat("is not a parameter of ", declared.place_.field_));
    }
    for (const auto &[name, parameter] : declared.parameters_) {
        const auto given = values.find(name);
        if (given == values.end() && !parameter.default_) {
            fail(name, concat("is missing; ", declared.place_.field_, " has no default for it"));
            continue;
        }
        const Json &value = given == values.end() ? *parameter.default_ : *given;
        const TypeEntry &type = entryOf(parameter.type_);
        if (!type.matches_(value))
            fail(name, concat("must be of type ", type.name_));
        scope.values_.emplace(name, value);
    }
    return isComplete ? std::optional(std::move(scope)) : std::nullopt;
}

} // namespace foxtailturn
