/// @file The network stand-in: an HTTP CONNECT gateway whose links have rates, latencies and faults.
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

/// One thread and one epoll set carry every connection; a flow without tokens waits in a timer.
class Gateway
{
public:
    explicit Gateway(GatewaySettings settings);
    ~Gateway();

    /// Fails with Unavailable if the address is taken.
    Core::Result<void> start();
    void stop();

private:
    struct HostBytes
    {
        std::uint64_t m_up = 0;
        std::uint64_t m_down = 0;
    };

    struct Timer
    {
        Core::Instant m_time;
        FlowId m_flow = 0;

        bool operator>(const Timer &other) const
        {
            return m_time > other.m_time;
        }
    };

    struct Totals
    {
        std::uint64_t m_accepted = 0;
        std::uint64_t m_refused = 0;
        std::uint64_t m_reset = 0;
        std::uint64_t m_corrupted = 0; ///< Reads in which a byte was changed.
        std::uint64_t m_droppedBytes = 0; ///< Bytes swallowed by silenced flows.
    };

    void run();
    timespec timeToNextWake(Core::Instant now) const;
    void acceptConnections();
    void onEvents(GatewayConnection &connection, std::size_t side, std::uint32_t events);

    void readRequest(GatewayConnection &connection);
    void handleRequest(GatewayConnection &connection);
    /// The body that follows the head in m_request, once it is there whole.
    std::optional<std::string> bodyOf(const GatewayConnection &connection, const Poco::Net::HTTPRequest &request) const;
    void answer(GatewayConnection &connection, int status, const std::string &body);
    void answerFaults(GatewayConnection &connection, const Poco::Net::HTTPRequest &request, const std::string &body);
    std::string journal() const;

    void openTunnel(GatewayConnection &connection);
    void connectTarget(GatewayConnection &connection);
    void finishConnect(GatewayConnection &connection);
    void prepareFlow(GatewayConnection &connection, std::size_t direction);

    void readSide(GatewayConnection &connection, std::size_t side);
    void forwardBytes(GatewayConnection &connection, std::size_t direction, std::string_view bytes);
    void writeFlow(GatewayConnection &connection, std::size_t direction);
    void finishFlow(GatewayConnection &connection, std::size_t direction);
    void onSideFailed(GatewayConnection &connection, std::size_t side);
    /// Passes on what was lost during a freeze.
    void forwardResets(GatewayConnection &connection);
    void closeConnection(GatewayConnection &connection, bool reset);
    void applyGrants();
    void runTimers(Core::Instant now);
    void setTimer(GatewayConnection &connection, std::size_t direction);

    void applyFaults(const GatewayFaults &faults, bool silenceNow);
    bool isCut(const GatewayConnection &connection) const;
    bool isFrozen(const GatewayConnection &connection) const;
    bool isSilenced(const std::string &from, const std::string &to) const;

    std::size_t receiveCapacity(const ConnectionFlow &flow) const;
    std::uint32_t wantedEvents(const GatewayConnection &connection, std::size_t side) const;
    void updateEvents(GatewayConnection &connection);
    void unregister(ConnectionSide &side);
    GatewayConnection *find(GatewayConnectionId id);
    void removeClosed();

    GatewaySettings m_settings;
    LinkShaper m_shaper;
    Topology m_topology;
    GatewayFaults m_faults;
    Core::Random m_random;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_pairBytes; ///< By ordered pair of regions, a region with itself included.
    std::map<std::string, HostBytes> m_hostBytes; ///< Listed hosts.
    Totals m_totals;

    std::optional<Poco::Net::ServerSocket> m_listener;
    int m_epoll = -1;
    int m_wakeDescriptor = -1;
    std::thread m_thread;
    std::atomic<bool> m_running = false;

    std::unordered_map<GatewayConnectionId, std::unique_ptr<GatewayConnection>> m_connections;
    std::vector<GatewayConnectionId> m_closed;
    GatewayConnectionId m_nextConnection = 1;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::vector<Grant> m_grants; ///< Of this turn, not applied yet.
    std::vector<char> m_readBuffer;
};

}
