/// @file standin-log: stand-in for the platform's log service and instance list.

#include "LibStandIn/Program.h"
#include "LibStandInLog/LogService.h"

namespace {

constexpr int MaximumThreads = 512;

Core::Result<void> serve(const StandIn::LogServiceSettings &settings, const std::function<void()> &wait)
{
    StandIn::LogService service(settings);
    StandIn::HttpServer server(MaximumThreads);
    BOOST_OUTCOME_TRYV(server.listen(
        settings.m_listen, [&service](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) { service.handle(request, response); }));
    wait();
    service.stop();
    server.stop();
    return Core::success();
}

}

int main(int argumentCount, char **arguments)
{
    StandIn::LogServiceSettings settings;
    return StandIn::runProgram(
        argumentCount,
        arguments,
        "standin-log",
        [&settings](Settings::Reader &reader) { settings = StandIn::readLogServiceSettings(reader); },
        [&settings](const std::function<void()> &wait) { return serve(settings, wait); });
}
