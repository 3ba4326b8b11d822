/// @file Fixture for tests of an agent: stand-in endpoint, origin, entry and client, all in the test's process.
#pragma once

#include "LibControl/StateFeed.h"
#include "LibCore/Random.h"
#include "LibEndpoint/Agent.h"
#include "LibNetwork/Listener.h"
#include "LibStandIn/Engine.h"
#include "LibStandIn/PlainService.h"
#include "LibWeights/Manifest.h"
#include "LibWire/Pack.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <future>

namespace AgentFixture {

constexpr Core::Duration WaitLimit{20000};
constexpr std::uint32_t ChunkBytes = 4 << 10;
constexpr const char *Service = "drafting-models";
constexpr const char *Instance = "hcm-a-m01";

/// Polls @p condition until it holds. Fails the test if it does not hold within WaitLimit.
inline void waitUntil(const std::string &what, const std::function<bool()> &condition)
{
    const Core::Instant deadline = Core::Clock::now() + WaitLimit;
    while (!condition()) {
        INFO("waiting for: " << what);
        REQUIRE(Core::Clock::now() < deadline);
        std::this_thread::sleep_for(Core::Duration(5));
    }
}

inline Poco::JSON::Object::Ptr request(const Core::Address &address, const std::string &method, const std::string &path, const std::string &body = "")
{
    Poco::Net::HTTPClientSession session(address.m_host, address.m_port);
    Poco::Net::HTTPRequest head(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
    head.setContentLength64(static_cast<Poco::Int64>(body.size()));
    session.sendRequest(head) << body;
    Poco::Net::HTTPResponse response;
    std::istream &stream = session.receiveResponse(response);
    return Poco::JSON::Parser().parse(stream).extract<Poco::JSON::Object::Ptr>();
}

/// A version of a model with pseudo-random content.
struct Version
{
    std::string m_name;
    std::string m_content;
    Weights::Manifest m_manifest;
    std::string m_encoded;
    std::string m_digest;
};

inline Version makeVersion(const std::string &name, std::size_t bytes)
{
    Version version;
    version.m_name = name;
    Core::Random random(Core::stableHash(name));
    for (std::size_t index = 0; index < bytes; ++index) {
        version.m_content += static_cast<char>(random.below(256));
    }
    version.m_manifest = Weights::buildManifest("draft", name, version.m_content, ChunkBytes).value();
    version.m_encoded = Weights::encodeManifest(version.m_manifest);
    version.m_digest = Weights::manifestDigest(version.m_encoded);
    return version;
}

/// Serves versions. Refuses ranges that reach m_withheldFrom or beyond, so that transfers stay partial.
class Origin
{
public:
    explicit Origin(std::vector<Version> versions)
        : m_versions(std::move(versions))
        , m_server(8)
    {
        REQUIRE(
            m_server.listen(m_address, [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) { answer(request, response); }));
    }

    const Core::Address m_address = Network::freeLoopbackAddress();
    std::atomic<std::size_t> m_withheldFrom = SIZE_MAX;

private:
    void answer(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        for (const Version &version : m_versions) {
            const std::string base = "/weights/draft/" + version.m_name;
            if (request.getURI() == base + "/manifest") {
                return StandIn::sendAnswer(response, 200, "application/octet-stream", version.m_encoded);
            }
            if (request.getURI() == base + "/data") {
                const std::string range = request.get("Range").substr(std::string("bytes=").size());
                const std::size_t first = std::stoull(range);
                const std::size_t last = std::stoull(range.substr(range.find('-') + 1));
                if (last >= m_withheldFrom) {
                    return StandIn::sendAnswer(response, 503, "text/plain", "withheld");
                }
                return StandIn::sendAnswer(response, 206, "application/octet-stream", version.m_content.substr(first, last - first + 1));
            }
        }
        StandIn::sendAnswer(response, 404, "text/plain", "unknown");
    }

    const std::vector<Version> m_versions;
    StandIn::HttpServer m_server;
};

/// An entry that feeds control state to the agent.
class Entry
{
public:
    Entry()
        : m_store(m_metrics)
        , m_node(settings(m_address), m_metrics)
        , m_feed(m_node, m_store, m_metrics)
    {
        Protocol::Member self;
        self.m_id = "entry-1";
        self.m_incarnation = "entry-life";
        self.m_wire = m_address;
        m_store.announce(self);
        m_feed.start();
        REQUIRE(m_node.start());
    }

    ~Entry()
    {
        m_node.stop();
        m_feed.stop();
    }

    /// Publishes a plan that places these versions on the instance. Returns its offset.
    Control::Offset publishPlan(const std::vector<Version> &versions)
    {
        Control::ControlState state = *m_store.current();
        state.m_position = ++state.m_applied;
        state.m_chain = "chain-" + std::to_string(state.m_applied);
        Control::Plan &plan = state.m_plans[Service];
        plan.m_service = Service;
        plan.m_offset = state.m_applied;
        plan.m_deployments.clear();
        for (const Version &version : versions) {
            Control::Deployment deployment;
            deployment.m_model = "draft";
            deployment.m_version = version.m_name;
            deployment.m_digest = version.m_digest;
            deployment.m_replicas = {Control::PlannedReplica{Instance, "hcm", "hcm-a", {}}};
            plan.m_deployments.push_back(deployment);
        }
        REQUIRE(m_store.applySnapshot(state) == Control::ApplyResult::Applied);
        return state.m_applied;
    }

    const Core::Address m_address = Network::freeLoopbackAddress();
    Telemetry::Metrics m_metrics;
    Control::StateStore m_store;
    Wire::Node m_node;

private:
    static Wire::NodeSettings settings(const Core::Address &listen)
    {
        Wire::NodeSettings node;
        node.m_listen = listen;
        return node;
    }

    Control::StateFeed m_feed;
};

/// A stand-in engine or service with its own HTTP server.
template <typename Endpoint>
class HostedEndpoint
{
public:
    template <typename EndpointSettings>
    explicit HostedEndpoint(EndpointSettings settings)
        : m_endpoint((settings.m_listen = m_address, settings))
        , m_server(64)
    {
        REQUIRE(m_server.listen(
            m_address, [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) { m_endpoint.handle(request, response); }));
    }

    ~HostedEndpoint()
    {
        m_endpoint.stop();
        m_server.stop();
    }

    void setFaults(const std::string &json)
    {
        request(m_address, "POST", "/faults", json);
    }

    const Core::Address m_address = Network::freeLoopbackAddress();

private:
    Endpoint m_endpoint;
    StandIn::HttpServer m_server;
};

/// Settings of an agent with short intervals.
inline Endpoint::AgentSettings agentSettings(
    const Core::Address &entry, const Core::Address &origin, const Core::Address &endpoint, Endpoint::EndpointKind kind, const std::string &incarnation)
{
    Endpoint::AgentSettings settings;
    Protocol::Member &self = settings.m_instance.m_member;
    self.m_id = Instance;
    self.m_incarnation = incarnation;
    self.m_role = Protocol::Role::Agent;
    self.m_service = Service;
    self.m_region = "hcm";
    self.m_failureDomain = "hcm-a";
    self.m_wire = Network::freeLoopbackAddress();
    self.m_admin = Network::freeLoopbackAddress();
    settings.m_entries = {entry};
    settings.m_origin = origin;
    settings.m_engine.m_address = endpoint;
    settings.m_engine.m_kind = kind;
    settings.m_engine.m_answerTimeout = Core::Duration(600'000); // Longer than any test, so that a slot is never freed by this timeout.
    settings.m_workers.m_statusInterval = Core::Duration(20);
    settings.m_workers.m_orderRetryDelay = Core::Duration(50);
    settings.m_workers.m_retirementGrace = Core::Duration(50);
    settings.m_workers.m_withdrawNotice = Core::Duration(20);
    settings.m_workers.m_leaveNotice = Core::Duration(50);
    settings.m_workers.m_reportInterval = Core::Duration(50);
    return settings;
}

/// Client of one agent as an entry uses it: watches its reports and makes calls.
class EntryClient
{
public:
    explicit EntryClient(const Core::Address &agent)
        : m_agent(agent)
        , m_node(settings(), m_metrics)
    {
        REQUIRE(m_node.start());
        watch();
    }

    ~EntryClient()
    {
        m_node.stop();
    }

    /// Starts watching the agent's reports unless that is already in progress.
    void watch()
    {
        if (m_watching.exchange(true)) {
            return;
        }
        Wire::CallEvents events;
        events.m_onFrame = [this](const std::string &frame) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            Protocol::applyWatchFrame(frame, "agent", m_report).value();
        };
        events.m_onEnd = [this](const Wire::CallEnd &) { m_watching = false; };
        m_node.call(m_agent, "control.watch", Wire::pack(Protocol::WatchRequest{"test"}), Wire::CallOptions{Core::Duration(0)}, events);
    }

    Protocol::AgentReport report() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_report;
    }

    bool isAttested(const Version &version) const
    {
        for (const Protocol::Attestation &attestation : report().m_attestations) {
            if (attestation.m_digest == version.m_digest) {
                return true;
            }
        }
        return false;
    }

    /// A call with the frames and the end received so far.
    struct Call
    {
        std::mutex m_mutex;
        std::vector<Protocol::AnswerFrame> m_frames;
        std::promise<Wire::CallEnd> m_endPromise;
        std::future<Wire::CallEnd> m_endFuture = m_endPromise.get_future();
        Wire::CallId m_id = 0;

        std::size_t frameCount()
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            return m_frames.size();
        }
        Wire::CallEnd waitForEnd()
        {
            REQUIRE(m_endFuture.wait_for(WaitLimit) == std::future_status::ready);
            return m_endFuture.get();
        }
        bool isComplete()
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            return !m_frames.empty() && m_frames.back().m_kind == Protocol::AnswerKind::End;
        }
    };

    std::shared_ptr<Call> call(const Protocol::LiveRequest &request, Core::Duration timeout = WaitLimit)
    {
        const std::shared_ptr<Call> call = std::make_shared<Call>();
        Wire::CallEvents events;
        events.m_onFrame = [call](const std::string &frame) {
            const std::lock_guard<std::mutex> lock(call->m_mutex);
            call->m_frames.push_back(Wire::unpack<Protocol::AnswerFrame>(frame, "agent").value());
        };
        events.m_onEnd = [call](const Wire::CallEnd &end) { call->m_endPromise.set_value(end); };
        call->m_id = m_node.call(m_agent, "live.call", Wire::pack(request), Wire::CallOptions{timeout}, events);
        return call;
    }

    Protocol::OutcomeAnswer outcome(const Protocol::LiveRequest &request)
    {
        const Protocol::OutcomeRequest outcomeRequest{request.m_attempt, request.m_key, request.m_agentIncarnation, request.m_agentReport};
        const Core::Result<std::string> answer = m_node.request(m_agent, "live.outcome", Wire::pack(outcomeRequest), WaitLimit);
        REQUIRE(answer);
        return Wire::unpack<Protocol::OutcomeAnswer>(answer.value(), "agent").value();
    }

    void cancel(const Call &call)
    {
        m_node.cancel(call.m_id);
    }

