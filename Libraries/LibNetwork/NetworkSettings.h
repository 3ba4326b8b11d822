/// @file How a process reaches others: its own IP number and, where a site has one, the gateway it must go through.
#pragma once

#include "LibCore/Address.h"
#include "LibSettings/Reader.h"

#include <optional>

namespace Network {

/// The "network" section of a settings file.
struct NetworkSettings
{
    std::string m_bindHost; ///< Source IP number of outgoing connections; empty leaves the choice to the system.
    std::optional<Core::Address> m_gateway; ///< HTTP CONNECT gateway for every outgoing connection, if any.

    bool operator==(const NetworkSettings &) const = default;
};

/// Reads the section; an absent one means direct connections.
NetworkSettings readNetworkSettings(Settings::Reader &reader);

}
