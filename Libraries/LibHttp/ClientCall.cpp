/// @file Implementation of the client side of HTTP/1.1, on Boost.Asio with Boost.Beast's parser.

#include "LibHttp/ClientCall.h"

#include "LibHttp/ProgressTimer.h"
#include "LibHttp/SocketOptions.h"
#include "LibNetwork/HttpStatus.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>

namespace Http {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

namespace {

constexpr std::uint32_t MaximumAnswerHeadBytes = 16 << 10; ///< The head of an endpoint's answer has a few hundred bytes.
constexpr Core::Duration SilenceCheckInterval{100}; ///< Interval at which the owner of a silent call is asked again whether it ends.
constexpr std::size_t MaximumBufferedBytes = 24 << 10; ///< Of what the parser cannot use yet: a head, or a chunk's size that does not end.
constexpr std::size_t ReadBytes = 8 << 10; ///< Size of one read; holds several events of a stream.
constexpr const char *BrokenWrite = "the connection broke while the request was sent, and the answer states no length"; ///< Detail of errors.
constexpr std::uint64_t UnlimitedBodyBytes = std::numeric_limits<std::int64_t>::max(); ///< Beast 1.74 rejects answers with a length if no limit is set.

std::string encodeHead(const ClientRequest &request)
{
    std::string head = request.m_method + " " + request.m_target + " HTTP/1.1\r\n";
    for (const HeaderField &field : request.m_fields) {
        head += field.m_name + ": " + field.m_value + "\r\n";
    }
    const bool mayHaveBody = request.m_method != "GET" && request.m_method != "HEAD" && request.m_method != "DELETE";
    if (mayHaveBody || !request.m_body.isEmpty()) {
        head += "Content-Length: " + std::to_string(request.m_body.size()) + "\r\n";
    }
    return head + "\r\n";
}

/**
 * Returns whether a write failed with an error that ended the connection before the peer had ended its side. A socket reports such an error once: if the write
 * gets it, the read meets an orderly end. Once the peer has ended its side, the kernel reports a reset as a broken pipe.
 */
bool isBrokenConnection(const boost::system::error_code &error)
{
    const bool isOwnClose = error == Asio::error::operation_aborted || error == Asio::error::bad_descriptor;
    return error && !isOwnClose && error != Asio::error::broken_pipe;
}

using AnswerParser = Beast::http::response_parser<Beast::http::buffer_body>;

BodyEnd bodyEndOf(const AnswerParser &parser)
{
    if (parser.chunked() && !parser.is_done()) {
        return BodyEnd::LastChunk;
    }
    if (parser.need_eof()) {
        return BodyEnd::Close;
    }
    return parser.is_done() && parser.content_length().value_or(1) != 0 ? BodyEnd::NoBody : BodyEnd::Length;
}

}

struct ClientCall::State
{
    explicit State(EventLoop &loop)
        : m_socket(loop)
        , m_timer(m_socket)
    {
        m_parser.body_limit(UnlimitedBodyBytes);
        m_parser.header_limit(MaximumAnswerHeadBytes);
    }

    Socket m_socket;
    ProgressTimer m_timer;
    Beast::flat_buffer m_buffer{MaximumBufferedBytes};
    AnswerParser m_parser;
    std::array<char, ReadBytes> m_chunk;
    std::string m_outgoingHead; ///< Must stay valid until the write has ended, as must the body.
    Body m_outgoingBody;
    Core::Instant m_bodyEndsBy;
};

ClientCall::ClientCall(EventLoop &loop, Core::Address peer, ClientCallLimits limits, ClientCallEvents events)
    : m_peer(std::move(peer))
    , m_limits(limits)
    , m_events(std::move(events))
    , m_state(std::make_unique<State>(loop))
{
}

ClientCall::~ClientCall() = default;

void ClientCall::start(const ClientRequest &request)
{
    m_state->m_outgoingHead = encodeHead(request);
    m_state->m_outgoingBody = request.m_body;
    m_state->m_parser.skip(request.m_method == "HEAD");
    boost::system::error_code error;
    const Asio::ip::address_v4 host = Asio::ip::make_address_v4(m_peer.m_host, error);
    if (error) {
        Asio::post(m_state->m_socket.get_executor(),
                   [self = shared_from_this()] { self->end(false, Core::ErrorCode::InvalidInput, "connect", "not an IPv4 number"); });
        return;
    }
    startTimer(m_limits.m_connectTimeout, "connect");
    m_state->m_socket.async_connect(Asio::ip::tcp::endpoint(host, m_peer.m_port),
                                    [self = shared_from_this()](const boost::system::error_code &result) { self->onConnected(result); });
}

void ClientCall::cancel()
{
    if (m_hasEnded) {
        return;
    }
    m_hasEnded = true;
    m_events = {};
    m_state->m_timer.stop();
    boost::system::error_code ignored; // The connection is closed in any case.
    m_state->m_socket.close(ignored);
}

void ClientCall::pause()
{
    m_isPaused = true;
}

void ClientCall::resume()
{
    m_isPaused = false;
    if (m_awaitsResume && !m_hasEnded) {
        m_awaitsResume = false;
        readBody();
    }
}

void ClientCall::startTimer(Core::Duration limit, const char *step)
{
    m_state->m_timer.start(limit, weak_from_this(), [this, step] { handleSilence(step); });
}

void ClientCall::handleSilence(const char *step)
{
    const std::shared_ptr<ClientCall> self = shared_from_this();
    const std::function<bool()> onSilence = m_events.m_onSilence; // Called through a copy because the callback may cancel this call.
    const bool goesOn = m_wasSent && onSilence && !onSilence();
    if (m_hasEnded) {
        return;
    }
    if (goesOn) {
        startTimer(SilenceCheckInterval, step);
        return;
    }
    end(false, Core::ErrorCode::Timeout, step, "no progress within the limit");
}

void ClientCall::onConnected(const boost::system::error_code &error)
{
    if (m_hasEnded) {
        return;
    }
    if (error) {
        end(false, Core::ErrorCode::Unavailable, "connect", error.message());
        return;
    }
    setStreamOptions(m_state->m_socket);
    m_wasSent = true;
    const std::array<Asio::const_buffer, 2> outgoing{Asio::buffer(m_state->m_outgoingHead), Asio::buffer(m_state->m_outgoingBody.bytes())};
    Asio::async_write(
        m_state->m_socket, outgoing, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) { self->onRequestWritten(error); });
    startTimer(m_limits.m_headTimeout, "await answer");
    readHead();
}

