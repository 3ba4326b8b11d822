/// @file Tests that an endpoint which asks for a time without requests gets none until its end.

#include "../Support/RelayFixture.h"

using TestSupport::Good;
using TestSupport::RawCaller;
using TestSupport::RelayFixture;
using TestSupport::RequestOfModel;
using TestSupport::runUntil;
using TestSupport::ScriptedConnection;
using TestSupport::ScriptedServer;

namespace {

/// Requests that an endpoint has received, and what it asked for.
struct Arrivals
{
    std::size_t m_total = 0;
    std::size_t m_withinBackoff = 0; ///< Received before the time that the endpoint had asked for was over.
    std::optional<Core::Instant> m_backoffEnd;
};

std::string refusal(const std::string &retryAfter)
{
    return "HTTP/1.1 503 Busy\r\nAttempt: 1\r\nNot-Run: 1\r\nRetry-After: " + retryAfter + "\r\nContent-Length: 0\r\n\r\n";
}

/// Refuses the first request with that Retry-After and answers the others. @p backoff: the time that it stands for.
ScriptedServer::Script refusingOnce(Arrivals &arrivals, const std::string &retryAfter, Core::Duration backoff)
{
    return [&arrivals, retryAfter, backoff](const std::shared_ptr<ScriptedConnection> &connection) {
        const Core::Instant now = Core::Clock::now();
        arrivals.m_withinBackoff += arrivals.m_backoffEnd && now < *arrivals.m_backoffEnd ? 1 : 0;
        if (arrivals.m_total++ == 0) {
            arrivals.m_backoffEnd = now + backoff;
            connection->send(refusal(retryAfter));
        } else {
            connection->send(Good);
        }
    };
}

/// Returns the value of the Retry-After field in milliseconds; 0 if there is none.
double retryAfterMilliseconds(const std::string &answer)
{
    const std::string name = "Retry-After: ";
    const std::size_t at = answer.find(name);
    return at == std::string::npos ? 0 : std::stod(answer.substr(at + name.size())) * 1000;
}

std::size_t countAnswers(const std::string &received, const std::string &status)
{
    const std::string line = "HTTP/1.1 " + status + " ";
    std::size_t count = 0;
    for (std::size_t at = received.find(line); at != std::string::npos; at = received.find(line, at + 1)) {
        ++count;
    }
    return count;
}

bool isHeadComplete(const std::string &received)
{
    return received.find("\r\n\r\n") != std::string::npos;
}

}

TEST_CASE("An engine that asks for a time without requests gets none until its end, and requests again after it")
{
    RelayFixture fixture;
    fixture.configureEngines();
    Arrivals arrivals;
    fixture.addEndpoint(refusingOnce(arrivals, "0.8", Core::Duration(800)));
    fixture.addEndpoint([](const std::shared_ptr<ScriptedConnection> &connection) { connection->send(Good); });
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    std::size_t requests = 0;
    const std::function<bool()> askOnceMore = [&] {
        fixture.reportWeights();
        const std::size_t received = caller.received().size();
        caller.send(RequestOfModel);
        ++requests;
        REQUIRE(runUntil(fixture.m_loop, [&] { return caller.received().size() > received && fixture.m_relay->openRequests() == 0; }));
        return arrivals.m_total > 2;
    };
    CHECK(runUntil(fixture.m_loop, askOnceMore));
    CHECK(countAnswers(caller.received(), "200") == requests);
    CHECK(arrivals.m_withinBackoff == 0);
}

TEST_CASE("An endpoint that asks for a time without requests gets none even if there is no other")
{
    RelayFixture fixture;
    fixture.configure();
    Arrivals arrivals;
    fixture.addEndpoint(refusingOnce(arrivals, "0.8", Core::Duration(800)));
    const std::string path = GENERATE("/read/x", "/book/x");
    fixture.statusOf(path);
    REQUIRE(arrivals.m_backoffEnd);
    while (arrivals.m_total == 1) {
        const Core::Instant askedAt = Core::Clock::now();
        const std::string answer = fixture.ask(path, isHeadComplete);
        if (answer.substr(9, 3) == "503") {
            CHECK(askedAt + Core::Duration(static_cast<std::int64_t>(retryAfterMilliseconds(answer)) + 20) >= *arrivals.m_backoffEnd);
        }
        runUntil(
            fixture.m_loop, [] { return false; }, std::chrono::milliseconds(20));
    }
    CHECK(arrivals.m_withinBackoff == 0);
}

TEST_CASE("A request waits for the end of the time that all engines have asked for if it can still be answered in time")
{
    RelayFixture fixture;
    fixture.configureEngines();
    Arrivals arrivals;
    fixture.addEndpoint(refusingOnce(arrivals, "0.3", Core::Duration(300)));
    fixture.reportWeights();
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    caller.send(RequestOfModel);
    REQUIRE(runUntil(fixture.m_loop, [&] {
        fixture.reportWeights();
        fixture.m_relay->onSlotsChanged();
        return isHeadComplete(caller.received());
    }));
    CHECK(caller.received().substr(9, 3) == "200");
    CHECK(arrivals.m_total == 2);
    CHECK(arrivals.m_withinBackoff == 0);
}

TEST_CASE("A request is refused at once with a true Retry-After if all engines have asked for a time that is longer than it has")
{
    RelayFixture fixture;
    fixture.configureEngines();
    Arrivals arrivals;
    fixture.addEndpoint(refusingOnce(arrivals, "20", Core::Duration(20000)));
    fixture.reportWeights();
    for (int count = 0; count < 2; ++count) {
        fixture.reportWeights();
        RawCaller caller(fixture.m_loop, fixture.m_listener->port());
        const Core::Instant sentAt = Core::Clock::now();
        caller.send(RequestOfModel);
        REQUIRE(runUntil(fixture.m_loop, [&] { return isHeadComplete(caller.received()); }));
        CHECK(caller.received().substr(9, 3) == "503");
        CHECK(retryAfterMilliseconds(caller.received()) + 1000 * Core::secondsBetween(sentAt, Core::Clock::now()) >= 15000);
    }
    CHECK(arrivals.m_total == 1);
}

TEST_CASE("A Retry-After that is no time in seconds neither ends the entry nor costs it the endpoint")
{
    const std::string value = GENERATE("", "Wed, 21 Oct 2015 07:28:00 GMT", "-1", "soon", "nan", "inf", "1e3", "0x10", "3 s", "0");
    CAPTURE(value);
    RelayFixture fixture;
    fixture.configure();
    Arrivals arrivals;
    fixture.addEndpoint(refusingOnce(arrivals, value, Core::Duration(0)));
    fixture.statusOf("/read/x");
    CHECK(runUntil(fixture.m_loop, [&] { return fixture.statusOf("/read/x") == "200"; }));
}
