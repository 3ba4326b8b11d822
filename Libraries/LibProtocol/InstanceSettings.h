/// @file The sections of a settings file that every process of the system has.
#pragma once

#include "LibNetwork/NetworkSettings.h"
#include "LibProtocol/Member.h"
#include "LibSettings/Reader.h"

namespace Protocol {

/// Who the process is, where it listens and how it dials.
struct InstanceSettings
{
    Member m_member; ///< With a fresh incarnation.
    Network::NetworkSettings m_network;
    std::string m_logDirectory; ///< Empty logs to standard error.
};

/// Reads the sections "instance", "listen", "network" and the field "log_directory".
InstanceSettings readInstanceSettings(Settings::Reader &reader, Role role);

}
