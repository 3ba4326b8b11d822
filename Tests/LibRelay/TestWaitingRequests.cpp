/// @file Bounds of the queue of requests that wait for a place.

#include "LibRelay/RelayedRequest.h"
#include "LibRelay/WaitingRequests.h"

#include <catch2/catch.hpp>

TEST_CASE("the queue takes no more requests and no more bytes than it may")
{
    // Guards against a process that runs out of memory while no engine takes anything.
    Http::EventLoop loop;
    Placement::QueueSettings settings;
    settings.m_maximumRequests = 2;
    settings.m_maximumBytes = 100;
    Relay::WaitingRequests queue(
        loop, [](const std::string &) { return Placement::QueueForecast{}; }, settings);
    const std::optional<std::uint64_t> first = queue.enqueue("models", Placement::QueuedRequest{}, 60, {});
    REQUIRE(first);
    CHECK_FALSE(queue.enqueue("models", Placement::QueuedRequest{}, 60, {}));
    CHECK(queue.enqueue("models", Placement::QueuedRequest{}, 40, {}));
    CHECK_FALSE(queue.enqueue("models", Placement::QueuedRequest{}, 0, {}));
    queue.remove(*first);
    queue.remove(*first);
    CHECK(queue.enqueue("models", Placement::QueuedRequest{}, 60, {}));
    CHECK_FALSE(queue.isEmpty("models"));
    CHECK(queue.isEmpty("others"));
}

TEST_CASE("a burst of reports is acted upon once")
{
    // Guards against a process that does nothing but look at its queue again while hundreds of engines report.
    constexpr std::size_t reports = 300;
    Http::EventLoop loop;
    std::size_t looks = 0;
    Relay::WaitingRequests queue(
        loop,
        [&looks](const std::string &) {
            ++looks;
            return Placement::QueueForecast{};
        },
        Placement::QueueSettings{});
    REQUIRE(queue.enqueue("models", Placement::QueuedRequest{}, 0, {}));
    const Core::Instant begun = Core::Clock::now();
    for (std::size_t report = 0; report < reports; ++report) {
        queue.onSlotsChanged();
    }
    const std::int64_t spans = (Core::Clock::now() - begun) / Core::Duration(10);
    CHECK(looks >= 1);
    CHECK(looks <= static_cast<std::size_t>(spans) + 1);
}
