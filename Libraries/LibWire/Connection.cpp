/// @file Implementation of a connection on nghttp2.

#include "LibWire/Connection.h"

#include <Poco/Net/NetException.h>
#include <cerrno>
#include <sys/socket.h>

namespace Wire {

namespace {

constexpr std::size_t ReadBytes = 64 << 10;
constexpr int ReadsPerEvent = 4;
constexpr std::int32_t StreamWindow = 1 << 20;
constexpr std::int32_t ConnectionWindow = 16 << 20;
constexpr std::size_t FrameHeaderBytes = 9;
constexpr std::size_t StreamBytes = 1 << 10; ///< Held for a stream besides its data.
constexpr std::size_t MaximumMethodBytes = 128; ///< Of a method's name that are kept; the names of all methods are shorter.
constexpr std::size_t LargeStreamBytes = 64 << 10; ///< A stream that holds more than this is a large one.
/// Large streams may fill this part of the memory, so that connections and small messages always find some.
constexpr std::size_t LargeStreamParts = 3;
constexpr std::size_t LargeStreamDivisor = 4;
constexpr std::string_view TimeoutHeader = "timeout-ms";
constexpr std::string_view VersionHeader = "wire-version";
constexpr std::string_view WireVersion = "1";
constexpr std::string_view StatusHeader = ":status";
constexpr std::string_view AnswerStatus = "200"; ///< Of every answer. How a call has ended is stated by its frames.

nghttp2_nv makeHeader(std::string_view name, std::string_view value)
{
    nghttp2_nv header;
    header.name = reinterpret_cast<uint8_t *>(const_cast<char *>(name.data()));
    header.namelen = name.size();
    header.value = reinterpret_cast<uint8_t *>(const_cast<char *>(value.data()));
    header.valuelen = value.size();
    header.flags = NGHTTP2_NV_FLAG_NONE;
    return header;
}

Core::Duration parseTimeout(const std::string &text)
{
    constexpr std::size_t maximumDigits = 9;
    if (text.empty() || text.size() > maximumDigits || text.find_first_not_of("0123456789") != std::string::npos) {
        return Core::Duration(0);
    }
    return Core::Duration(std::stol(text));
}

Core::Error makeLostError(const std::string &peer, const std::string &detail)
{
    return Core::makeError(Core::ErrorCode::Ambiguous, "await answer", peer, detail);
}

}

std::unique_ptr<Connection>
Connection::createOutgoing(ConnectionId id, Poco::Net::StreamSocket socket, const Core::Address &peer, bool throughGateway, ConnectionHost &host)
{
    return std::unique_ptr<Connection>(new Connection(id, std::move(socket), peer, State::Dialing, throughGateway, host));
}

std::unique_ptr<Connection> Connection::createAccepted(ConnectionId id, Poco::Net::StreamSocket socket, Core::ByteReservation memory, ConnectionHost &host)
{
    const Poco::Net::SocketAddress address = socket.peerAddress();
    const Core::Address peer{address.host().toString(), address.port()};
    std::unique_ptr<Connection> connection(new Connection(id, std::move(socket), peer, State::Open, false, host));
    connection->m_memory = std::move(memory);
    connection->openSession(false);
    return connection;
}

Connection::Connection(ConnectionId id, Poco::Net::StreamSocket socket, Core::Address peer, State state, bool throughGateway, ConnectionHost &host)
    : m_id(id)
    , m_socket(std::move(socket))
    , m_peer(std::move(peer))
    , m_peerName(m_peer.toString())
    , m_state(state)
    , m_throughGateway(throughGateway)
    , m_host(host)
    , m_created(Core::Clock::now())
    , m_lastReceived(m_created)
    , m_lastPing(m_created)
{
}

Connection::~Connection()
{
    if (m_session) {
        nghttp2_session_del(m_session);
    }
}

int Connection::descriptor() const
{
    return m_socket.impl()->sockfd();
}

void Connection::openSession(bool asClient)
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onDataChunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrameReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, onFrameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClosed);
    if (asClient) {
        nghttp2_session_client_new(&m_session, callbacks, this);
    } else {
        nghttp2_session_server_new(&m_session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);

    const std::array<nghttp2_settings_entry, 2> settings = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_host.m_limits.m_maximumStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindow},
    }};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, ConnectionWindow);
}

void Connection::startCall(NewCall call)
{
    if (m_state != State::Open) {
        m_waiting.push_back(std::move(call));
        return;
    }
    submitCall(std::move(call));
}

