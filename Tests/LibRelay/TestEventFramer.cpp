/// @file Whole events, each once and in order, whatever pieces they come in.

#include "LibRelay/EventFramer.h"

#include <catch2/catch.hpp>

TEST_CASE("events are passed on whole, however they are cut")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n:note\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        Relay::EventFramer framer;
        const std::string first = framer.feed(stream.substr(0, cut));
        CHECK((first.empty() || first.ends_with("\n")));
        CHECK(first + framer.feed(stream.substr(cut)) == stream);
        CHECK(framer.lastId() == 2);
    }
}

TEST_CASE("half an event is dropped before another engine goes on, and nothing comes twice")
{
    // An engine crashes in the middle of event 3. The next engine begins a little earlier than asked; the caller must see each event once.
    Relay::EventFramer framer;
    CHECK(framer.feed("id: 1\n\nid: 2\n\nid: 3\nda") == "id: 1\n\nid: 2\n\n");
    framer.discardPartialEvent();
    CHECK(framer.feed("id: 2\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    CHECK_FALSE(framer.hasGap());
}

TEST_CASE("a missing event is noticed")
{
    Relay::EventFramer framer(4);
    framer.feed("id: 6\n\n");
    CHECK(framer.hasGap());
}
