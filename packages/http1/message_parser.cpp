#include "http1/message_parser.h"

#include <limits>
#include <utility>

#include <http_parser.h>

namespace foxtailturn {

namespace {

constexpr int kSkipBody = 1; // http-parser: the message ends with its head

// Returns whether answers of this status have a body.
bool hasBody(int status)
{
    constexpr int kFirstFinal = 200;
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return status >= kFirstFinal && status != kNoContent && status != kNotModified;
}

// RFC 9110, section 15: other values are invalid.
bool isStatus(int status)
{
    constexpr int kFirst = 100;
    constexpr int kLast = 599;
    return status >= kFirst && status <= kLast;
}

bool isFramable(const MessageHead &head)
{
    const std::string *coding = head.find("Transfer-Encoding");
    if (coding == nullptr)
        return true;
    return head.count("Transfer-Encoding") == 1 && equalsIgnoringCase(*coding, "chunked");
}

} // namespace

struct MessageParser::State
{
    State(MessageKind kind, std::size_t maxHeaderBytes, MessageSink &sink)
        : kind_(kind)
        , maxHeaderBytes_(maxHeaderBytes)
        , sink_(sink)
    {
        http_parser_settings_init(&settings_);
        settings_.on_message_begin = [](http_parser *parser) { return of(parser).begin(); };
        settings_.on_url = [](http_parser *parser, const char *at, size_t length) {
            return of(parser).target({at, length});
        };
        settings_.on_header_field = [](http_parser *parser, const char *at, size_t length) {
            return of(parser).fieldName({at, length});
        };
        settings_.on_header_value = [](http_parser *parser, const char *at, size_t length) {
            return of(parser).fieldValue({at, length});
        };
        settings_.on_headers_complete = [](http_parser *parser) { return of(parser).headEnd(); };
        settings_.on_body = [](http_parser *parser, const char *at, size_t length) {
            of(parser).sink_.onBody({at, length});
            return 0;
        };
        settings_.on_message_complete = [](http_parser *parser) { return of(parser).end(); };
        reset();
    }

    static State &of(http_parser *parser) { return *static_cast<State *>(parser->data); }

