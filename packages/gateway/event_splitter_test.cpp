#include "gateway/event_splitter.h"

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
        for (StreamEvent &event : splitter.feed(std::string_view(text).substr(cut)))
            events.push_back(std::move(event));
        REQUIRE(events.size() == 3);
        CHECK(events[0] == StreamEvent{"id: 1\ndata: a\n\n", "1"});
        CHECK(events[1] == StreamEvent{"id:2\r\ndata: b\r\n\r\n", "2"});
        CHECK(events[2] == StreamEvent{"data: c\n\n", ""});
        CHECK(splitter.remainder() == "id: 4\ndata");
    }
}

// Guards against an event whose end is missed, since a search goes on where the last one stopped.
TEST_CASE("a long event is searched once, and its end is found wherever it is split")
{
    constexpr int kPieces = 65'536;
    const std::string piece(64, 'x');
    for (const std::string &end : {std::string("\n\n"), std::string("\r\n\r\n")}) {
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
