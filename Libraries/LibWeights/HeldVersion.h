/// @file A complete and verified version of the weights.
#pragma once

#include "LibCore/Digest.h"
#include "LibWeights/Manifest.h"

#include <memory>
#include <string>
#include <vector>

namespace Weights {

/// Bytes of one verified chunk. Versions with a common chunk share it.
using ChunkBytes = std::shared_ptr<const std::string>;

/// A complete version of the weights. Immutable; exists only once every chunk and the complete content are verified.
struct HeldVersion
{
    std::string m_manifestDigest; ///< Identifies the version.
    Manifest m_manifest;
    std::vector<ChunkBytes> m_chunks; ///< In order; never null. Their concatenation is the content.

    /// Returns the complete weights as one string, for load orders that need them in this form.
    std::string fullContent() const;
};

/// Assembles a version. Fails with Corrupt unless the concatenated chunks have the manifest's content digest, if the manifest states one.
Core::Result<std::shared_ptr<const HeldVersion>> assembleVersion(std::string manifestDigest, const Manifest &manifest, std::vector<ChunkBytes> chunks);

}
