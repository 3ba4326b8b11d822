/// @file Settings of an agent. All of them are validated before anything starts.
#pragma once

#include "LibEndpoint/EngineClient.h"
#include "LibEndpoint/LiveRelay.h"
#include "LibProtocol/InstanceSettings.h"
#include "LibSettings/Reader.h"
#include "LibTransfer/TransferSettings.h"

#include <vector>

namespace Endpoint {

/// Settings of the agent's workers (section "duties"): engine orders, reports and leaving.
struct WorkerSettings
{
    Core::Duration m_statusInterval{500}; ///< Interval between two status requests to the endpoint.
    Core::Duration m_reportInterval{1000}; ///< Interval between two reports while nothing changes.
    std::uint64_t m_reportBytesPerSecond = 4096; ///< Limit on the traffic of reports without a change; with many watchers the interval grows.
    Core::Duration m_maximumFenceAge{2000}; ///< An order needs an entry's confirmation that no newer plan exists, requested at most this long ago.
    Core::Duration m_orderRetryDelay{2000}; ///< Delay before the retry of a failed order; doubles with each further failure.
    Core::Duration m_retirementGrace{5000}; ///< How long weights that are no longer in the plan stay loaded.
    Core::Duration m_withdrawNotice{300}; ///< Time between the report that withdraws weights and the order to unload them.
    Core::Duration m_leaveNotice{2000}; ///< Minimum time for which a leaving agent keeps refusing calls before it exits.
    Core::Duration m_drainLimit{600000}; ///< Maximum wait for running answers when leaving.
    std::size_t m_maximumWatchers = 64; ///< Maximum number of entries that watch the reports.

    bool operator==(const WorkerSettings &) const = default;
};

struct AgentSettings
{
    Protocol::InstanceSettings m_instance;
    std::vector<Core::Address> m_entries; ///< Seed entries; other entries are discovered through them.
    Core::Address m_origin;
    std::string m_originRegion; ///< Region of the origin; empty if unknown.
    EngineSettings m_engine;
    Transfer::TransferSettings m_transfer;
    RelaySettings m_relay;
    WorkerSettings m_workers;
};

/// Reads the complete settings document. The result is valid only if the reader has recorded no problem.
AgentSettings readAgentSettings(Settings::Reader &reader);

}
