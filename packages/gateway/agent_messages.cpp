#include "gateway/agent_messages.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace foxtailturn::gateway {

namespace {

std::string encodeLine(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string textOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

std::int64_t integerOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

int countOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number_integer() ? boundedCount(*it) : 0;
}

bool boolOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_boolean() && it->get<bool>();
}

// Returns the records that can be decoded.
SuspectNotice suspectNoticeOf(const Json &list)
{
    SuspectNotice notice;
    notice.records_.reserve(list.size());
    for (const Json &item : list) {
        Result<SuspectRecord> record = SuspectRecord::ofValue(item);
        if (record)
            notice.records_.push_back(std::move(*record));
    }
    return notice;
}

// Encodes at least one line.
std::string encodeDigests(const char *name, const std::vector<std::uint64_t> &digests)
{
    constexpr std::size_t kMaxDigestsPerLine = 2000; // receivers bound the length of a line
    std::string lines;
    std::size_t begin = 0;
    do {
        const std::size_t end = std::min(digests.size(), begin + kMaxDigestsPerLine);
        lines += encodeLine({{name,
                              std::vector(digests.begin() + static_cast<std::ptrdiff_t>(begin),
                                          digests.begin() + static_cast<std::ptrdiff_t>(end))}});
        begin = end;
    } while (begin < digests.size());
    return lines;
}

// Each reads one kind of message from its line and the value of the kind's own field. Returns
// whether it is that message.
bool readLoad(Json &line, Json &, AgentMessage &message)
{
    message.load_ = LoadRequest{textOf(line, "load"), integerOf(line, "version"),
                                textOf(line, "instance"), countOf(line, "slots")};
    return true;
}

bool readUse(Json &line, Json &, AgentMessage &message)
{
    message.use_ = UseNotice{textOf(line, "use"), boolOf(line, "begin")};
    return true;
}

bool readRefusal(Json &line, Json &, AgentMessage &message)
{
    message.refusal_ = LoadRefusal{textOf(line, "refused")};
    return true;
}

bool readGrantRequest(Json &line, Json &, AgentMessage &message)
{
    message.grantRequest_ =
        GrantRequest{integerOf(line, "ask"), textOf(line, "workspace"), countOf(line, "charge")};
    return true;
}

bool readGrantAnswer(Json &line, Json &, AgentMessage &message)
{
    message.grantAnswer_ =
        GrantAnswer{integerOf(line, "grant"), boolOf(line, "granted"), boolOf(line, "keeper"),
                    Duration(countOf(line, "retry_after_us"))};
    return true;
}

bool readSuspects(Json &, Json &records, AgentMessage &message)
{
    if (!records.is_array())
        return false;
    message.suspects_ = suspectNoticeOf(records);
    return true;
}

std::vector<std::uint64_t> digestsOf(const Json &list)
{
    std::vector<std::uint64_t> digests;
    for (const Json &digest : list) {
        if (digest.is_number_unsigned())
            digests.push_back(digest.get<std::uint64_t>());
    }
    return digests;
}

bool readSuspectOffer(Json &, Json &digests, AgentMessage &message)
{
    if (!digests.is_array())
        return false;
    message.suspectOffer_ = SuspectOffer{digestsOf(digests)};
    return true;
}

bool readSuspectRequest(Json &, Json &digests, AgentMessage &message)
{
    if (!digests.is_array())
        return false;
    message.suspectRequest_ = SuspectRequest{digestsOf(digests)};
    return true;
}

bool readReport(Json &, Json &fields, AgentMessage &message)
{
    if (!fields.is_object())
        return false;
    message.report_ = ReportUpdate(std::move(fields)).applyTo({});
    return true;
}

bool readUpdate(Json &, Json &fields, AgentMessage &message)
{
    if (!fields.is_object())
        return false;
    message.update_ = ReportUpdate(std::move(fields));
    return true;
}

struct MessageKind
{
    const char *name_; // of the field that only this kind has
    bool (*read_)(Json &line, Json &field, AgentMessage &message);
};

// The most frequent first.
constexpr MessageKind kMessageKinds[] = {
    {"update", readUpdate},
    {"use", readUse},
    {"suspects", readSuspects},
    {"report", readReport},
    {"load", readLoad},
    {"refused", readRefusal},
    {"ask", readGrantRequest},
    {"grant", readGrantAnswer},
    {"suspects_held", readSuspectOffer},
    {"suspects_wanted", readSuspectRequest},
};

} // namespace

std::string encode(const LoadRequest &request)
{
    return encodeLine({{"load", request.name_},
                       {"version", request.version_},
                       {"instance", request.instance_},
                       {"slots", request.adapterSlots_}});
}

std::string encode(const UseNotice &notice)
{
    return encodeLine({{"use", notice.name_}, {"begin", notice.isBegin_}});
}

std::string encode(const LoadRefusal &refusal)
{
    return encodeLine({{"refused", refusal.name_}});
}

std::string encode(const SidecarReport &report)
{
    return encodeLine({{"report", reportToJson(report)}});
}

std::string encodeUpdate(const SidecarReport &before, const SidecarReport &after)
{
    return encodeLine({{"update", reportChanges(before, after)}});
}

std::string encode(const GrantRequest &request)
{
    return encodeLine(
        {{"ask", request.number_}, {"workspace", request.workspace_}, {"charge", request.charge_}});
}

std::string encode(const GrantAnswer &answer)
{
    return encodeLine({{"grant", answer.number_},
                       {"granted", answer.isGranted_},
                       {"keeper", answer.isOwner_},
                       {"retry_after_us", answer.retryAfter_.count()}});
}

std::string encode(const SuspectNotice &notice)
{
    constexpr std::size_t kMaxRecordsPerLine = 100; // receivers bound the length of a line
    std::string lines;
    Json list = Json::array();
    for (const SuspectRecord &record : notice.records_) {
        list.push_back(record.toValue());
        if (list.size() == kMaxRecordsPerLine || &record == &notice.records_.back())
            lines += encodeLine({{"suspects", std::exchange(list, Json::array())}});
    }
    return lines;
}

std::string encode(const SuspectOffer &offer)
{
    return encodeDigests("suspects_held", offer.digests_);
}

std::string encode(const SuspectRequest &request)
{
    return encodeDigests("suspects_wanted", request.digests_);
}

AgentMessage decodeAgentMessage(std::string_view line)
{
    AgentMessage message;
    Json json = parseUntrustedJson(line);
    if (!json.is_object())
        return message;
    for (const MessageKind &kind : kMessageKinds) {
        const auto field = json.find(kind.name_);
        if (field != json.end() && kind.read_(json, *field, message))
            return message;
    }
    return message;
}

std::vector<std::string> extractLines(std::string &buffer)
{
    std::vector<std::string> lines;
    std::size_t begin = 0;
    for (std::size_t end = buffer.find('\n'); end != std::string::npos;
         end = buffer.find('\n', begin)) {
        lines.push_back(buffer.substr(begin, end - begin));
        begin = end + 1;
    }
    buffer.erase(0, begin);
    return lines;
}

} // namespace foxtailturn::gateway