void Connection::submitCall(NewCall call)
{
    const std::string path = "/" + call.m_method;
    const std::string timeout = std::to_string(call.m_options.m_timeout.count());
    const std::array<nghttp2_nv, 6> headers = {
        makeHeader(":method", "POST"),
        makeHeader(":scheme", "http"),
        makeHeader(":authority", m_peerName),
        makeHeader(":path", path),
        makeHeader(TimeoutHeader, timeout),
        makeHeader(VersionHeader, WireVersion),
    };
    nghttp2_data_provider provider;
    provider.source.ptr = nullptr;
    provider.read_callback = readOutput;
    const std::int32_t streamId = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (streamId < 0) {
        const Core::Error error = Core::makeError(Core::ErrorCode::Unavailable, "start call", m_peerName, nghttp2_strerror(streamId));
        m_host.m_onCallEnded(call.m_id);
        call.m_events.m_onEnd(CallEnd{false, Delivery::NotSent, error});
        return;
    }
    Stream stream{purposeOf(call.m_method),
                  FrameDecoder(m_host.m_limits.m_maximumMessageBytes),
                  makeOutput(streamId),
                  call.m_method,
                  call.m_options.m_timeout,
                  {},
                  false,
                  Core::ByteReservation(m_host.m_memory)};
    if (!stream.m_output->push(FrameKind::Message, call.m_body)) {
        stream.m_output->finish(FrameKind::Error, {});
    }
    stream.m_output->finish(FrameKind::End, {});
    call.m_body.clear();
    m_callStreams[call.m_id] = streamId;
    stream.m_call = std::move(call);
    m_streams.emplace(streamId, std::move(stream));
    // The time without calls is no silence. With a ping unanswered the silence goes on, or calls that follow each other would hide it.
    if (!awaitsPing()) {
        m_lastReceived = std::max(m_lastReceived, Core::Clock::now() - m_host.m_limits.m_heartbeatInterval);
    }
}

void Connection::abandonCall(CallId id, const Core::Error &reason)
{
    for (std::vector<NewCall>::iterator it = m_waiting.begin(); it != m_waiting.end(); ++it) {
        if (it->m_id == id) {
            const NewCall call = std::move(*it);
            m_waiting.erase(it);
            m_host.m_onCallEnded(id);
            call.m_events.m_onEnd(CallEnd{false, Delivery::NotSent, reason});
            return;
        }
    }
    const std::unordered_map<CallId, std::int32_t>::iterator found = m_callStreams.find(id);
    if (found == m_callStreams.end()) {
        return;
    }
    const std::int32_t streamId = found->second;
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, streamId, NGHTTP2_CANCEL);
    endCall(m_streams.at(streamId), CallEnd{false, Delivery::Sent, reason});
}

void Connection::endCall(Stream &stream, const CallEnd &end)
{
    if (!stream.m_call) {
        return;
    }
    const NewCall call = std::move(*stream.m_call);
    stream.m_call.reset();
    m_callStreams.erase(call.m_id);
    m_host.m_onCallEnded(call.m_id);
    call.m_events.m_onEnd(end);
}

void Connection::resumeStream(std::int32_t stream)
{
    if (m_session && m_streams.contains(stream)) {
        nghttp2_session_resume_data(m_session, stream);
    }
}

std::shared_ptr<StreamOutput> Connection::makeOutput(std::int32_t streamId)
{
    const std::function<void(ConnectionId, std::int32_t)> &markDirty = m_host.m_markDirty;
    return std::make_shared<StreamOutput>(
        m_host.m_limits.m_maximumBacklogBytes, m_host.m_memory, [markDirty, id = m_id, streamId] { markDirty(id, streamId); });
}

