/// @file Client of the instance list over HTTP; docs/STANDINS.md describes the protocol.
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

/// Parses the list's JSON text. Fails with Corrupt on any malformed entry, so that a partial list is never used.
Core::Result<std::vector<Protocol::Member>> parseInstanceList(const std::string &text, const std::string &peer);

}
