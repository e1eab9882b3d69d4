#include "retry/suspect_record.h"

#include <algorithm>
#include <tuple>

#include "base/hash.h"
#include "base/json.h"
#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr int kRunStates = 3;
constexpr const char *kPartKind = "prompt_part"; // value of "kind"; a request has no such field

bool isOlderMark(const RunMark &a, const RunMark &b)
{
    return std::tie(a.sequence_, a.state_, a.until_) < std::tie(b.sequence_, b.state_, b.until_);
}

std::int64_t microsOf(UtcTime time)
{
    return time.time_since_epoch().count();
}

UtcTime readTime(JsonObject &object, const std::string &field)
{
    return UtcTime(Duration(object.integer(field, {})));
}

CrashMark readCrash(JsonObject &object)
{
    return {readTime(object, "forget_at_us"), object.boolean("cleared")};
}

RunMark readRun(JsonObject &object)
{
    const auto sequence = static_cast<std::uint64_t>(object.integer("sequence", {}));
    const auto state =
        static_cast<RunState>(object.integer("state", {.min_ = 0, .max_ = kRunStates - 1}));
    return {sequence, state, readTime(object, "until_us")};
}

// Reads an object that maps ids to marks; errors are recorded at the parent.
template <typename Mark>
std::map<std::string, Mark> readMarks(JsonObject &parent, const std::string &field,
                                      Mark (*readMark)(JsonObject &))
{
    std::map<std::string, Mark> marks;
    const Json &list = parent.child(field);
    if (!list.is_object()) {
        parent.fail(field, "must be an object");
        return marks;
    }
    for (const auto &item : list.items()) {
        JsonObject object(item.value(), parent.fieldPath(field));
        marks.emplace(item.key(), readMark(object));
        if (object.error())
            parent.fail(field, object.error()->message_);
    }
    return marks;
}

} // namespace

std::string requestFingerprint(std::string_view workspace, std::string_view route,
                               std::string_view body)
{
    // The lengths distinguish inputs whose concatenations are equal.
    return sha256Hex(concat(workspace.size(), ':', route.size(), ':', workspace, route, body));
}

void SuspectRecord::merge(const SuspectRecord &other)
{
    for (const auto &[id, crash] : other.crashes_) {
        CrashMark &local = crashes_.try_emplace(id, crash).first->second;
        local.forgetAt_ = std::max(local.forgetAt_, crash.forgetAt_);
        local.isCleared_ = local.isCleared_ || crash.isCleared_;
    }
    for (const auto &[holder, run] : other.runs_) {
        RunMark &local = runs_.try_emplace(holder, run).first->second;
        local = std::max(local, run, isOlderMark);
    }
}

Standing SuspectRecord::standing() const
{
    const auto uncleared = std::count_if(crashes_.begin(), crashes_.end(), [](const auto &crash) {
        return !crash.second.isCleared_;
    });
    if (uncleared == 0)
        return Standing::Clear;
    const bool isQuarantined = kind_ == SuspectKind::Request && uncleared >= kCrashesToQuarantine;
    return isQuarantined ? Standing::Quarantined : Standing::Suspect;
}

std::optional<UtcTime> SuspectRecord::latestUnclearedExpiry() const
{
    std::optional<UtcTime> until;
    for (const auto &[id, crash] : crashes_) {
        if (!crash.isCleared_)
            until = std::max(until.value_or(crash.forgetAt_), crash.forgetAt_);
    }
    return until;
}

bool SuspectRecord::isExpired(UtcTime now) const
{
    const auto isCrashExpired = [now](const auto &crash) { return crash.second.forgetAt_ <= now; };
    const auto isRunExpired = [now](const auto &run) { return run.second.until_ <= now; };
    return std::all_of(crashes_.begin(), crashes_.end(), isCrashExpired)
        && std::all_of(runs_.begin(), runs_.end(), isRunExpired);
}

std::string SuspectRecord::toJson() const
{
    Json crashes = Json::object();
    for (const auto &[id, crash] : crashes_)
        crashes[id] = {{"forget_at_us", microsOf(crash.forgetAt_)}, {"cleared", crash.isCleared_}};
    Json runs = Json::object();
    for (const auto &[holder, run] : runs_) {
        runs[holder] = {{"sequence", run.sequence_},
                        {"state", static_cast<int>(run.state_)},
                        {"until_us", microsOf(run.until_)}};
    }
    Json json = {{"fingerprint", fingerprint_}, {"crashes", crashes}, {"runs", runs}};
    if (kind_ == SuspectKind::PromptPart)
        json["kind"] = kPartKind;
    return json.dump();
}

Result<SuspectRecord> SuspectRecord::ofJson(std::string_view text)
{
    const Result<Json> json = parseJson(text, "suspect");
    if (!json)
        return notRun(ErrorCode::Internal, json.error().message_);
    JsonObject object(*json, "suspect");
    SuspectRecord record{object.string("fingerprint"), readMarks(object, "crashes", readCrash),
                         readMarks(object, "runs", readRun)};
    const std::string kind = object.string("kind", "");
    if (kind == kPartKind)
        record.kind_ = SuspectKind::PromptPart;
    else if (!kind.empty())
        object.fail("kind", "is unknown");
    if (object.error())
        return notRun(ErrorCode::Internal, object.error()->message_);
    return record;
}

} // namespace foxtailturn
