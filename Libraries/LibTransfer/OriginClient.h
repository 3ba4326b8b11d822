/// @file Reads manifests and ranges of the weights from the origin over HTTP.
#pragma once

#include "LibCore/Clock.h"
#include "LibNetwork/Dialer.h"
#include "LibNetwork/HttpAnswerReader.h"
#include "LibNetwork/SocketInterrupter.h"
#include "LibTransfer/OriginDialect.h"
#include "LibTransfer/OriginTimeouts.h"

#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <optional>
#include <string>

namespace Transfer {

/// A persistent connection to the origin. Not thread-safe.
class OriginClient
{
public:
    /// @p interrupter ends the waits of this client from another thread; it must outlive the client.
    OriginClient(
        Network::NetworkSettings network, Core::Address origin, OriginTimeouts timeouts, OriginDialect dialect, Network::SocketInterrupter &interrupter);
    ~OriginClient();

    OriginClient(const OriginClient &) = delete;
    OriginClient &operator=(const OriginClient &) = delete;

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
    Core::Result<void> connect();
    void disconnect();
    /// Returns whether the whole request was written.
    bool sendRequest(const OriginRequest &request);
    Core::Result<std::string> readAnswer(const OriginRequest &request, std::size_t maximumBytes);
    /// Reads up to about one part more than the limit, so that an excessive length can be detected.
    Core::Result<std::string> readBody(Network::HttpAnswerReader &reader, std::size_t maximumBytes) const;
    Core::Result<std::string> checkAnswer(int status, std::string body, std::size_t maximumBytes, int expectedStatus) const;

    const Network::NetworkSettings m_network;
    const Core::Address m_origin;
    const OriginTimeouts m_timeouts;
    const OriginDialect m_dialect;
    Network::SocketInterrupter &m_interrupter;
    std::optional<Poco::Net::StreamSocket> m_socket; ///< Empty before the first request and after a failure.
};

}
