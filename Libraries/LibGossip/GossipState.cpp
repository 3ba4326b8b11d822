/// @file Implementation of the state transfer: a process fetches state that it lacks from a peer that has it.

#include "LibGossip/GossipService.h"

#include "LibWire/Pack.h"

#include <boost/asio/post.hpp>

namespace Gossip {

namespace Asio = boost::asio;

namespace {

constexpr const char *StateMethod = "fleet.state";

}

void GossipService::registerMethods()
{
    m_parts.m_node.handle(StateMethod, [this, alive = m_isAlive](const Wire::IncomingCall &call) {
        const Core::Result<StateRequest> request = Wire::unpack<StateRequest>(call.m_body, call.m_peer);
        if (!request) {
            call.m_responder.fail(request.error());
            return;
        }
        Asio::post(m_parts.m_loop, [this, alive, received = request.value(), responder = call.m_responder] {
            if (*alive) {
                responder.reply(Wire::pack(makeStateAnswer(received)));
            }
        });
    });
}

void GossipService::onStateApplied(std::function<void(const Fleet::FleetStateUpdate &)> callback)
{
    m_onStateApplied = std::move(callback);
}

void GossipService::pullOrConfirmState(const Heartbeat &heartbeat)
{
    if (heartbeat.m_sender.m_role != Role::Entry) {
        return;
    }
    const bool isConfigurationNewer = heartbeat.m_configurationRevisionOffset > m_parts.m_fleetState.declarations().configurationRevisionOffset();
    if (!isConfigurationNewer) {
        confirmDeclarations(heartbeat);
    }
    const bool isListNewer = m_self.m_role == Role::Entry && heartbeat.m_endpointsRevisionOffset > m_parts.m_fleetState.endpointsRevisionOffset();
    if (isConfigurationNewer || isListNewer) {
        pullFrom(heartbeat.m_sender.m_peers);
        return;
    }
    if (heartbeat.m_listAgeMilliseconds) {
        confirmList(Core::Clock::now() - Core::Duration(*heartbeat.m_listAgeMilliseconds));
    }
}

void GossipService::confirmDeclarations(const Heartbeat &heartbeat)
{
    // The weights of the heartbeat have been applied already, so this process is as far as the sender.
    if (heartbeat.m_declarationsAgeMilliseconds && m_parts.m_fleetState.configuration()) {
        m_parts.m_fleetState.confirmDeclarations(Core::Clock::now() - Core::Duration(*heartbeat.m_declarationsAgeMilliseconds));
    }
}

void GossipService::confirmList(Core::Instant confirmedAt)
{
    m_logSyncState.m_firstSyncedAt = m_logSyncState.m_firstSyncedAt.value_or(Core::Clock::now());
    m_logSyncState.m_lastConfirmedAt = std::max(m_logSyncState.m_lastConfirmedAt.value_or(confirmedAt), confirmedAt);
}

void GossipService::announceListRead(Core::Instant sentAt)
{
    confirmList(sentAt);
    sendHeartbeatsTo(membersInOwnDomain(Role::Entry));
}

std::optional<Core::Duration> GossipService::listAge() const
{
    if (!m_logSyncState.m_lastConfirmedAt) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - *m_logSyncState.m_lastConfirmedAt);
}

void GossipService::setListUncertaintyQuery(std::function<std::optional<Core::Instant>()> query)
{
    m_listUncertainSince = std::move(query);
}

void GossipService::applyDeclarations(const std::vector<AgedWeights> &weights, const std::vector<Fleet::Evacuation> &evacuations)
{
    if (weights.empty() && evacuations.empty()) {
        return;
    }
    const Core::Instant now = Core::Clock::now();
    Fleet::Declarations declarations;
    declarations.m_evacuations = evacuations;
    for (const AgedWeights &aged : weights) {
        recordAge(aged, now);
        declarations.m_weights.push_back(aged.m_declared);
    }
    const Fleet::FleetStateUpdate update = m_parts.m_fleetState.apply(declarations);
    if (update.any() && m_onStateApplied) {
        m_onStateApplied(update);
    }
}

void GossipService::recordAge(const AgedWeights &aged, Core::Instant now)
{
    const Fleet::DeclaredWeights &declared = aged.m_declared;
    if (aged.m_ageMilliseconds) {
        m_parts.m_versions.recordDeclared(declared.m_model, declared.m_version, Core::Duration(*aged.m_ageMilliseconds), now);
        return;
    }
    const Fleet::DeclaredWeights *known = m_parts.m_fleetState.declaredWeights(declared.m_model);
    const bool isNew = !known || known->m_version < declared.m_version;
    const std::optional<Core::Duration> age = isNew ? maximumDeclarationAge(m_logSyncState, now) : std::nullopt;
    if (age) {
        m_parts.m_versions.recordDeclared(declared.m_model, declared.m_version, *age, now);
    } else {
        m_parts.m_versions.recordFound(declared.m_model, declared.m_version, now);
    }
}

void GossipService::pullFromAnyEntry()
{
    std::vector<Member> entries = m_members.alive(Role::Entry, Core::Clock::now());
    std::erase_if(entries, [](const Member &member) { return !member.m_isReady; });
    Core::keepRandom(entries, 1, m_parts.m_random);
    if (!entries.empty()) {
        pullFrom(entries.front().m_peers);
    }
}

