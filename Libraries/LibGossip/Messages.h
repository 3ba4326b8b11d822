/// @file Messages between the system's processes about the fleet.
#pragma once

#include "LibFleet/FleetState.h"
#include "LibGossip/Membership.h"
#include "LibPlacement/EndpointTracker.h"

#include <msgpack.hpp>

namespace Gossip {

/// A declared version with the time since it was accepted, which every process would otherwise count from when it heard of it.
struct AgedWeights
{
    Fleet::DeclaredWeights m_declared;
    std::optional<std::uint64_t> m_ageMilliseconds; ///< Empty if the sender found the version declared and does not know since when.

    bool operator==(const AgedWeights &) const = default;

    MSGPACK_DEFINE_ARRAY(m_declared, m_ageMilliseconds);
};

/// What an agent says of its engine.
struct EngineUpdate
{
    Core::Address m_address;
    std::uint64_t m_startedMilliseconds = 0; ///< Incarnation of the engine.
    std::uint32_t m_agentIncarnation = 0; ///< Of the agent that says so.
    std::uint64_t m_sequenceNumber = 0; ///< Grows with each report of an agent's incarnation: reports take several ways and may overtake each other.
    Placement::EngineReport m_report;

    bool operator==(const EngineUpdate &) const = default;

    MSGPACK_DEFINE_ARRAY(m_address.m_host, m_address.m_port, m_startedMilliseconds, m_agentIncarnation, m_sequenceNumber, m_report);
};

/// One datagram.
struct Heartbeat
{
    Member m_sender;
    std::uint32_t m_knownMemberCount = 0; ///< Live members that the sender knows.
    std::uint64_t m_configurationRevisionOffset = 0; ///< Of the configuration that the sender holds; see Declarations::configurationMark().
    Fleet::Offset m_endpointsRevisionOffset = 0; ///< See Beliefs::endpointsMark().
    std::optional<std::uint64_t> m_listAgeMilliseconds; ///< Since the sender's knowledge of the list was confirmed; empty if it never was.
    std::vector<AgedWeights> m_weights;
    std::vector<Member> m_members; ///< Some others that the sender knows.
    std::vector<HeartbeatDigest> m_digests; ///< More others, in short: enough to tell a receiver that knows them that they live.
    std::vector<std::uint32_t> m_requestedMembers; ///< Incarnations that the sender asks to be told of in full.
    std::vector<EngineUpdate> m_engineUpdates; ///< From an agent that of its own engine; from an entry those that it passes on.

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
                         m_engineUpdates);
};

/// Asks for what the asker lacks (method fleet.state).
struct StateRequest
{
    bool m_forAgent = false; ///< Services and weights are enough: no routes, accounts or endpoints.
    std::uint64_t m_configurationRevisionOffset = 0; ///< Of the configuration that the asker holds; see Declarations::configurationMark().
    Fleet::Offset m_endpointsRevisionOffset = 0; ///< Of the list of endpoints that the asker holds.

    bool operator==(const StateRequest &) const = default;

    MSGPACK_DEFINE_ARRAY(m_forAgent, m_configurationRevisionOffset, m_endpointsRevisionOffset);
};

/// Answers a StateRequest; parts that the asker has already are empty.
struct StateAnswer
{
    Fleet::Declarations m_declarations;
    Fleet::EndpointChanges m_endpoints;

    bool operator==(const StateAnswer &) const = default;

    MSGPACK_DEFINE_ARRAY(m_declarations, m_endpoints);
};

}
