/// @file How an origin of weights is asked, where its interface is not the product's own.
#pragma once

#include "LibCore/Error.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Transfer {

/// A chunk of a version, by its place.
struct OriginChunk
{
    std::string m_model;
    std::string m_version;
    std::uint32_t m_index = 0;
    std::uint64_t m_offset = 0; ///< In the whole weights.
    std::uint32_t m_length = 0;

    bool operator==(const OriginChunk &) const = default;
};

/// What to ask for, and what a good answer looks like.
struct OriginRequest
{
    std::string m_target; ///< Path and query.
    std::string m_range; ///< Value of the Range field; empty if the target names the bytes.
    int m_expectedStatus = 200;

    bool operator==(const OriginRequest &) const = default;
};

struct OriginDialect
{
    std::function<OriginRequest(const std::string &model, const std::string &version)> m_makeManifestRequest;
    std::function<OriginRequest(const OriginChunk &chunk)> m_makeChunkRequest;
    /// Makes the product's encoded manifest out of the origin's answer.
    std::function<Core::Result<std::string>(std::string answer)> m_convertManifest;
};

/// The product's own interface: manifests as they are, chunks as ranges of one object.
OriginDialect defaultOriginDialect();

}
