/// @file One HTTP request to the local endpoint, whose answer is read as it comes and which another thread can break off.
#pragma once

#include "LibCore/Clock.h"
#include "LibNetwork/Dialer.h"

#include <Poco/Net/HTTPResponse.h>
#include <functional>
#include <istream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Endpoint {

/// Lets another thread end the blocking reads of an exchange.
class AbortHandle
{
public:
    /// From now on breakOff() ends this connection; if it was called before, the connection ends at once.
    void attach(const Poco::Net::StreamSocket &socket);
    /// Any thread.
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

/// Writes a request's body; false breaks the request off.
using BodyWriter = std::function<bool(std::ostream &stream)>;

struct ExchangeRequest
{
    std::string m_method = "GET";
    std::string m_path;
    std::vector<Header> m_headers;
    std::uint64_t m_bodyBytes = 0;
    BodyWriter m_writeBody; ///< Empty if there is no body. Must write m_bodyBytes bytes.
};

/// A request whose body is a text.
ExchangeRequest textRequest(std::string method, std::string path, std::string body);

class Exchange
{
public:
    /**
     * Sends a request and waits for the head of the answer.
     *
     * Fails with Unavailable if the endpoint was not reached, so that nothing was done, and with Ambiguous once any byte may have been sent.
     * Each single wait lasts at most @p timeout.
     */
    static Core::Result<std::unique_ptr<Exchange>> open(const Network::NetworkSettings &network,
                                                        const Core::Address &peer,
                                                        const ExchangeRequest &request,
                                                        Core::Duration timeout,
                                                        const std::shared_ptr<AbortHandle> &breaker);

    int status() const;
    std::string header(const std::string &name) const;
    /// The next line, without its end; empty at the end of the answer. Fails with Ambiguous.
    Core::Result<std::optional<std::string>> readLine(std::size_t maximumBytes);
    /// The whole rest of the answer. Fails with Ambiguous if it is cut, and with Corrupt if it is longer than @p maximumBytes.
    Core::Result<std::string> readAll(std::size_t maximumBytes);

private:
    Exchange(std::unique_ptr<Poco::Net::HTTPClientSession> session, Core::Address peer);

    Core::Error interruptedError(const std::string &detail) const;

    std::unique_ptr<Poco::Net::HTTPClientSession> m_session;
    const Core::Address m_peer;
    Poco::Net::HTTPResponse m_response;
    std::istream *m_stream = nullptr; ///< Owned by the session.
};

}
