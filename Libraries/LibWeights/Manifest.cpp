/// @file Builds, encodes and validates manifests.

#include "LibWeights/Manifest.h"

#include "LibCore/Digest.h"
#include "LibWire/Pack.h"

namespace Weights {

namespace {

std::uint64_t chunksNeeded(std::uint64_t totalBytes, std::uint32_t chunkBytes)
{
    return (totalBytes + chunkBytes - 1) / chunkBytes;
}

/// Returns why a manifest's fields are invalid, or an empty string if they are valid.
std::string validationError(const Manifest &manifest)
{
    if (manifest.m_model.empty() || manifest.m_model.size() > MaximumNameLength || manifest.m_version.empty()
        || manifest.m_version.size() > MaximumNameLength) {
        return "the model's or version's name is empty or too long";
    }
    if (manifest.m_chunkBytes < MinimumChunkBytes || manifest.m_chunkBytes > MaximumChunkBytes) {
        return "the chunk size is out of bounds";
    }
    if (manifest.m_totalBytes == 0) {
        return "the weights are empty";
    }
    const bool tooLarge = manifest.m_totalBytes > MaximumChunks * std::uint64_t{manifest.m_chunkBytes};
    if (tooLarge || manifest.m_chunkDigests.size() != chunksNeeded(manifest.m_totalBytes, manifest.m_chunkBytes)) {
        return "the number of chunks is out of bounds or does not fit the sizes";
    }
    for (const std::string &digest : manifest.m_chunkDigests) {
        if (digest.size() != Core::Sha256Length) {
            return "a chunk's digest has the wrong length";
        }
    }
    if (!manifest.m_contentDigest.empty() && !Core::isSha256Hex(manifest.m_contentDigest)) {
        return "the content's digest is malformed";
    }
    return {};
}

}

std::uint64_t Manifest::chunkOffset(ChunkIndex chunk) const
{
    return std::uint64_t{chunk} * m_chunkBytes;
}

std::uint32_t Manifest::chunkLength(ChunkIndex chunk) const
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(m_chunkBytes, m_totalBytes - chunkOffset(chunk)));
}

Core::Result<Manifest> buildManifest(std::string model, std::string version, std::string_view content, std::uint32_t chunkBytes)
{
    if (chunkBytes < MinimumChunkBytes || chunkBytes > MaximumChunkBytes) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "build manifest", "", "the chunk size is out of bounds");
    }
    Manifest manifest;
    manifest.m_model = std::move(model);
    manifest.m_version = std::move(version);
    manifest.m_chunkBytes = chunkBytes;
    manifest.m_totalBytes = content.size();
    for (std::size_t offset = 0; offset < content.size(); offset += chunkBytes) {
        manifest.m_chunkDigests.push_back(Core::sha256Raw(content.substr(offset, chunkBytes)));
    }
    manifest.m_contentDigest = Core::sha256Hex(content);
    const std::string fault = validationError(manifest);
    if (!fault.empty()) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "build manifest", "", fault);
    }
    return manifest;
}

std::string encodeManifest(const Manifest &manifest)
{
    return Wire::pack(manifest);
}

Core::Result<Manifest> decodeManifest(std::string_view encoded, const std::string &peer)
{
    if (encoded.size() > MaximumManifestBytes) {
        return Core::makeError(Core::ErrorCode::Corrupt, "decode manifest", peer, "the manifest is too large");
    }
    Manifest manifest = BOOST_OUTCOME_TRYX(Wire::unpack<Manifest>(encoded, peer));
    const std::string fault = validationError(manifest);
    if (!fault.empty()) {
        return Core::makeError(Core::ErrorCode::Corrupt, "decode manifest", peer, fault);
    }
    return manifest;
}

std::string manifestDigest(std::string_view encoded)
{
    return Core::sha256Hex(encoded);
}

Core::Result<Manifest> verifyManifest(std::string_view encoded, const std::string &expectedDigest, const std::string &peer)
{
    const std::string digest = manifestDigest(encoded);
    if (digest != expectedDigest) {
        return Core::makeError(Core::ErrorCode::Corrupt, "verify manifest", peer, "expected digest " + expectedDigest + ", got " + digest);
    }
    return decodeManifest(encoded, peer);
}

bool isValidChunk(const Manifest &manifest, ChunkIndex chunk, std::string_view bytes)
{
    return chunk < manifest.chunkCount() && bytes.size() == manifest.chunkLength(chunk) && Core::sha256Raw(bytes) == manifest.m_chunkDigests[chunk];
}

}
