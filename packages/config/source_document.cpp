#include "config/source_document.h"

#include <iterator>
#include <set>
#include <utility>

#include "base/log.h"

namespace foxtailturn {

namespace {

// Input iterator that counts lines. The line is that of the character read last, so it stays right
// when the lexer has read one character beyond a number.
class LineIterator
{
public:
    using iterator_category = std::input_iterator_tag; // NOLINT(readability-identifier-naming)
    using value_type = char; // NOLINT(readability-identifier-naming): std name
    using difference_type = std::ptrdiff_t; // NOLINT(readability-identifier-naming): std name
    using pointer = const char *; // NOLINT(readability-identifier-naming): std name
    using reference = const char &; // NOLINT(readability-identifier-naming): std name

    LineIterator(const char *at, int *line)
        : at_(at)
        , line_(line)
    { }

    reference operator*() const { return *at_; }

    LineIterator &operator++()
    {
        if (wasNewline_)
            ++*line_;
        wasNewline_ = *at_ == '\n';
        ++at_;
        return *this;
    }

    LineIterator operator++(int)
    {
        LineIterator copy = *this;
        ++*this;
        return copy;
    }

    bool operator==(const LineIterator &other) const { return at_ == other.at_; }

private:
    const char *at_;
    int *line_;
    bool wasNewline_ = false;
};

// Records the line of each value; the method names are those of nlohmann's SAX interface.
// NOLINTBEGIN(readability-identifier-naming)
class LineRecorder
{
public:
    LineRecorder(SourceDocument &document, const int &line)
        : document_(document)
        , line_(line)
    { }

    bool null() { return value(); }
    bool boolean(bool) { return value(); }
    bool number_integer(Json::number_integer_t) { return value(); }
    bool number_unsigned(Json::number_unsigned_t) { return value(); }
    bool number_float(Json::number_float_t, const std::string &) { return value(); }
    bool string(std::string &) { return value(); }
    bool binary(Json::binary_t &) { return value(); }
    bool start_object(std::size_t) { return open(false); }
    bool end_object() { return close(); }
    bool start_array(std::size_t) { return open(true); }
    bool end_array() { return close(); }

    bool key(std::string &name)
    {
        Frame &frame = frames_.back();
        frame.key_ = name;
        if (!frame.keys_.insert(name).second)
            document_.repeatedFields_.push_back(
                {Place{document_.file_, line_, path(), ""}, "is given twice", std::nullopt});
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const Json::exception &) { return false; }

private:
    struct Frame
    {
        bool isArray_;
        std::size_t index_ = 0;
        std::string key_;
        std::set<std::string> keys_;
    };

    [[nodiscard]] std::string path() const
    {
        std::string text;
        for (const Frame &frame : frames_) {
            if (frame.isArray_)
                text += concat("[", frame.index_, "]");
            else
                text += concat(text.empty() ? "" : ".", frame.key_);
        }
        return text;
    }

    void record() { document_.lines_.emplace(path(), line_); }

    void advance()
    {
        if (!frames_.empty() && frames_.back().isArray_)
            ++frames_.back().index_;
    }

    bool value()
    {
        record();
        advance();
        return true;
    }

    bool open(bool isArray)
    {
        record();
        frames_.push_back(Frame{isArray, 0, "", {}});
        return true;
    }

    bool close()
    {
        frames_.pop_back();
        advance();
        return true;
    }

    SourceDocument &document_;
    const int &line_;
    std::vector<Frame> frames_;
};
// NOLINTEND(readability-identifier-naming)

} // namespace

int SourceDocument::lineOf(std::string_view field) const
{
    while (!field.empty()) {
        const auto it = lines_.find(std::string(field));
        if (it != lines_.end())
            return it->second;
        const std::size_t end = field.find_last_of(".[");
        field = field.substr(0, end == std::string_view::npos ? 0 : end);
    }
    return 1;
}

Result<SourceDocument> parseSource(std::string_view text, const std::string &file)
{
    Result<Json> json = parseJson(text, file);
    if (!json)
        return tl::unexpected(json.error());
    SourceDocument document{file, std::move(*json), {}, {}};
    int line = 1;
    LineRecorder recorder(document, line);
    const char *begin = text.data();
    Json::sax_parse(LineIterator(begin, &line), LineIterator(begin + text.size(), &line), &recorder,
                    Json::input_format_t::json, true, true);
    return document;
}

} // namespace foxtailturn
