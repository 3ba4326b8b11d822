/// @file standin-engine: stand-in for one or more model engines in one process.

#include "LibStandIn/Engine.h"
#include "LibStandIn/Program.h"

namespace {

Core::Result<void> serve(const StandIn::EngineProgramSettings &settings, const std::function<void()> &wait)
{
    std::vector<std::unique_ptr<StandIn::Engine>> engines;
    StandIn::HttpServer server(settings.m_maximumThreads);
    for (const StandIn::EngineSettings &engineSettings : settings.m_engines) {
        engines.push_back(std::make_unique<StandIn::Engine>(engineSettings));
        StandIn::Engine &engine = *engines.back();
        BOOST_OUTCOME_TRYV(server.listen(engineSettings.m_listen, [&engine](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) {
            engine.handle(request, response);
        }));
    }
    wait();
    for (const std::unique_ptr<StandIn::Engine> &engine : engines) {
        engine->stop();
    }
    server.stop();
    return Core::success();
}

}

int main(int argumentCount, char **arguments)
{
    StandIn::EngineProgramSettings settings;
    return StandIn::runProgram(
        argumentCount,
        arguments,
        "standin-engine",
        [&settings](Settings::Reader &reader) { settings = StandIn::readEngineProgramSettings(reader); },
        [&settings](const std::function<void()> &wait) { return serve(settings, wait); });
}
