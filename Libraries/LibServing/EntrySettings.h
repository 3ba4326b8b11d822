/// @file Settings of the entry process.
#pragma once

#include "LibGossip/GossipService.h"
#include "LibRelay/Relay.h"
#include "LibServing/Directory.h"
#include "LibServing/ReaderSelection.h"
#include "LibSettings/MemoryShares.h"
#include "LibSettings/Reader.h"

namespace Serving {

struct EntrySettings
{
    std::string m_instance; ///< Name of the instance.
    std::string m_region;
    std::string m_failureDomain;
    Core::Address m_callers; ///< Listen address for callers.
    std::vector<Core::Address> m_pages; ///< Listen addresses for the pages of the platform's interface.
    Core::Address m_peers; ///< Listen address for other processes of the system.
    Core::Address m_admin; ///< Listen address for metrics, state dump and health.
    Core::Address m_log; ///< Address of the platform's log.
    std::size_t m_connections = 2000; ///< Maximum number of caller connections.
    Settings::MemoryShares m_memory = Settings::divideMemory(Settings::DefaultMemoryMegabytes * Settings::BytesPerMegabyte);
    Core::Duration m_leavingTime{8000}; ///< Maximum time from the termination signal to the end of the process.
    Core::Duration m_versionBound{8000}; ///< Time from the acceptance of a version until no request may start on an older one.
    Placement::RetryBudgetSettings m_retryBudgets;
    Placement::RegionsByDomain m_regions; ///< Region of each failure domain, for homes.
    Placement::ColdBudgetSettings m_coldBudget;
    Core::Duration m_yieldPerRank = Placement::QueueSettings{}.m_yieldPerRank; ///< Zero serves requests of all ranks alike.
    Gossip::GossipSettings m_gossip;
    std::vector<std::string> m_liftedParts; ///< Parts of prompts, as SERVICE/PART, whose verdicts are lifted when the settings are read again.
    DirectorySettings m_directory;
    ReaderSelectionSettings m_readerSelection;

    bool operator==(const EntrySettings &) const = default;
};

EntrySettings readEntrySettings(Settings::Reader &reader);

}
