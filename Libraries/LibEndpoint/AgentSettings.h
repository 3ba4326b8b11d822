/// @file Settings of an agent, checked whole before anything starts.
#pragma once

#include "LibEndpoint/EngineClient.h"
#include "LibEndpoint/LiveRelay.h"
#include "LibProtocol/InstanceSettings.h"
#include "LibSettings/Reader.h"
#include "LibTransfer/TransferSettings.h"

#include <vector>

namespace Endpoint {

/// How an agent orders its engine, reports and leaves.
struct WorkerSettings
{
    Core::Duration m_statusInterval{500}; ///< Between two inquiries of the endpoint's status.
    Core::Duration m_reportInterval{1000}; ///< Between two reports without a change.
    std::uint64_t m_reportBytesPerSecond = 4096; ///< Bound on those, which stretches the interval when many watch.
    Core::Duration m_maximumFenceAge{2000}; ///< Oldest confirmation of the newest plan on which an order may go out.
    Core::Duration m_orderRetryDelay{2000}; ///< Pause after an order that failed.
    Core::Duration m_retirementGrace{5000}; ///< How long weights that the plan leaves out stay loaded.
    Core::Duration m_withdrawNotice{300}; ///< Between the report that weights will go and the order to unload them.
    Core::Duration m_leaveNotice{2000}; ///< How long a leaving agent refuses calls before it may end.
    Core::Duration m_drainLimit{600000}; ///< Longest wait for running answers when leaving.
    std::size_t m_maximumWatchers = 64; ///< Entries that follow the reports.

    bool operator==(const WorkerSettings &) const = default;
};

struct AgentSettings
{
    Protocol::InstanceSettings m_instance;
    std::vector<Core::Address> m_entries; ///< Seeds; further entries are learned from them.
    Core::Address m_origin;
    std::string m_originRegion; ///< Where the origin stands; empty if unknown.
    EngineSettings m_engine;
    Transfer::TransferSettings m_transfer;
    RelaySettings m_relay;
    WorkerSettings m_workers;
};

/// Reads the whole document; the result may be used only if no problem was noted.
AgentSettings readAgentSettings(Settings::Reader &reader);

}
