#include "ctl/explain.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "base/log.h"

namespace foxtailturn {

namespace {

constexpr std::int64_t kContextBeforeUs = 3'000'000; // of what happened to a target
constexpr std::int64_t kContextAfterUs = 3'000'000;

std::string textOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    if (it == json.end())
        return "";
    return it->is_string() ? it->get<std::string>() : it->dump();
}

std::int64_t integerOf(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

std::string millisText(const Json &json, const char *name)
{
    constexpr std::int64_t kMicrosPerMilli = 1000;
    return concat(integerOf(json, name) / kMicrosPerMilli, " ms");
}

const StoryLine *lastOf(const std::vector<StoryLine> &lines, const std::string &kind)
{
    const auto it = std::find_if(lines.rbegin(), lines.rend(), [&kind](const StoryLine &line) {
        return line.kind_ == kind && !line.isContext_;
    });
    return it == lines.rend() ? nullptr : &*it;
}

// What the logs say of a target, for the end of a sentence.
std::string noteOf(const std::vector<StoryLine> &lines, const std::string &target)
{
    for (const StoryLine &line : lines) {
        if (!line.isContext_ || textOf(line.fields_, "target") != target)
            continue;
        if (line.kind_ == "target_gone")
            return "; the target was gone soon afterwards";
        if (line.kind_ == "target_draining")
            return "; the target was leaving";
        if (line.kind_ == "target_crashed")
            return "; the target crashed";
    }
    return "";
}

std::string causeOfRefusal(const std::vector<StoryLine> &lines, const Json &refused)
{
    const std::string code = textOf(refused, "code");
    const StoryLine *failed = lastOf(lines, "attempt_failed");
    if (code == "rate_limited") {
        const StoryLine *quota = lastOf(lines, "over_quota");
        const Json &known = quota == nullptr ? refused : quota->fields_;
        return concat("refused as over the rate of workspace ", textOf(known, "workspace"),
                      ": the request counts ", textOf(known, "charge"), ", this entry held ",
                      textOf(known, "units"),
                      " millionths of the workspace's rate, the rest belonged to other entries; "
                      "room after ",
                      millisText(refused, "retry_after_us"));
    }
    if (code == "lease_expired")
        return "refused because no entry that owns a part of the workspace's quota answered";
    if (failed != nullptr) {
        const std::string target = textOf(failed->fields_, "target");
        return concat("the attempt at target ", target,
                      " failed: ", textOf(failed->fields_, "what"), "; execution ",
                      textOf(failed->fields_, "execution"), noteOf(lines, target));
    }
    if (code == "adapter_load_failed")
        return "the adapter was not loaded in time on any target";
    return concat("refused with ", code);
}

// What the logs say of an answer whose target did not state its end, for the end of a sentence.
std::string noteOfEnd(const std::vector<StoryLine> &lines)
{
    const StoryLine *end = lastOf(lines, "end_not_stated");
    if (end == nullptr)
        return "";
    return concat("; target ", textOf(end->fields_, "target"),
                  " did not state the end of its answer (", textOf(end->fields_, "end"),
                  "), the caller was told \"", textOf(end->fields_, "told"), "\"");
}

std::string toldText(const Json &json)
{
    return concat("the caller was told \"", textOf(json, "told"), "\" and got ",
                  textOf(json, "events"), " events");
}

// What a line says of a target's answer, or of what the caller was told; empty if nothing.
std::string answerText(const StoryLine &line)
{
    const Json &json = line.fields_;
    const std::string target = concat("target ", textOf(json, "target"), ": ");
    if (line.kind_ == "sent" && json.contains("stalled") && json["stalled"] == true)
        return concat(target, "stalled when the request was sent, last reported ",
                      textOf(json, "report_age_us"), " us before");
    if (line.kind_ == "attempt_failed")
        return concat(target, "framed by \"", textOf(json, "framing"), "\", broke off ",
                      textOf(json, "ended"), " after ", textOf(json, "bytes"), " bytes and ",
                      textOf(json, "attempt_events"), " events: ", textOf(json, "what"));
    if (line.kind_ == "end_not_stated")
        return concat(target, "framed by \"", textOf(json, "end"),
                      "\", ended with its connection after ", textOf(json, "bytes"), " bytes and ",
                      textOf(json, "events"), " events");
    if (line.kind_ == "resumed")
        return concat("goes on behind event ", textOf(json, "last_event"), "; ", toldText(json));
    if (line.kind_ == "resent")
        return concat("asked anew; ", toldText(json));
    if (line.kind_ == "answered")
        return concat(target, "framed by \"", textOf(json, "framing"), "\", ended; ",
                      toldText(json));
    const std::string gap = textOf(json, "not_resumed");
    if (line.kind_ == "broken_off")
        return concat("broken off; ", toldText(json),
                      gap.empty() ? "" : concat("; not resumed: ", gap));
    return line.kind_ == "refused" ? concat("refused with ", textOf(json, "status")) : "";
}

std::vector<std::string> answersOf(const std::vector<StoryLine> &lines)
{
    std::vector<std::string> answers;
    for (const StoryLine &line : lines) {
        std::string text = line.isContext_ ? "" : answerText(line);
        if (!text.empty())
            answers.push_back(std::move(text));
    }
    return answers;
}

std::string configurationOf(const std::vector<StoryLine> &lines)
{
    const StoryLine *admitted = lastOf(lines, "admitted");
    if (admitted == nullptr || !admitted->fields_.contains("store_era"))
        return "";
    return concat("revision ", textOf(admitted->fields_, "revision"), ", read in era ",
                  textOf(admitted->fields_, "store_era"), " of the store");
}

std::string causeOf(const std::vector<StoryLine> &lines)
{
    if (const StoryLine *broken = lastOf(lines, "broken_off")) {
        if (textOf(broken->fields_, "by") == "caller")
            return concat("the caller left after ", textOf(broken->fields_, "events"), " events");
        return concat("the answer broke off after ", textOf(broken->fields_, "events"),
                      " events: ", causeOfRefusal(lines, broken->fields_));
    }
    if (const StoryLine *refused = lastOf(lines, "refused"))
        return causeOfRefusal(lines, refused->fields_);
    if (const StoryLine *answered = lastOf(lines, "answered"))
        return concat("answered with ", textOf(answered->fields_, "status"), " after ",
                      millisText(answered->fields_, "elapsed_us"), noteOfEnd(lines));
    return "the logs hold no end of this request";
}

} // namespace

void LogReader::read(const std::string &source, std::string_view text)
{
    std::size_t number = 0;
    std::size_t unreadable = 0;
    while (!text.empty()) {
        ++number;
        const std::size_t end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        const bool isCut = end == std::string_view::npos;
        text.remove_prefix(isCut ? text.size() : end + 1);
        const std::size_t brace = line.find('{');
        if (brace == std::string_view::npos)
            continue; // not a log line of ours
        Json json = parseUntrustedJson(line.substr(brace));
        if (!json.is_object() || !json.contains("kind")) {
            if (isCut)
                problems_.push_back(concat(source, ": cut off in line ", number));
            else
                ++unreadable;
            continue;
        }
        if (textOf(json, "kind") == "left_out")
            problems_.push_back(concat(source, ": ", textOf(json, "process"), " left out ",
                                       textOf(json, "lines"), " lines of kind ",
                                       textOf(json, "of")));
        StoryLine story{integerOf(json, "time_us"), textOf(json, "process"), textOf(json, "kind"),
                        false, Json()};
        story.fields_ = std::move(json);
        lines_.push_back(std::move(story));
    }
    if (unreadable > 0)
        problems_.push_back(concat(source, ": ", unreadable, " lines can't be read"));
}

Explanation LogReader::explain(const std::string &requestId) const
{
    Explanation explanation;
    std::set<std::string> targets;
    for (const StoryLine &line : lines_) {
        if (textOf(line.fields_, "request") != requestId)
            continue;
        explanation.lines_.push_back(line);
        targets.insert(textOf(line.fields_, "target"));
    }
    if (explanation.lines_.empty())
        return explanation;
    targets.erase("");
    const auto byTime = [](const StoryLine &a, const StoryLine &b) {
        return a.timeUs_ < b.timeUs_;
    };
    const auto [first, last] =
        std::minmax_element(explanation.lines_.begin(), explanation.lines_.end(), byTime);
    const std::int64_t from = first->timeUs_ - kContextBeforeUs;
    const std::int64_t to = last->timeUs_ + kContextAfterUs;
    for (StoryLine line : lines_) {
        const bool isAbout =
            targets.contains(textOf(line.fields_, "target")) && !line.fields_.contains("request");
        if (!isAbout || line.timeUs_ < from || line.timeUs_ > to)
            continue;
        line.isContext_ = true;
        explanation.lines_.push_back(std::move(line));
    }
    std::stable_sort(explanation.lines_.begin(), explanation.lines_.end(), byTime);
    explanation.answers_ = answersOf(explanation.lines_);
    explanation.configuration_ = configurationOf(explanation.lines_);
    explanation.cause_ = causeOf(explanation.lines_);
    return explanation;
}

} // namespace foxtailturn
