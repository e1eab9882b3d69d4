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

// Looks into the keys and strings of JSON, whose escapes the parser resolves. Holds no values.
class SecretFinder final : public nlohmann::json_sax<Json>
{
public:
    explicit SecretFinder(std::string_view secret)
        : secret_(secret)
    { }

    [[nodiscard]] bool isFound() const { return isFound_; }

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool string(string_t &value) override { return look(value); }
    bool key(string_t &name) override { return look(name); }
    bool binary(binary_t &) override { return true; }
    bool start_object(std::size_t) override { return true; }
    bool end_object() override { return true; }
    bool start_array(std::size_t) override { return true; }
    bool end_array() override { return true; }

    bool parse_error(std::size_t, const std::string &, const Json::exception &error) override
    {
        constexpr int kNumberOutOfRange = 406;
        // The text may be JSON for others, and the rest of it can't be checked.
        isFound_ = isFound_ || error.id == kNumberOutOfRange;
        return false;
    }

private:
    bool look(const std::string &text)
    {
        isFound_ = isFound_ || containsSecret(text, secret_);
        return !isFound_;
    }

    std::string_view secret_;
    bool isFound_ = false;
};

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
    SecretFinder finder(secret);
    (void)Json::sax_parse(body, &finder); // a body need not be JSON
    return finder.isFound();
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
