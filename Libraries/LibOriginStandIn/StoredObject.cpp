/// @file Generates weights from seeds.

#include "LibOriginStandIn/StoredObject.h"

#include "LibCore/Random.h"

#include <cstring>

namespace StandIn {

namespace {

constexpr std::uint64_t Percent = 100;

/// Returns true if the chunk is a changed one. Changed chunks are spread evenly, so that their percentage is exact.
bool isChanged(std::uint64_t chunk, std::uint32_t changedPercent)
{
    return chunk * changedPercent / Percent != (chunk + 1) * changedPercent / Percent;
}

void fillChunk(std::string &content, std::size_t offset, std::size_t length, std::uint64_t seed, std::uint64_t chunk)
{
    Core::Random random(Core::stableHash(std::to_string(chunk), seed));
    for (std::size_t done = 0; done < length; done += sizeof(std::uint64_t)) {
        const std::uint64_t word = random.next();
        std::memcpy(content.data() + offset + done, &word, std::min(sizeof(word), length - done));
    }
}

}

Core::Result<std::shared_ptr<const StoredObject>> makeObject(const ObjectRecipe &recipe, std::uint32_t chunkBytes)
{
    const std::shared_ptr<StoredObject> object = std::make_shared<StoredObject>();
    object->m_content.resize(recipe.m_bytes);
    std::uint64_t chunk = 0;
    for (std::size_t offset = 0; offset < recipe.m_bytes; offset += chunkBytes, ++chunk) {
        const std::uint64_t seed = isChanged(chunk, recipe.m_changedPercent) ? recipe.m_seed : recipe.m_baseSeed;
        fillChunk(object->m_content, offset, std::min<std::size_t>(chunkBytes, recipe.m_bytes - offset), seed, chunk);
    }
    object->m_manifest = BOOST_OUTCOME_TRYX(Weights::buildManifest(recipe.m_model, recipe.m_version, object->m_content, chunkBytes));
    object->m_encodedManifest = Weights::encodeManifest(object->m_manifest);
    return std::shared_ptr<const StoredObject>(object);
}

}
