/// @file Tests that the relay keeps requests from engines if engines end under a part of their prompts, and learns from its own requests which parts these are.

#include "../Support/RelayFixture.h"

using Quarantine::PromptPart;
using TestSupport::answering;
using TestSupport::RawCaller;
using TestSupport::RelayFixture;
using TestSupport::runUntil;
using TestSupport::ScriptedConnection;
using TestSupport::StreamHead;

namespace {

constexpr const char *FirstEvent = "f\r\nid: 1\ndata: a\n\n\r\n";
constexpr const char *SecondEvent = "f\r\nid: 2\ndata: b\n\n\r\n";
constexpr const char *LastChunk = "0\r\n\r\n";
constexpr const char *BadRequest = "GET /stream/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\nParts: a11,bad,own\r\n\r\n";
constexpr const char *PromptFields = "Key: k\r\nParts: a11,bad,own\r\n";

const std::vector<PromptPart> Bad{PromptPart{"desk", "bad"}};

/// Answers with one event and then ends like an engine that crashes.
void crash(const std::shared_ptr<ScriptedConnection> &connection)
{
    connection->send(std::string(StreamHead) + FirstEvent);
    connection->reset();
}

Quarantine::RunFacts run(const std::vector<PromptPart> &parts, Quarantine::Incarnation incarnation, Core::Duration writing)
{
    Quarantine::RunFacts facts;
    facts.m_parts = parts;
    facts.m_request = incarnation;
    facts.m_incarnation = incarnation;
    facts.m_writing = writing;
    facts.m_isEndStated = true;
    return facts;
}

/// Records crashes of @p count engines under the part "bad" for two accounts, the last one @p age ago.
void recordCrashes(RelayFixture &fixture, std::size_t count, Core::Duration age)
{
    const Core::Instant now = Core::Clock::now();
    for (std::size_t index = 0; index < count; ++index) {
        const Core::Instant at = now - age - Core::Duration(1000) * static_cast<std::int64_t>(count - 1 - index);
        Quarantine::RunFacts facts = run(Bad, 100 + index, Core::Duration(50));
        facts.m_account = 1 + index % 2;
        fixture.m_quarantine.recordCrash(facts, at);
    }
    for (int answers = 0; answers < 30; ++answers) {
        fixture.m_quarantine.recordCompletion(run({PromptPart{"desk", "07e4"}}, 1, Core::Duration(400)), now);
    }
    fixture.m_quarantine.update(now);
}

void configure(RelayFixture &fixture, std::size_t endpoints, const TestSupport::ScriptedServer::Script &script)
{
    fixture.configureEngines();
    for (std::size_t index = 0; index < endpoints; ++index) {
        fixture.addEndpoint(script);
    }
    fixture.reportWeights();
}

bool hasHead(const std::string &received)
{
    return received.find("\r\n\r\n") != std::string::npos;
}

}

TEST_CASE("A request with a part under which engines end is refused at once and reaches none")
{
    RelayFixture fixture;
    configure(fixture, 2, answering(TestSupport::Good));
    recordCrashes(fixture, 3, Core::Duration(2000));
    const std::string refusal = fixture.ask("/stream/x", hasHead, PromptFields);
    CHECK(refusal.substr(9, 3) == "503");
    CHECK(refusal.find("Retry-After: 60") != std::string::npos);
    CHECK(fixture.m_requests.empty());
    CHECK(fixture.statusOf("/stream/x", "Key: k\r\nParts: a11,own\r\n") == "200");
    CHECK(fixture.statusOf("/stream/x", "Key: k\r\nParts: a11,bad\r\n") == "200"); // The last part belongs to the request itself.
}

