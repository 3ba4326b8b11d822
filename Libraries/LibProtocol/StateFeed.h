/// @file Messages that bring control state to processes that do not or cannot read the log (method control.state, a stream of StateUpdate frames).
#pragma once

#include "LibProtocol/Member.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Protocol {

struct StateRequest
{
    Member m_subscriber;
    std::uint64_t m_appliedOffset = 0; ///< Offset of the subscriber's control state; 0 if it has none.
    std::string m_chain; ///< Digest of the history that the subscriber has applied; empty if it has none.

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("subscriber", m_subscriber), MSGPACK_NVP("applied", m_appliedOffset), MSGPACK_NVP("chain", m_chain));
};

/// A record of a stream, as stored in the log.
struct LogRecord
{
    std::uint64_t m_offset = 0;
    std::string m_body;

    bool operator==(const LogRecord &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("offset", m_offset), MSGPACK_NVP("body", m_body));
};

/// A snapshot, records that follow the subscriber's state, members, or several of these.
struct StateUpdate
{
    std::uint64_t m_snapshotOffset = 0; ///< 0 if there is no snapshot in this update.
    std::string m_snapshot; ///< Encoded control state as of m_snapshotOffset.
    std::string m_baseChain; ///< Digest of the history that precedes m_records.
    std::vector<LogRecord> m_records;
    std::uint64_t m_membersVersion = 0; ///< 0 if there are no members in this update.
    std::vector<Member> m_members; ///< Every known member, not a delta.
    std::vector<std::string> m_endedIncarnations; ///< Incarnations that ended most recently.
    bool m_wantsState = false; ///< The entry is behind the subscriber and asks for the subscriber's state (control.offer).

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("snapshot_offset", m_snapshotOffset),
                       MSGPACK_NVP("snapshot", m_snapshot),
                       MSGPACK_NVP("base_chain", m_baseChain),
                       MSGPACK_NVP("records", m_records),
                       MSGPACK_NVP("members_version", m_membersVersion),
                       MSGPACK_NVP("members", m_members),
                       MSGPACK_NVP("gone", m_endedIncarnations),
                       MSGPACK_NVP("wants_state", m_wantsState));
};

/// Sends the control state of a subscriber to an entry that is behind it (method control.offer).
struct StateOffer
{
    std::string m_instance;
    std::string m_snapshot; ///< Encoded control state in force at the subscriber.

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("instance", m_instance), MSGPACK_NVP("snapshot", m_snapshot));
};

/// An agent's request for the lowest fencing number that its orders may have (method control.fence).
struct FenceRequest
{
    std::string m_service;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("service", m_service));
};

struct FenceAnswer
{
    std::uint64_t m_planOffset = 0; ///< Offset of the service's plan in force at the entry; 0 if there is none.
    std::uint64_t m_appliedOffset = 0; ///< Offset of the control state in force at the entry.

    bool operator==(const FenceAnswer &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("plan", m_planOffset), MSGPACK_NVP("applied", m_appliedOffset));
};

/// Reports which control state is in force at a subscriber (method control.applied).
struct AppliedNotice
{
    std::string m_instance;
    std::string m_incarnation;
    std::uint64_t m_appliedOffset = 0;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("instance", m_instance), MSGPACK_NVP("incarnation", m_incarnation), MSGPACK_NVP("applied", m_appliedOffset));
};

}
