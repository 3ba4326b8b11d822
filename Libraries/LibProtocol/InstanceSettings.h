/// @file Settings sections common to every process of the system.
#pragma once

#include "LibNetwork/NetworkSettings.h"
#include "LibProtocol/Member.h"
#include "LibSettings/Reader.h"

namespace Protocol {

/// Identity, listening addresses and outgoing network settings of a process.
struct InstanceSettings
{
    Member m_member; ///< Has a new random incarnation.
    Network::NetworkSettings m_network;
    std::string m_logDirectory; ///< Empty to log to standard error.
};

/// Reads the sections "instance", "listen", "network" and the field "log_directory".
InstanceSettings readInstanceSettings(Settings::Reader &reader, Role role);

}
