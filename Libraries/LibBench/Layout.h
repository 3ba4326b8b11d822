/// @file Derives the processes of a fleet with their addresses and settings from a topology.
#pragma once

#include "LibBench/Topology.h"
#include "LibCore/Address.h"

#include <string>
#include <vector>

namespace Bench {

enum class ProcessKind {
    Log,
    Origin,
    Network,
    Engine,
    PlainService,
    Entry,
    Agent,
};

/// Specification of one process of a fleet.
struct ProcessSpec
{
    ProcessKind m_kind = ProcessKind::Entry;
    std::string m_name; ///< For example "log", "origin", "network", "entry-1", "agent:drafting-models-3" or "endpoint:drafting-models-3".
    std::string m_program; ///< File name of the binary.
    Core::Address m_health; ///< Answers GET /healthz once the process is ready.
    std::string m_settings; ///< Content of the settings file, in YAML.
    std::string m_instance; ///< Name in the instance list; empty for stand-ins.
    std::string m_role;
    std::string m_service;
    std::string m_region;
    std::string m_failureDomain;
    Core::Address m_wire;
    Core::Address m_callers;
    Core::Address m_admin;
};

/// The processes of a fleet, in the order in which they are started.
struct Layout
{
    Core::Address m_log;
    Core::Address m_origin;
    Core::Address m_network;
    std::vector<ProcessSpec> m_processes;
};

/// Assigns addresses of the form 127.SLOT.x.y, so that fleets with different slots can run concurrently.
Layout makeLayout(const Topology &topology, int slot);

}
