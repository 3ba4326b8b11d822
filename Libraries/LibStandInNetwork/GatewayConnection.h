/// @file A connection through the gateway: two sockets and a flow in each direction.
#pragma once

#include "LibStandInNetwork/FlowBuffer.h"
#include "LibStandInNetwork/LinkShaper.h"

#include <Poco/Net/StreamSocket.h>
#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace StandIn {

using GatewayConnectionId = std::uint64_t;

enum class ConnectionStage {
    ReadingRequest, ///< The request of the client is incomplete.
    Held, ///< One of the hosts is frozen; no connection to the target has been started.
    Connecting, ///< The connection to the target is being established.
    Open, ///< Bytes are forwarded in both directions.
    Answering, ///< The gateway's own answer is being sent; the connection is closed after it.
};

/// One of the two sockets of a connection. Side 0 is the client, side 1 the target.
struct ConnectionSide
{
    std::optional<Poco::Net::StreamSocket> m_socket;
    bool m_isRegistered = false; ///< The socket is in the epoll set.
    std::uint32_t m_events = 0; ///< Events that epoll watches for.
    bool m_hasEnded = false; ///< The peer has closed its sending direction.
    bool m_hasFailed = false; ///< The socket has failed and can be neither read nor written.
    bool m_isBlocked = false; ///< The last write was incomplete because the send buffer was full.
};

/// Counters of a flow's written bytes, owned by the gateway. Null where nothing is counted.
struct FlowCounters
{
    std::uint64_t *m_pair = nullptr; ///< Of the pair of regions.
    std::uint64_t *m_up = nullptr; ///< Of the sending host.
    std::uint64_t *m_down = nullptr; ///< Of the receiving host.

    void add(std::uint64_t bytes) const
    {
        for (std::uint64_t *counter : {m_pair, m_up, m_down}) {
            if (counter) {
                *counter += bytes;
            }
        }
    }
};

/// One direction of a connection. Flow i carries bytes from side i to the other side.
struct ConnectionFlow
{
    FlowBuffer m_buffer;
    bool m_isShaped = false; ///< At least one link on the path has a limited rate.
    Core::Clock::duration m_latency{0};
    bool m_isSilenced = false; ///< Its bytes and its end are discarded permanently.
    bool m_isFinished = false; ///< The end of the flow has been forwarded.
    std::optional<Core::Instant> m_timer; ///< Time of the pending timer; empty if none is set.
    FlowCounters m_counters;
};

/// State of one connection.
struct GatewayConnection
{
    GatewayConnectionId m_id = 0;
    ConnectionStage m_stage = ConnectionStage::ReadingRequest;
    std::string m_source; ///< IP address of the client.
    std::string m_target; ///< IP address of the target; empty until the request is read.
    std::uint16_t m_targetPort = 0;
    std::string m_request; ///< Bytes received in the stages ReadingRequest and Held.
    std::array<ConnectionSide, 2> m_sides;
    std::array<ConnectionFlow, 2> m_flows;
    bool m_isFrozen = false; ///< One of the hosts is frozen; nothing is read or written.
    bool m_isClosed = false; ///< To be removed at the end of the loop iteration.
    bool m_closesWithReset = false; ///< Sockets are closed with a TCP reset.

    FlowId flowId(std::size_t direction) const
    {
        return m_id * 2 + direction;
    }
};

}
