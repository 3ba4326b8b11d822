/// @file Frames in a stream: a kind, a length and a payload. An end frame marks a complete answer, so that a truncated one is detected.
#pragma once

#include "LibCore/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Wire {

enum class FrameKind : std::uint8_t {
    Message = 0,
    End = 1, ///< The stream is complete; the payload is empty.
    Error = 2, ///< The stream failed; the payload is an encoded error.
};

struct Frame
{
    FrameKind m_kind = FrameKind::Message;
    std::string m_payload;

    bool operator==(const Frame &) const = default;
};

/// Encodes a frame: kind (1 byte), payload length (4 bytes, big endian), payload.
std::string encodeFrame(FrameKind kind, std::string_view payload);

/// Splits a stream of bytes into frames.
class FrameDecoder
{
public:
    explicit FrameDecoder(std::size_t maximumPayload);

    /// Appends the frames that @p bytes complete to @p frames. Fails with Corrupt on an unknown kind or a payload over the limit.
    Core::Result<void> feed(std::string_view bytes, std::vector<Frame> &frames);

    /// Returns the number of bytes that are held of an incomplete frame.
    std::size_t partialBytes() const
    {
        return m_partial.size();
    }

private:
    std::size_t m_maximumPayload;
    std::string m_partial; ///< The received part of an incomplete frame.
};

/// Encodes an error as MessagePack for an Error frame.
std::string encodeError(const Core::Error &error);
/// Decodes the error that the peer sent; a malformed one becomes a Corrupt error.
Core::Error decodeError(std::string_view payload, const std::string &peer);

}
