/// @file Reads manifests and ranges of the weights from the origin over HTTP.
#pragma once

#include "LibCore/Clock.h"
#include "LibNetwork/Dialer.h"
#include "LibTransfer/OriginDialect.h"
#include "LibTransfer/OriginTimeouts.h"

#include <Poco/Net/HTTPResponse.h>
#include <cstdint>
#include <memory>
#include <string>

namespace Transfer {

/// A persistent connection to the origin. Not thread-safe.
class OriginClient
{
public:
    OriginClient(Network::NetworkSettings network, Core::Address origin, OriginTimeouts timeouts, OriginDialect dialect);
    ~OriginClient();

    const Core::Address &origin() const
    {
        return m_origin;
    }

    /// Returns the encoded manifest that the origin currently has for this name. The caller must verify it.
    Core::Result<std::string> readManifest(const std::string &model, const std::string &version);
    /// Returns exactly the chunk's length in bytes, unverified. Fails with Corrupt if the answer is shorter.
    Core::Result<std::string> readChunk(const OriginChunk &chunk);
    /// Opens a connection and closes it again, to find out whether the origin is reachable.
    Core::Result<void> probe() const;

private:
    Core::Result<std::string> get(const OriginRequest &request, std::size_t maximumBytes);
    Core::Result<std::string> tryGet(const OriginRequest &request, std::size_t maximumBytes);
    Core::Result<std::string> checkResponse(const Poco::Net::HTTPResponse &response, std::string body, std::size_t maximumBytes, int expectedStatus) const;

    const Network::NetworkSettings m_network;
    const Core::Address m_origin;
    const OriginTimeouts m_timeouts;
    const OriginDialect m_dialect;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session; ///< Null before the first request and after a failure.
};

}
