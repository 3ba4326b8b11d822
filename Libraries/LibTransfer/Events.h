/// @file What the other duties tell the coordinator.
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

/// Collects a chunk's bytes on the node's thread. The coordinator reads m_bytes only after the end of the call.
struct ChunkBuffer
{
    explicit ChunkBuffer(std::size_t expected)
        : m_expected(expected)
    {
    }

    const std::size_t m_expected;
    std::string m_bytes; ///< At most one frame longer than m_expected.
    std::atomic<std::uint64_t> m_received = 0; ///< Size of m_bytes, for anybody.
};

/// Something that was set from outside waits to be looked at.
struct WakeUp
{
};

/// A peer's holdings came, over the stream with the given serial number.
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

/// A peer's answer to a request for a chunk is over.
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

struct ManifestRequestEnded
{
    std::string m_digest;
    std::string m_from;
    Core::Result<std::string> m_encoded;
};

/// Calls of peers.
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

/// A manifest that was found on this instance, by the side of the weights' user.
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
                           ManifestRequestEnded,
                           ManifestRequested,
                           FollowRequested,
                           ChunkRequested>;

/**
 * Where other threads leave events for the coordinator. Shared with the callbacks of calls, which can outlive the coordinator.
 */
class EventQueue
{
public:
    EventQueue(std::size_t capacity, Telemetry::Counter &lost)
        : m_ring(capacity)
        , m_lostEvents(lost)
    {
    }

    /// A lost event harms nobody for long: calls of peers end with an error, and requests without an end are judged stalled.
    void push(Event event)
    {
        if (!m_ring.tryPush(std::move(event))) {
            m_lostEvents.add();
        }
    }

    std::optional<Event> pop(Core::Duration patience)
    {
        return m_ring.pop(patience);
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
