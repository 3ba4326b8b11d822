/// @file Cluster in one process for the tests of the entry: the log stand-in, entries, and fake agents whose behavior a test sets.
#pragma once

#include "LibControl/Records.h"
#include "LibEndpoint/AnswerFramer.h"
#include "LibEndpoint/AttemptTracker.h"
#include "LibEntry/Entry.h"
#include "LibNetwork/Listener.h"
#include "LibStandIn/HttpServer.h"
#include "LibStandInLog/LogService.h"
#include "LibWire/Pack.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/StreamCopier.h>
#include <catch2/catch.hpp>
#include <future>

namespace EntryTest {

inline const std::string Digest(64, '7');
inline const std::string OtherDigest(64, '6');
inline constexpr const char *ModelService = "drafting-models";
inline constexpr const char *PlainService = "client-portal";

/// Waits for a condition without a time limit; ctest's timeout ends a test that hangs.
template <typename Condition>
void waitUntil(Condition condition)
{
    while (!condition()) {
        std::this_thread::sleep_for(Core::Duration(5));
    }
}

struct HttpReply
{
    int m_status = 0;
    std::string m_body;
    std::string m_retryAfter;
    bool m_keepsConnection = false; ///< The entry accepts further requests on the connection.

    bool isComplete() const
    {
        return m_body.find("{\"end\":true") != std::string::npos;
    }

    std::string code() const
    {
        const Poco::JSON::Object::Ptr object = Poco::JSON::Parser().parse(m_body).extract<Poco::JSON::Object::Ptr>();
        return object->getObject("error")->getValue<std::string>("code");
    }
};

using Headers = std::map<std::string, std::string>;

inline HttpReply send(const Core::Address &address, const std::string &method, const std::string &path, const std::string &body, const Headers &headers = {})
{
    Poco::Net::HTTPClientSession session(address.m_host, address.m_port);
    session.setKeepAlive(true);
    Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    for (const std::pair<const std::string, std::string> &header : headers) {
        request.set(header.first, header.second);
    }
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    HttpReply reply;
    reply.m_status = response.getStatus();
    reply.m_retryAfter = response.get("Retry-After", "");
    reply.m_keepsConnection = response.getKeepAlive();
    Poco::StreamCopier::copyToString(stream, reply.m_body);
    return reply;
}

/// An agent whose answers a test sets. Keyed calls are admitted by the real attempt tracker.
class FakeAgent
{
public:
    using Behavior = std::function<void(FakeAgent &agent, const Protocol::LiveRequest &request, const Wire::Responder &responder)>;

    FakeAgent(const std::string &id, const std::string &service)
        : m_node(settings(m_address), m_metrics)
        , m_attemptTracker(id + "-life", Endpoint::AttemptTrackerLimits())
    {
        m_report.m_member.m_id = id;
        m_report.m_member.m_incarnation = id + "-life";
        m_report.m_member.m_role = Protocol::Role::Agent;
        m_report.m_member.m_service = service;
        m_report.m_member.m_wire = m_address;
        m_report.m_endpointHealthy = true;
        m_report.m_load.m_capacity = 8;
        if (service == ModelService) {
            m_report.m_attestations.push_back(Protocol::Attestation{Digest, 1});
        }
        m_behavior = [](FakeAgent &agent, const Protocol::LiveRequest &request, const Wire::Responder &responder) { agent.answer(request, responder); };
        m_node.handle("control.watch", [this](const Wire::IncomingCall &call) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_watchers.push_back(call.m_responder);
        });
        m_node.handle("live.call", [this](const Wire::IncomingCall &call) { onCall(call); });
        m_node.handle("live.outcome", [this](const Wire::IncomingCall &call) { onOutcome(call); });
        REQUIRE(m_node.start());
        m_thread = std::thread([this] { reportLoop(); });
    }

    ~FakeAgent()
    {
        m_stopping = true;
        m_thread.join();
        m_node.stop();
    }

