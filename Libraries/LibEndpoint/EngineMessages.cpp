/// @file Implementation of the endpoints' JSON messages.

#include "LibEndpoint/EngineMessages.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace Endpoint {

namespace {

constexpr std::size_t MaximumJsonDepth = 8;
constexpr std::size_t MaximumModels = 64;
constexpr std::size_t MaximumHeaderText = 1024;
constexpr std::size_t MaximumPath = 4096;
constexpr std::int64_t MaximumTokens = 1 << 20;

Core::Result<Poco::JSON::Object::Ptr> parseObject(const std::string &text, Core::ErrorCode code, const std::string &step, const std::string &peer)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaximumJsonDepth);
        const Poco::Dynamic::Var parsed = parser.parse(text);
        return parsed.extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &exception) {
        return Core::makeError(code, step, peer, exception.displayText());
    }
}

/// Treats unknown states as Draining, so that the weights are not used.
ModelState readState(const std::string &name)
{
    if (name == "serving") {
        return ModelState::Serving;
    }
    return name == "loading" ? ModelState::Loading : ModelState::Draining;
}

EngineModel readModel(const Poco::JSON::Object &object)
{
    EngineModel model;
    model.m_contentDigest = object.getValue<std::string>("digest");
    model.m_state = readState(object.getValue<std::string>("state"));
    model.m_fence = object.optValue<Poco::UInt64>("fence", 0);
    return model;
}

std::string toText(const Poco::JSON::Object &object)
{
    std::ostringstream stream;
    object.stringify(stream);
    return stream.str();
}

}

Core::Result<EngineLine> parseEngineLine(const std::string &line, const std::string &peer)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(parseObject(line, Core::ErrorCode::Corrupt, "read engine's answer", peer));
    try {
        EngineLine result;
        result.m_isEnd = object->optValue("end", false);
        if (!result.m_isEnd) {
            result.m_token = object->getValue<std::string>("token");
            return result;
        }
        result.m_tokens = object->getValue<Poco::UInt64>("tokens");
        result.m_contentDigest = object->optValue<std::string>("digest", "");
        return result;
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Corrupt, "read engine's answer", peer, exception.displayText());
    }
}

Core::Result<EngineStatus> parseStatus(const std::string &body, const std::string &peer)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(parseObject(body, Core::ErrorCode::Corrupt, "read endpoint's status", peer));
    try {
        EngineStatus status;
        status.m_reachable = true;
        status.m_load.m_running = object->optValue<Poco::UInt32>("running", 0);
        status.m_load.m_queued = object->optValue<Poco::UInt32>("queued", 0);
        status.m_load.m_capacity = object->optValue<Poco::UInt32>("capacity", 1);
        const Poco::JSON::Array::Ptr models = object->getArray("models");
        if (models && models->size() > MaximumModels) {
            return Core::makeError(Core::ErrorCode::Corrupt, "read endpoint's status", peer, "more than " + std::to_string(MaximumModels) + " models");
        }
        for (std::size_t index = 0; models && index < models->size(); ++index) {
            const Poco::JSON::Object::Ptr model = models->getObject(static_cast<unsigned int>(index));
            if (!model) {
                return Core::makeError(Core::ErrorCode::Corrupt, "read endpoint's status", peer, "a model is not an object");
            }
            status.m_models.push_back(readModel(*model));
        }
        return status;
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Corrupt, "read endpoint's status", peer, exception.displayText());
    }
}

Core::Result<std::string> parseLoadAnswer(const std::string &body, const std::string &peer)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(parseObject(body, Core::ErrorCode::Corrupt, "read answer to load order", peer));
    try {
        return object->getValue<std::string>("digest");
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Corrupt, "read answer to load order", peer, exception.displayText());
    }
}

Core::Result<std::string> generateBody(const Protocol::LiveRequest &request, const std::string &contentDigest)
{
    const Poco::JSON::Object::Ptr caller = BOOST_OUTCOME_TRYX(parseObject(request.m_body, Core::ErrorCode::InvalidInput, "read prompt", request.m_account));
    try {
        const std::int64_t tokens = caller->getValue<std::int64_t>("max_tokens");
        if (tokens < 1 || tokens > MaximumTokens) {
            return Core::makeError(Core::ErrorCode::InvalidInput, "read prompt", request.m_account, "max_tokens is out of range");
        }
        Poco::JSON::Object body;
        body.set("request", request.m_attempt);
        body.set("account", request.m_account);
        body.set("digest", contentDigest);
        body.set("prompt", caller->getValue<std::string>("prompt"));
        body.set("max_tokens", tokens);
        body.set("priority", request.m_priority);
        return toText(body);
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read prompt", request.m_account, exception.displayText());
    }
}

Core::Result<void> checkHeaderText(const std::string &field, const std::string &text)
{
    if (text.size() > MaximumHeaderText) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "check " + field, "", "it is too long");
    }
    for (const char character : text) {
        const unsigned char code = static_cast<unsigned char>(character);
        if (code < ' ' || code == 0x7f) {
            return Core::makeError(Core::ErrorCode::InvalidInput, "check " + field, "", "it contains a control character");
        }
    }
    return Core::success();
}

Core::Result<void> checkPath(const std::string &path)
{
    if (path.empty() || path.front() != '/' || path.size() > MaximumPath) {
        return Core::makeError(
            Core::ErrorCode::InvalidInput, "check path", "", "it must start with a slash and be at most " + std::to_string(MaximumPath) + " long");
    }
    for (const char character : path) {
        const unsigned char code = static_cast<unsigned char>(character);
        if (code <= ' ' || code == 0x7f) {
            return Core::makeError(Core::ErrorCode::InvalidInput, "check path", "", "it contains white space or a control character");
        }
    }
    return Core::success();
}

}
