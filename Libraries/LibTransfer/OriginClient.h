/// @file Reading manifests and ranges of the weights from the origin over HTTP.
#pragma once

#include "LibCore/Clock.h"
#include "LibNetwork/Dialer.h"

#include <Poco/Net/HTTPResponse.h>
#include <cstdint>
#include <memory>
#include <string>

namespace Transfer {

/// One connection to the origin, kept between requests. Used by one thread.
class OriginClient
{
public:
    OriginClient(Network::NetworkSettings network, Core::Address origin, Core::Duration timeout);
    ~OriginClient();

    /// The encoded manifest that the name has now, which the caller must verify.
    Core::Result<std::string> readManifest(const std::string &model, const std::string &version);
    /// Exactly @p length bytes from @p offset, unverified; a shorter answer fails with Corrupt.
    Core::Result<std::string> readRange(const std::string &model, const std::string &version, std::uint64_t offset, std::uint32_t length);

private:
    Core::Result<std::string> get(const std::string &path, const std::string &range, std::size_t maximumBytes, int expectedStatus);
    Core::Result<std::string> tryGet(const std::string &path, const std::string &range, std::size_t maximumBytes, int expectedStatus);
    Core::Result<std::string> checked(const Poco::Net::HTTPResponse &response, std::string body, std::size_t maximumBytes, int expectedStatus) const;

    const Network::NetworkSettings m_network;
    const Core::Address m_origin;
    const Core::Duration m_timeout;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session; ///< Null until the first request, and after a failure.
};

}
