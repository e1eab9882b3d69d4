#include "config/value_check.h"

#include <algorithm>
#include <array>

#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr std::size_t kMaxIdLength = 64;
constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxPathLength = 256;
constexpr std::size_t kHashLength = 64;

constexpr std::string_view kLower = "abcdefghijklmnopqrstuvwxyz";
constexpr std::string_view kUpper = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
constexpr std::string_view kDigits = "0123456789";

constexpr std::array<std::string_view, 7> kMethods = {"DELETE", "GET",  "HEAD", "OPTIONS",
                                                      "PATCH",  "POST", "PUT"};

bool contains(std::string_view set, char c)
{
    return set.find(c) != std::string_view::npos;
}

bool isAlphanumeric(char c)
{
    return contains(kLower, c) || contains(kUpper, c) || contains(kDigits, c);
}

bool consistsOf(std::string_view text, std::string_view extra)
{
    return std::ranges::all_of(text,
                               [&](char c) { return isAlphanumeric(c) || contains(extra, c); });
}

std::optional<std::string> textProblem(std::string_view text, std::size_t maxLength,
                                       std::string_view extra)
{
    if (text.empty())
        return "must not be empty";
    if (text.size() > maxLength)
        return concat("must have at most ", maxLength, " characters");
    if (!isAlphanumeric(text.front()) || !consistsOf(text, extra))
        return concat("'", text, "' must begin with a letter or digit and consist of letters, ",
                      "digits and ", extra);
    return std::nullopt;
}

bool isAmbiguousEscape(std::string_view path, std::size_t at)
{
    constexpr std::array<std::string_view, 4> kCodes = {"2e", "2f", "5c", "25"};
    std::string code(path.substr(at + 1, 2));
    std::ranges::transform(code, code.begin(), [](char c) {
        return contains(kUpper, c) ? static_cast<char>(c + 32) : c;
    });
    return std::ranges::find(kCodes, code) != kCodes.end();
}

} // namespace

std::optional<std::string> IntegerBounds::problem(std::int64_t value) const
{
    if (value >= min_ && value <= max_)
        return std::nullopt;
    return concat("is ", value, " and must be from ", min_, " to ", max_);
}

std::optional<std::string> idProblem(std::string_view id)
{
    return textProblem(id, kMaxIdLength, "._-");
}

std::optional<std::string> nameProblem(std::string_view name)
{
    return textProblem(name, kMaxNameLength, "._:/-");
}

std::optional<std::string> objectProblem(std::string_view object)
{
    return textProblem(object, kMaxPathLength, "._:/-");
}

std::optional<std::string> hashProblem(std::string_view hash)
{
    const bool isHash = hash.size() == kHashLength
        && hash.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    if (isHash)
        return std::nullopt;
    return "must be a SHA-256 hash of 64 lower-case hexadecimal digits";
}

std::optional<std::string> pathProblem(std::string_view path)
{
    const bool isPath = path.size() > 1 && path.size() <= kMaxPathLength && path.front() == '/'
        && path.back() != '/' && consistsOf(path, "/._~-") && isUnambiguousPath(path);
    if (isPath)
        return std::nullopt;
    return concat("'", path, "' must be an absolute path without a final slash, empty or dot ",
                  "segments, made of letters, digits and /._~-");
}

std::optional<std::string> methodProblem(std::string_view method)
{
    if (std::ranges::find(kMethods, method) != kMethods.end())
        return std::nullopt;
    return concat("'", method, "' is not an HTTP method in upper case");
}

bool isUnambiguousPath(std::string_view path)
{
    if (path.empty() || path.front() != '/')
        return false;
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (std::string_view("\\?#;").find(path[i]) != std::string_view::npos)
            return false;
        if (path[i] == '%' && isAmbiguousEscape(path, i))
            return false;
    }
    for (std::size_t start = 1; start < path.size();) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        const std::string_view segment = path.substr(start, end - start);
        if (segment.empty() || segment == "." || segment == "..")
            return false;
        start = end + 1;
    }
    return true;
}

} // namespace foxtailturn
