/// @file Weights as the stand-in for the origin makes them up.
#pragma once

#include "LibWeights/Manifest.h"

#include <cstdint>
#include <memory>
#include <string>

namespace StandIn {

/// How one version's content comes about.
struct ObjectRecipe
{
    std::string m_model;
    std::string m_version;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_seed = 0;
    std::uint64_t m_baseSeed = 0; ///< Source of the chunks that are not changed.
    std::uint32_t m_changedPercent = 100; ///< Share of chunks that come from m_seed.

    bool operator==(const ObjectRecipe &) const = default;
};

/// Content and manifest of one version; never changes.
struct StoredObject
{
    std::string m_content;
    Weights::Manifest m_manifest;
    std::string m_encodedManifest;
};

/// The same recipe always gives the same bytes.
Core::Result<std::shared_ptr<const StoredObject>> makeObject(const ObjectRecipe &recipe, std::uint32_t chunkBytes);

}
