/// @file What makes up one version of a model's weights: the digests of its chunks and of the whole.
#pragma once

#include "LibCore/Error.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Weights {

/// Bounds on a manifest from outside.
inline constexpr std::size_t MaximumManifestBytes = 4 << 20;
inline constexpr std::uint32_t MinimumChunkBytes = 1 << 10;
inline constexpr std::uint32_t MaximumChunkBytes = 64 << 20;
inline constexpr std::size_t MaximumChunks = 100'000;
inline constexpr std::size_t MaximumNameLength = 256;

/// Position of a chunk in its manifest.
using ChunkIndex = std::uint32_t;

/// Immutable description of one version. Its own digest is its identity.
struct Manifest
{
    std::string m_model;
    std::string m_version;
    std::uint32_t m_chunkBytes = 0; ///< Size of every chunk but the last, which may be shorter.
    std::uint64_t m_totalBytes = 0;
    std::vector<std::string> m_chunkDigests; ///< SHA-256 of each chunk, 32 bytes each; as many as the sizes call for.
    std::string m_contentDigest; ///< SHA-256 of the whole weights, in hexadecimal; empty if the origin states digests of chunks only.

    bool operator==(const Manifest &) const = default;

    ChunkIndex chunkCount() const
    {
        return static_cast<ChunkIndex>(m_chunkDigests.size());
    }
    /// Offset of a chunk in the whole weights.
    std::uint64_t chunkOffset(ChunkIndex chunk) const;
    /// Length of a chunk; the last one may be shorter than the others.
    std::uint32_t chunkLength(ChunkIndex chunk) const;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("model", m_model),
                       MSGPACK_NVP("version", m_version),
                       MSGPACK_NVP("chunk_bytes", m_chunkBytes),
                       MSGPACK_NVP("total_bytes", m_totalBytes),
                       MSGPACK_NVP("chunk_digests", m_chunkDigests),
                       MSGPACK_NVP("content_digest", m_contentDigest));
};

/// Describes @p content. Fails with InvalidInput if it is empty or a size is out of bounds.
Core::Result<Manifest> buildManifest(std::string model, std::string version, std::string_view content, std::uint32_t chunkBytes);

std::string encodeManifest(const Manifest &manifest);

/// Decodes and checks the bounds. Fails with Corrupt.
Core::Result<Manifest> decodeManifest(std::string_view encoded, const std::string &peer);

/// The identity of a version: SHA-256 of the encoded manifest, in hexadecimal.
std::string manifestDigest(std::string_view encoded);

/**
 * Decodes a manifest only if its digest is @p expectedDigest; fails with Corrupt otherwise.
 *
 * A version can change under its name at the store. Without this check its new chunks would verify against its new
 * manifest, and other weights than those published would be served under the published name.
 */
Core::Result<Manifest> verifyManifest(std::string_view encoded, const std::string &expectedDigest, const std::string &peer);

/// True if @p bytes are exactly the given chunk.
bool isValidChunk(const Manifest &manifest, ChunkIndex chunk, std::string_view bytes);

}
