/// @file The instance list over HTTP; docs/STANDINS.md gives the protocol.
#pragma once

#include "LibNetwork/NetworkSettings.h"
#include "LibPlatform/InstanceList.h"

namespace Platform {

class HttpInstanceList : public InstanceList
{
public:
    HttpInstanceList(Network::NetworkSettings network, Core::Address server);

    Core::Result<std::vector<Protocol::Member>> instances() override;

private:
    const Network::NetworkSettings m_network;
    const Core::Address m_server;
};

/// Reads the list's JSON text; entries that are malformed make the whole list Corrupt, so that half a list is never taken for the whole.
Core::Result<std::vector<Protocol::Member>> parseInstanceList(const std::string &text, const std::string &peer);

}
