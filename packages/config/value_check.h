#pragma once

// Checks of single values. Each returns what is wrong with the value, or nullopt.
//
//     if (std::optional<std::string> problem = idProblem(workspace.id_)) ...

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailturn {

// Inclusive bounds of a number.
struct IntegerBounds
{
    std::int64_t min_;
    std::int64_t max_;

    [[nodiscard]] std::optional<std::string> problem(std::int64_t value) const;

    bool operator==(const IntegerBounds &) const = default;
};

// Ids are parts of table keys, hence without '/'.
[[nodiscard]] std::optional<std::string> idProblem(std::string_view id);

// Names are given by callers; '@' separates the version and is not part of a name.
[[nodiscard]] std::optional<std::string> nameProblem(std::string_view name);

// Hashes are 64 lower-case hexadecimal digits.
[[nodiscard]] std::optional<std::string> hashProblem(std::string_view hash);

// Object names of weights.
[[nodiscard]] std::optional<std::string> objectProblem(std::string_view object);

// Path prefixes begin with '/' and have no final one.
[[nodiscard]] std::optional<std::string> pathProblem(std::string_view path);

// HTTP methods in upper case.
[[nodiscard]] std::optional<std::string> methodProblem(std::string_view method);

// Returns whether every reader takes the path for the same one: no empty or dot segments, no
// backslash or semicolon, and no percent-encoded dot, slash, backslash or percent sign.
[[nodiscard]] bool isUnambiguousPath(std::string_view path);

} // namespace foxtailturn