    /// Changes what the agent reports.
    void changeReport(const std::function<void(Protocol::AgentReport &report)> &change)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        change(m_report);
    }

    void setBehavior(Behavior behavior)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_behavior = std::move(behavior);
    }

    void setOutcomeReachable(bool reachable)
    {
        m_outcomeReachable = reachable;
    }

    /// Returns the frames of a complete answer.
    static std::vector<Protocol::AnswerFrame> frames(const Protocol::LiveRequest &request)
    {
        Endpoint::AnswerFramer framer(request.m_attempt, request.m_digest, 200);
        std::vector<Protocol::AnswerFrame> frames;
        for (const char *token : {"red ", "linen ", "frames"}) {
            frames.push_back(framer.dataFrame(token, Protocol::EndpointLoad()));
        }
        frames.push_back(framer.endFrame(Protocol::EndpointLoad()));
        return frames;
    }

    /// Runs the request and sends the complete answer.
    void answer(const Protocol::LiveRequest &request, const Wire::Responder &responder)
    {
        run(request);
        for (const Protocol::AnswerFrame &frame : frames(request)) {
            responder.send(Wire::pack(frame));
        }
        responder.finish();
    }

    /// Runs the request without sending an answer.
    void run(const Protocol::LiveRequest &request)
    {
        m_executions += 1;
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_attemptTracker.tryBegin(request.m_attempt);
        m_attemptTracker.recordAnswer(request.m_attempt, 200, "red linen frames");
    }

    /// Runs the request and records its outcome as lost.
    void runAndLoseOutcome(const Protocol::LiveRequest &request)
    {
        m_executions += 1;
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_attemptTracker.tryBegin(request.m_attempt);
        m_attemptTracker.recordLostAnswer(request.m_attempt);
    }

    /// Number of requests that were run.
    int executions() const
    {
        return m_executions;
    }

    /// Number of calls received, including those that were not admitted.
    int calls() const
    {
        return m_calls;
    }

    Protocol::Member member() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_report.m_member;
    }

private:
    static Wire::NodeSettings settings(const Core::Address &address)
    {
        Wire::NodeSettings settings;
        settings.m_listen = address;
        return settings;
    }

    void onCall(const Wire::IncomingCall &call)
    {
        const Protocol::LiveRequest request = Wire::unpack<Protocol::LiveRequest>(call.m_body, call.m_peer).value();
        m_calls += 1;
        Behavior behavior;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            behavior = m_behavior;
            const Endpoint::AttemptTag tag{request.m_attempt, request.m_key, request.m_agentIncarnation, request.m_agentReport};
            const Endpoint::Admission admission = m_attemptTracker.admit(tag);
            if (!request.m_repeatable && admission != Endpoint::Admission::Admitted) {
                call.m_responder.fail(Core::makeError(Core::ErrorCode::Cancelled, "admit attempt", "", "not admitted"));
                return;
            }
        }
        behavior(*this, request, call.m_responder);
    }

    void onOutcome(const Wire::IncomingCall &call)
    {
        if (!m_outcomeReachable) {
            call.m_responder.fail(Core::makeError(Core::ErrorCode::Unavailable, "ask outcome", "", "unreachable"));
            return;
        }
        const Protocol::OutcomeRequest request = Wire::unpack<Protocol::OutcomeRequest>(call.m_body, call.m_peer).value();
        const std::lock_guard<std::mutex> lock(m_mutex);
        const Endpoint::AttemptTag tag{request.m_attempt, request.m_key, request.m_agentIncarnation, request.m_agentReport};
        call.m_responder.reply(Wire::pack(m_attemptTracker.outcome(tag)));
    }

    void reportLoop()
    {
        while (!m_stopping) {
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_report.m_sequence += 1;
                for (const Wire::Responder &watcher : m_watchers) {
                    watcher.send(Wire::pack(m_report));
                }
            }
            std::this_thread::sleep_for(Core::Duration(20));
        }
    }

    Telemetry::Metrics m_metrics;
    const Core::Address m_address = Network::freeLoopbackAddress();
    Wire::Node m_node;
    mutable std::mutex m_mutex;
    Endpoint::AttemptTracker m_attemptTracker;
    Protocol::AgentReport m_report;
    std::vector<Wire::Responder> m_watchers;
    Behavior m_behavior;
    std::atomic<bool> m_outcomeReachable = true;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_executions = 0;
    std::atomic<int> m_calls = 0;
    std::thread m_thread;
};

/// The platform's log and instance list, over HTTP.
class FakePlatform
{
public:
    FakePlatform()
        : m_service(settings(m_address))
        , m_server(64)
    {
        REQUIRE(m_server.listen(
            m_address, [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) { m_service.handle(request, response); }));
    }

    ~FakePlatform()
    {
        m_service.stop();
        m_server.stop();
    }

    const Core::Address &address() const
    {
        return m_address;
    }

