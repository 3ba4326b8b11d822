/// @file Manages all connections of a process to other processes of the system.
#pragma once

#include "LibCore/Ring.h"
#include "LibNetwork/NetworkSettings.h"
#include "LibTelemetry/Metrics.h"
#include "LibWire/Connection.h"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace Wire {

struct NodeSettings
{
    std::optional<Core::Address> m_listen; ///< Absent for a process that only makes calls.
    Network::NetworkSettings m_network;
    ConnectionLimits m_limits;
    std::size_t m_maximumConnections = 4096;
    std::size_t m_memoryBytes = 64 << 20; ///< Limit on the bytes that all connections hold for their peers.
    std::size_t m_commandCapacity = 1 << 16; ///< Maximum number of calls and cancellations that wait for the node's thread.
    Core::Duration m_idleTimeout{60000}; ///< A connection without calls is closed after this time.
};

/**
 * Makes and answers calls over HTTP/2 streams, on one thread of its own.
 *
 * Handlers and call events run on that thread and must not block.
 */
class Node
{
public:
    Node(NodeSettings settings, Telemetry::Metrics &metrics);
    ~Node();

    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Registers the handler of a method, for example "control.state". Before start() only.
    void handle(const std::string &method, Handler handler);

    /// Listens, if the settings say so, and starts the thread.
    Core::Result<void> start();
    /// Ends every call with Cancelled, closes every connection and joins the thread.
    void stop();

    /// Starts a call. m_onEnd is called exactly once for every call, on the calling thread if the node is overloaded or stopped.
    CallId call(const Core::Address &peer, std::string method, std::string body, CallOptions options, CallEvents events);
    /// Ends a call early: its m_onEnd reports Cancelled, and the peer's responder sees the cancellation.
    void cancel(CallId call);

    /// Makes a call with a single answer frame and waits for it. Must not be called on the node's thread.
    Core::Result<std::string> request(const Core::Address &peer, std::string method, std::string body, Core::Duration timeout);

private:
    struct Command
    {
        std::optional<Core::Address> m_peer; ///< Set if the command starts a call.
        Connection::NewCall m_call;
        CallId m_cancelled = 0; ///< The call to cancel; 0 if the command starts a call.
    };

    struct OpenCall
    {
        ConnectionId m_connection = 0;
        Core::Instant m_startedAt;
        Core::Address m_peer;
    };

    void run();
    void wake();
    /// Makes the next call to the peer use a new connection if that of @p call has been silent since the call began.
    void retireIfSilent(const OpenCall &call);
    void runCommands();
    void startCall(Command command);
    void resumeDirtyStreams();
    void acceptConnections();
    void tick(Core::Instant now);
    void expireCalls(Core::Instant now);
    void abandonCall(CallId call, const Core::Error &reason);
    Connection *connectionTo(const Core::Address &peer, Core::Error &error);
    void registerConnection(Connection &connection);
    void updateWriteInterest(Connection &connection);
    void removeDeadConnections();
    void shutDownAll();

    const NodeSettings m_settings;
    const std::shared_ptr<Core::ByteBudget> m_memory;
    Traffic m_traffic;
    Telemetry::Counter &m_connectionsLost;
    Telemetry::Counter &m_callsRefused;
    std::map<std::string, Handler> m_handlers; ///< Fixed once the thread runs.
    ConnectionHost m_host;
    Core::Ring<Command> m_commands;
    std::atomic<CallId> m_nextCall = 1;
    std::atomic<bool> m_running = false;
    std::atomic<bool> m_wakeRequested = false;

    std::mutex m_dirtyMutex;
    std::vector<std::pair<ConnectionId, std::int32_t>> m_dirty; ///< Streams with new output; bounded by the pushes between two iterations of the loop.

    // The members below are used by the node's thread only.
    int m_epoll = -1;
    int m_wakeDescriptor = -1;
    std::optional<Poco::Net::ServerSocket> m_listener;
    ConnectionId m_nextConnection = 0;
    std::unordered_map<ConnectionId, std::unique_ptr<Connection>> m_connections;
    std::unordered_map<ConnectionId, bool> m_writeInterest;
    std::map<Core::Address, ConnectionId> m_outgoing; ///< The connection that new calls to a peer use.
    std::unordered_map<CallId, OpenCall> m_calls;
    std::multimap<Core::Instant, CallId> m_deadlines; ///< May contain calls that have ended.
    std::unordered_map<ConnectionId, Core::Instant> m_idleSince;
    Core::Instant m_nextTick;
    std::thread m_thread;
};

}
