/// @file Settings of the agent process.
#pragma once

#include "LibGossip/GossipService.h"
#include "LibSettings/MemoryShares.h"
#include "LibSettings/Reader.h"
#include "LibStaging/WeightsManager.h"
#include "LibTransfer/TransferSettings.h"

namespace Staging {

struct AgentSettings
{
    std::string m_instance; ///< Identifier of the instance.
    std::string m_region;
    std::string m_failureDomain;
    Core::Address m_peers; ///< Listening address for other processes of the system.
    Core::Address m_admin; ///< Listening address for metrics, state dump and health checks.
    Core::Address m_log; ///< Address of the platform's log.
    Core::Address m_engine; ///< Address of the engine on this instance.
    Core::Duration m_versionBound{8000}; ///< Time from the acceptance of a version until no request may start on an older one.
    Core::Duration m_entrySilenceLimit{5000}; ///< After this long without a message from any entry, the agent reads the log directly.
    Settings::MemoryShares m_memory = Settings::divideMemory(Settings::DefaultMemoryMegabytes * Settings::BytesPerMegabyte);
    WeightsManagerSettings m_weightsManager;
    Gossip::GossipSettings m_gossip;
    Transfer::TransferSettings m_transfer;

    bool operator==(const AgentSettings &) const = default;
};

AgentSettings readAgentSettings(Settings::Reader &reader);

}