void ClientCall::onRequestWritten(const boost::system::error_code &error)
{
    // A failed write does not end the call, since an answer that the peer sent early can still be read.
    m_isRequestWritten = true;
    m_hasWriteBroken = isBrokenConnection(error);
    if (m_awaitsRequestWritten && !m_hasEnded) {
        onAnswerRead();
    }
}

bool ClientCall::mayLackEnd() const
{
    return m_hasWriteBroken && m_state->m_parser.need_eof();
}

void ClientCall::readHead()
{
    Beast::http::async_read_header(m_state->m_socket,
                                   m_state->m_buffer,
                                   m_state->m_parser,
                                   [self = shared_from_this()](const boost::system::error_code &error, std::size_t) { self->onHeadRead(error); });
}

void ClientCall::onHeadRead(const boost::system::error_code &error)
{
    if (m_hasEnded) {
        return;
    }
    if (error) {
        const bool isMalformed = error.category() == Beast::http::make_error_code(Beast::http::error::bad_version).category()
            && error != Beast::http::error::end_of_stream && error != Beast::http::error::partial_message;
        end(false, isMalformed ? Core::ErrorCode::Corrupt : Core::ErrorCode::Ambiguous, "await answer", error.message());
        return;
    }
    const Beast::http::response_header<> &message = m_state->m_parser.get();
    AnswerHead head;
    head.m_status = static_cast<int>(message.result_int());
    head.m_reason = std::string(message.reason());
    for (const Beast::http::fields::value_type &field : message) {
        head.m_fields.push_back(HeaderField{std::string(field.name_string()), std::string(field.value())});
    }
    head.m_bodyEnd = bodyEndOf(m_state->m_parser);
    if (m_state->m_parser.content_length()) {
        head.m_contentLength = *m_state->m_parser.content_length();
    }
    if (Network::isInterimStatus(head.m_status)) {
        end(false, Core::ErrorCode::Corrupt, "await answer", "an interim answer that was not asked for");
        return;
    }
    if (!Network::isFinalStatus(head.m_status)) {
        end(false, Core::ErrorCode::Corrupt, "await answer", "the invalid status " + std::to_string(head.m_status));
        return;
    }
    if (!hasKnownTransferCoding(head.m_fields)) {
        end(false, Core::ErrorCode::Corrupt, "await answer", "the body has an unknown transfer coding");
        return;
    }
    if (mayLackEnd()) {
        end(false, Core::ErrorCode::Ambiguous, "await answer", BrokenWrite);
        return;
    }
    const std::shared_ptr<ClientCall> self = shared_from_this();
    // Called through a copy because the callback may cancel this call, which clears its callbacks.
    const std::function<void(const AnswerHead &)> onHead = m_events.m_onHead;
    if (onHead) {
        onHead(head);
    }
    if (!m_hasEnded) {
        m_state->m_bodyEndsBy = Core::Clock::now() + m_limits.m_bodyTimeout;
        readBody();
    }
}

void ClientCall::readBody()
{
    if (m_state->m_parser.is_done()) {
        onAnswerRead();
        return;
    }
    if (m_isPaused) {
        m_awaitsResume = true;
        m_state->m_timer.stop(); // While reading is paused, a lack of data does not mean that the peer has stalled.
        return;
    }
    startTimer(m_limits.m_idleTimeout, "read answer");
    m_state->m_parser.get().body().data = m_state->m_chunk.data();
    m_state->m_parser.get().body().size = m_state->m_chunk.size();
    Beast::http::async_read_some(m_state->m_socket,
                                 m_state->m_buffer,
                                 m_state->m_parser,
                                 [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) { self->onBodyRead(error, size); });
}