void Connection::onConnected()
{
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(descriptor(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        shutDown(Core::makeError(Core::ErrorCode::Unavailable, "connect", m_peerName, std::generic_category().message(error)));
        return;
    }
    if (m_throughGateway) {
        m_state = State::GatewayHandshake;
        m_unsent = Network::gatewayRequest(m_peer);
        return;
    }
    m_state = State::Open;
    openSession(true);
}

void Connection::onWritable()
{
    if (m_state == State::Dialing) {
        onConnected();
    }
    flush();
}

void Connection::onReadable()
{
    std::array<char, ReadBytes> buffer;
    for (int reads = 0; reads < ReadsPerEvent && !m_dead; ++reads) {
        const ssize_t bytes = ::recv(descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            break;
        }
        if (bytes <= 0) {
            const std::string detail = bytes == 0 ? "the peer closed the connection" : std::generic_category().message(errno);
            const bool wasNeverOpen = m_state != State::Open;
            shutDown(wasNeverOpen ? Core::makeError(Core::ErrorCode::Unavailable, "connect", m_peerName, detail) : makeLostError(m_peerName, detail));
            return;
        }
        m_lastReceived = Core::Clock::now();
        receive(std::string_view(buffer.data(), static_cast<std::size_t>(bytes)));
        if (static_cast<std::size_t>(bytes) < buffer.size()) {
            break;
        }
    }
    flush();
}

void Connection::receive(std::string_view bytes)
{
    std::string remainder;
    if (m_state == State::GatewayHandshake) {
        m_gatewayAnswer.append(bytes);
        const Core::Result<std::optional<std::size_t>> length = Network::parseGatewayAnswer(m_gatewayAnswer, m_peer);
        if (!length) {
            shutDown(length.error());
            return;
        }
        if (!length.value()) {
            return;
        }
        remainder = m_gatewayAnswer.substr(*length.value());
        bytes = remainder;
        m_state = State::Open;
        openSession(true);
    }
    if (m_state != State::Open || bytes.empty()) {
        return;
    }
    const ssize_t consumed = nghttp2_session_mem_recv(m_session, reinterpret_cast<const uint8_t *>(bytes.data()), bytes.size());
    if (consumed < 0) {
        shutDown(Core::makeError(Core::ErrorCode::Corrupt, "read HTTP/2", m_peerName, nghttp2_strerror(static_cast<int>(consumed))));
    }
}

void Connection::flush()
{
    if (m_dead) {
        return;
    }
    if (m_state == State::Open && !m_waiting.empty()) {
        std::vector<NewCall> waiting;
        waiting.swap(m_waiting);
        for (NewCall &call : waiting) {
            submitCall(std::move(call));
        }
    }
    while (!m_dead) {
        if (m_unsent.empty()) {
            if (!m_session) {
                return;
            }
            const uint8_t *data = nullptr;
            const ssize_t length = nghttp2_session_mem_send(m_session, &data);
            if (length < 0) {
                shutDown(Core::makeError(Core::ErrorCode::Internal, "write HTTP/2", m_peerName, nghttp2_strerror(static_cast<int>(length))));
                return;
            }
            if (length == 0) {
                break;
            }
            m_unsent.assign(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
        }
        const ssize_t sent = ::send(descriptor(), m_unsent.data(), m_unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN)) {
            return;
        }
        if (sent < 0) {
            shutDown(makeLostError(m_peerName, std::generic_category().message(errno)));
            return;
        }
        m_unsent.erase(0, static_cast<std::size_t>(sent));
    }
    if (m_session && !nghttp2_session_want_read(m_session) && !nghttp2_session_want_write(m_session)) {
        shutDown(makeLostError(m_peerName, "the HTTP/2 session ended"));
    }
}

bool Connection::awaitsPing() const
{
    return m_lastPing > m_lastReceived;
}

bool Connection::isSilentSince(Core::Instant time) const
{
    return m_state == State::Open && awaitsPing() && m_lastReceived < time;
}

bool Connection::wantsWrite() const
{
    return m_state == State::Dialing || !m_unsent.empty();
}

bool Connection::isIdle() const
{
    return m_streams.empty() && m_waiting.empty();
}

void Connection::onTick(Core::Instant now)
{
    if (m_dead) {
        return;
    }
    if (m_state != State::Open) {
        if (now - m_created > m_host.m_limits.m_dialTimeout) {
            shutDown(Core::makeError(Core::ErrorCode::Unavailable, "connect", m_peerName, "no connection in time"));
        }
        return;
    }
    if (m_streams.empty() && !awaitsPing()) {
        return;
    }
    if (now - m_lastReceived > m_host.m_limits.m_silenceTimeout && awaitsPing()) {
        shutDown(makeLostError(m_peerName, "the connection went silent"));
        return;
    }
    if (now - m_lastReceived >= m_host.m_limits.m_heartbeatInterval && now - m_lastPing >= m_host.m_limits.m_heartbeatInterval) {
        m_lastPing = now;
        nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
        flush();
    }
}

void Connection::shutDown(const Core::Error &reason)
{
    if (m_dead) {
        return;
    }
    m_dead = true;
    std::vector<NewCall> waiting;
    waiting.swap(m_waiting);
    for (const NewCall &call : waiting) {
        m_host.m_onCallEnded(call.m_id);
        call.m_events.m_onEnd(CallEnd{false, Delivery::NotSent, reason});
    }
    for (std::pair<const std::int32_t, Stream> &entry : m_streams) {
        endCall(entry.second, CallEnd{false, Delivery::Sent, reason});
        if (entry.second.m_output) {
            entry.second.m_output->close();
        }
    }
    m_streams.clear();
    m_socket.close();
}

void Connection::onFrames(std::int32_t streamId, const std::vector<Frame> &frames)
{
    for (const Frame &frame : frames) {
        const std::unordered_map<std::int32_t, Stream>::iterator found = m_streams.find(streamId);
        if (found == m_streams.end()) {
            return;
        }
        Stream &stream = found->second;
        if (!stream.m_call) {
            // On the calling side the call has ended, and its peer may not have noticed yet.
            const bool isIncoming = nghttp2_session_check_server_session(m_session) != 0;
            if (isIncoming && frame.m_kind == FrameKind::Message && !stream.m_dispatched) {
                dispatch(streamId, stream, frame.m_payload);
            }
            continue;
        }
        switch (frame.m_kind) {
        case FrameKind::Message:
            if (stream.m_call->m_events.m_onFrame) {
                stream.m_call->m_events.m_onFrame(frame.m_payload);
            }
            break;
        case FrameKind::End:
            endCall(stream, CallEnd{true, Delivery::Answered, {}});
            break;
        case FrameKind::Error:
            endCall(stream, CallEnd{false, Delivery::Answered, decodeError(frame.m_payload, m_peerName)});
            break;
        }
    }
}

void Connection::dispatch(std::int32_t streamId, Stream &stream, const std::string &body)
{
    stream.m_dispatched = true;
    stream.m_output = makeOutput(streamId);
    const std::shared_ptr<StreamOutput> output = stream.m_output;
    const std::array<nghttp2_nv, 1> headers = {makeHeader(StatusHeader, AnswerStatus)};
    nghttp2_data_provider provider;
    provider.source.ptr = nullptr;
    provider.read_callback = readOutput;
    nghttp2_submit_response(m_session, streamId, headers.data(), headers.size(), &provider);
    const Responder responder(output);
    const Handler *handler = m_host.m_findHandler(stream.m_method);
    if (!handler) {
        responder.fail(Core::makeError(Core::ErrorCode::NotFound, "dispatch call", "", "no method " + stream.m_method));
        return;
    }
    (*handler)(IncomingCall{stream.m_method, body, m_peerName, stream.m_timeout, responder});
}

int Connection::onBeginHeaders(nghttp2_session *session, const nghttp2_frame *frame, void *user)
{
    Connection &self = *static_cast<Connection *>(user);
    if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
        Core::ByteReservation memory(self.m_host.m_memory);
        if (!memory.tryResize(StreamBytes)) {
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
            return 0;
        }
        self.m_streams.emplace(
            frame->hd.stream_id,
            Stream{Purpose::Control, FrameDecoder(self.m_host.m_limits.m_maximumMessageBytes), nullptr, {}, Core::Duration(0), {}, false, std::move(memory)});
    }
    return 0;
}

