/// @file Assembles verified chunks into a complete version.

#include "LibWeights/HeldVersion.h"

namespace Weights {

std::string HeldVersion::fullContent() const
{
    std::string content;
    content.reserve(m_manifest.m_totalBytes);
    for (const ChunkBytes &chunk : m_chunks) {
        content += *chunk;
    }
    return content;
}

Core::Result<std::shared_ptr<const HeldVersion>> assembleVersion(std::string manifestDigest, const Manifest &manifest, std::vector<ChunkBytes> chunks)
{
    if (chunks.size() != manifest.chunkCount()) {
        return Core::makeError(Core::ErrorCode::Corrupt, "assemble weights", "", "chunks are missing");
    }
    Core::Sha256 digest;
    for (const ChunkBytes &chunk : chunks) {
        if (!chunk) {
            return Core::makeError(Core::ErrorCode::Corrupt, "assemble weights", "", "a chunk is missing");
        }
        digest.update(*chunk);
    }
    const std::string content = digest.finishHex();
    // Without a content digest, the digests of the chunks and their order in the manifest are an equivalent check.
    if (!manifest.m_contentDigest.empty() && content != manifest.m_contentDigest) {
        return Core::makeError(
            Core::ErrorCode::Corrupt, "assemble weights", "", "the content's digest is " + content + ", the manifest says " + manifest.m_contentDigest);
    }
    const std::shared_ptr<HeldVersion> version = std::make_shared<HeldVersion>();
    version->m_manifestDigest = std::move(manifestDigest);
    version->m_manifest = manifest;
    version->m_chunks = std::move(chunks);
    return std::shared_ptr<const HeldVersion>(version);
}

}
