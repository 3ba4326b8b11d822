/// @file Description of a process of the system, as exchanged between processes.
#pragma once

#include "LibCore/Address.h"

#include <msgpack.hpp>
#include <string>

namespace Protocol {

enum class Role {
    Entry = 0, ///< Runs on an entry instance: gives addresses to callers, routes their requests and takes part in control decisions.
    Agent = 1, ///< Runs on an endpoint instance, beside the endpoint.
};

/// One process of the system, as announced by itself or by the instance list.
struct Member
{
    std::string m_id; ///< Name of the instance; unique among live instances.
    std::string m_incarnation; ///< Random for each start of the process; distinguishes a restarted or replaced process from its predecessor.
    Role m_role = Role::Entry;
    std::string m_service; ///< Service of the endpoint that the agent runs beside; empty for entries.
    std::string m_region;
    std::string m_failureDomain;
    Core::Address m_wire; ///< Address for other processes.
    Core::Address m_callers; ///< Address for callers; empty for agents.
    Core::Address m_admin; ///< Address for operators.
    bool m_leaving = false; ///< The instance is leaving and takes no new work.

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
