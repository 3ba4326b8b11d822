/// @file Frames inside a stream: a kind, a length and a payload. The end of an answer is a frame of its own, so that a cut never looks like an end.
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

/// Kind (1 byte), payload length (4 bytes, big endian), payload.
std::string encodeFrame(FrameKind kind, std::string_view payload);

/// Cuts a stream of bytes into frames.
class FrameDecoder
{
public:
    explicit FrameDecoder(std::size_t maximumPayload);

    /// Appends the frames that @p bytes complete. Fails with Corrupt on an unknown kind or a payload over the limit.
    Core::Result<void> feed(std::string_view bytes, std::vector<Frame> &frames);

private:
    std::size_t m_maximumPayload;
    std::string m_partial; ///< Start of a frame that is not complete yet.
};

/// MessagePack form of an error in an Error frame.
std::string encodeError(const Core::Error &error);
/// The error that the peer sent; a malformed one is reported as Corrupt.
Core::Error decodeError(std::string_view payload, const std::string &peer);

}
