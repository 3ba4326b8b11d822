/// @file Describes the HTTP interface of an origin, so that origins with another interface can be used.
#pragma once

#include "LibCore/Error.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Transfer {

/// A chunk of a version and its position.
struct OriginChunk
{
    std::string m_model;
    std::string m_version;
    std::uint32_t m_index = 0;
    std::uint64_t m_offset = 0; ///< Offset within the complete weights.
    std::uint32_t m_length = 0;

    bool operator==(const OriginChunk &) const = default;
};

/// An HTTP request to the origin and the status of a successful answer.
struct OriginRequest
{
    std::string m_target; ///< Path and query.
    std::string m_range; ///< Value of the Range header; empty if the target identifies the bytes.
    int m_expectedStatus = 200;

    bool operator==(const OriginRequest &) const = default;
};

struct OriginDialect
{
    std::function<OriginRequest(const std::string &model, const std::string &version)> m_makeManifestRequest;
    std::function<OriginRequest(const OriginChunk &chunk)> m_makeChunkRequest;
    /// Converts the origin's answer to an encoded manifest of LibWeights.
    std::function<Core::Result<std::string>(std::string answer)> m_convertManifest;
};

/// Returns the default interface: manifests are passed through unchanged, and chunks are ranges of one object.
OriginDialect defaultOriginDialect();

}
