/// @file Events that other threads send to the coordinator.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Error.h"
#include "LibCore/Ring.h"
#include "LibTelemetry/Metrics.h"
#include "LibTransfer/Exchange.h"
#include "LibTransfer/Messages.h"
#include "LibWire/Call.h"

#include <atomic>
#include <memory>
#include <string>
#include <variant>

namespace Transfer {

/// Receives the bytes of a chunk on the node's thread. The coordinator reads m_bytes only after the end of the call.
struct ChunkBuffer
{
    explicit ChunkBuffer(std::size_t expected)
        : m_expected(expected)
    {
    }

    const std::size_t m_expected;
    std::string m_bytes; ///< At most one frame longer than m_expected.
    std::atomic<std::uint64_t> m_received = 0; ///< Size of m_bytes. May be read on any thread.
};

/// Wakes the coordinator after a change of its pending targets or releases.
struct WakeUp
{
};

/// An update of a peer's holdings, received over the stream with the given serial number.
struct UpdateReceived
{
    std::string m_digest;
    Core::Address m_peer;
    std::uint64_t m_serial = 0;
    HaveUpdate m_update;
};

struct FollowEnded
{
    std::string m_digest;
    Core::Address m_peer;
    std::uint64_t m_serial = 0;
};

/// A chunk request to a peer has ended.
struct PeerRequestEnded
{
    std::string m_digest;
    RequestId m_request = 0;
    Wire::CallEnd m_end;
    std::shared_ptr<ChunkBuffer> m_buffer;
};

struct OriginRequestEnded
{
    std::string m_digest;
    RequestId m_request = 0;
    Core::Result<std::string> m_bytes;
};

struct OriginProbeEnded
{
    std::string m_digest;
    bool m_isReachable = false;
};

struct ManifestRequestEnded
{
    std::string m_digest;
    std::string m_from;
    Core::Result<std::string> m_encoded;
};

/// Calls from peers.
struct ManifestRequested
{
    std::string m_digest;
    Wire::Responder m_responder;
};

struct FollowRequested
{
    std::string m_digest;
    Wire::Responder m_responder;
};

struct ChunkRequested
{
    ChunkRequest m_request;
    Wire::Responder m_responder;
};

/// A manifest that the user of the weights found on this instance.
struct ManifestOffered
{
    std::string m_digest;
    std::string m_encoded;
};

/// A chunk that was found on this instance.
struct ChunkOffered
{
    std::string m_digest;
    Weights::ChunkIndex m_chunk = 0;
    std::string m_bytes;
};

using Event = std::variant<WakeUp,
                           ManifestOffered,
                           ChunkOffered,
                           UpdateReceived,
                           FollowEnded,
                           PeerRequestEnded,
                           OriginRequestEnded,
                           OriginProbeEnded,
                           ManifestRequestEnded,
                           ManifestRequested,
                           FollowRequested,
                           ChunkRequested>;

/**
 * Queue in which other threads place events for the coordinator. Shared with the callbacks of calls, which can outlive the coordinator.
 */
class EventQueue
{
public:
    EventQueue(std::size_t capacity, Telemetry::Counter &lost)
        : m_ring(capacity)
        , m_lostEvents(lost)
    {
    }

    /// Adds an event, or drops it if the queue is full. The effect of a dropped event is temporary: calls from peers end with an error, and a request whose end
    /// is missing is treated as stalled.
    void push(Event event)
    {
        if (!m_ring.tryPush(std::move(event))) {
            m_lostEvents.add();
        }
    }

    std::optional<Event> pop(Core::Duration timeout)
    {
        return m_ring.pop(timeout);
    }

    void close()
    {
        m_ring.close();
    }

private:
    Core::Ring<Event> m_ring;
    Telemetry::Counter &m_lostEvents;
};

}
