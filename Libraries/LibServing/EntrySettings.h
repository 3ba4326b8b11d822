/// @file Settings of the entry process.
#pragma once

#include "LibGossip/GossipService.h"
#include "LibRelay/Relay.h"
#include "LibServing/Directory.h"
#include "LibServing/ReaderSelection.h"
#include "LibSettings/Reader.h"

namespace Serving {

struct EntrySettings
{
    std::string m_instance; ///< Name of the instance.
    std::string m_region;
    std::string m_failureDomain;
    Core::Address m_callers; ///< Where callers are answered.
    std::vector<Core::Address> m_pages; ///< Where the pages of the place's own interface are answered.
    Core::Address m_peers; ///< Where other processes of the system are answered.
    Core::Address m_admin; ///< Metrics, state dump and health.
    Core::Address m_log; ///< The platform's log.
    std::size_t m_connections = 2000; ///< Of callers.
    Core::Duration m_leavingTime{8000}; ///< From the signal to the end at the latest.
    Core::Duration m_versionBound{8000}; ///< From a version's acceptance until no request may begin on an older one.
    Core::Duration m_versionMargin{2000}; ///< Kept from the bound: at a full engine a request waits for nearly as long before it begins.
    Placement::RetryBudgetSettings m_retryBudgets;
    Gossip::GossipSettings m_gossip;
    DirectorySettings m_directory;
    ReaderSelectionSettings m_readerSelection;

    bool operator==(const EntrySettings &) const = default;
};

EntrySettings readEntrySettings(Settings::Reader &reader);

}
