/// @file Tests that a request under which engines end reaches no more than three of them, however often its caller sends it.

#include "../Support/RelayFixture.h"

using TestSupport::RawCaller;
using TestSupport::RelayFixture;
using TestSupport::runUntil;
using TestSupport::ScriptedConnection;

namespace {

constexpr std::size_t Endpoints = 40; ///< More than any case ends.
constexpr std::size_t Attempts = 12; ///< Of the caller whose request ends engines.
constexpr std::size_t AllowedEnds = 3;
constexpr Core::Duration CrashDelay{30}; ///< From the arrival of a request to the end of its endpoint.
constexpr const char *Event = "f\r\nid: 1\ndata: a\n\n\r\n";
constexpr const char *LastChunk = "0\r\n\r\n";

std::string requestText(const std::string &method, const std::string &path, std::size_t attempt, const std::string &fields, const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: a\r\nKey: k\r\nAttempt: " + std::to_string(attempt) + "\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns the head of a stream that answers the request.
std::string headFor(const std::string &request)
{
    const std::size_t begin = request.find("Attempt: ");
    return "HTTP/1.1 200 OK\r\n" + request.substr(begin, request.find("\r\n", begin) - begin) + "\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// A relay whose endpoints end under requests with a marked body, and are replaced by others.
struct Crashing
{
    RelayFixture m_fixture;
    std::size_t m_ended = 0;
    std::size_t m_attempts = 0;

    explicit Crashing(bool hasSlots)
    {
        if (hasSlots) {
            m_fixture.configureEngines();
        } else {
            m_fixture.configure();
        }
        for (std::size_t index = 0; index < Endpoints; ++index) {
            m_fixture.addEndpoint([this, index](const std::shared_ptr<ScriptedConnection> &connection) { serve(connection, "e" + std::to_string(index)); });
        }
        m_fixture.reportWeights();
    }

    void serve(const std::shared_ptr<ScriptedConnection> &connection, const std::string &endpoint)
    {
        const bool isCrashing = connection->request().find("crash") != std::string::npos;
        const bool isStream = connection->request().find("/stream/") != std::string::npos;
        if (!isCrashing) {
            connection->send(headFor(connection->request()) + Event + LastChunk);
            return;
        }
        if (isStream) {
            connection->send(headFor(connection->request()));
        }
        const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(m_fixture.m_loop, CrashDelay);
        timer->async_wait([this, timer, connection, endpoint](const boost::system::error_code &) {
            ++m_ended;
            connection->reset();
            const Fleet::Offset offset = m_fixture.m_fleetState.endpointsEnd() + 1;
            m_fixture.m_fleetState.apply(
                Fleet::EndpointChanges{offset + 1, false, {Fleet::EndpointChange{endpoint, offset, std::nullopt}}}, std::nullopt, Core::Clock::now());
        });
    }

    /// Sends a request with a new attempt id and returns the answer, as far as it arrived.
    std::string send(const std::string &method, const std::string &path, const std::string &fields, const std::string &body)
    {
        RawCaller caller(m_fixture.m_loop, m_fixture.m_listener->port());
        caller.send(requestText(method, path, ++m_attempts, fields, body));
        REQUIRE(runUntil(m_fixture.m_loop, [&caller] {
            const std::string &received = caller.received();
            const std::size_t headEnd = received.find("\r\n\r\n");
            const bool isStream = received.find("chunked") != std::string::npos;
            return caller.isClosed() || (headEnd != std::string::npos && (!isStream || received.find(LastChunk) != std::string::npos));
        }));
        return caller.received();
    }

    /// Sends the request under which endpoints end again and again, with a sound one of the same account, path and size of body after each attempt.
    void repeat(const std::string &method, const std::string &path, const std::string &fields, const std::string &soundFields)
    {
        for (std::size_t attempt = 0; attempt < Attempts; ++attempt) {
            send(method, path, fields, "crash");
            const std::string sound = send(method, path, soundFields, "fi" + std::to_string(100 + attempt));
            CHECK(sound.substr(9, 3) == "200");
        }
        CHECK(m_ended <= AllowedEnds);
        const std::string refusal = send(method, path, fields, "crash");
        CHECK(refusal.substr(9, 3) == "503");
        CHECK(refusal.find("Retry-After: ") != std::string::npos);
    }
};

/// Records that answers to prompts with the part are completed, so that it is not suspected.
void acquit(RelayFixture &fixture, const std::string &part)
{
    Quarantine::RunFacts facts;
    facts.m_parts = {Quarantine::PromptPart{"desk", part}};
    facts.m_writing = Core::Duration(500);
    facts.m_isEndStated = true;
    fixture.m_quarantine.recordCompletion(facts, Core::Clock::now());
}

/// A request under which endpoints end, and sound ones beside it.
struct Repeated
{
    const char *m_name;
    bool m_hasSlots;
    const char *m_path;
    const char *m_fields;
    const char *m_soundFields;
};

}

TEST_CASE("A request under which endpoints end reaches three of them in all attempts of its caller, and others are served")
{
    const Repeated repeated = GENERATE(values<Repeated>({
        {"a stream with proven parts", true, "/stream/x", "Parts: a11,bad\r\n", "Parts: a11,50d\r\n"},
        {"a stream whose prompt is all its own", true, "/stream/x", "Parts: bad\r\n", "Parts: 50d\r\n"},
        {"a stream of a session", true, "/stream/x", "Parts: a11,5e55\r\n", "Parts: a11,5e55\r\n"},
        {"a stream that its caller resumes", true, "/stream/x", "Parts: bad\r\nAfter: 1\r\n", "Parts: 50d\r\n"},
        {"a stream without parts", true, "/stream/x", "", ""},
        {"a repeatable call", false, "/read/x", "", ""},
        {"a call that runs at most once", false, "/book/x", "", ""},
    }));
    DYNAMIC_SECTION(repeated.m_name)
    {
        Crashing crashing(repeated.m_hasSlots);
        acquit(crashing.m_fixture, "a11");
        crashing.repeat("POST", repeated.m_path, repeated.m_fields, repeated.m_soundFields);
    }
}
