/// @file Messages between transfer managers.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Transfer {

/// Asks for a manifest (method transfer.manifest). Answered with the encoded manifest once the peer has it, within the call's time.
struct ManifestRequest
{
    std::string m_digest;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("digest", m_digest));
};

/// Follows what a peer holds of a version (method transfer.have, a stream of HaveUpdate).
struct HaveRequest
{
    std::string m_digest;
    std::string m_follower; ///< Instance that follows.

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("follower", m_follower));
};

/// What changed since the update before; without changes it comes as a sign of life.
struct HaveUpdate
{
    bool m_participates = false; ///< The peer is fetching or holding the version.
    bool m_canDownloadFromOrigin = true; ///< False while the peer's attempts at the origin fail.
    bool m_isSnapshot = false; ///< m_bitmap replaces everything known before.
    std::string m_bitmap; ///< One bit for each chunk, lowest bit first.
    std::vector<std::uint32_t> m_added; ///< Chunks that are held since the last update.
    std::uint32_t m_queuedUploads = 0; ///< Uploads that wait at the peer.

    bool operator==(const HaveUpdate &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("takes_part", m_participates),
                       MSGPACK_NVP("draws", m_canDownloadFromOrigin),
                       MSGPACK_NVP("snapshot", m_isSnapshot),
                       MSGPACK_NVP("bitmap", m_bitmap),
                       MSGPACK_NVP("added", m_added),
                       MSGPACK_NVP("queued", m_queuedUploads));
};

/// Asks for one chunk (method transfer.chunk). Answered with its bytes in several frames; Overloaded means busy.
struct ChunkRequest
{
    std::string m_digest;
    std::uint32_t m_chunk = 0;
    bool m_forRegion = false; ///< The first copy for another region, which waits for it; goes before others.

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("chunk", m_chunk), MSGPACK_NVP("for_region", m_forRegion));
};

/// One bit for each element of @p held, lowest bit first.
std::string encodeBitmap(const std::vector<bool> &held);
/// The first @p count bits; missing ones are false.
std::vector<bool> decodeBitmap(const std::string &bitmap, std::size_t count);

}