int Connection::onHeader(
    nghttp2_session *, const nghttp2_frame *frame, const uint8_t *name, size_t nameLength, const uint8_t *value, size_t valueLength, uint8_t, void *user)
{
    Connection &self = *static_cast<Connection *>(user);
    const std::unordered_map<std::int32_t, Stream>::iterator found = self.m_streams.find(frame->hd.stream_id);
    if (found == self.m_streams.end()) {
        return 0;
    }
    const std::string_view header(reinterpret_cast<const char *>(name), nameLength);
    const std::string text(reinterpret_cast<const char *>(value), valueLength);
    if (found->second.m_call) {
        if (header == StatusHeader && text != AnswerStatus) {
            const Core::Error error = Core::makeError(Core::ErrorCode::Corrupt, "read answer", self.m_peerName, "status " + text);
            self.refuseStream(frame->hd.stream_id, error, NGHTTP2_PROTOCOL_ERROR);
        }
        return 0;
    }
    if (header == ":path" && text.size() > 1) {
        found->second.m_method = text.substr(1, MaximumMethodBytes);
        found->second.m_purpose = purposeOf(found->second.m_method);
    } else if (header == TimeoutHeader) {
        found->second.m_timeout = parseTimeout(text);
    }
    return 0;
}

int Connection::onDataChunk(nghttp2_session *, uint8_t, int32_t streamId, const uint8_t *data, size_t length, void *user)
{
    Connection &self = *static_cast<Connection *>(user);
    const std::unordered_map<std::int32_t, Stream>::iterator found = self.m_streams.find(streamId);
    if (found == self.m_streams.end()) {
        return 0;
    }
    if (!self.reserveStream(found->second, length)) {
        const Core::Error error = Core::makeError(Core::ErrorCode::Overloaded, "receive call", self.m_peerName, "no memory is left for the message");
        self.refuseStream(streamId, error, NGHTTP2_REFUSED_STREAM);
        return 0;
    }
    std::vector<Frame> frames;
    const Core::Result<void> fed = found->second.m_decoder.feed(std::string_view(reinterpret_cast<const char *>(data), length), frames);
    self.reserveStream(found->second, 0);
    self.onFrames(streamId, frames);
    if (!fed) {
        self.refuseStream(streamId, fed.error(), NGHTTP2_PROTOCOL_ERROR);
    }
    return 0;
}

