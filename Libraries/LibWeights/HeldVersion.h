/// @file A version of the weights that is complete and verified.
#pragma once

#include "LibCore/Digest.h"
#include "LibWeights/Manifest.h"

#include <memory>
#include <string>
#include <vector>

namespace Weights {

/// Bytes of one verified chunk; versions that have a chunk in common share it.
using ChunkBytes = std::shared_ptr<const std::string>;

/// Whole weights. Exists only once every chunk and the whole content have been verified; never changes.
struct HeldVersion
{
    std::string m_manifestDigest; ///< Identity of the version.
    Manifest m_manifest;
    std::vector<ChunkBytes> m_chunks; ///< In order; none is null. Their concatenation is the content.

    /// The weights in one piece, for an order that needs them so.
    std::string fullContent() const;
};

/// Puts a version together. Fails with Corrupt unless the chunks' concatenation has the manifest's content digest, if that is stated.
Core::Result<std::shared_ptr<const HeldVersion>> assembleVersion(std::string manifestDigest, const Manifest &manifest, std::vector<ChunkBytes> chunks);

}
