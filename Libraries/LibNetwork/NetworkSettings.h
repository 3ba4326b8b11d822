/// @file Settings for outgoing connections: the source address and the gateway, if one is required.
#pragma once

#include "LibCore/Address.h"
#include "LibSettings/Reader.h"

#include <optional>

namespace Network {

/// The "network" section of a settings file.
struct NetworkSettings
{
    std::string m_bindHost; ///< Source IP address of outgoing connections; if empty, the system chooses.
    std::optional<Core::Address> m_gateway; ///< HTTP CONNECT gateway for every outgoing connection, if any.

    bool operator==(const NetworkSettings &) const = default;
};

/// Reads the section; an absent one means direct connections.
NetworkSettings readNetworkSettings(Settings::Reader &reader);

}
