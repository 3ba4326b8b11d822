/// @file Implementation of frames.

#include "LibWire/Frame.h"
#include "LibWire/Pack.h"

namespace Wire {

namespace {

constexpr std::size_t HeaderBytes = 5;
constexpr std::size_t KeptCapacity = 1 << 10; ///< Of the buffer of an incomplete frame.

struct PackedError
{
    int m_code = 0;
    std::string m_step;
    std::string m_peer;
    std::string m_detail;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("code", m_code), MSGPACK_NVP("step", m_step), MSGPACK_NVP("peer", m_peer), MSGPACK_NVP("detail", m_detail));
};

std::size_t decodeLength(std::string_view header)
{
    std::size_t length = 0;
    for (std::size_t index = 1; index < HeaderBytes; ++index) {
        length = (length << 8) | static_cast<unsigned char>(header[index]);
    }
    return length;
}

}

std::string encodeFrame(FrameKind kind, std::string_view payload)
{
    std::string frame;
    frame.reserve(HeaderBytes + payload.size());
    frame += static_cast<char>(kind);
    for (int shift = 24; shift >= 0; shift -= 8) {
        frame += static_cast<char>((payload.size() >> shift) & 0xff);
    }
    frame.append(payload);
    return frame;
}

FrameDecoder::FrameDecoder(std::size_t maximumPayload)
    : m_maximumPayload(maximumPayload)
{
}

Core::Result<void> FrameDecoder::feed(std::string_view bytes, std::vector<Frame> &frames)
{
    m_partial.append(bytes);
    std::size_t position = 0;
    while (m_partial.size() - position >= HeaderBytes) {
        const std::string_view header = std::string_view(m_partial).substr(position, HeaderBytes);
        const std::uint8_t kind = static_cast<std::uint8_t>(header[0]);
        const std::size_t length = decodeLength(header);
        if (kind > static_cast<std::uint8_t>(FrameKind::Error) || length > m_maximumPayload) {
            return Core::makeError(Core::ErrorCode::Corrupt, "decode frame", "", "unknown kind or payload of " + std::to_string(length) + " bytes");
        }
        if (m_partial.size() - position < HeaderBytes + length) {
            break;
        }
        frames.push_back(Frame{static_cast<FrameKind>(kind), m_partial.substr(position + HeaderBytes, length)});
        position += HeaderBytes + length;
    }
    m_partial.erase(0, position);
    if (m_partial.empty() && m_partial.capacity() > KeptCapacity) {
        m_partial.shrink_to_fit(); // A stream may stay open for long after a large frame.
    } else if (m_partial.size() >= HeaderBytes) {
        m_partial.reserve(HeaderBytes + decodeLength(m_partial)); // Text that grows step by step would take up to twice its size.
    }
    return Core::success();
}

std::string encodeError(const Core::Error &error)
{
    return pack(PackedError{static_cast<int>(error.m_code), error.m_step, error.m_peer, error.m_detail});
}

Core::Error decodeError(std::string_view payload, const std::string &peer)
{
    const Core::Result<PackedError> packed = unpack<PackedError>(payload, peer);
    if (!packed) {
        return packed.error();
    }
    const int code = packed.value().m_code;
    const bool known = code >= 0 && code <= static_cast<int>(Core::ErrorCode::Internal);
    const std::string &origin = packed.value().m_peer;
    return Core::makeError(known ? static_cast<Core::ErrorCode>(code) : Core::ErrorCode::Internal,
                           packed.value().m_step,
                           origin.empty() ? peer : peer + ", " + origin,
                           packed.value().m_detail);
}

}
