/// @file The HTTP server that the stand-ins share: a bounded pool of threads behind one or more listening addresses.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Error.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace StandIn {

/// Answers one request on a thread of the pool.
using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

/// Serves several addresses, each with its own handler, from one pool of threads.
class HttpServer
{
public:
    /// @param maximumThreads requests answered at once over all addresses; more of them wait.
    explicit HttpServer(int maximumThreads);
    ~HttpServer();

    /// Starts to listen; fails with Unavailable if the address is taken.
    Core::Result<void> listen(const Core::Address &address, HttpHandler handler);
    /// Returns after the last handler has returned; handlers that wait must be released before.
    void stop();

private:
    int m_maximumThreads;
    Poco::ThreadPool m_pool;
    std::vector<std::unique_ptr<Poco::Net::HTTPServer>> m_servers;
};

/// Sends a whole answer.
void sendAnswer(Poco::Net::HTTPServerResponse &response, int status, const std::string &contentType, const std::string &body);

/// Sends an error in JSON.
void sendError(Poco::Net::HTTPServerResponse &response, int status, const Core::Error &error);

/// Reads a body of at most @p limit bytes; fails with InvalidInput beyond.
Core::Result<std::string> readBody(Poco::Net::HTTPServerRequest &request, std::size_t limit);

/// Reads the rest of a body and forgets it. An answer given before the body was read would be lost: closing a connection
/// that holds unread bytes resets it, and the client sees a failure where it was refused.
void discardBody(Poco::Net::HTTPServerRequest &request);

/// Closes the connection without an answer, or in the middle of one.
void dropConnection(Poco::Net::HTTPServerRequest &request);

}
