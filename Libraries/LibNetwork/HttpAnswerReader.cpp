/// @file Implementation of the reader of HTTP answers, with Boost.Beast's parser.

#include "LibNetwork/HttpAnswerReader.h"

#include "LibNetwork/HttpStatus.h"

#include <Poco/Net/NetException.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <limits>

namespace Network {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

namespace {

constexpr std::size_t ReadBytes = 16 << 10;
constexpr std::uint32_t MaximumHeadBytes = 16 << 10;
constexpr std::size_t MaximumBufferedBytes = 64 << 10; ///< Of what the parser cannot use yet, such as a chunk's size that does not end.
constexpr std::uint64_t UnlimitedBodyBytes = std::numeric_limits<std::int64_t>::max(); ///< Beast 1.74 rejects answers with a length if no limit is set.
constexpr std::size_t MaximumHeads = 8; ///< Interim answers and the final one.

/// A POCO socket as Beast's functions read it; they need its method to have this name.
// NOLINTBEGIN(readability-identifier-naming)
class BlockingStream
{
public:
    explicit BlockingStream(Poco::Net::StreamSocket socket)
        : m_socket(std::move(socket))
    {
    }

    void setEnd(Core::Instant endsBy)
    {
        m_endsBy = endsBy;
    }

    template <typename Buffers>
    std::size_t read_some(const Buffers &buffers, boost::system::error_code &error)
    {
        if (m_endsBy && Core::Clock::now() > *m_endsBy) {
            error = Asio::error::timed_out;
            return 0;
        }
        const Asio::mutable_buffer buffer = *Asio::buffer_sequence_begin(buffers);
        try {
            const int size = m_socket.receiveBytes(buffer.data(), static_cast<int>(std::min<std::size_t>(buffer.size(), ReadBytes)));
            error = size > 0 ? boost::system::error_code() : boost::system::error_code(Asio::error::eof);
            return static_cast<std::size_t>(std::max(size, 0));
        } catch (const Poco::TimeoutException &) {
            error = Asio::error::timed_out;
        } catch (const Poco::Exception &) {
            error = Asio::error::connection_reset;
        }
        return 0;
    }

    /// Not used, but Beast requires it of a stream.
    template <typename Buffers>
    std::size_t read_some(const Buffers &buffers)
    {
        boost::system::error_code error;
        const std::size_t size = read_some(buffers, error);
        if (error) {
            throw boost::system::system_error(error);
        }
        return size;
    }

private:
    Poco::Net::StreamSocket m_socket;
    std::optional<Core::Instant> m_endsBy;
};
// NOLINTEND(readability-identifier-naming)

using Parser = Beast::http::response_parser<Beast::http::buffer_body>;

}

struct HttpAnswerReader::State
{
    explicit State(Poco::Net::StreamSocket socket)
        : m_stream(std::move(socket))
    {
    }

    BlockingStream m_stream;
    Beast::flat_buffer m_buffer{MaximumBufferedBytes};
    std::optional<Parser> m_parser;
    std::array<char, ReadBytes> m_part;
};

HttpAnswerReader::HttpAnswerReader(Poco::Net::StreamSocket socket, std::string step, std::string peer)
    : m_step(std::move(step))
    , m_peer(std::move(peer))
    , m_state(std::make_unique<State>(std::move(socket)))
{
}

HttpAnswerReader::~HttpAnswerReader() = default;

void HttpAnswerReader::setTimeLimit(Core::Duration limit)
{
    m_state->m_stream.setEnd(Core::Clock::now() + limit);
}

void HttpAnswerReader::acceptBodyUntilClose()
{
    m_acceptsBodyUntilClose = true;
}

Core::Result<void> HttpAnswerReader::readHead()
{
    for (std::size_t heads = 0; heads < MaximumHeads; ++heads) {
        m_state->m_parser.emplace();
        m_state->m_parser->header_limit(MaximumHeadBytes);
        m_state->m_parser->body_limit(UnlimitedBodyBytes);
        boost::system::error_code failure;
        Beast::http::read_header(m_state->m_stream, m_state->m_buffer, *m_state->m_parser, failure);
        if (failure) {
            return error("no whole answer: " + failure.message());
        }
        if (isFinalStatus(status())) {
            return Core::success();
        }
        if (!isInterimStatus(status())) {
            return error("the invalid status " + std::to_string(status()));
        }
    }
    return error("interim answers without an end");
}

int HttpAnswerReader::status() const
{
    return static_cast<int>(m_state->m_parser->get().result_int());
}

std::string HttpAnswerReader::field(const std::string &name) const
{
    return std::string(m_state->m_parser->get()[name]);
}

Core::Result<bool> HttpAnswerReader::readPart(std::string &body)
{
    Parser &parser = *m_state->m_parser;
    if (parser.is_done()) {
        return false;
    }
    if (parser.need_eof() && !m_acceptsBodyUntilClose) {
        return error("the answer announces no length, so that its end cannot be told from a cut");
    }
    parser.get().body().data = m_state->m_part.data();
    parser.get().body().size = m_state->m_part.size();
    boost::system::error_code failure;
    Beast::http::read_some(m_state->m_stream, m_state->m_buffer, parser, failure);
    body.append(m_state->m_part.data(), m_state->m_part.size() - parser.get().body().size);
    if (failure && failure != Beast::http::error::need_buffer) {
        return error(failure == Beast::http::error::partial_message ? "the answer is shorter than announced" : failure.message());
    }
    return true;
}

Core::Result<void> HttpAnswerReader::readRest(std::string &body, std::size_t maximumBytes)
{
    bool isMoreExpected = true;
    while (isMoreExpected) {
        isMoreExpected = BOOST_OUTCOME_TRYX(readPart(body));
        if (body.size() > maximumBytes) {
            return Core::makeError(Core::ErrorCode::Corrupt, m_step, m_peer, "the answer is longer than " + std::to_string(maximumBytes) + " bytes");
        }
    }
    return Core::success();
}

bool HttpAnswerReader::keepsConnection() const
{
    return m_state->m_parser->is_done() && m_state->m_parser->get().keep_alive() && m_state->m_buffer.size() == 0;
}

Core::Error HttpAnswerReader::error(const std::string &detail) const
{
    return Core::makeError(Core::ErrorCode::Ambiguous, m_step, m_peer, detail);
}

}