    void registerAgent(const Protocol::Member &member)
    {
        const std::string body = R"({"address":")" + member.m_wire.toString() + R"(","role":"agent","service":")" + member.m_service
            + R"(","region":"r","failure_domain":"f","state":"live"})";
        REQUIRE(send(m_address, "PUT", "/instances/" + member.m_id, body).m_status == 204);
    }

    void setFaults(const std::string &json)
    {
        REQUIRE(send(m_address, "POST", "/faults", json).m_status < 300);
    }

    /// Publishes a template (settings of a service's client accounts) that assigns the version with this digest to the account "sao-mai".
    void publishTemplate(Control::Offset basedOn = 0, const std::string &digest = Digest)
    {
        Control::PublishTemplate change;
        change.m_basedOn = basedOn;
        change.m_template.m_name = "season";
        change.m_template.m_service = ModelService;
        Control::AccountParameters account;
        account.m_account = "sao-mai";
        account.m_model = "trend";
        account.m_version = digest.substr(digest.size() - 1);
        account.m_digest = digest;
        account.m_replicas = 2;
        change.m_template.m_accounts.push_back(account);
        Platform::HttpLog log(Network::NetworkSettings(), m_address);
        REQUIRE(log.append(Control::ControlStream, Control::encodeRecord(Control::Record{Core::randomIdentifier(), "operator", change})));
    }

private:
    static StandIn::LogServiceSettings settings(const Core::Address &address)
    {
        StandIn::LogServiceSettings settings;
        settings.m_listen = address;
        settings.m_listLag = Core::Duration(0);
        return settings;
    }

    const Core::Address m_address = Network::freeLoopbackAddress();
    StandIn::LogService m_service;
    StandIn::HttpServer m_server;
};

/// An entry with addresses of its own, and requests to it.
class TestEntry
{
public:
    TestEntry(const std::string &id,
              const FakePlatform &platform,
              const std::vector<Core::Address> &seeds,
              const std::function<void(Entry::EntrySettings &)> &adjust = {})
    {
        Protocol::Member &member = m_settings.m_instance.m_member;
        member.m_id = id;
        member.m_incarnation = Core::randomIdentifier();
        member.m_wire = Network::freeLoopbackAddress();
        member.m_admin = Network::freeLoopbackAddress();
        member.m_callers = Network::freeLoopbackAddress();
        m_settings.m_log = platform.address();
        m_settings.m_instances = platform.address();
        m_settings.m_entries = seeds;
        m_settings.m_addressLifetime = Core::Duration(300);
        if (adjust) {
            adjust(m_settings);
        }
        m_entry = std::make_unique<Entry::Entry>(m_settings);
        REQUIRE(m_entry->start());
    }

    Entry::Entry &entry()
    {
        return *m_entry;
    }

    const Protocol::Member &member() const
    {
        return m_settings.m_instance.m_member;
    }

    HttpReply generate(const Headers &headers = {}) const
    {
        return send(member().m_callers, "POST", "/v1/generate", R"({"account":"sao-mai","template":"season","prompt":"moodboard","max_tokens":8})", headers);
    }

    HttpReply call(Headers headers = {}) const
    {
        headers["Oriolerail-Account"] = "sao-mai";
        return send(member().m_callers, "POST", std::string("/v1/call/") + PlainService + "/crew/confirm", "{}", headers);
    }

    HttpReply keyedCall(const std::string &key, const Headers &headers = {}) const
    {
        Headers all = headers;
        all["Idempotency-Key"] = key;
        return call(all);
    }

    std::string addresses() const
    {
        return send(member().m_callers, "GET", "/v1/addresses", "").m_body;
    }

    /// Returns a new idempotency key. Waits until this entry returns the epoch that the key must contain.
    std::string newKey(const std::string &text) const
    {
        std::string epoch;
        waitUntil([this, &epoch] {
            const Poco::JSON::Object::Ptr answer = Poco::JSON::Parser().parse(addresses()).extract<Poco::JSON::Object::Ptr>();
            epoch = answer->getValue<std::string>("key_epoch");
            return !epoch.empty();
        });
        return epoch + "." + text;
    }

    /// True if the entry is ready and its dump lists exactly this many available endpoints.
    bool hasAvailableEndpoints(std::size_t available) const
    {
        const std::string dump = send(member().m_admin, "GET", "/dump", "").m_body;
        std::size_t count = 0;
        for (std::size_t at = dump.find("\"available\":true"); at != std::string::npos; at = dump.find("\"available\":true", at + 1)) {
            count += 1;
        }
        return count == available && dump.find("\"ready\":true") != std::string::npos;
    }

private:
    Entry::EntrySettings m_settings;
    std::unique_ptr<Entry::Entry> m_entry;
};

}
