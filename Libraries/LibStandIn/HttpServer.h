/// @file HTTP server of the stand-ins: a bounded thread pool that serves one or more addresses.
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

/// Handles one request on a thread of the pool.
using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

/// Serves several addresses, each with its own handler, from one thread pool.
class HttpServer
{
public:
    /// @param maximumThreads maximum number of requests handled concurrently over all addresses; further requests are queued.
    explicit HttpServer(int maximumThreads);
    ~HttpServer();

    /// Starts to listen on the address. Fails with Unavailable if it is in use.
    Core::Result<void> listen(const Core::Address &address, HttpHandler handler);
    /// Stops all servers and waits until the last handler has returned. Waiting handlers must be woken before.
    void stop();

private:
    int m_maximumThreads;
    Poco::ThreadPool m_pool;
    std::vector<std::unique_ptr<Poco::Net::HTTPServer>> m_servers;
};

/// Sends a complete answer.
void sendAnswer(Poco::Net::HTTPServerResponse &response, int status, const std::string &contentType, const std::string &body);

/// Sends an error as JSON.
void sendError(Poco::Net::HTTPServerResponse &response, int status, const Core::Error &error);

/// Reads a body. Fails with InvalidInput if it is longer than @p limit bytes.
Core::Result<std::string> readBody(Poco::Net::HTTPServerRequest &request, std::size_t limit);

/// Reads and discards the rest of a body. Must be called before an answer is sent early: closing a connection with unread bytes
/// resets it, and the client would see a connection error instead of the answer.
void discardBody(Poco::Net::HTTPServerRequest &request);

/// Closes the connection without an answer, or before the answer is complete.
void dropConnection(Poco::Net::HTTPServerRequest &request);

}
