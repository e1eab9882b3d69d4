#pragma once

// Templates of an operators' file and the values that an instance gives to their parameters.
//
//     Template member = readTemplate(json, place, problems);
//     std::optional<Scope> scope = bindParameters(member, values, place, problems);

#include <map>
#include <optional>
#include <string>

#include "base/json.h"
#include "config/source_object.h"

namespace foxtailturn {

enum class ParameterType { String, Integer, Boolean, Strings };

struct Parameter
{
    ParameterType type_ = ParameterType::String;
    std::optional<Json> default_;
};

struct Template
{
    const Json *json_ = nullptr; // stays owned by the document
    Place place_;
    std::map<std::string, Parameter> parameters_;
};

// Reads the parameters that a template declares; problems are recorded. json must outlive the
// result.
[[nodiscard]] Template readTemplate(const Json &json, const Place &place, ProblemList &problems);

// Returns the values of all parameters, or nullopt after a problem: an unknown or missing parameter
// or a value of the wrong type. values is the object at place.
[[nodiscard]] std::optional<Scope> bindParameters(const Template &declared, const Json &values,
                                                  const Place &place, ProblemList &problems);

} // namespace foxtailturn
