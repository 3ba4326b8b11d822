/// @file One HTTP/2 connection between two processes. Owned by a node and used on the node's thread only.
#pragma once

#include "LibCore/ByteBudget.h"
#include "LibNetwork/Dialer.h"
#include "LibWire/Call.h"
#include "LibWire/Frame.h"
#include "LibWire/StreamOutput.h"
#include "LibWire/Traffic.h"

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <map>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Wire {

/// Limits on the sizes and times of a connection.
struct ConnectionLimits
{
    std::size_t m_maximumMessageBytes = 8 << 20; ///< Maximum size of one message in bytes.
    std::size_t m_maximumBacklogBytes = 16 << 20; ///< Maximum number of bytes queued on one stream.
    std::uint32_t m_maximumStreams = 4096; ///< Maximum number of concurrent incoming calls.
    Core::Duration m_dialTimeout{2000}; ///< Until the connection is open. If it goes through a network gateway, this includes the gateway's answer.
    Core::Duration m_heartbeatInterval{1000}; ///< A ping is sent when nothing has arrived for this long.
    Core::Duration m_silenceTimeout{3500}; ///< A connection on which nothing has arrived for this long is dead.
};

using ConnectionId = std::uint64_t;

/// Limits, counters and callbacks that a connection gets from its node.
struct ConnectionHost
{
    ConnectionLimits m_limits;
    Traffic *m_traffic = nullptr;
    std::shared_ptr<Core::ByteBudget> m_memory; ///< For what all connections of the node hold.
    std::function<const Handler *(const std::string &method)> m_findHandler;
    /// Marks a stream as having data to send; may be called from any thread.
    std::function<void(ConnectionId connection, std::int32_t stream)> m_markDirty;
    std::function<void(CallId call)> m_onCallEnded;
};

/**
 * HTTP/2 session, streams and heartbeat of one socket.
 *
 * A device between the two ends can lose the state of a connection. No data passes on it any more, although new connections work and the socket
 * stays open without an error. Therefore every connection with open streams is pinged, and it is dead when nothing has arrived within the silence
 * timeout. Its calls then end with Ambiguous, and the next call opens a new connection.
 */
class Connection
{
public:
    /// Creates an outgoing connection whose dialing has begun.
    static std::unique_ptr<Connection>
    createOutgoing(ConnectionId id, Poco::Net::StreamSocket socket, const Core::Address &peer, bool throughGateway, ConnectionHost &host);
    /// Creates the server side of an accepted connection.
    static std::unique_ptr<Connection> createAccepted(ConnectionId id, Poco::Net::StreamSocket socket, Core::ByteReservation memory, ConnectionHost &host);
    ~Connection();

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// An outgoing call.
    struct NewCall
    {
        CallId m_id = 0;
        std::string m_method;
        std::string m_body;
        CallOptions m_options;
        CallEvents m_events;
    };
    /// Starts a call, or queues it until the connection is open.
    void startCall(NewCall call);
    /// Ends a call with @p reason before its answer is complete.
    void abandonCall(CallId call, const Core::Error &reason);
    /// Continues sending on a stream whose output was empty.
    void resumeStream(std::int32_t stream);

    /// Handles a socket that has become readable or writable.
    void onReadable();
    void onWritable();
    /// Checks the dial timeout and the silence timeout and sends due pings. Called periodically.
    void onTick(Core::Instant now);
    /// Writes pending bytes to the socket.
    void flush();

    /// Closes the connection and ends every call and stream with the given error.
    void shutDown(const Core::Error &reason);

    bool isDead() const
    {
        return m_dead;
    }
    bool wantsWrite() const;
    bool isIdle() const;
    /// Returns whether nothing has arrived since @p time, although a ping was sent.
    bool isSilentSince(Core::Instant time) const;
    int descriptor() const;
    ConnectionId id() const
    {
        return m_id;
    }
    const Core::Address &peer() const
    {
        return m_peer;
    }

private:
    enum class State {
        Dialing,
        GatewayHandshake,
        Open,
    };

    struct Stream
    {
        Purpose m_purpose = Purpose::Control;
        FrameDecoder m_decoder;
        std::shared_ptr<StreamOutput> m_output;
        std::string m_method;
        Core::Duration m_timeout{0};
        std::optional<NewCall> m_call; ///< Set on the calling side, until the call has ended.
        bool m_dispatched = false; ///< On the answering side: whether the handler has been called.
        Core::ByteReservation m_memory; ///< For the stream and the incomplete frame in m_decoder.
    };

    Connection(ConnectionId id, Poco::Net::StreamSocket socket, Core::Address peer, State state, bool throughGateway, ConnectionHost &host);

    /// Returns whether nothing has arrived since the last ping.
    bool awaitsPing() const;
    void openSession(bool asClient);
    void onConnected();
    void receive(std::string_view bytes);
    void submitCall(NewCall call);
    void endCall(Stream &stream, const CallEnd &end);
    /// Reserves memory for bytes of a stream before they are decoded, or for what is left of them afterwards. Returns false if there is none.
    bool reserveStream(Stream &stream, std::size_t undecodedBytes) const;
    /// Ends a stream whose data cannot be taken.
    void refuseStream(std::int32_t streamId, const Core::Error &error, std::uint32_t code);
    void onFrames(std::int32_t streamId, const std::vector<Frame> &frames);
    void dispatch(std::int32_t streamId, Stream &stream, const std::string &body);
    std::shared_ptr<StreamOutput> makeOutput(std::int32_t streamId);

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onHeader(
        nghttp2_session *, const nghttp2_frame *frame, const uint8_t *name, size_t nameLength, const uint8_t *value, size_t valueLength, uint8_t, void *user);
    static int onDataChunk(nghttp2_session *, uint8_t, int32_t streamId, const uint8_t *data, size_t length, void *user);
    static int onFrameReceived(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onStreamClosed(nghttp2_session *, int32_t streamId, uint32_t code, void *user);
    static ssize_t readOutput(nghttp2_session *, int32_t streamId, uint8_t *buffer, size_t length, uint32_t *flags, nghttp2_data_source *source, void *user);

    const ConnectionId m_id;
    Poco::Net::StreamSocket m_socket;
    const Core::Address m_peer;
    const std::string m_peerName;
    State m_state;
    const bool m_throughGateway;
    ConnectionHost &m_host;
    nghttp2_session *m_session = nullptr; ///< Null until the connection is open.
    std::unordered_map<std::int32_t, Stream> m_streams;
    std::unordered_map<CallId, std::int32_t> m_callStreams; ///< Streams whose m_call is set.
    std::vector<NewCall> m_waiting; ///< Calls that were started before the connection opened.
    std::string m_unsent; ///< Bytes that the socket has not accepted yet.
    std::string m_gatewayAnswer;
    Core::ByteReservation m_memory; ///< For an accepted connection.
    Core::Instant m_created;
    Core::Instant m_lastReceived;
    Core::Instant m_lastPing;
    bool m_dead = false;
};

}