    void reset()
    {
        http_parser_init(&parser_, kind_ == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser_.data = this;
        head_ = MessageHead();
        headerBytes_ = 0;
        isInValue_ = false;
        isInMessage_ = false;
        isComplete_ = false;
    }

    int begin()
    {
        isInMessage_ = true;
        return 0;
    }

    int count(std::size_t bytes)
    {
        headerBytes_ += bytes;
        if (headerBytes_ <= maxHeaderBytes_)
            return 0;
        fail(ErrorCode::PayloadTooLarge, "the header is longer than the limit");
        return -1;
    }

    int target(std::string_view text)
    {
        head_.target_ += text;
        return count(text.size());
    }

    int fieldName(std::string_view text)
    {
        // http-parser lets spaces pass. Others take such a field for another one, or for a line
        // that ends the head.
        if (text.find_first_of(" \t") != std::string_view::npos) {
            fail(ErrorCode::BadRequest, "the name of a field contains whitespace");
            return -1;
        }
        if (isInTrailer_)
            return 0;
        if (isInValue_ || head_.fields_.empty()) {
            head_.fields_.emplace_back();
            isInValue_ = false;
        }
        head_.fields_.back().name_ += text;
        return count(text.size());
    }

    int fieldValue(std::string_view text)
    {
        if (isInTrailer_)
            return 0;
        isInValue_ = true;
        head_.fields_.back().value_ += text;
        return count(text.size());
    }

    int headEnd()
    {
        isInTrailer_ = true;
        if (kind_ == MessageKind::Request)
            head_.method_ = http_method_str(static_cast<http_method>(parser_.method));
        else
            head_.status_ = static_cast<int>(parser_.status_code);
        if (kind_ == MessageKind::Response && !isStatus(head_.status_)) {
            fail(ErrorCode::BadRequest, "the status is outside 100 to 599");
            return -1;
        }
        // A request that offers an upgrade may be served without it (RFC 9110, section 7.8).
        if (kind_ == MessageKind::Request && parser_.method != HTTP_CONNECT)
            parser_.upgrade = 0;
        if (!isFramable(head_) || parser_.upgrade != 0) {
            fail(ErrorCode::BadRequest, "the transfer coding, CONNECT or upgrade is not supported");
            return -1;
        }
        if ((parser_.flags & F_CONTENTLENGTH) != 0
            && parser_.content_length != std::numeric_limits<std::uint64_t>::max())
            head_.contentLength_ = parser_.content_length;
        head_.keepsAlive_ = http_should_keep_alive(&parser_) != 0;
        head_.canReadChunks_ =
            parser_.http_major > 1 || (parser_.http_major == 1 && parser_.http_minor > 0);
        head_.framing_ = framing();
        const bool endsWithHead =
            kind_ == MessageKind::Response && head_.framing_ == BodyFraming::None;
        sink_.onHead(std::move(head_));
        head_ = MessageHead();
        return endsWithHead ? kSkipBody : 0;
    }

    // Of the message under way. Precondition: the length in its head was read.
    [[nodiscard]] BodyFraming framing() const
    {
        const bool isResponse = kind_ == MessageKind::Response;
        if (isResponse && (hasNoBody_ || !hasBody(head_.status_)))
            return BodyFraming::None;
        if ((parser_.flags & F_CHUNKED) != 0)
            return BodyFraming::Chunks;
        if (head_.contentLength_)
            return BodyFraming::Length;
        return isResponse ? BodyFraming::UntilClose : BodyFraming::None;
    }

    int end()
    {
        isComplete_ = true;
        isInMessage_ = false;
        hasNoBody_ = false;
        sink_.onMessageEnd();
        http_parser_pause(&parser_, 1);
        return 0;
    }

    void fail(ErrorCode code, std::string message)
    {
        if (!error_)
            error_ = Error{code, Execution::NotRun, std::move(message)};
    }

    MessageKind kind_;
    std::size_t maxHeaderBytes_;
    MessageSink &sink_;
    http_parser parser_{};
    http_parser_settings settings_{};
    MessageHead head_;
    std::size_t headerBytes_ = 0;
    bool isInValue_ = false;
    bool isInTrailer_ = false;
    bool isInMessage_ = false;
    bool isComplete_ = false;
    bool hasNoBody_ = false;
    std::optional<Error> error_;
};

MessageParser::MessageParser(MessageKind kind, std::size_t maxHeaderBytes, MessageSink &sink)
    : state_(std::make_unique<State>(kind, maxHeaderBytes, sink))
{ }

MessageParser::~MessageParser() = default;

std::size_t MessageParser::feed(std::string_view data)
{
    if (state_->error_ || state_->isComplete_ || data.empty())
        return 0;
    const std::size_t used =
        http_parser_execute(&state_->parser_, &state_->settings_, data.data(), data.size());
    const http_errno result = HTTP_PARSER_ERRNO(&state_->parser_);
    if (result != HPE_OK && result != HPE_PAUSED)
        state_->fail(result == HPE_HEADER_OVERFLOW ? ErrorCode::PayloadTooLarge
                                                   : ErrorCode::BadRequest,
                     http_errno_description(result));
    return used;
}

void MessageParser::finish()
{
    if (state_->error_ || state_->isComplete_ || !state_->isInMessage_)
        return;
    http_parser_execute(&state_->parser_, &state_->settings_, nullptr, 0);
    if (!state_->isComplete_)
        state_->fail(ErrorCode::ConnectionLost, "the peer closed within a message");
}

void MessageParser::next()
{
    state_->reset();
    state_->isInTrailer_ = false;
}

void MessageParser::expectNoBody()
{
    state_->hasNoBody_ = true;
}

void MessageParser::discard()
{
    state_->head_ = MessageHead();
    state_->headerBytes_ = 0;
}

bool MessageParser::isComplete() const
{
    return state_->isComplete_;
}

std::size_t MessageParser::heldBytes() const
{
    if (state_->isInTrailer_)
        return 0;
    return state_->headerBytes_ + state_->head_.fields_.capacity() * sizeof(HeaderField);
}

bool MessageParser::isInMessage() const
{
    return state_->isInMessage_;
}

const std::optional<Error> &MessageParser::error() const
{
    return state_->error_;
}

} // namespace foxtailturn
