/// @file Implementation of the instance list's client.

#include "LibPlatform/HttpInstanceList.h"
#include "LibPlatform/HttpExchange.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace Platform {

namespace {

constexpr int Ok = 200;
constexpr int MaximumNesting = 8;
constexpr std::size_t MaximumInstances = 1 << 16;

Core::Result<Protocol::Member> parseInstance(const Poco::JSON::Object::Ptr &object)
{
    Protocol::Member member;
    member.m_id = object->getValue<std::string>("id");
    member.m_wire = BOOST_OUTCOME_TRYX(Core::parseAddress(object->getValue<std::string>("address")));
    member.m_role = object->getValue<std::string>("role") == "entry" ? Protocol::Role::Entry : Protocol::Role::Agent;
    member.m_service = object->optValue<std::string>("service", "");
    member.m_region = object->optValue<std::string>("region", "");
    member.m_failureDomain = object->optValue<std::string>("failure_domain", "");
    member.m_leaving = object->optValue<std::string>("state", "live") == "leaving";
    return member;
}

}

HttpInstanceList::HttpInstanceList(Network::NetworkSettings network, Core::Address server)
    : m_network(std::move(network))
    , m_server(std::move(server))
{
}

Core::Result<std::vector<Protocol::Member>> HttpInstanceList::instances()
{
    HttpRequest request;
    request.m_step = "read instance list";
    request.m_target = "/instances";
    const HttpAnswer answer = BOOST_OUTCOME_TRYX(exchangeHttp(m_network, m_server, request));
    if (answer.m_status != Ok) {
        return Core::makeError(Core::ErrorCode::Unavailable, request.m_step, m_server.toString(), "status " + std::to_string(answer.m_status));
    }
    return parseInstanceList(answer.m_body, m_server.toString());
}

Core::Result<std::vector<Protocol::Member>> parseInstanceList(const std::string &text, const std::string &peer)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaximumNesting);
        const Poco::JSON::Object::Ptr root = parser.parse(text).extract<Poco::JSON::Object::Ptr>();
        const Poco::JSON::Array::Ptr array = root->getArray("instances");
        if (!array || array->size() > MaximumInstances) {
            return Core::makeError(Core::ErrorCode::Corrupt, "read instance list", peer, "expected a list of at most " + std::to_string(MaximumInstances));
        }
        std::vector<Protocol::Member> members;
        for (unsigned index = 0; index < array->size(); ++index) {
            members.push_back(BOOST_OUTCOME_TRYX(parseInstance(array->getObject(index))));
        }
        return members;
    } catch (const std::exception &exception) {
        return Core::makeError(Core::ErrorCode::Corrupt, "read instance list", peer, exception.what());
    }
}

}
