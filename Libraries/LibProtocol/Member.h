/// @file A process of the system as the others know it.
#pragma once

#include "LibCore/Address.h"

#include <msgpack.hpp>
#include <string>

namespace Protocol {

enum class Role {
    Entry = 0, ///< Runs on an entry instance: addresses, routing, control decisions.
    Agent = 1, ///< Runs in the slot of an endpoint instance.
};

/// One process of the system, as it announces itself and as the instance list names it.
struct Member
{
    std::string m_id; ///< Name of the instance; unique among live instances.
    std::string m_incarnation; ///< Random for each start of the process, so that a replaced one is not taken for its predecessor.
    Role m_role = Role::Entry;
    std::string m_service; ///< Service whose endpoint the agent stands beside; empty for entries.
    std::string m_region;
    std::string m_failureDomain;
    Core::Address m_wire; ///< Where it answers other processes.
    Core::Address m_callers; ///< Where it answers callers; empty for agents.
    Core::Address m_admin; ///< Where it answers operators.
    bool m_leaving = false; ///< It takes no new work.

    bool operator==(const Member &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("id", m_id),
                       MSGPACK_NVP("incarnation", m_incarnation),
                       MSGPACK_NVP("role", m_role),
                       MSGPACK_NVP("service", m_service),
                       MSGPACK_NVP("region", m_region),
                       MSGPACK_NVP("failure_domain", m_failureDomain),
                       MSGPACK_NVP("wire", m_wire),
                       MSGPACK_NVP("callers", m_callers),
                       MSGPACK_NVP("admin", m_admin),
                       MSGPACK_NVP("leaving", m_leaving));
};

}

MSGPACK_ADD_ENUM(Protocol::Role);
