#include "claims/claim.h"

#include <array>
#include <charconv>
#include <vector>

#include <openssl/evp.h>

#include "base/json.h"

namespace foxtailturn {

namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::array<std::string_view, 4> kStateNames = {"claimed", "released", "done", "settled"};
constexpr int kMaxStatus = 999;

// Letters, digits, '-' and '_' are not percent-encoded. '.' is, because an HTTP client may remove
// "." and ".." segments from a path.
bool isUnescaped(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
        || c == '_';
}

std::string percentEncode(std::string_view part)
{
    std::string text;
    text.reserve(part.size());
    for (const char c : part) {
        if (isUnescaped(c)) {
            text.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        text.push_back('%');
        text.push_back(kHexDigits[byte >> 4]);
        text.push_back(kHexDigits[byte & 0xf]);
    }
    return text;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string part;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            part.push_back(text[i]);
            continue;
        }
        unsigned byte = 0;
        const std::string_view digits = text.substr(i + 1, 2);
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
        if (digits.size() != 2 || parsed.ptr != digits.data() + digits.size())
            return std::nullopt;
        part.push_back(static_cast<char>(byte));
        i += 2;
    }
    return part;
}

std::string toBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::optional<std::string> fromBase64(const std::string &text)
{
    std::string bytes(3 * (text.size() / 4) + 1, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    // EVP_DecodeBlock decodes padding characters to zero bytes and includes them in the size.
    const std::size_t last = text.find_last_not_of('=');
    const std::size_t padding = last == std::string::npos ? 0 : text.size() - last - 1;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

RecordedAnswer readAnswer(JsonObject &object)
{
    RecordedAnswer answer;
    answer.status_ = static_cast<int>(object.integer("status", {.min_ = 0, .max_ = kMaxStatus}));
    const auto contentType = percentDecode(object.string("content_type"));
    const auto body = fromBase64(object.string("body"));
    if (!contentType || !body)
        object.fail("answer", "is not encoded as expected");
    answer.contentType_ = contentType.value_or("");
    answer.body_ = body.value_or("");
    return answer;
}

ClaimState readState(JsonObject &object)
{
    const std::string name = object.string("state");
    for (std::size_t i = 0; i < kStateNames.size(); ++i) {
        if (kStateNames[i] == name)
            return static_cast<ClaimState>(i);
    }
    object.fail("state", "is not a known state");
    return ClaimState::Claimed;
}

} // namespace

std::string ClaimKey::workspacePrefix(std::string_view workspace)
{
    return std::string(kClaimPrefix) + percentEncode(workspace) + "/";
}

std::string ClaimKey::row() const
{
    return workspacePrefix(workspace_) + percentEncode(route_) + "/"
        + percentEncode(idempotencyKey_);
}

std::optional<ClaimKey> ClaimKey::fromRowKey(std::string_view row)
{
    if (row.substr(0, kClaimPrefix.size()) != kClaimPrefix)
        return std::nullopt;
    const std::string_view parts = row.substr(kClaimPrefix.size());
    const std::size_t first = parts.find('/');
    const std::size_t second = parts.find('/', first == parts.npos ? first : first + 1);
    if (second == parts.npos)
        return std::nullopt;
    const auto workspace = percentDecode(parts.substr(0, first));
    const auto route = percentDecode(parts.substr(first + 1, second - first - 1));
    const auto key = percentDecode(parts.substr(second + 1));
    if (!workspace || !route || !key)
        return std::nullopt;
    const ClaimKey claimKey{*workspace, *route, *key};
    return claimKey.row() == row ? std::optional(claimKey) : std::nullopt;
}

bool Claim::canBeTakenOver() const
{
    return state_ == ClaimState::Released || (state_ == ClaimState::Settled && !answer_);
}

std::string Claim::toJson() const
{
    Json json = {{"attempt", attemptId_},
                 {"digest", bodyDigest_},
                 {"state", kStateNames[static_cast<std::size_t>(state_)]}};
    if (answer_) {
        json["answer"] = {{"status", answer_->status_},
                          {"content_type", percentEncode(answer_->contentType_)},
                          {"body", toBase64(answer_->body_)}};
    }
    if (expiresAt_)
        json["expires_at_us"] = expiresAt_->time_since_epoch().count();
    return json.dump();
}

Result<Claim> Claim::ofJson(std::string_view text)
{
    const Result<Json> json = parseJson(text, "claim");
    if (!json)
        return outcomeUnknown(ErrorCode::Internal, json.error().message_);
    JsonObject object(*json, "claim");
    Claim claim{object.string("attempt"), object.string("digest"), readState(object)};
    if (const Json &answer = object.child("answer"); !answer.is_null()) {
        JsonObject nested(answer, object.fieldPath("answer"));
        claim.answer_ = readAnswer(nested);
        if (nested.error())
            return outcomeUnknown(ErrorCode::Internal, nested.error()->message_);
    }
    if (!object.child("expires_at_us").is_null())
        claim.expiresAt_ = UtcTime(Duration(object.integer("expires_at_us", {})));
    if (claim.state_ == ClaimState::Done && !claim.answer_)
        object.fail("answer", "is missing");
    if (object.error())
        return outcomeUnknown(ErrorCode::Internal, object.error()->message_);
    return claim;
}

} // namespace foxtailturn