StateAnswer GossipService::makeStateAnswer(const StateRequest &request) const
{
    StateAnswer answer;
    const Fleet::Declarations &declarations = m_parts.m_fleetState.declarations();
    answer.m_declarations.m_weights = declarations.m_weights;
    answer.m_declarations.m_evacuations = declarations.m_evacuations;
    if (declarations.configurationRevisionOffset() > request.m_configurationRevisionOffset) {
        answer.m_declarations.m_configuration = declarations.m_configuration;
        answer.m_declarations.m_configurationOffset = declarations.m_configurationOffset;
        if (request.m_forAgent) {
            answer.m_declarations.m_configuration->m_routes.clear();
            answer.m_declarations.m_configuration->m_accounts.clear();
        }
    }
    if (!request.m_forAgent && m_quarantine.m_state) {
        const Quarantine::Observations observations = m_quarantine.m_state();
        answer.m_verdicts = observations.m_verdicts;
        answer.m_requestCrashes = observations.m_crashes;
        answer.m_hasStoredVerdicts = m_hasStoredVerdicts;
    }
    if (!request.m_forAgent && m_parts.m_fleetState.endpointsRevisionOffset() > request.m_endpointsRevisionOffset) {
        answer.m_endpoints = m_parts.m_fleetState.endpointSnapshot(Core::Clock::now());
        const std::optional<Core::Instant> since = m_listUncertainSince ? m_listUncertainSince() : std::nullopt;
        if (since) {
            const Core::Duration sinceRecovery = std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - *since);
            answer.m_endpoints.m_millisecondsSinceRecovery = static_cast<std::uint64_t>(sinceRecovery.count());
        }
    }
    return answer;
}

void GossipService::pullFrom(const Core::Address &peer)
{
    if (m_isPulling) {
        m_otherPullPeer = peer == m_pullPeer ? m_otherPullPeer : std::optional<Core::Address>(peer);
        return;
    }
    if (Core::Clock::now() >= m_nextPull) {
        startPull(peer);
    }
}

void GossipService::startPull(const Core::Address &peer)
{
    m_isPulling = true;
    m_pullPeer = peer;
    m_otherPullPeer.reset();
    m_pullSentAt = Core::Clock::now();
    m_nextPull = m_pullSentAt + m_settings.m_pullInterval;
    m_pulls.add();
    StateRequest request;
    request.m_forAgent = m_self.m_role == Role::Agent;
    request.m_configurationRevisionOffset = m_parts.m_fleetState.declarations().configurationRevisionOffset();
    request.m_endpointsRevisionOffset = m_parts.m_fleetState.endpointsRevisionOffset();
    const std::shared_ptr<std::string> encoded = std::make_shared<std::string>();
    Wire::CallEvents events;
    events.m_onFrame = [encoded](std::string frame) { *encoded = std::move(frame); };
    events.m_onEnd = [this, alive = m_isAlive, encoded, name = peer.toString()](const Wire::CallEnd &end) {
        Core::Result<StateAnswer> answer = end.m_succeeded ? Wire::unpack<StateAnswer>(*encoded, name) : Core::Result<StateAnswer>(end.m_error);
        Asio::post(m_parts.m_loop, [this, alive, result = std::move(answer), bytes = encoded->size()] {
            if (*alive) {
                logPull(result ? std::nullopt : std::optional<Core::Error>(result.error()), bytes);
                handleStateAnswer(result);
            }
        });
    };
    m_parts.m_node.call(peer, StateMethod, Wire::pack(request), Wire::CallOptions{m_settings.m_pullTimeout}, std::move(events));
}

void GossipService::logPull(const std::optional<Core::Error> &error, std::size_t bytes)
{
    Telemetry::LogLine line(error ? "state_pull_failed" : "state_pulled");
    if (error) {
        line.text("error", error->message());
    }
    line.text("peer", m_pullPeer.toString()).number("bytes", static_cast<std::int64_t>(bytes));
    m_parts.m_log.write(line.number("took_ms", Core::secondsBetween(m_pullSentAt, Core::Clock::now()) * 1000));
}

void GossipService::pullAgain()
{
    const bool wasQuick = Core::Clock::now() < m_nextPull; // An error that comes at once would be repeated without a pause.
    if (wasQuick || ++m_failedPullsInRow >= m_settings.m_maximumPullsInRow) {
        m_failedPullsInRow = 0;
        return; // The next heartbeat with newer state leads to the next request.
    }
    const Core::Address peer = m_otherPullPeer.value_or(m_pullPeer);
    startPull(peer);
}

void GossipService::handleStateAnswer(Core::Result<StateAnswer> answer)
{
    m_isPulling = false;
    if (!answer) {
        m_pullsFailed.add();
        pullAgain();
        return;
    }
    m_failedPullsInRow = 0;
    m_hasStoredVerdicts = m_hasStoredVerdicts || answer.value().m_hasStoredVerdicts;
    const Quarantine::Observations observations{answer.value().m_requestCrashes, {}, answer.value().m_verdicts};
    if (m_quarantine.m_merge && !observations.isEmpty()) {
        m_quarantine.m_merge(observations);
    }
    Fleet::FleetStateUpdate update = m_parts.m_fleetState.apply(answer.value().m_declarations);
    if (answer.value().m_endpoints.m_isSnapshot) {
        const Fleet::EndpointChanges &endpoints = answer.value().m_endpoints;
        const Core::Instant now = Core::Clock::now();
        std::optional<Core::Instant> recoveredAt;
        if (endpoints.m_millisecondsSinceRecovery) {
            recoveredAt = now - Core::Duration(*endpoints.m_millisecondsSinceRecovery);
        }
        update.m_endpoints = m_parts.m_fleetState.apply(endpoints, recoveredAt, now).m_endpoints;
    }
    if (update.any() && m_onStateApplied) {
        m_onStateApplied(update);
    }
}

}
