/// @file An HTTP request to the local endpoint with a streamed answer, which another thread can abort.
#pragma once

#include "LibCore/Clock.h"
#include "LibNetwork/Dialer.h"
#include "LibNetwork/HttpAnswerReader.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace Endpoint {

/// Allows another thread to abort the blocking reads of an exchange.
class AbortHandle
{
public:
    /// Sets the connection that abort() shuts down. If abort() was called before, the connection is shut down at once.
    void attach(const Poco::Net::StreamSocket &socket);
    /// Shuts down the connection. Thread-safe.
    void abort();
    bool isAborted() const;

private:
    mutable std::mutex m_mutex;
    std::optional<Poco::Net::StreamSocket> m_socket;
    bool m_isAborted = false;
};

struct Header
{
    std::string m_name;
    std::string m_value;
};

/// Writes the body of a request. Returns false to abort the request.
using BodyWriter = std::function<bool(std::ostream &stream)>;

struct ExchangeRequest
{
    std::string m_method = "GET";
    std::string m_path;
    std::vector<Header> m_headers;
    std::uint64_t m_bodyBytes = 0;
    BodyWriter m_writeBody; ///< Empty if there is no body. Must write m_bodyBytes bytes.
};

/// Returns a request with a text body.
ExchangeRequest textRequest(std::string method, std::string path, std::string body);

/// One HTTP request and its answer, which is read as a stream.
class Exchange
{
public:
    /**
     * Sends a request and waits for the header of the answer.
     *
     * Fails with Unavailable if the endpoint was not reached, so that it has done nothing, and with Ambiguous if any byte may have been sent.
     * Each blocking operation waits for at most @p timeout.
     */
    static Core::Result<std::unique_ptr<Exchange>> open(const Network::NetworkSettings &network,
                                                        const Core::Address &peer,
                                                        const ExchangeRequest &request,
                                                        Core::Duration timeout,
                                                        const std::shared_ptr<AbortHandle> &abortHandle);

    int status() const;
    std::string header(const std::string &name) const;
    /// Reads the next line without its line break. Returns no value at the end of the answer. Fails with Ambiguous, also if the answer is truncated.
    Core::Result<std::optional<std::string>> readLine(std::size_t maximumBytes);
    /// Reads the rest of the answer. Fails with Ambiguous if it is truncated, and with Corrupt if it is longer than @p maximumBytes.
    Core::Result<std::string> readAll(std::size_t maximumBytes);

private:
    Exchange(const Poco::Net::StreamSocket &socket, const Core::Address &peer);

    /// Returns whether the request was sent completely.
    bool send(const ExchangeRequest &request);
    Core::Error interruptedError(const std::string &detail) const;

    Poco::Net::StreamSocket m_socket;
    Network::HttpAnswerReader m_answer;
    const Core::Address m_peer;
    std::string m_unread; ///< Part of the body that was received and not yet returned.
};

}
