/// @file Settings of the agent process.
#pragma once

#include "LibGossip/GossipService.h"
#include "LibSettings/Reader.h"
#include "LibStaging/WeightsManager.h"
#include "LibTransfer/TransferSettings.h"

namespace Staging {

struct AgentSettings
{
    std::string m_instance; ///< Name of the instance.
    std::string m_region;
    std::string m_failureDomain;
    Core::Address m_peers; ///< Where other processes of the system are answered.
    Core::Address m_admin; ///< Metrics, state dump and health.
    Core::Address m_log; ///< The platform's log.
    Core::Address m_engine; ///< The engine on this instance.
    Core::Duration m_entrySilenceLimit{5000}; ///< Without a word from any entry for so long the log is read directly.
    WeightsManagerSettings m_weightsManager;
    Gossip::GossipSettings m_gossip;
    Transfer::TransferSettings m_transfer;

    bool operator==(const AgentSettings &) const = default;
};

AgentSettings readAgentSettings(Settings::Reader &reader);

}
