/// @file standin-service: stand-in for one or more plain services in one process.

#include "LibStandIn/PlainService.h"
#include "LibStandIn/Program.h"

namespace {

Core::Result<void> serve(const StandIn::ServiceProgramSettings &settings, const std::function<void()> &wait)
{
    std::vector<std::unique_ptr<StandIn::PlainService>> services;
    StandIn::HttpServer server(settings.m_maximumThreads);
    for (const StandIn::ServiceSettings &serviceSettings : settings.m_services) {
        services.push_back(std::make_unique<StandIn::PlainService>(serviceSettings));
        StandIn::PlainService &service = *services.back();
        BOOST_OUTCOME_TRYV(server.listen(serviceSettings.m_listen, [&service](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
            service.handle(request, response);
        }));
    }
    wait();
    for (const std::unique_ptr<StandIn::PlainService> &service : services) {
        service->stop();
    }
    server.stop();
    return Core::success();
}

}

int main(int argumentCount, char **arguments)
{
    StandIn::ServiceProgramSettings settings;
    return StandIn::runProgram(
        argumentCount,
        arguments,
        "standin-service",
        [&settings](Settings::Reader &reader) { settings = StandIn::readServiceProgramSettings(reader); },
        [&settings](const std::function<void()> &wait) { return serve(settings, wait); });
}