TEST_CASE("A request with a suspect part waits, and is sent once the part is acquitted")
{
    RelayFixture fixture;
    configure(fixture, 1, answering(TestSupport::Good));
    recordCrashes(fixture, 1, Core::Duration(0));
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    caller.send(BadRequest);
    CHECK_FALSE(runUntil(
        fixture.m_loop, [&fixture] { return !fixture.m_requests.empty(); }, std::chrono::milliseconds(300)));
    fixture.m_quarantine.recordCompletion(run(Bad, 7, Core::Duration(500)), Core::Clock::now());
    CHECK(runUntil(fixture.m_loop, [&fixture] { return !fixture.m_requests.empty(); }));
}

TEST_CASE("A request that waits for a suspect part is refused without a run once the part is blamed")
{
    RelayFixture fixture;
    configure(fixture, 1, answering(TestSupport::Good));
    recordCrashes(fixture, 1, Core::Duration(0));
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    caller.send(BadRequest);
    CHECK_FALSE(runUntil(
        fixture.m_loop, [&caller] { return hasHead(caller.received()); }, std::chrono::milliseconds(200)));
    recordCrashes(fixture, 4, Core::Duration(1000));
    CHECK(runUntil(fixture.m_loop, [&caller] { return caller.received().find("503") != std::string::npos; }));
    CHECK(fixture.m_requests.empty());
}

TEST_CASE("An engine that ends during an answer makes the parts of the prompt suspect, but not the last one")
{
    RelayFixture fixture;
    configure(fixture, 1, crash);
    fixture.ask(
        "/stream/x", [&fixture](const std::string &) { return fixture.m_quarantine.suspectCount() > 0; }, PromptFields);
    CHECK(fixture.m_quarantine.suspectCount() == 2);
}

TEST_CASE("An engine that is silent or refuses is no sign that a part ends engines")
{
    RelayFixture fixture;
    configure(fixture, 1, answering("HTTP/1.1 503 Full\r\nAttempt: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"));
    fixture.statusOf("/stream/x", PromptFields);
    CHECK(fixture.m_quarantine.suspectCount() == 0);
}

TEST_CASE("A request under which two engines have ended is not sent to a third, unless its parts are acquitted, and never to a fourth")
{
    const bool isAcquitted = GENERATE(false, true);
    RelayFixture fixture;
    configure(fixture, 4, [&fixture](const std::shared_ptr<ScriptedConnection> &connection) {
        const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(fixture.m_loop, Core::Duration(30));
        timer->async_wait([timer, connection](const boost::system::error_code &) { crash(connection); });
    });
    Fleet::Declarations declarations;
    declarations.m_end = 3;
    declarations.m_configurationOffset = 2;
    declarations.m_configuration = fixture.m_fleetState.configuration()->configuration();
    declarations.m_configuration->m_version = 2;
    for (Fleet::Route &route : declarations.m_configuration->m_routes) {
        route.m_maximumAttempts = 4;
        route.m_timeoutMilliseconds = 6000;
    }
    fixture.m_fleetState.apply(declarations);
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    caller.send(BadRequest);
    const std::vector<PromptPart> parts{PromptPart{"desk", "a11"}, PromptPart{"desk", "bad"}};
    runUntil(fixture.m_loop, [&] {
        if (isAcquitted) {
            fixture.m_quarantine.recordCompletion(run(parts, 7, Core::Duration(500)), Core::Clock::now());
        }
        return caller.isClosed();
    });
    CHECK(caller.isClosed());
    CHECK(fixture.m_requests.size() == (isAcquitted ? 3 : 2));
}

TEST_CASE("A completed stream acquits the parts of its prompt")
{
    RelayFixture fixture;
    configure(fixture, 1, [&fixture](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send(std::string(StreamHead) + FirstEvent);
        const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(fixture.m_loop, Core::Duration(400));
        timer->async_wait([timer, connection](const boost::system::error_code &) { connection->send(std::string(SecondEvent) + LastChunk); });
    });
    fixture.ask(
        "/stream/x", [](const std::string &received) { return received.find(LastChunk) != std::string::npos; }, PromptFields);
    CHECK(fixture.m_quarantine.areAcquitted(Bad));
}
