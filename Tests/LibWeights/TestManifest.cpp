/// @file Tests of manifests: building, identity, bounds, and the detection of changed or damaged weights.

#include "LibCore/Digest.h"
#include "LibCore/Random.h"
#include "LibWeights/HeldVersion.h"
#include "LibWire/Pack.h"

#include <catch2/catch.hpp>
#include <random>

namespace {

constexpr std::uint32_t ChunkSize = 1024;

std::string randomContent(Core::Random &random, std::size_t bytes)
{
    std::string content(bytes, '\0');
    for (char &character : content) {
        character = static_cast<char>(random.below(256));
    }
    return content;
}

std::vector<Weights::ChunkBytes> splitContent(const Weights::Manifest &manifest, const std::string &content)
{
    std::vector<Weights::ChunkBytes> chunks;
    for (Weights::ChunkIndex chunk = 0; chunk < manifest.chunkCount(); ++chunk) {
        chunks.push_back(std::make_shared<const std::string>(content.substr(manifest.chunkOffset(chunk), manifest.chunkLength(chunk))));
    }
    return chunks;
}

}

TEST_CASE("A manifest covers every byte and can be encoded and decoded")
{
    const std::uint64_t seed = std::random_device{}();
    CAPTURE(seed);
    Core::Random random(seed);
    const std::string content = randomContent(random, 1 + random.below(20 * ChunkSize));
    const Weights::Manifest manifest = Weights::buildManifest("drafts", "7", content, ChunkSize).value();
    std::uint64_t covered = 0;
    for (Weights::ChunkIndex chunk = 0; chunk < manifest.chunkCount(); ++chunk) {
        REQUIRE(manifest.chunkOffset(chunk) == covered);
        REQUIRE(Weights::isValidChunk(manifest, chunk, content.substr(covered, manifest.chunkLength(chunk))));
        covered += manifest.chunkLength(chunk);
    }
    REQUIRE(covered == content.size());
    const std::string encoded = Weights::encodeManifest(manifest);
    REQUIRE(Weights::verifyManifest(encoded, Weights::manifestDigest(encoded), "origin").value() == manifest);
    const std::shared_ptr<const Weights::HeldVersion> version =
        Weights::assembleVersion(Weights::manifestDigest(encoded), manifest, splitContent(manifest, content)).value();
    REQUIRE(version->fullContent() == content);
}

TEST_CASE("A chunk with a changed bit, or a chunk that is too short, is rejected")
{
    // A link or a peer's memory damages a chunk. If the chunk were accepted, an engine would answer from mixed weights.
    const std::uint64_t seed = std::random_device{}();
    CAPTURE(seed);
    Core::Random random(seed);
    const std::string content = randomContent(random, 3 * ChunkSize + 5);
    const Weights::Manifest manifest = Weights::buildManifest("drafts", "7", content, ChunkSize).value();
    for (Weights::ChunkIndex chunk = 0; chunk < manifest.chunkCount(); ++chunk) {
        const std::string original = content.substr(manifest.chunkOffset(chunk), manifest.chunkLength(chunk));
        std::string damaged = original;
        damaged[random.below(damaged.size())] ^= static_cast<char>(1U << random.below(8));
        REQUIRE_FALSE(Weights::isValidChunk(manifest, chunk, damaged));
        REQUIRE_FALSE(Weights::isValidChunk(manifest, chunk, original.substr(1)));
        REQUIRE_FALSE(Weights::isValidChunk(manifest, chunk + 1, original));
    }
}

TEST_CASE("Weights that were replaced under the same name are not accepted as the published ones")
{
    // The origin replaces a version while it is being fetched. The new manifest is consistent, but it is not the published one.
    const std::string published = Weights::encodeManifest(Weights::buildManifest("drafts", "7", "the published weights", ChunkSize).value());
    const std::string replaced = Weights::encodeManifest(Weights::buildManifest("drafts", "7", "some other weights", ChunkSize).value());
    const Core::Result<Weights::Manifest> verified = Weights::verifyManifest(replaced, Weights::manifestDigest(published), "origin");
    REQUIRE_FALSE(verified);
    REQUIRE(verified.error().m_code == Core::ErrorCode::Corrupt);
    REQUIRE(verified.error().m_peer == "origin");
}

TEST_CASE("Chunks in a wrong order or with one missing are not assembled into a version")
{
    const std::string content = std::string(ChunkSize, 'a') + std::string(ChunkSize, 'b');
    const Weights::Manifest manifest = Weights::buildManifest("drafts", "7", content, ChunkSize).value();
    std::vector<Weights::ChunkBytes> chunks = splitContent(manifest, content);
    std::swap(chunks[0], chunks[1]);
    REQUIRE(Weights::assembleVersion("digest", manifest, chunks).error().m_code == Core::ErrorCode::Corrupt);
    chunks[1] = nullptr;
    REQUIRE(Weights::assembleVersion("digest", manifest, chunks).error().m_code == Core::ErrorCode::Corrupt);
    chunks.pop_back();
    REQUIRE(Weights::assembleVersion("digest", manifest, chunks).error().m_code == Core::ErrorCode::Corrupt);
}

TEST_CASE("Manifests that exceed the bounds are rejected")
{
    const Weights::Manifest valid = Weights::buildManifest("drafts", "7", "weights", ChunkSize).value();
    const auto isRejected = [](const Weights::Manifest &manifest) {
        const Core::Result<Weights::Manifest> decoded = Weights::decodeManifest(Weights::encodeManifest(manifest), "peer");
        return !decoded && decoded.error().m_code == Core::ErrorCode::Corrupt;
    };
    REQUIRE_FALSE(isRejected(valid));
    Weights::Manifest manifest = valid;
    manifest.m_chunkBytes = 0;
    REQUIRE(isRejected(manifest));
    manifest = valid;
    manifest.m_totalBytes = ~std::uint64_t{0};
    REQUIRE(isRejected(manifest));
    manifest = valid;
    manifest.m_chunkDigests.emplace_back(Core::Sha256Length, 'x');
    REQUIRE(isRejected(manifest));
    manifest = valid;
    manifest.m_chunkDigests[0].pop_back();
    REQUIRE(isRejected(manifest));
    manifest = valid;
    manifest.m_contentDigest = "no digest";
    REQUIRE(isRejected(manifest));
    REQUIRE_FALSE(Weights::decodeManifest("not a manifest", "peer"));
    REQUIRE(Weights::buildManifest("drafts", "7", "", ChunkSize).error().m_code == Core::ErrorCode::InvalidInput);
    REQUIRE(Weights::buildManifest("drafts", "7", "weights", 0).error().m_code == Core::ErrorCode::InvalidInput);
}
