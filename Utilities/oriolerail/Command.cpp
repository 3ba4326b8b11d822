/// @file Implementation of the shared parts of the commands.

#include "Command.h"
#include "LibPlatform/HttpExchange.h"

#include <iostream>
#include <sstream>

namespace Cli {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

}

int reportError(const Arguments &arguments, const Core::Error &error)
{
    std::cerr << "oriolerail: " << error << "\n";
    if (arguments.m_json) {
        Poco::JSON::Object::Ptr detail = new Poco::JSON::Object;
        detail->set("code", std::string(Core::errorCodeName(error.m_code)));
        detail->set("step", error.m_step);
        detail->set("peer", error.m_peer);
        detail->set("detail", error.m_detail);
        Poco::JSON::Object object;
        object.set("error", detail);
        object.stringify(std::cout);
        std::cout << "\n";
    }
    return ExitFailed;
}

int reportUsage(const std::string &problem)
{
    std::cerr << "oriolerail: " << problem << "; see oriolerail --help\n";
    return ExitUsage;
}

void print(const Arguments &arguments, const Poco::JSON::Object::Ptr &object, const std::string &text)
{
    if (!arguments.m_json) {
        std::cout << text;
        return;
    }
    object->stringify(std::cout);
    std::cout << "\n";
}

Core::Result<std::string> fetch(const Arguments &arguments, const Core::Address &server, const std::string &step, const std::string &target)
{
    Platform::HttpRequest request;
    request.m_step = step;
    request.m_target = target;
    const Platform::HttpAnswer answer = BOOST_OUTCOME_TRYX(Platform::exchangeHttp(arguments.m_network, server, request));
    if (answer.m_status == StatusOk) {
        return answer.m_body;
    }
    const Core::ErrorCode code = answer.m_status == StatusNotFound ? Core::ErrorCode::NotFound : Core::ErrorCode::Unavailable;
    return Core::makeError(code, step, server.toString(), "status " + std::to_string(answer.m_status) + " for " + target);
}

}
