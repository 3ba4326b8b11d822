/// @file Client of the log service over HTTP; docs/STANDINS.md describes the protocol.
#pragma once

#include "LibNetwork/NetworkSettings.h"
#include "LibPlatform/Log.h"

namespace Platform {

class HttpLog : public Log
{
public:
    HttpLog(Network::NetworkSettings network, Core::Address server, Core::Duration timeout = Core::Duration(3000));

    Core::Result<Offset> append(const std::string &stream, const std::string &body) override;
    Core::Result<LogPage> read(const std::string &stream, Offset from, const ReadOptions &options) override;

private:
    const Network::NetworkSettings m_network;
    const Core::Address m_server;
    const Core::Duration m_timeout; ///< Limit for each wait for the server, in addition to the wait that a read requests.
};

}
