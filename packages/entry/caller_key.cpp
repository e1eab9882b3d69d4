#include "entry/caller_key.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "base/json.h"

namespace foxtailturn {

namespace {

constexpr std::string_view kBearer = "bearer ";
constexpr std::array<std::string_view, 6> kKeyParameters = {"key",     "api_key",   "apikey",
                                                            "api-key", "x-api-key", "access_token"};

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size();
        const int high = isEscape ? hexValue(text[i + 1]) : -1;
        const int low = isEscape ? hexValue(text[i + 2]) : -1;
        if (high < 0 || low < 0) {
            decoded.push_back(text[i]);
            continue;
        }
        decoded.push_back(static_cast<char>(high * 16 + low));
        i += 2;
    }
    return decoded;
}

bool isKeyParameter(std::string_view parameter)
{
    const std::string name = lowerCase(percentDecoded(parameter.substr(0, parameter.find('='))));
    return std::find(kKeyParameters.begin(), kKeyParameters.end(), name) != kKeyParameters.end();
}

} // namespace

CallerKey extractCallerKey(const HeaderMap &headers)
{
    const auto authorization = headers.find("authorization");
    if (authorization != headers.end()) {
        const std::string &value = authorization->second;
        if (lowerCase(value.substr(0, kBearer.size())) == kBearer)
            return {value.substr(kBearer.size())};
    }
    const auto apiKey = headers.find("x-api-key");
    return apiKey == headers.end() ? CallerKey{} : CallerKey{apiKey->second};
}

std::string queryWithoutKey(std::string_view query, std::string_view secret)
{
    std::string kept;
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view parameter = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        if (parameter.empty() || isKeyParameter(parameter) || containsSecret(parameter, secret))
            continue;
        if (!kept.empty())
            kept.push_back('&');
        kept.append(parameter);
    }
    return kept;
}

bool bodyContainsSecret(std::string_view body, std::string_view secret)
{
    if (containsSecret(body, secret))
        return true;
    if (secret.empty() || body.find('\\') == std::string_view::npos)
        return false;
    // The parser resolves the escapes of each key and string. The callback discards values, but
    // keeps containers, as the parser does not report the content of discarded ones.
    bool isFound = false;
    const auto checkStrings = [&](int, Json::parse_event_t event, const Json &value) {
        isFound = isFound
            || (value.is_string() && containsSecret(value.get_ref<const std::string &>(), secret));
        return event != Json::parse_event_t::value;
    };
    try {
        [[maybe_unused]] const Json containers = Json::parse(body, checkStrings, false);
    } catch (const Json::exception &) {
        return true; // a number out of range aborts the parse, so the rest can't be checked
    }
    return isFound;
}

bool containsSecret(std::string_view text, std::string_view secret)
{
    if (secret.empty())
        return false;
    if (text.find(secret) != std::string_view::npos)
        return true;
    return text.find('%') != std::string_view::npos
        && percentDecoded(text).find(secret) != std::string::npos;
}

} // namespace foxtailturn
