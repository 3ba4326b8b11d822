/// @file Manifest of one version of a model's weights: the digests of its chunks and of the complete content.
#pragma once

#include "LibCore/Error.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Weights {

/// Limits on manifests received from other processes.
inline constexpr std::size_t MaximumManifestBytes = 4 << 20;
inline constexpr std::uint32_t MinimumChunkBytes = 1 << 10;
inline constexpr std::uint32_t MaximumChunkBytes = 64 << 20;
inline constexpr std::size_t MaximumChunks = 100'000;
inline constexpr std::size_t MaximumNameLength = 256;

/// Index of a chunk in its manifest.
using ChunkIndex = std::uint32_t;

/// Immutable description of one version. The digest of the encoded manifest identifies the version.
struct Manifest
{
    std::string m_model;
    std::string m_version;
    std::uint32_t m_chunkBytes = 0; ///< Size of every chunk except the last, which may be shorter.
    std::uint64_t m_totalBytes = 0;
    std::vector<std::string> m_chunkDigests; ///< SHA-256 of each chunk, 32 bytes each. The number of elements follows from the sizes.
    std::string m_contentDigest; ///< SHA-256 of the complete weights in hexadecimal; empty if the origin states only the digests of the chunks.

    bool operator==(const Manifest &) const = default;

    ChunkIndex chunkCount() const
    {
        return static_cast<ChunkIndex>(m_chunkDigests.size());
    }
    /// Returns the offset of a chunk in the complete weights, in bytes.
    std::uint64_t chunkOffset(ChunkIndex chunk) const;
    /// Returns the length of a chunk in bytes. The last chunk may be shorter than the others.
    std::uint32_t chunkLength(ChunkIndex chunk) const;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("model", m_model),
                       MSGPACK_NVP("version", m_version),
                       MSGPACK_NVP("chunk_bytes", m_chunkBytes),
                       MSGPACK_NVP("total_bytes", m_totalBytes),
                       MSGPACK_NVP("chunk_digests", m_chunkDigests),
                       MSGPACK_NVP("content_digest", m_contentDigest));
};

/// Builds the manifest of @p content. Fails with InvalidInput if the content is empty or a size is out of bounds.
Core::Result<Manifest> buildManifest(std::string model, std::string version, std::string_view content, std::uint32_t chunkBytes);

std::string encodeManifest(const Manifest &manifest);

/// Decodes a manifest and checks its bounds. Fails with Corrupt.
Core::Result<Manifest> decodeManifest(std::string_view encoded, const std::string &peer);

/// Returns the identity of a version: the SHA-256 of the encoded manifest in hexadecimal.
std::string manifestDigest(std::string_view encoded);

/**
 * Decodes a manifest if its digest is @p expectedDigest, and fails with Corrupt otherwise.
 *
 * The origin may replace a version under the same name. Without this check the new chunks would match the new manifest, and weights other than the published
 * ones would be served under the published name.
 */
Core::Result<Manifest> verifyManifest(std::string_view encoded, const std::string &expectedDigest, const std::string &peer);

/// Returns whether @p bytes are exactly the given chunk.
bool isValidChunk(const Manifest &manifest, ChunkIndex chunk, std::string_view bytes);

}
