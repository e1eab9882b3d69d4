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

TEST_CASE("eventNumber() accepts only decimal integers")
{
    CHECK(eventNumber("17") == 17);
    CHECK_FALSE(eventNumber(""));
    CHECK_FALSE(eventNumber("1a"));
    CHECK_FALSE(eventNumber("99999999999999999999"));
}

} // namespace foxtailturn::gateway
