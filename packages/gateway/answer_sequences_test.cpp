// Drives AnswerState through every sequence of up to three attempts, and judges what the caller
// gets by a reader of its own.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "gateway/answer_state.h"
#include "gateway/caller_view_testing.h"
#include "gateway/target_answers_testing.h"
#include "http1/message_parser.h"

namespace foxtailturn::gateway {

namespace {

constexpr int kMaxAttempts = 3;
constexpr std::size_t kMaxHeaderBytes = 4096;

// Reads one target's answer as TargetConnection does, and passes it on as Relay does.
class Exchange final : MessageSink
{
public:
    Exchange(AnswerState &state, std::string &callersBytes)
        : state_(state)
        , callersBytes_(callersBytes)
        , parser_(MessageKind::Response, kMaxHeaderBytes, *this)
    { }

    AnswerVerdict play(std::string_view bytes, How how, std::size_t portion)
    {
        while (!bytes.empty() && !isOver()) {
            const std::string_view part = bytes.substr(0, portion == 0 ? bytes.size() : portion);
            bytes.remove_prefix(std::min(parser_.feed(part), bytes.size()));
            if (parser_.error())
                break;
        }
        if (how == How::Close && !isOver())
            parser_.finish();
        if (parser_.error() || !isOver())
            return AnswerVerdict::Failed;
        if (verdict_ == AnswerVerdict::Continue)
            apply(state_.onEnd());
        return verdict_;
    }

private:
    [[nodiscard]] bool isOver() const
    {
        return parser_.isComplete() || verdict_ != AnswerVerdict::Continue;
    }

    void onHead(MessageHead head) override { apply(state_.onHead(head)); }
    void onBody(std::string_view data) override
    {
        if (verdict_ == AnswerVerdict::Continue)
            apply(state_.onBody(data));
    }
    void onMessageEnd() override { }

    void apply(const AnswerStep &step)
    {
        if (step.head_)
            callersBytes_ += responseText(*step.head_);
        callersBytes_ += step.body_;
        verdict_ = step.verdict_;
    }

