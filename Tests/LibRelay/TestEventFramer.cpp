/// @file Tests that the framer returns complete events, each once, however the stream is split.

#include "LibRelay/EventFramer.h"

#include <catch2/catch.hpp>

TEST_CASE("events are returned only when they are complete, wherever the stream is split")
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

TEST_CASE("an incomplete event is discarded before another engine continues, and no event is returned twice")
{
    // An engine crashes in the middle of event 3, and the next engine begins with an earlier event than requested. The caller must get each event once.
    Relay::EventFramer framer;
    CHECK(framer.feed("id: 1\n\nid: 2\n\nid: 3\nda") == "id: 1\n\nid: 2\n\n");
    framer.discardPartialEvent();
    CHECK(framer.feed("id: 2\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    CHECK_FALSE(framer.hasGap());
}

TEST_CASE("a missing event is detected")
{
    Relay::EventFramer framer(4);
    framer.feed("id: 6\n\n");
    CHECK(framer.hasGap());
}

TEST_CASE("The bytes of events that repeat what the caller has are counted until an event advances or another engine goes on")
{
    Relay::EventFramer framer(5);
    const std::string old = "id: 5\ndata: text\n\n";
    CHECK(framer.feed(old + old).empty());
    CHECK(framer.repeatedBytes() == 2 * old.size());
    CHECK_FALSE(framer.feed("id: 6\ndata: text\n\n").empty());
    CHECK(framer.repeatedBytes() == 0);
    framer.feed(old);
    framer.discardPartialEvent();
    CHECK(framer.repeatedBytes() == 0);
}
