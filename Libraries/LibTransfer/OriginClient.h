/// @file Reading manifests and ranges of the weights from the origin over HTTP.
#pragma once

#include "LibCore/Clock.h"
#include "LibNetwork/Dialer.h"
#include "LibTransfer/OriginDialect.h"

#include <Poco/Net/HTTPResponse.h>
#include <cstdint>
#include <memory>
#include <string>

namespace Transfer {

/// One connection to the origin, kept between requests. Used by one thread.
class OriginClient
{
public:
    OriginClient(Network::NetworkSettings network, Core::Address origin, Core::Duration timeout, OriginDialect dialect);
    ~OriginClient();

    const Core::Address &origin() const
    {
        return m_origin;
    }

    /// The encoded manifest that the name has now, which the caller must verify.
    Core::Result<std::string> readManifest(const std::string &model, const std::string &version);
    /// Exactly the chunk's length, unverified; a shorter answer fails with Corrupt.
    Core::Result<std::string> readChunk(const OriginChunk &chunk);

private:
    Core::Result<std::string> get(const OriginRequest &question, std::size_t maximumBytes);
    Core::Result<std::string> tryGet(const OriginRequest &question, std::size_t maximumBytes);
    Core::Result<std::string> checkResponse(const Poco::Net::HTTPResponse &response, std::string body, std::size_t maximumBytes, int expectedStatus) const;

    const Network::NetworkSettings m_network;
    const Core::Address m_origin;
    const Core::Duration m_timeout;
    const OriginDialect m_dialect;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session; ///< Null until the first request, and after a failure.
};

}