    AnswerState &state_;
    std::string &callersBytes_;
    MessageParser parser_;
    AnswerVerdict verdict_ = AnswerVerdict::Continue;
};

// What the caller has after a sequence, and the last attempt of it.
struct Outcome
{
    CallerView view_;
    int attempts_ = 1;
    Attempt attempt_;
    Sent sent_;
    std::optional<BodyFraming> begunBy_; // of the target whose head the caller was told
    bool looksWholeInPart_ = false; // a part of the bytes, ended by a close
};

// Returns whether the target's answer may be whole for all that its reader can know, and whether
// it certainly is.
bool mayBeWhole(const Setup &setup, const Attempt &attempt)
{
    if (setup.isStream() && attempt.status_ == 200 && attempt.isInsideEvent())
        return false;
    const bool endsByClose = attempt.framing_ == BodyFraming::UntilClose
        && attempt.how_ == How::Close && attempt.place_ != Place::InsideHead;
    return attempt.how_ == How::Stated || endsByClose;
}

bool isWhole(const Setup &setup, const Attempt &attempt)
{
    return mayBeWhole(setup, attempt)
        && (attempt.how_ == How::Stated || attempt.place_ == Place::End);
}

std::string judgeEvents(const Setup &setup, const Outcome &outcome)
{
    const EventsView events = readEvents(outcome.view_.body_);
    if (events.endsInside_)
        return "a part of an event was sent";
    int last = 0;
    for (const std::string &data : events.data_) {
        const int number = std::stoi(data);
        const bool isFirst = &data == &events.data_.front();
        const bool mayBeginLater = setup.caller_ == Caller::HasFirstEvent;
        if (isFirst ? number != 1 && !(mayBeginLater && number == 2) : number != last + 1)
            return "event " + data + " behind " + std::to_string(last);
        last = number;
    }
    const bool isJoinedByIds = setup.route_ == Route::Resumable && outcome.sent_.isFirstNumbered_;
    if (setup.caller_ == Caller::HasFirstEvent && isJoinedByIds && outcome.attempts_ == 1
        && !events.data_.empty() && events.data_.front() == "1")
        return "the caller's own event came again";
    const int callersOwn = setup.caller_ == Caller::HasFirstEvent ? 1 : 0;
    const int lastOfTarget = std::max(outcome.sent_.last_, callersOwn);
    if (outcome.view_.isComplete_ && std::max(last, callersOwn) != lastOfTarget)
        return "complete with event " + std::to_string(last) + ", the target's last one is "
            + std::to_string(outcome.sent_.last_);
    return "";
}

// Returns what is wrong with what the caller has; empty if nothing is.
std::string judge(const Setup &setup, const Outcome &outcome)
{
    const CallerView &view = outcome.view_;
    const bool isStream = setup.isStream() && view.status_ == 200;
    if (view.isComplete_ && !mayBeWhole(setup, outcome.attempt_))
        return "complete, and the target's answer was not";
    const bool isUnstated = view.isComplete_ && outcome.attempt_.how_ != How::Stated;
    if (isUnstated && view.framing_ == "length")
        return "told of a length that no target has stated";
    if (isUnstated && outcome.begunBy_ != BodyFraming::UntilClose)
        return "ends without a word of its end, and its first target would have stated it";
    if (setup.caller_ != Caller::Http10 && view.framing_ == "close")
        return "nothing but a close tells of its end";
    if (setup.caller_ != Caller::Http10 && outcome.looksWholeInPart_)
        return "a part of it looks whole";
    if (isStream) {
        if (std::string fault = judgeEvents(setup, outcome); !fault.empty())
            return fault;
    } else if (view.isComplete_ && view.body_ != outcome.sent_.body_) {
        return "the body is not the target's";
    }
    // An unframed stream that closes before its first event was broken off.
    const bool isEmptyStream = isStream && outcome.sent_.body_.empty()
        && outcome.attempt_.framing_ == BodyFraming::UntilClose;
    const bool isFirst = outcome.attempts_ == 1;
    if (isFirst && isWhole(setup, outcome.attempt_) && !isEmptyStream) {
        const bool isOwn =
            setup.route_ == Route::Resumable && setup.caller_ == Caller::HasFirstEvent;
        // A run that begins anew may end before the event that the caller has.
        const bool endsEarly = isOwn && outcome.sent_.last_ < 1;
        const bool repeats = isOwn && outcome.attempt_.ids_ == Ids::Repeated;
        if (!view.isComplete_ && !endsEarly && !repeats)
            return "broken off, and the target's answer was whole";
        if (view.isComplete_ && !isOwn && view.body_ != outcome.sent_.body_)
            return "the body is not the target's";
    }
    const bool goesOn = !isFirst && isStream && outcome.attempt_.ids_ == Ids::All
        && outcome.attempt_.status_ == 200 && outcome.attempt_.how_ == How::Stated;
    if (goesOn && isWhole(setup, outcome.attempt_) && !view.isComplete_)
        return "broken off, and the last target went on with it";
    return "";
}

// A point where a sequence goes on at another target. Equal ones go on in the same way.
struct Branch
{
    AnswerState state_;
    std::string callersBytes_;
    std::uint64_t sequences_ = 0; // that lead here
    std::optional<BodyFraming> begunBy_ = std::nullopt; // as in Outcome
};

// Returns whether a caller takes a part of an answer's bytes for all of them.
bool looksWholeInPart(const std::string &bytes)
{
    const std::size_t lengths[] = {bytes.size() / 2,
                                   bytes.size() - std::min(bytes.size(), kLastChunk.size()),
                                   bytes.size() - std::min<std::size_t>(bytes.size(), 1)};
    return std::any_of(std::begin(lengths), std::end(lengths), [&bytes](std::size_t length) {
        return length < bytes.size()
            && readAnswer(std::string_view(bytes).substr(0, length), ConnectionEnd::Close)
                   .isComplete_;
    });
}

class Enumeration
{
public:
    explicit Enumeration(Setup setup)
        : setup_(std::move(setup))
        , attempts_(allAttempts(setup_))
    { }

    void run()
    {
        AnswerState state({.isStream_ = setup_.isStream(),
                           .isResumable_ = setup_.route_ == Route::Resumable,
                           .canReadChunks_ = setup_.caller_ != Caller::Http10,
                           .lastEventId_ = setup_.callersId()});
        state.beginAttempt();
        std::vector<Branch> branches = {{std::move(state), "", 1}};
        for (int index = 0; index < kMaxAttempts; ++index) {
            next_.clear();
            for (const Branch &branch : branches) {
                for (const Attempt &attempt : attempts_)
                    play(branch, attempt, index);
            }
            branches = std::move(next_);
        }
    }

