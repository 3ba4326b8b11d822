/// @file A relay with scripted endpoints, for tests of how the relay treats their answers.
#pragma once

#include "LibHttp/Listener.h"
#include "LibRelay/Relay.h"
#include "LoopbackPeer.h"

#include <catch2/catch.hpp>
#include <unistd.h>

namespace TestSupport {

/// Header field names of these tests.
inline Relay::Dialect testDialect()
{
    Relay::Dialect dialect;
    dialect.m_readRequest = [](const Http::HeaderFields &fields) {
        Relay::RequestFacts facts;
        const std::string *attempt = Http::findField(fields, "Attempt");
        const std::string *key = Http::findField(fields, "Key");
        const std::string *timeout = Http::findField(fields, "Patience");
        const std::string *model = Http::findField(fields, "Model");
        facts.m_attemptId = attempt ? *attempt : "";
        facts.m_key = key ? *key : "";
        facts.m_model = model ? *model : "";
        std::string parts = Http::fieldText(fields, "Parts");
        for (std::size_t comma = parts.find(','); comma != std::string::npos; comma = parts.find(',')) {
            facts.m_promptParts.push_back(parts.substr(0, comma));
            parts.erase(0, comma + 1);
        }
        facts.m_ownPart = parts;
        if (timeout) {
            facts.m_timeout = Core::Duration(static_cast<std::int64_t>(*Http::parseNumber(*timeout)));
        }
        return facts;
    };
    dialect.m_attemptFields = [](const Http::HeaderFields &fields, const Relay::AttemptFacts &attempt) {
        Http::HeaderFields result = fields;
        result.push_back({"Endpoint", attempt.m_endpointId});
        result.push_back({"Account", attempt.m_account});
        if (attempt.m_priority) {
            result.push_back({"Priority", std::to_string(*attempt.m_priority)});
        }
        if (attempt.m_resumeAfter) {
            result.push_back({"After", std::to_string(*attempt.m_resumeAfter)});
        }
        return result;
    };
    dialect.m_readAnswer = [](const Http::HeaderFields &fields) {
        Relay::AnswerFacts facts;
        const std::string *attempt = Http::findField(fields, "Attempt");
        facts.m_attemptId = attempt ? *attempt : "";
        facts.m_isSealed = Http::findField(fields, "Seal") != nullptr;
        facts.m_didNotRun = Http::findField(fields, "Not-Run") != nullptr;
        facts.m_isLeaving = Http::findField(fields, "Leaving") != nullptr;
        const std::string *limit = Http::findField(fields, "Limit");
        facts.m_requestLimit = limit ? std::optional<double>(std::stod(*limit)) : std::nullopt;
        return facts;
    };
    return dialect;
}

inline Fleet::Route route(const std::string &prefix, Fleet::RequestKind kind)
{
    Fleet::Route made;
    made.m_name = prefix;
    made.m_host = "a";
    made.m_pathPrefix = prefix;
    made.m_kind = kind;
    made.m_services = {Fleet::ServiceShare{"desk", 1}};
    made.m_timeoutMilliseconds = 3000;
    made.m_maximumAttempts = 2;
    return made;
}

inline constexpr const char *Good = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nContent-Length: 4\r\n\r\ndone";

/// Head of an event stream, and two events of it; the second one ends it.
inline constexpr const char *StreamHead = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
inline constexpr const char *FirstEvent = "12\r\nid: 1\ndata: text\n\n\r\n";
inline constexpr const char *LastEvent = "12\r\nid: 2\ndata: text\n\n\r\n0\r\n\r\n";

inline constexpr const char *RequestOfModel = "GET /read/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\nModel: m\r\nPatience: 3000\r\n\r\n";

inline constexpr Core::Duration RetryHistory{60000}; ///< Time for which a fixture's process counts as running already.

/// A relay with scripted endpoints.
struct RelayFixture
{
    Http::EventLoop m_loop;
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log{STDOUT_FILENO, "test", m_metrics, Telemetry::EventLogLimits{0, 0, 0}};
    Core::Random m_random{5};
    Fleet::FleetState m_fleetState;
    Placement::EndpointTracker m_endpointTracker;
    Placement::RetryBudgets m_retryBudgets{"self", Placement::RetryBudgetSettings{}, Core::Clock::now() - RetryHistory};
    Placement::VersionDeadlines m_versionDeadlines{Core::Duration(6500)};
    Placement::ElapsedTimeEstimator m_elapsedTimeEstimator;
    Placement::SlotTracker m_slotTracker;
    Placement::RequestLimits m_requestLimits{Placement::LimitHolder{"self", ""}};
    Placement::ColdBudget m_coldBudget{Placement::LimitHolder{"self", ""}, {}, Core::Instant()};
    Quarantine::PartQuarantine m_quarantine;
    std::vector<std::unique_ptr<ScriptedServer>> m_servers;
    std::vector<std::string> m_requests; ///< Requests as the endpoints received them.
    std::shared_ptr<Http::ServerContext> m_context = std::make_shared<Http::ServerContext>();
    std::unique_ptr<Relay::Relay> m_relay;
    std::unique_ptr<Http::Listener> m_listener;