private:
    static Wire::NodeSettings settings()
    {
        Wire::NodeSettings node;
        node.m_limits.m_heartbeatInterval = Core::Duration(100);
        return node;
    }

    const Core::Address m_agent;
    Telemetry::Metrics m_metrics;
    std::atomic<bool> m_watching = false;
    mutable std::mutex m_mutex;
    Protocol::AgentReport m_report;
    Wire::Node m_node; ///< Last member, because its thread uses the others.
};

inline Protocol::LiveRequest draftRequest(const std::string &attempt, const Version &version, int tokens)
{
    Protocol::LiveRequest request;
    request.m_attempt = attempt;
    request.m_account = "buyer";
    request.m_service = Service;
    request.m_digest = version.m_digest;
    request.m_body = "{\"prompt\":\"linen\",\"max_tokens\":" + std::to_string(tokens) + "}";
    return request;
}

inline Protocol::LiveRequest bookingRequest(const std::string &attempt, const std::string &key, const std::string &incarnation)
{
    Protocol::LiveRequest request;
    request.m_attempt = attempt;
    request.m_account = "gallery";
    request.m_service = Service;
    request.m_key = key;
    request.m_repeatable = false;
    request.m_path = "/crews";
    request.m_body = "two installers";
    request.m_agentIncarnation = incarnation;
    request.m_agentReport = 1;
    return request;
}

}
