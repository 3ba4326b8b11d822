/// @file Messages between transfer managers.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Transfer {

/// Requests a manifest (method transfer.manifest). The response is the encoded manifest, sent as soon as the peer has it within the call's timeout.
struct ManifestRequest
{
    std::string m_digest;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("digest", m_digest));
};

/// Follows a peer's holdings of a version (method transfer.have). The response is a stream of HaveUpdate.
struct HaveRequest
{
    std::string m_digest;
    std::string m_follower; ///< Instance that follows.

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("follower", m_follower));
};

/// Changes since the previous update. An update without changes serves as a heartbeat.
struct HaveUpdate
{
    bool m_participates = false; ///< The peer is fetching or holding the version.
    bool m_canDownloadFromOrigin = true; ///< False while the peer's attempts to reach the origin fail.
    bool m_isSnapshot = false; ///< m_bitmap replaces all earlier information.
    std::string m_bitmap; ///< One bit for each chunk, lowest bit first.
    std::vector<std::uint32_t> m_added; ///< Chunks that are held since the previous update.
    std::uint32_t m_queuedUploads = 0; ///< Uploads queued at the peer.
    std::vector<std::uint32_t> m_fetching; ///< All chunks that the peer is downloading from the origin or requesting from another region.

    bool operator==(const HaveUpdate &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("takes_part", m_participates),
                       MSGPACK_NVP("draws", m_canDownloadFromOrigin),
                       MSGPACK_NVP("snapshot", m_isSnapshot),
                       MSGPACK_NVP("bitmap", m_bitmap),
                       MSGPACK_NVP("added", m_added),
                       MSGPACK_NVP("queued", m_queuedUploads),
                       MSGPACK_NVP("fetching", m_fetching));
};

/// Requests one chunk (method transfer.chunk). The response is the chunk's bytes in several frames; the error Overloaded means that the peer is busy.
struct ChunkRequest
{
    std::string m_digest;
    std::uint32_t m_chunk = 0;
    bool m_forRegion = false; ///< The first copy for another region. It is sent before other chunks, because the whole region waits for it.

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("chunk", m_chunk), MSGPACK_NVP("for_region", m_forRegion));
};

/// Returns a bitmap with one bit for each element of @p held, lowest bit first.
std::string encodeBitmap(const std::vector<bool> &held);
/// Returns the first @p count bits. Bits missing in @p bitmap are false.
std::vector<bool> decodeBitmap(const std::string &bitmap, std::size_t count);

}