void ClientCall::onBodyRead(const boost::system::error_code &error, std::size_t)
{
    if (m_hasEnded) {
        return;
    }
    const std::size_t size = m_state->m_chunk.size() - m_state->m_parser.get().body().size;
    const std::function<void(std::string_view)> onData = m_events.m_onData;
    if (size > 0 && onData) {
        onData(std::string_view(m_state->m_chunk.data(), size));
        if (m_hasEnded) {
            return;
        }
    }
    if (error && error != Beast::http::error::need_buffer) {
        end(false, Core::ErrorCode::Ambiguous, "read answer", error.message());
        return;
    }
    if (!m_state->m_parser.is_done() && Core::Clock::now() > m_state->m_bodyEndsBy) {
        end(false, Core::ErrorCode::Timeout, "read answer", "the body did not end within the limit");
        return;
    }
    readBody();
}

void ClientCall::onAnswerRead()
{
    if (m_state->m_parser.need_eof() && !m_isRequestWritten) {
        // The write may have got the error of the connection without having reported it yet. Closing the socket ends a write that has got none.
        m_awaitsRequestWritten = true;
        m_state->m_timer.stop();
        boost::system::error_code ignored; // Nothing more is read or written.
        m_state->m_socket.close(ignored);
        return;
    }
    if (mayLackEnd()) {
        end(false, Core::ErrorCode::Ambiguous, "read answer", BrokenWrite);
        return;
    }
    end(true, Core::ErrorCode::Internal, "", "");
}

void ClientCall::end(bool isComplete, Core::ErrorCode code, const std::string &step, const std::string &detail)
{
    if (m_hasEnded) {
        return;
    }
    const std::shared_ptr<ClientCall> self = shared_from_this();
    ClientCallEvents events = std::move(m_events);
    cancel();
    ClientCallEnd result{isComplete, m_wasSent, {}};
    if (!isComplete) {
        result.m_error = Core::makeError(code, step, m_peer.toString(), detail);
    }
    if (events.m_onEnd) {
        events.m_onEnd(result);
    }
}

namespace {

/// The part of the answer that fetch() has received, and its callback.
struct FetchState
{
    CompleteAnswer m_answer;
    std::size_t m_maximumBytes = 0;
    Core::ByteReservation m_memory; ///< For the body, until the callback has returned.
    std::function<void(Core::Result<CompleteAnswer>)> m_done;
};

void finishFetch(FetchState &state, const ClientCallEnd &end)
{
    if (end.m_isComplete) {
        state.m_done(std::move(state.m_answer));
        return;
    }
    Core::Error error = end.m_error;
    if (end.m_wasSent && error.m_code != Core::ErrorCode::Corrupt) {
        error.m_code = Core::ErrorCode::Ambiguous;
    } else if (!end.m_wasSent && error.m_code != Core::ErrorCode::Timeout) {
        error.m_code = Core::ErrorCode::Unavailable;
    }
    state.m_done(std::move(error));
}

}

std::shared_ptr<ClientCall> fetch(EventLoop &loop,
                                  const Core::Address &peer,
                                  const ClientRequest &request,
                                  ClientCallLimits limits,
                                  std::size_t maximumBytes,
                                  std::function<void(Core::Result<CompleteAnswer>)> done,
                                  std::shared_ptr<Core::ByteBudget> memory)
{
    const std::shared_ptr<FetchState> state = std::make_shared<FetchState>();
    state->m_maximumBytes = maximumBytes;
    state->m_done = std::move(done);
    state->m_memory = Core::ByteReservation(std::move(memory));
    ClientCallEvents events;
    events.m_onHead = [state](const AnswerHead &head) { state->m_answer.m_head = head; };
    const std::shared_ptr<std::weak_ptr<ClientCall>> ownCall = std::make_shared<std::weak_ptr<ClientCall>>();
    events.m_onData = [state, ownCall, name = peer.toString()](std::string_view bytes) {
        const std::size_t size = state->m_answer.m_body.size() + bytes.size();
        if (size <= state->m_maximumBytes && state->m_memory.tryResize(size)) {
            state->m_answer.m_body.append(bytes);
            return;
        }
        // The call destroys this callback when it is cancelled.
        Core::Error error = Core::makeError(Core::ErrorCode::Corrupt,
                                            "read answer",
                                            name,
                                            size <= state->m_maximumBytes ? "no memory is left for the answer" : "the answer is longer than allowed");
        const std::function<void(Core::Result<CompleteAnswer>)> done = std::move(state->m_done);
        ownCall->lock()->cancel();
        done(std::move(error));
    };
    events.m_onEnd = [state](const ClientCallEnd &end) { finishFetch(*state, end); };
    const std::shared_ptr<ClientCall> call = std::make_shared<ClientCall>(loop, peer, limits, std::move(events));
    *ownCall = call;
    call->start(request);
    return call;
}

}
