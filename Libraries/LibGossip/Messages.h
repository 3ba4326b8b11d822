/// @file Messages about the fleet between the processes of the system.
#pragma once

#include "LibFleet/FleetState.h"
#include "LibGossip/Membership.h"
#include "LibPlacement/EndpointTracker.h"
#include "LibPlacement/RequestLimits.h"
#include "LibQuarantine/Observations.h"

#include <msgpack.hpp>

namespace Gossip {

/// A declared version with the time since it was accepted. Without this time, each process would count from when it received the declaration.
struct AgedWeights
{
    Fleet::DeclaredWeights m_declared;
    std::optional<std::uint64_t> m_ageMilliseconds; ///< Time since acceptance; empty if the sender found the version declared and does not know since when.

    bool operator==(const AgedWeights &) const = default;

    MSGPACK_DEFINE_ARRAY(m_declared, m_ageMilliseconds);
};

/// State of an engine as reported by its agent.
struct EngineUpdate
{
    Core::Address m_address;
    std::uint64_t m_startedMilliseconds = 0; ///< Incarnation of the engine.
    std::uint32_t m_agentIncarnation = 0; ///< Of the reporting agent.
    std::uint64_t m_sequenceNumber = 0; ///< Grows with each update of an agent's incarnation: updates take several paths and may arrive out of order.
    Placement::EngineReport m_report;

    bool operator==(const EngineUpdate &) const = default;

    MSGPACK_DEFINE_ARRAY(m_address.m_host, m_address.m_port, m_startedMilliseconds, m_agentIncarnation, m_sequenceNumber, m_report);
};

/// Content of one datagram.
struct Heartbeat
{
    Member m_sender;
    std::uint32_t m_knownMemberCount = 0; ///< Number of live members that the sender knows.
    std::uint64_t m_configurationRevisionOffset = 0; ///< Of the configuration that the sender holds; see Declarations::configurationRevisionOffset().
    Fleet::Offset m_endpointsRevisionOffset = 0; ///< See FleetState::endpointsRevisionOffset().
    std::optional<std::uint64_t> m_listAgeMilliseconds; ///< Time since the sender's endpoint list was confirmed to be up to date; empty if it never was.
    std::vector<AgedWeights> m_weights;
    std::vector<Member> m_members; ///< Full descriptions of some members that the sender knows.
    std::vector<HeartbeatDigest> m_digests; ///< Digests of further members; enough to show a receiver that knows them that they are alive.
    std::vector<std::uint32_t> m_requestedMembers; ///< Incarnations of which the sender requests full descriptions.
    std::vector<EngineUpdate> m_engineUpdates; ///< From an agent, the update of its own engine; from an entry, the updates that it relays.
    std::vector<Placement::LimitObservation> m_limits; ///< From an entry, some of the limits that endpoints have stated or ended.
    Quarantine::Observations m_quarantine; ///< From an entry, some of what it knows of parts under which endpoints end.
    std::uint64_t m_verdictDigest = 0; ///< Of all verdicts that an entry knows; see PartQuarantine::verdictDigest().
    bool m_hasStoredVerdicts = false; ///< The sender's verdicts include those that were stored when it started.
    std::optional<std::uint64_t> m_declarationsAgeMilliseconds; ///< Time since the sender's declarations were confirmed to be complete; empty if never.
    std::vector<Fleet::Evacuation> m_evacuations; ///< All that an entry knows; few failure domains are ever evacuated.
    std::uint32_t m_entryCount = 0; ///< Entries in the roster of an entry, itself included; 0 from agents.

    bool operator==(const Heartbeat &) const = default;

    MSGPACK_DEFINE_ARRAY(m_sender,
                         m_knownMemberCount,
                         m_configurationRevisionOffset,
                         m_endpointsRevisionOffset,
                         m_listAgeMilliseconds,
                         m_weights,
                         m_members,
                         m_digests,
                         m_requestedMembers,
                         m_engineUpdates,
                         m_limits,
                         m_quarantine,
                         m_verdictDigest,
                         m_hasStoredVerdicts,
                         m_declarationsAgeMilliseconds,
                         m_evacuations,
                         m_entryCount);
};

/// Requests state that the sender lacks (method fleet.state).
struct StateRequest
{
    bool m_forAgent = false; ///< Only services and weights are needed: no routes, accounts or endpoints.
    std::uint64_t m_configurationRevisionOffset = 0; ///< Of the configuration that the sender holds; see Declarations::configurationRevisionOffset().
    Fleet::Offset m_endpointsRevisionOffset = 0; ///< Of the endpoint list that the sender holds.

    bool operator==(const StateRequest &) const = default;

    MSGPACK_DEFINE_ARRAY(m_forAgent, m_configurationRevisionOffset, m_endpointsRevisionOffset);
};

/// Answers a StateRequest; parts that the requesting process already has are empty.
struct StateAnswer
{
    Fleet::Declarations m_declarations;
    Fleet::EndpointChanges m_endpoints;
    std::vector<Quarantine::Verdict> m_verdicts;
    bool m_hasStoredVerdicts = false; ///< See Heartbeat.
    std::vector<Quarantine::CrashObservation> m_requestCrashes; ///< The newest ones under requests that have no verdict yet.

    bool operator==(const StateAnswer &) const = default;

    MSGPACK_DEFINE_ARRAY(m_declarations, m_endpoints, m_verdicts, m_hasStoredVerdicts, m_requestCrashes);
};

}
