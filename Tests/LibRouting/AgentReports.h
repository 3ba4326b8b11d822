/// @file Agent reports for the routing tests.
#pragma once

#include "LibRouting/EndpointTable.h"

namespace RoutingTest {

inline constexpr const char *Service = "drafting-models";
inline constexpr const char *Digest = "digest-7";

inline Protocol::AgentReport makeReport(const std::string &id, std::uint64_t sequence, std::uint32_t running = 0, std::uint32_t capacity = 4)
{
    Protocol::AgentReport report;
    report.m_member.m_id = id;
    report.m_member.m_incarnation = id + "-life";
    report.m_member.m_role = Protocol::Role::Agent;
    report.m_member.m_service = Service;
    report.m_sequence = sequence;
    report.m_endpointHealthy = true;
    report.m_attestations.push_back(Protocol::Attestation{Digest, 1});
    report.m_load = Protocol::EndpointLoad{running, 0, capacity};
    return report;
}

inline std::string instanceName(std::size_t index)
{
    return "engine-" + std::to_string(index);
}

}
