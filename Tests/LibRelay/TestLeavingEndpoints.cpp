/// @file Tests that an endpoint which says in an answer that it is leaving gets no more requests of this entry.

#include "../Support/RelayFixture.h"

using TestSupport::Good;
using TestSupport::RelayFixture;
using TestSupport::runUntil;
using TestSupport::ScriptedConnection;

namespace {

constexpr std::size_t LaterRequests = 8; ///< Enough that one of two equal endpoints would be chosen again.

/// Sends a request to the only endpoint, which answers @p answer, and then several while there is another. Returns how many the first one got.
std::size_t requestsAfter(const std::string &answer, const std::string &path)
{
    RelayFixture fixture;
    fixture.configure();
    std::size_t requests = 0;
    fixture.addEndpoint([&requests, answer](const std::shared_ptr<ScriptedConnection> &connection) {
        ++requests;
        connection->send(answer);
        connection->close();
    });
    fixture.statusOf(path);
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_relay->openRequests() == 0; }));
    const std::size_t first = requests;
    REQUIRE(first > 0);
    for (std::size_t count = 0; count < LaterRequests; ++count) {
        fixture.statusOf(path);
    }
    return requests - first;
}

}

TEST_CASE("An endpoint that says in an answer that it is leaving gets no more requests")
{
    const std::string answer =
        GENERATE("HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 4\r\n\r\ndone",
                 "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n",
                 "HTTP/1.1 500 Broken\r\nAttempt: 1\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 503 Busy\r\nAttempt: 1\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
    const std::string path = GENERATE("/read/x", "/book/x", "/stream/x");
    CAPTURE(answer, path);
    CHECK(requestsAfter(answer, path) == 0);
}

TEST_CASE("An answer that belongs to another request or comes from another endpoint does not take an endpoint away")
{
    const std::string answer = GENERATE("HTTP/1.1 200 OK\r\nAttempt: 2\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 4\r\n\r\nevil",
                                        "HTTP/1.1 421 Misdirected\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
    CAPTURE(answer);
    CHECK(requestsAfter(answer, "/book/x") > 0);
}

TEST_CASE("A new start of an endpoint that was leaving gets requests, and the one that was leaving does not come back")
{
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint([](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send("HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 4\r\n\r\ndone");
    });
    CHECK(fixture.statusOf("/read/x") == "200");
    Fleet::Endpoint endpoint = fixture.m_fleetState.endpoints().begin()->second.m_endpoint;
    endpoint.m_isLeaving = false;
    const std::function<void()> expireAndRegister = [&fixture, &endpoint] {
        const Fleet::Offset offset = fixture.m_fleetState.endpointsEnd();
        fixture.m_fleetState.apply(
            Fleet::EndpointChanges{offset + 1, false, {Fleet::EndpointChange{endpoint.m_id, offset, std::nullopt}}}, std::nullopt, Core::Clock::now());
        fixture.m_fleetState.apply(
            Fleet::EndpointChanges{offset + 2, false, {Fleet::EndpointChange{endpoint.m_id, offset + 1, endpoint}}}, std::nullopt, Core::Clock::now());
    };
    expireAndRegister();
    CHECK(fixture.statusOf("/read/x") == "503");
    endpoint.m_startedMilliseconds += 1;
    expireAndRegister();
    CHECK(fixture.statusOf("/read/x") == "200");
}
