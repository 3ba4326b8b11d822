/// @file One connection through the gateway: two sockets and a flow each way.
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
    ReadingRequest, ///< The client has not sent its whole request yet.
    Held, ///< One of the ends is frozen; the target has not been dialed.
    Connecting, ///< The target is being dialed.
    Open, ///< Bytes are carried.
    Answering, ///< The gateway's own answer is being sent; the connection closes after it.
};

/// One of the two sockets. Side 0 is the client's, side 1 the target's.
struct ConnectionSide
{
    std::optional<Poco::Net::StreamSocket> m_socket;
    bool m_isRegistered = false; ///< epoll knows the socket.
    std::uint32_t m_events = 0; ///< What epoll watches for.
    bool m_hasEnded = false; ///< The peer sends nothing more.
    bool m_hasFailed = false; ///< The socket has failed; nothing can be written either.
    bool m_isBlocked = false; ///< The last write found no room.
};

/// Bytes carried, by where they are counted; the counters belong to the gateway. Null where nothing is counted.
struct FlowCounters
{
    std::uint64_t *m_pair = nullptr;
    std::uint64_t *m_up = nullptr;
    std::uint64_t *m_down = nullptr;

    void add(std::uint64_t bytes) const
    {
        for (std::uint64_t *counter : {m_pair, m_up, m_down}) {
            if (counter) {
                *counter += bytes;
            }
        }
    }
};

/// Flow number i of a connection carries bytes from side i to the other.
struct ConnectionFlow
{
    FlowBuffer m_buffer;
    bool m_isShaped = false; ///< Some link on the way is limited.
    Core::Clock::duration m_latency{0};
    bool m_isSilenced = false; ///< Its bytes, and its end, vanish for good.
    bool m_isFinished = false; ///< The end has been passed on.
    std::optional<Core::Instant> m_timer; ///< A timer is set for this time.
    FlowCounters m_counters;
};

struct GatewayConnection
{
    GatewayConnectionId m_id = 0;
    ConnectionStage m_stage = ConnectionStage::ReadingRequest;
    std::string m_source; ///< IP number of the client.
    std::string m_target; ///< IP number of the target; empty until the request is read.
    std::uint16_t m_targetPort = 0;
    std::string m_request; ///< Bytes received while ReadingRequest or Held.
    std::array<ConnectionSide, 2> m_sides;
    std::array<ConnectionFlow, 2> m_flows;
    bool m_isFrozen = false;
    bool m_isClosed = false; ///< To be removed at the end of the turn.
    bool m_closesWithReset = false; ///< Its sockets are closed with a reset.

    FlowId flowId(std::size_t direction) const
    {
        return m_id * 2 + direction;
    }
};

}