    std::uint64_t sequences_ = 0;
    std::map<std::string, std::uint64_t> faults_; // sequences by fault

private:
    void play(const Branch &branch, const Attempt &attempt, int index)
    {
        Branch after = branch;
        const std::optional<std::string> resumeId = after.state_.resumeId();
        Outcome outcome;
        outcome.attempts_ = index + 1;
        outcome.attempt_ = attempt;
        outcome.sent_ = answerOf(setup_, attempt, index, resumeId ? resumeId : setup_.callersId());
        const AnswerVerdict verdict =
            Exchange(after.state_, after.callersBytes_)
                .play(outcome.sent_.bytes_, attempt.how_, setup_.portion_);
        if (!branch.state_.isTold() && after.state_.isTold())
            after.begunBy_ = attempt.framing_;
        const bool isComplete = verdict == AnswerVerdict::Complete;
        if (!isComplete && setup_.isRepeatable() && after.state_.mayGoOn()
            && index + 1 < kMaxAttempts) {
            goOn(std::move(after));
            return;
        }
        sequences_ += branch.sequences_;
        ConnectionEnd end = ConnectionEnd::Open;
        if (isComplete && after.state_.framing() == BodyFraming::UntilClose)
            end = ConnectionEnd::Close;
        if (!isComplete)
            end = after.state_.breakOff() == AnswerBreak::Reset ? ConnectionEnd::Reset
                                                                : ConnectionEnd::Close;
        outcome.view_ = readAnswer(after.callersBytes_, end);
        outcome.begunBy_ = after.begunBy_;
        outcome.looksWholeInPart_ = looksWholeInPart(after.callersBytes_);
        if (const std::string fault = judge(setup_, outcome); !fault.empty())
            faults_[fault + describe(outcome)] += branch.sequences_;
    }

    [[nodiscard]] std::string describe(const Outcome &outcome) const
    {
        const Attempt &last = outcome.attempt_;
        return " (route " + std::to_string(static_cast<int>(setup_.route_)) + ", caller "
            + std::to_string(static_cast<int>(setup_.caller_)) + ", attempt "
            + std::to_string(outcome.attempts_) + ": " + std::string(framingName(last.framing_))
            + ", place " + std::to_string(static_cast<int>(last.place_)) + ", how "
            + std::to_string(static_cast<int>(last.how_)) + ", ids "
            + std::to_string(static_cast<int>(last.ids_)) + ", status "
            + std::to_string(last.status_) + ")";
    }

    void goOn(Branch branch)
    {
        branch.state_.beginAttempt();
        for (Branch &known : next_) {
            if (known.callersBytes_ == branch.callersBytes_ && known.state_ == branch.state_
                && known.begunBy_ == branch.begunBy_) {
                known.sequences_ += branch.sequences_;
                return;
            }
        }
        next_.push_back(std::move(branch));
    }

    Setup setup_;
    std::vector<Attempt> attempts_;
    std::vector<Branch> next_;
};

std::vector<Setup> allSetups()
{
    std::vector<Setup> setups;
    for (const Route route :
         {Route::Resumable, Route::Stream, Route::Plain, Route::LargePlain, Route::AtMostOnce}) {
        for (const Caller caller : {Caller::Http11, Caller::Http10, Caller::HasFirstEvent}) {
            const bool isStream = Setup{route}.isStream();
            for (const std::string lineEnd : {"\n", "\r\n", "\r"}) {
                for (const int idStep : {1, 10}) {
                    for (const std::size_t portion : {0, 1}) {
                        const bool isPlainAgain = !isStream && (idStep > 1 || lineEnd != "\n");
                        const bool isLargeInBytes = route == Route::LargePlain && portion > 0;
                        if (!isPlainAgain && !isLargeInBytes)
                            setups.push_back({route, caller, lineEnd, idStep, portion});
                    }
                }
            }
        }
    }
    return setups;
}

} // namespace

// Guards against an answer that its caller takes for complete and isn't, events twice, missing or
// of two runs, and sound answers that are broken off.
TEST_CASE("callers get the truth from every sequence of up to three attempts")
{
    std::uint64_t sequences = 0;
    std::map<std::string, std::uint64_t> faults;
    for (const Setup &setup : allSetups()) {
        Enumeration enumeration(setup);
        enumeration.run();
        sequences += enumeration.sequences_;
        for (const auto &[fault, count] : enumeration.faults_)
            faults[fault] += count;
    }
    MESSAGE("sequences: " << sequences);
    for (const auto &[fault, count] : faults)
        FAIL_CHECK(fault << ": " << count << " sequences");
    CHECK(sequences > 1'000'000);
}

} // namespace foxtailturn::gateway
