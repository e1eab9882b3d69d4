#include "gateway/event_splitter.h"

#include <algorithm>

#include <doctest/doctest.h>

namespace foxtailturn::gateway {

// Guards against forwarding a truncated event before the stream is resumed at another target.
TEST_CASE("only complete events are returned, wherever the input is split")
{
    const std::string text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        CAPTURE(cut);
        EventSplitter splitter;
        std::vector<StreamEvent> events = splitter.feed(std::string_view(text).substr(0, cut));
        for (StreamEvent &event : splitter.feed(std::string_view(text).substr(cut))) {
            // Behind a carriage return, the line feed comes by itself.
            if (event.text_ == "\n")
                events.back().text_ += event.text_;
            else
                events.push_back(std::move(event));
        }
        REQUIRE(events.size() == 3);
        CHECK(events[0] == StreamEvent{"id: 1\ndata: a\n\n", "1", true});
        CHECK(events[1] == StreamEvent{"id:2\r\ndata: b\r\n\r\n", "2", true});
        CHECK(events[2] == StreamEvent{"data: c\n\n", "", true});
        CHECK(splitter.remainder() == "id: 4\ndata");
        CHECK(splitter.isInsideEvent());
    }
}

// Guards against events that are found where there are none, or are held back, for their line ends.
TEST_CASE("lines end with CR, LF or CRLF, also mixed and in any portions")
{
    const std::string ends[] = {"\n", "\r\n", "\r"};
    for (const std::string &first : ends) {
        for (const std::string &second : ends) {
            for (const std::string &empty : ends) {
                std::string event = "id: 1";
                event.append(first).append("data: a").append(second).append(empty);
                // CR and LF would be one line end.
                if (second == "\r" && empty == "\n")
                    continue;
                for (std::size_t portion = 1; portion <= event.size(); ++portion) {
                    CAPTURE(event);
                    CAPTURE(portion);
                    EventSplitter splitter;
                    std::string joined;
                    int count = 0;
                    std::string text = event;
                    text.append(event).append(event);
                    for (std::size_t at = 0; at < text.size(); at += portion) {
                        for (const StreamEvent &e : splitter.feed(text.substr(at, portion))) {
                            joined += e.text_;
                            count += e.isComment() ? 0 : 1;
                            CHECK(e.id_ == (e.isComment() ? "" : "1"));
                        }
                        // Complete with the first byte of its empty line's end.
                        const std::size_t read = std::min(at + portion, text.size());
                        CHECK(static_cast<std::size_t>(count)
                              == (read + empty.size() - 1) / event.size());
                    }
                    CHECK(joined == text);
                    CHECK_FALSE(splitter.isInsideEvent());
                }
            }
        }
    }
}

// Guards against fields that are read otherwise than the format's page says.
TEST_CASE("fields are read as the format defines them")
{
    struct Case
    {
        std::string text_;
        std::string id_;
        bool hasContent_;
    };
    using namespace std::string_literals;
    const Case cases[] = {
        {"id: 1\n\n", "1", true},
        {"id:1\n\n", "1", true},
        {"id:  1\n\n", " 1", true},
        {"id: 1\nid: 2\n\n", "2", true},
        {"id: 1\nid\n\n", "", true},
        {"id: 1\0\n\n"s, "", false},
        {"id: 1\nid: 2\0\n\n"s, "1", true},
        {" id: 1\n\n", "", false},
        {"ID: 1\n\n", "", false},
        {"data\n\n", "", true},
        {"data:\n\n", "", true},
        {"event: x\n\n", "", false},
        {"retry: 10\n\n", "", false},
        {": id: 1\n\n", "", false},
        {":\ndata: b\n\n", "", true},
        {"\xEF\xBB\xBFid: 1\n\n", "1", true},
        {"\n", "", false},
    };
    for (const Case &c : cases) {
        CAPTURE(c.text_);
        EventSplitter splitter;
        const std::vector<StreamEvent> events = splitter.feed(c.text_);
        REQUIRE(events.size() == 1);
        CHECK(events[0] == StreamEvent{c.text_, c.id_, c.hasContent_});
    }
}

// Guards against a stream that is broken off for what belongs to no event, and the reverse.
TEST_CASE("a stream ends inside an event behind a field or the beginning of one")
{
    struct Case
    {
        std::string text_;
        bool isInsideEvent_;
        bool isInsideLine_;
    };
    const Case cases[] = {
        {"", false, false},
        {"data: a\n\n", false, false},
        {"data: a\r\r", false, false},
        {"data: a\n", true, false},
        {"data: a", true, true},
        {"data: a\n\n: c\n", false, false},
        {"data: a\n\n: c", false, true},
        {": c\nd", true, true},
        {"data: a\n\n\xEF\xBB\xBF", true, true},
        {"\xEF\xBB\xBF", false, true},
    };
    for (const Case &c : cases) {
        CAPTURE(c.text_);
        EventSplitter splitter;
        static_cast<void>(splitter.feed(c.text_));
        CHECK(splitter.isInsideEvent() == c.isInsideEvent_);
        CHECK(splitter.isInsideLine() == c.isInsideLine_);
    }
}

// Guards against an event whose end is missed, since a search goes on where the last one stopped.
TEST_CASE("a long event is searched once, and its end is found wherever it is split")
{
    constexpr int kPieces = 65'536;
    const std::string piece(64, 'x');
    for (const std::string &end :
         {std::string("\n\n"), std::string("\r\n\r"), std::string("\r\r")}) {
        EventSplitter splitter;
        for (int i = 0; i < kPieces; ++i)
            REQUIRE(splitter.feed(piece).empty());
        for (std::size_t i = 0; i + 1 < end.size(); ++i)
            REQUIRE(splitter.feed(end.substr(i, 1)).empty());
        CHECK(splitter.feed(end.substr(end.size() - 1)).size() == 1);
        CHECK(splitter.feed("id: 1\n\n").size() == 1);
    }
}

// Guards against an end that is found behind the first one.
TEST_CASE("an event ends at the first empty line, whichever its line ends are")
{
    for (const std::string rest : {"", "\n", "\n\n", "b\n\n", "\r\n\r\n"}) {
        for (const std::string first : {"a\n\n", "a\r\n\r\n"}) {
            CAPTURE(first);
            CAPTURE(rest);
            EventSplitter splitter;
            const std::vector<StreamEvent> events = splitter.feed(first + rest);
            REQUIRE(!events.empty());
            CHECK(events[0].text_ == first);
        }
    }
}

// Guards against a stream that seems to go on although its engine sends comments only.
TEST_CASE("an event of comments only is a comment")
{
    EventSplitter splitter;
    const std::vector<StreamEvent> events =
        splitter.feed(": a\n\nid: 1\n\n:\nid: 2\n\ndata: b\n\n");
    REQUIRE(events.size() == 4);
    CHECK(events[0].isComment());
    for (std::size_t i = 1; i < events.size(); ++i)
        CHECK_FALSE(events[i].isComment());
}

TEST_CASE("eventNumber() accepts only decimal integers")
{
    CHECK(eventNumber("17") == 17);
    CHECK_FALSE(eventNumber(""));
    CHECK_FALSE(eventNumber("1a"));
    CHECK_FALSE(eventNumber("99999999999999999999"));
}

} // namespace foxtailturn::gateway
