/// @file One HTTP/2 connection between two processes. Belongs to a node and is used on the node's thread only.
#pragma once

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

/// Bounds on what a connection accepts and keeps.
struct ConnectionLimits
{
    std::size_t m_maximumMessageBytes = 8 << 20; ///< Bytes of one message.
    std::size_t m_maximumBacklogBytes = 16 << 20; ///< Bytes waiting to go out on one stream.
    std::uint32_t m_maximumStreams = 4096; ///< Concurrent incoming calls.
    Core::Duration m_dialTimeout{2000};
    Core::Duration m_heartbeatInterval{1000}; ///< A ping goes out when nothing arrived for this long.
    Core::Duration m_silenceTimeout{3500}; ///< A connection on which nothing arrived for this long is dead.
};

using ConnectionId = std::uint64_t;

/// What a connection needs from its node.
struct ConnectionHost
{
    ConnectionLimits m_limits;
    Traffic *m_traffic = nullptr;
    std::function<const Handler *(const std::string &method)> m_findHandler;
    /// Marks a stream as having something to send; callable from any thread.
    std::function<void(ConnectionId connection, std::int32_t stream)> m_markDirty;
    std::function<void(CallId call)> m_onCallEnded;
};

/**
 * HTTP/2 session, streams and heartbeat of one socket.
 *
 * A connection can go silent for good while new ones work, because something between the ends has lost track of it.
 * The socket then stays open and reports nothing, so the only sign is that no byte arrives. Therefore every connection
 * with open streams is pinged, and counts as dead when nothing at all arrived for the silence limit; its calls then end
 * with Ambiguous, and the next call dials anew.
 */
class Connection
{
public:
    /// An outgoing connection whose dialing has begun.
    static std::unique_ptr<Connection>
    createOutgoing(ConnectionId id, Poco::Net::StreamSocket socket, const Core::Address &peer, bool throughGateway, ConnectionHost &host);
    /// An accepted connection.
    static std::unique_ptr<Connection> createAccepted(ConnectionId id, Poco::Net::StreamSocket socket, ConnectionHost &host);
    ~Connection();

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    struct NewCall
    {
        CallId m_id = 0;
        std::string m_method;
        std::string m_body;
        CallOptions m_options;
        CallEvents m_events;
    };
    /// Starts a call, or keeps it until the connection is open.
    void startCall(NewCall call);
    /// Ends a call before its answer is complete.
    void abandonCall(CallId call, const Core::Error &reason);
    /// Continues a stream whose output was empty.
    void resumeStream(std::int32_t stream);

    /// The socket is readable or writable.
    void onReadable();
    void onWritable();
    /// Looks after the heartbeat and the dial timeout.
    void onTick(Core::Instant now);
    /// Hands pending bytes to the socket.
    void flush();

    /// Ends every call and stream with the given error.
    void shutDown(const Core::Error &reason);

    bool isDead() const
    {
        return m_dead;
    }
    bool wantsWrite() const;
    bool isIdle() const;
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
        bool m_dispatched = false; ///< On the answering side: the handler has been called.
    };

    Connection(ConnectionId id, Poco::Net::StreamSocket socket, Core::Address peer, State state, bool throughGateway, ConnectionHost &host);

    void openSession(bool asClient);
    void onConnected();
    void receive(std::string_view bytes);
    void submitCall(NewCall call);
    void endCall(Stream &stream, const CallEnd &end);
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
    std::vector<NewCall> m_waiting; ///< Calls that were made before the connection opened.
    std::string m_unsent; ///< Bytes that the socket did not take.
    std::string m_gatewayAnswer;
    Core::Instant m_created;
    Core::Instant m_lastReceived;
    Core::Instant m_lastPing;
    bool m_dead = false;
};

}
