/// @file Default HTTP interface of the origin.

#include "LibTransfer/OriginDialect.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>

namespace Transfer {

namespace {

std::string escapePath(const std::string &name)
{
    std::string text;
    Poco::URI::encode(name, "/?#", text);
    return text;
}

std::string weightsPath(const std::string &model, const std::string &version, const std::string &resource)
{
    return "/weights/" + escapePath(model) + "/" + escapePath(version) + "/" + resource;
}

}

OriginDialect defaultOriginDialect()
{
    OriginDialect dialect;
    dialect.m_makeManifestRequest = [](const std::string &model, const std::string &version) {
        return OriginRequest{weightsPath(model, version, "manifest"), "", Poco::Net::HTTPResponse::HTTP_OK};
    };
    dialect.m_makeChunkRequest = [](const OriginChunk &chunk) {
        const std::string range = "bytes=" + std::to_string(chunk.m_offset) + "-" + std::to_string(chunk.m_offset + chunk.m_length - 1);
        return OriginRequest{weightsPath(chunk.m_model, chunk.m_version, "data"), range, Poco::Net::HTTPResponse::HTTP_PARTIAL_CONTENT};
    };
    dialect.m_convertManifest = [](std::string answer) { return Core::Result<std::string>(std::move(answer)); };
    return dialect;
}

}
