#include "gateway/target_answers_testing.h"

#include <algorithm>

namespace foxtailturn::gateway {

namespace {

constexpr std::size_t kMissingBytes = 1000; // of a body that ends before its length
constexpr std::size_t kLargeEvent = 100'000; // bytes; a few exceed what is held of a plain answer

bool hasId(Ids ids, int number)
{
    return ids != Ids::None && (ids != Ids::Some || number % 2 == 1);
}

std::string fieldsOf(const Setup &setup, Ids ids, int number)
{
    std::string text;
    const int shown = ids == Ids::Repeated && number > 2 ? number - 1 : number;
    if (hasId(ids, number))
        text += "id: " + std::to_string(shown * setup.idStep_) + setup.lineEnd_;
    text += "data: " + std::to_string(number);
    if (setup.route_ == Route::LargePlain)
        text += std::string(kLargeEvent, 'x');
    return text + setup.lineEnd_;
}

// Returns the bytes of an answer whose body comes in pieces.
std::string bytesOf(const Attempt &attempt, const std::vector<std::string> &pieces)
{
    const bool isWhole = attempt.how_ == How::Stated;
    const bool isChunked = attempt.framing_ == BodyFraming::Chunks;
    std::string framed;
    std::size_t size = isWhole ? 0 : kMissingBytes;
    for (const std::string &piece : pieces) {
        size += piece.size();
        framed += isChunked ? chunkText(piece) : piece;
    }
    std::string bytes = "HTTP/1.1 " + std::to_string(attempt.status_) + " OK\r\nServer: s\r\n";
    if (attempt.framing_ == BodyFraming::Length)
        bytes += "Content-Length: " + std::to_string(size) + "\r\n";
    if (isChunked)
        bytes += "Transfer-Encoding: chunked\r\n";
    if (attempt.place_ == Place::InsideHead)
        return bytes;
    bytes += "\r\n" + framed;
    if (isChunked && isWhole)
        bytes += kLastChunk;
    if (attempt.place_ == Place::InsideChunkSize)
        bytes += "1";
    if (attempt.place_ == Place::InTrailer)
        bytes += "0\r\n";
    return bytes;
}

// Returns whether a target may end in this way.
bool isPossible(const Attempt &attempt)
{
    const bool isOfChunks =
        attempt.place_ >= Place::InsideChunkSize && attempt.place_ <= Place::InTrailer;
    const bool isStated = attempt.how_ == How::Stated;
    const bool canBeStated = attempt.framing_ != BodyFraming::UntilClose
        && attempt.place_ != Place::InsideHead && !isOfChunks;
    const bool isOverAnyway =
        attempt.place_ == Place::End && attempt.framing_ != BodyFraming::UntilClose;
    if (isOfChunks && attempt.framing_ != BodyFraming::Chunks)
        return false;
    return isStated ? canBeStated : !isOverAnyway;
}

} // namespace

std::vector<Attempt> allAttempts(const Setup &setup)
{
    std::vector<Attempt> attempts;
    const std::vector<Ids> ids = setup.isStream()
        ? std::vector{Ids::All, Ids::Some, Ids::None, Ids::Repeated, Ids::Anew}
        : std::vector{Ids::All};
    for (const BodyFraming framing :
         {BodyFraming::Length, BodyFraming::Chunks, BodyFraming::UntilClose}) {
        for (int place = 0; place <= static_cast<int>(Place::End); ++place) {
            for (const How how : {How::Stated, How::Close, How::Reset, How::Silence}) {
                Attempt attempt{framing, static_cast<Place>(place), how};
                if (!isPossible(attempt))
                    continue;
                for (const Ids i : ids) {
                    attempt.ids_ = i;
                    attempts.push_back(attempt);
                }
            }
        }
        attempts.push_back({framing, Place::End,
                            framing == BodyFraming::UntilClose ? How::Close : How::Stated, Ids::All,
                            404});
    }
    return attempts;
}

Sent answerOf(const Setup &setup, const Attempt &attempt, int index,
              const std::optional<std::string> &lastEventId)
{
    Sent sent;
    // An answer without events says nothing but that none follows.
    const bool goesOn = attempt.ids_ == Ids::All || attempt.ids_ == Ids::Some
        || attempt.place_ == Place::BehindHead;
    if (setup.isStream() && goesOn && lastEventId)
        sent.first_ = std::stoi(*lastEventId) / setup.idStep_ + 1;
    sent.isFirstNumbered_ = hasId(attempt.ids_, sent.first_);
    const int cut = attempt.hasAllEvents()    ? kEvents
        : attempt.place_ <= Place::BehindHead ? 0
                                              : std::min(index + 2, kEvents - 1);
    sent.last_ = std::max(cut, sent.first_ - 1);
    std::vector<std::string> pieces;
    for (int number = sent.first_; number <= cut; ++number)
        pieces.push_back(fieldsOf(setup, attempt.ids_, number) + setup.lineEnd_);
    const std::string next = fieldsOf(setup, attempt.ids_, sent.last_ + 1);
    if (attempt.place_ == Place::InsideEvent)
        pieces.push_back(next.substr(0, next.size() - setup.lineEnd_.size()));
    if (attempt.place_ == Place::BeforeEmptyLine)
        pieces.push_back(next);
    for (const std::string &piece : pieces)
        sent.body_ += piece;
    sent.bytes_ = bytesOf(attempt, pieces);
    return sent;
}

} // namespace foxtailturn::gateway