    RelayFixture()
    {
        m_retryBudgets.setSharers(Placement::RetrySharers{"self", {}, 0, true});
        Relay::RelayParts parts{m_loop,
                                m_fleetState,
                                m_endpointTracker,
                                m_retryBudgets,
                                m_versionDeadlines,
                                m_elapsedTimeEstimator,
                                m_slotTracker,
                                m_requestLimits,
                                m_coldBudget,
                                m_quarantine,
                                m_metrics,
                                m_log,
                                m_random};
        m_relay = std::make_unique<Relay::Relay>(parts, Relay::RelaySettings{}, testDialect());
        m_context->m_onRequest = [this](const std::shared_ptr<Http::ServerConnection> &connection, Http::ServerRequest request) {
            m_relay->handle(connection, std::move(request));
        };
        m_listener = std::make_unique<Http::Listener>(m_loop, Core::Address{"127.0.0.1", 0}, m_context, 16);
        REQUIRE(m_listener->start());
    }

    void exhaustRetryBudget()
    {
        const Core::Instant now = Core::Clock::now();
        for (;;) {
            const Placement::RetryGrant grant = m_retryBudgets.tryReserve("desk", false, 1, now);
            if (grant == Placement::RetryGrant::None) {
                return;
            }
            m_retryBudgets.spend("desk", grant, now);
        }
    }

    void configure()
    {
        Fleet::Declarations declarations;
        declarations.m_end = 1;
        declarations.m_configuration = Fleet::Configuration{};
        Fleet::Route stream = route("/stream/", Fleet::RequestKind::Stream);
        stream.m_isResumable = true;
        stream.m_priority = 1;
        declarations.m_configuration->m_routes = {route("/read/", Fleet::RequestKind::Idempotent), route("/book/", Fleet::RequestKind::NonIdempotent), stream};
        declarations.m_configuration->m_services.resize(1);
        declarations.m_configuration->m_services[0].m_name = "desk";
        declarations.m_configuration->m_accounts = {Fleet::ClientAccount{"buyer", {"k"}, std::nullopt}};
        m_fleetState.apply(declarations);
    }

    /// Sets a configuration like configure(), but with a service of engines. None of them has weights yet.
    void configureEngines()
    {
        configure();
        Fleet::Declarations declarations;
        declarations.m_end = 2;
        declarations.m_configurationOffset = 1;
        declarations.m_configuration = m_fleetState.configuration()->configuration();
        declarations.m_configuration->m_version = 1;
        Fleet::EngineModel &engine = declarations.m_configuration->m_services[0].m_engine;
        engine.m_slots = 4;
        engine.m_stepMilliseconds = 5;
        engine.m_promptTokensPerSecond = 20000;
        engine.m_usualPromptTokens = 400;
        engine.m_usualAnswerTokens = 100;
        engine.m_layers = 1;
        engine.m_models = {"m"};
        m_fleetState.apply(declarations);
    }

    /// Sends a request for the model and returns once it waits for a slot.
    void letWait(RawCaller &caller)
    {
        caller.send(RequestOfModel);
        REQUIRE(runUntil(m_loop, [this] { return m_relay->waitingRequests() == 1; }));
    }

    /// Records a report for each endpoint that it has the weights and is idle.
    void reportWeights()
    {
        const Core::Instant now = Core::Clock::now();
        Fleet::LoadedWeights loaded;
        loaded.m_model = "m";
        loaded.m_version = 1;
        for (const std::pair<const std::string, Fleet::KnownEndpoint> &entry : m_fleetState.endpoints()) {
            m_endpointTracker.recordEngineReport(entry.second.m_endpoint, Placement::EngineReport{0, 0, 1, false, {loaded}}, now);
            m_slotTracker.recordReport(entry.first, Placement::ReportedSlots{4, 4, 4}, now);
        }
    }

    void addEndpoint(const ScriptedServer::Script &script)
    {
        m_servers.push_back(std::make_unique<ScriptedServer>(m_loop, [this, script](const std::shared_ptr<ScriptedConnection> &connection) {
            m_requests.push_back(connection->request());
            script(connection);
        }));
        addAddress(Core::Address{"127.0.0.1", m_servers.back()->port()});
    }

    void addAddress(const Core::Address &address)
    {
        Fleet::Endpoint endpoint;
        endpoint.m_id = "e" + std::to_string(m_fleetState.endpoints().size());
        endpoint.m_address = address;
        endpoint.m_service = "desk";
        endpoint.m_slots = 6;
        const Fleet::Offset offset = m_fleetState.endpointsEnd() + 1;
        m_fleetState.apply(
            Fleet::EndpointChanges{offset + 1, false, {Fleet::EndpointChange{endpoint.m_id, offset, endpoint}}}, std::nullopt, Core::Clock::now());
    }

    /// Sends a request and returns what was received until @p isDone returns true or the connection closes.
    std::string ask(const std::string &path, const std::function<bool(const std::string &received)> &isDone, const std::string &fields = "Key: k\r\n")
    {
        RawCaller caller(m_loop, m_listener->port());
        caller.send("GET " + path + " HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\n" + fields + "\r\n");
        REQUIRE(runUntil(m_loop, [&caller, &isDone] { return caller.isClosed() || isDone(caller.received()); }));
        return caller.received();
    }

    std::string statusOf(const std::string &path, const std::string &fields = "Key: k\r\n")
    {
        return ask(
                   path, [](const std::string &received) { return received.find("\r\n\r\n") != std::string::npos; }, fields)
            .substr(9, 3);
    }
};

inline ScriptedServer::Script answering(const std::string &answer)
{
    return [answer](const std::shared_ptr<ScriptedConnection> &connection) { connection->send(answer); };
}

}