bool Connection::reserveStream(Stream &stream, std::size_t undecodedBytes) const
{
    const std::size_t bytes = StreamBytes + stream.m_decoder.partialBytes() + undecodedBytes;
    const std::size_t limit = m_host.m_memory->limit();
    return stream.m_memory.tryResize(bytes, bytes > LargeStreamBytes ? limit / LargeStreamDivisor * LargeStreamParts : limit);
}

void Connection::refuseStream(std::int32_t streamId, const Core::Error &error, std::uint32_t code)
{
    const std::unordered_map<std::int32_t, Stream>::iterator found = m_streams.find(streamId);
    if (found != m_streams.end()) {
        endCall(found->second, CallEnd{false, Delivery::Sent, error});
    }
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, streamId, code);
}

int Connection::onFrameReceived(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    const Connection &self = *static_cast<Connection *>(user);
    const std::unordered_map<std::int32_t, Stream>::const_iterator found = self.m_streams.find(frame->hd.stream_id);
    const Purpose purpose = found == self.m_streams.end() ? Purpose::Control : found->second.m_purpose;
    self.m_host.m_traffic->countReceived(purpose, frame->hd.length + FrameHeaderBytes);
    return 0;
}

int Connection::onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    const Connection &self = *static_cast<Connection *>(user);
    const std::unordered_map<std::int32_t, Stream>::const_iterator found = self.m_streams.find(frame->hd.stream_id);
    const Purpose purpose = found == self.m_streams.end() ? Purpose::Control : found->second.m_purpose;
    self.m_host.m_traffic->countSent(purpose, frame->hd.length + FrameHeaderBytes);
    return 0;
}

int Connection::onStreamClosed(nghttp2_session *, int32_t streamId, uint32_t code, void *user)
{
    Connection &self = *static_cast<Connection *>(user);
    const std::unordered_map<std::int32_t, Stream>::iterator found = self.m_streams.find(streamId);
    if (found == self.m_streams.end()) {
        return 0;
    }
    if (found->second.m_output) {
        found->second.m_output->close();
    }
    const bool refused = code == NGHTTP2_REFUSED_STREAM;
    const Core::Error error = refused ? Core::makeError(Core::ErrorCode::Overloaded, "start call", self.m_peerName, "the peer has too many calls")
                                      : makeLostError(self.m_peerName, "the stream closed before its end: " + std::string(nghttp2_http2_strerror(code)));
    self.endCall(found->second, CallEnd{false, refused ? Delivery::Answered : Delivery::Sent, error});
    self.m_streams.erase(streamId);
    return 0;
}

ssize_t Connection::readOutput(nghttp2_session *, int32_t streamId, uint8_t *buffer, size_t length, uint32_t *flags, nghttp2_data_source *, void *user)
{
    const Connection &self = *static_cast<Connection *>(user);
    const std::unordered_map<std::int32_t, Stream>::const_iterator found = self.m_streams.find(streamId);
    if (found == self.m_streams.end() || !found->second.m_output) {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    const StreamOutput::TakeResult taken = found->second.m_output->take(reinterpret_cast<char *>(buffer), length);
    if (taken.m_isLast) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(taken.m_bytes);
    }
    if (taken.m_bytes == 0) {
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(taken.m_bytes);
}

}
