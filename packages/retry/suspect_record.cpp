#include "retry/suspect_record.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "base/hash.h"
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

template <std::size_t N>
std::uint64_t hashIntegers(const std::array<std::int64_t, N> &numbers, std::uint64_t seed)
{
    return hash64({reinterpret_cast<const char *>(numbers.data()), sizeof(numbers)}, seed);
}

std::optional<std::int64_t> readInteger(const Json &object, const char *field)
{
    const auto it = object.find(field);
    if (it == object.end() || !it->is_number_integer())
        return std::nullopt;
    const auto number = it->get<std::int64_t>();
    return number < 0 ? std::nullopt : std::optional(number);
}

std::optional<UtcTime> readTime(const Json &object, const char *field)
{
    const std::optional<std::int64_t> micros = readInteger(object, field);
    return micros ? std::optional(UtcTime(Duration(*micros))) : std::nullopt;
}

std::optional<CrashMark> readCrash(const Json &object)
{
    const std::optional<UtcTime> forgetAt = readTime(object, "forget_at_us");
    const auto cleared = object.find("cleared");
    if (!forgetAt || cleared == object.end() || !cleared->is_boolean())
        return std::nullopt;
    return CrashMark{*forgetAt, cleared->get<bool>()};
}

std::optional<RunMark> readRun(const Json &object)
{
    const std::optional<std::int64_t> sequence = readInteger(object, "sequence");
    const std::optional<std::int64_t> state = readInteger(object, "state");
    const std::optional<UtcTime> until = readTime(object, "until_us");
    if (!sequence || !state || *state >= kRunStates || !until)
        return std::nullopt;
    return RunMark{static_cast<std::uint64_t>(*sequence), static_cast<RunState>(*state), *until};
}

// Reads an object that maps ids to marks.
template <typename Mark>
std::optional<std::map<std::string, Mark>> readMarks(const Json &parent, const char *field,
                                                     std::optional<Mark> (*readMark)(const Json &))
{
    const auto list = parent.find(field);
    if (list == parent.end() || !list->is_object())
        return std::nullopt;
    std::map<std::string, Mark> marks;
    for (const auto &item : list->items()) {
        std::optional<Mark> mark = readMark(item.value());
        if (!mark)
            return std::nullopt;
        marks.emplace_hint(marks.end(), item.key(), std::move(*mark));
    }
    return marks;
}

// Returns the kind; nullopt if it is unknown.
std::optional<SuspectKind> readKind(const Json &object)
{
    const auto it = object.find("kind");
    if (it == object.end())
        return SuspectKind::Request;
    if (!it->is_string())
        return std::nullopt;
    const auto &kind = it->get_ref<const std::string &>();
    if (kind.empty())
        return SuspectKind::Request;
    return kind == kPartKind ? std::optional(SuspectKind::PromptPart) : std::nullopt;
}

tl::unexpected<Error> malformed(const char *field)
{
    return notRun(ErrorCode::Internal, concat("suspect: ", field, " is missing or malformed"));
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

std::uint64_t SuspectRecord::digest() const
{
    std::uint64_t hash = hash64(fingerprint_, static_cast<std::uint64_t>(kind_));
    for (const auto &[id, crash] : crashes_) {
        hash = hash64(id, hash);
        hash = hashIntegers<2>({microsOf(crash.forgetAt_), crash.isCleared_ ? 1 : 0}, hash);
    }
    for (const auto &[holder, run] : runs_) {
        hash = hash64(holder, hash);
        hash = hashIntegers<3>({static_cast<std::int64_t>(run.sequence_),
                                static_cast<std::int64_t>(run.state_), microsOf(run.until_)},
                               hash);
    }
    return hash;
}

Json SuspectRecord::toValue() const
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
    Json json = {
        {"fingerprint", fingerprint_}, {"crashes", std::move(crashes)}, {"runs", std::move(runs)}};
    if (kind_ == SuspectKind::PromptPart)
        json["kind"] = kPartKind;
    return json;
}

std::string SuspectRecord::toJson() const
{
    return toValue().dump();
}

Result<SuspectRecord> SuspectRecord::ofValue(const Json &json)
{
    const auto fingerprint = json.is_object() ? json.find("fingerprint") : json.end();
    if (fingerprint == json.end() || !fingerprint->is_string())
        return malformed("fingerprint");
    auto crashes = readMarks(json, "crashes", readCrash);
    if (!crashes)
        return malformed("crashes");
    auto runs = readMarks(json, "runs", readRun);
    if (!runs)
        return malformed("runs");
    const std::optional<SuspectKind> kind = readKind(json);
    if (!kind)
        return malformed("kind");
    return SuspectRecord{fingerprint->get<std::string>(), std::move(*crashes), std::move(*runs),
                         *kind};
}

Result<SuspectRecord> SuspectRecord::ofJson(std::string_view text)
{
    const Result<Json> json = parseJson(text, "suspect");
    if (!json)
        return notRun(ErrorCode::Internal, json.error().message_);
    return ofValue(*json);
}

} // namespace foxtailturn
