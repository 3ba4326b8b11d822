/// @file The HTTP side of the stand-in for the origin.
#pragma once

#include "LibOriginStandIn/OriginStore.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <memory>

namespace StandIn {

/// Answers requests until it is destroyed.
class OriginServer
{
public:
    explicit OriginServer(OriginStore &store);
    ~OriginServer();

    Core::Result<void> start();

private:
    OriginStore &m_store;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

}
