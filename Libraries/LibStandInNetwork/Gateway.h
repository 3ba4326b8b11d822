/// @file The network stand-in: an HTTP CONNECT gateway that simulates links with rates, latencies and faults.
#pragma once

#include "LibStandInNetwork/GatewayConnection.h"
#include "LibStandInNetwork/GatewayFaults.h"
#include "LibStandInNetwork/GatewaySettings.h"
#include "LibStandInNetwork/Topology.h"

#include "LibCore/Random.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace StandIn {

/// Serves all connections on one thread with one epoll set. Flows that wait for tokens or latency are resumed by timers.
class Gateway
{
public:
    explicit Gateway(GatewaySettings settings);
    ~Gateway();

    /// Starts to listen on the address. Fails with Unavailable if it is in use.
    Core::Result<void> start();
    void stop();

private:
    /// Bytes sent and received by a host.
    struct HostBytes
    {
        std::uint64_t m_up = 0;
        std::uint64_t m_down = 0;
    };

    /// Time at which a flow has bytes to write.
    struct Timer
    {
        Core::Instant m_time;
        FlowId m_flow = 0;

        bool operator>(const Timer &other) const
        {
            return m_time > other.m_time;
        }
    };

    /// Counters for the journal.
    struct Totals
    {
        std::uint64_t m_accepted = 0; ///< Accepted connections.
        std::uint64_t m_refused = 0; ///< Connections over the limit, over a cut link, or refused by the target.
        std::uint64_t m_reset = 0; ///< Connections closed with a reset.
        std::uint64_t m_corrupted = 0; ///< Reads in which a byte was changed.
        std::uint64_t m_droppedBytes = 0; ///< Bytes discarded by silenced flows.
    };

    void run();
    timespec timeToNextWake(Core::Instant now) const;
    void acceptConnections();
    void onEvents(GatewayConnection &connection, std::size_t side, std::uint32_t events);

    void readRequest(GatewayConnection &connection);
    void handleRequest(GatewayConnection &connection);
    /// Returns the body after the head in m_request, or empty if it is incomplete.
    std::optional<std::string> bodyOf(const GatewayConnection &connection, const Poco::Net::HTTPRequest &request) const;
    /// Sends the gateway's own answer and closes the connection after it.
    void answer(GatewayConnection &connection, int status, const std::string &body);
    void answerFaults(GatewayConnection &connection, const Poco::Net::HTTPRequest &request, const std::string &body);
    std::string journal() const;

    /// Handles a CONNECT request: refuses it, holds it during a freeze, or connects to the target.
    void openTunnel(GatewayConnection &connection);
    void connectTarget(GatewayConnection &connection);
    void finishConnect(GatewayConnection &connection);
    /// Sets the path, latency and counters of a flow.
    void prepareFlow(GatewayConnection &connection, std::size_t direction);

    void readSide(GatewayConnection &connection, std::size_t side);
    void forwardBytes(GatewayConnection &connection, std::size_t direction, std::string_view bytes);
    void writeFlow(GatewayConnection &connection, std::size_t direction);
    /// Shuts down the writing side after the last byte of a flow, and closes the connection after both flows.
    void finishFlow(GatewayConnection &connection, std::size_t direction);
    /// Handles a failed socket: closes the connection with a reset, unless the flow from that side is silenced.
    void onSideFailed(GatewayConnection &connection, std::size_t side);
    /// Handles the sockets that failed during a freeze.
    void forwardResets(GatewayConnection &connection);
    /// Marks the connection for removeClosed().
    void closeConnection(GatewayConnection &connection, bool reset);
    void applyGrants();
    void runTimers(Core::Instant now);
    void setTimer(GatewayConnection &connection, std::size_t direction);

    /// @param silenceNow silences the open connections that match the fault "silent".
    void applyFaults(const GatewayFaults &faults, bool silenceNow);
    bool isCut(const GatewayConnection &connection) const;
    bool isFrozen(const GatewayConnection &connection) const;
    bool isSilenced(const std::string &from, const std::string &to) const;

    /// Returns the number of bytes that the flow may receive now.
    std::size_t receiveCapacity(const ConnectionFlow &flow) const;
    /// Returns the epoll events to watch for on a side.
    std::uint32_t wantedEvents(const GatewayConnection &connection, std::size_t side) const;
    /// Registers the wanted events of both sides with epoll.
    void updateEvents(GatewayConnection &connection);
    void unregister(ConnectionSide &side);
    GatewayConnection *find(GatewayConnectionId id);
    void removeClosed();

    GatewaySettings m_settings;
    LinkShaper m_shaper;
    Topology m_topology;
    GatewayFaults m_faults;
    Core::Random m_random;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_pairBytes; ///< By ordered pair of regions, including pairs of the same region.
    std::map<std::string, HostBytes> m_hostBytes; ///< By host; only hosts listed in the settings.
    Totals m_totals;

    std::optional<Poco::Net::ServerSocket> m_listener;
    int m_epoll = -1;
    int m_wakeDescriptor = -1;
    std::thread m_thread;
    std::atomic<bool> m_running = false;

    std::unordered_map<GatewayConnectionId, std::unique_ptr<GatewayConnection>> m_connections;
    std::vector<GatewayConnectionId> m_closed; ///< Connections to be removed at the end of the loop iteration.
    GatewayConnectionId m_nextConnection = 1;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::vector<Grant> m_grants; ///< Grants of this loop iteration that are not applied yet.
    std::vector<char> m_readBuffer;
};

}
