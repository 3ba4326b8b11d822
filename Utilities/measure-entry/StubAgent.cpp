/// @file Implementation of the stub agent.

#include "StubAgent.h"
#include "LibEndpoint/AnswerFramer.h"
#include "LibNetwork/Listener.h"
#include "LibWire/Pack.h"

#include <Poco/Net/ServerSocket.h>

namespace MeasureEntry {

namespace {

constexpr Core::Duration ReportInterval{500};
constexpr std::uint32_t Capacity = 1000;

}

StubAgent::StubAgent(const std::string &id, const std::string &service, const std::string &digest, int tokens)
    : m_tokens(tokens)
{
    Protocol::Member &member = m_report.m_member;
    member.m_id = id;
    member.m_incarnation = id + "-life";
    member.m_role = Protocol::Role::Agent;
    member.m_service = service;
    member.m_wire = Network::freeLoopbackAddress();
    m_report.m_endpointHealthy = true;
    m_report.m_load.m_capacity = Capacity;
    if (!digest.empty()) {
        m_report.m_attestations.emplace_back().m_digest = digest;
    }
    Wire::NodeSettings settings;
    settings.m_listen = member.m_wire;
    m_node = std::make_unique<Wire::Node>(settings, m_metrics);
}

StubAgent::~StubAgent()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_node->stop();
}

Core::Result<void> StubAgent::start()
{
    m_node->handle("control.watch", [this](const Wire::IncomingCall &call) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_watchers.push_back(call.m_responder);
    });
    m_node->handle("live.call", [this](const Wire::IncomingCall &call) { answer(call); });
    BOOST_OUTCOME_TRYV(m_node->start());
    m_thread = std::thread([this] { reportLoop(); });
    return Core::success();
}

void StubAgent::answer(const Wire::IncomingCall &call) const
{
    const Core::Result<Protocol::LiveRequest> request = Wire::unpack<Protocol::LiveRequest>(call.m_body, call.m_peer);
    if (!request) {
        call.m_responder.fail(request.error());
        return;
    }
    Endpoint::AnswerFramer framer(request.value().m_attempt, request.value().m_digest, 200);
    for (int token = 0; token < m_tokens; ++token) {
        call.m_responder.send(Wire::pack(framer.dataFrame("token ", m_report.m_load)));
    }
    call.m_responder.send(Wire::pack(framer.endFrame(m_report.m_load)));
    call.m_responder.finish();
}

void StubAgent::reportLoop()
{
    while (!m_stopping) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_report.m_sequence += 1;
            for (const Wire::Responder &watcher : m_watchers) {
                watcher.send(Wire::pack(m_report));
            }
        }
        std::this_thread::sleep_for(ReportInterval);
    }
}

}
