/// @file standin-network: simulates the network links between the instances of a test.

#include "LibStandIn/Program.h"
#include "LibStandInNetwork/Gateway.h"

namespace {

Core::Result<void> serve(const StandIn::GatewaySettings &settings, const std::function<void()> &wait)
{
    StandIn::Gateway gateway(settings);
    BOOST_OUTCOME_TRYV(gateway.start());
    wait();
    gateway.stop();
    return Core::success();
}

}

int main(int argumentCount, char **arguments)
{
    StandIn::GatewaySettings settings;
    return StandIn::runProgram(
        argumentCount,
        arguments,
        "standin-network",
        [&settings](Settings::Reader &reader) { settings = StandIn::readGatewaySettings(reader); },
        [&settings](const std::function<void()> &wait) { return serve(settings, wait); });
}
