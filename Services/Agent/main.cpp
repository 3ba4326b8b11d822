/// @file oriolerail-agent: the process beside an endpoint.

#include "LibDaemon/Program.h"
#include "LibEndpoint/Agent.h"

int main(int argc, char **argv)
{
    const Daemon::ProgramDescription description{"oriolerail-agent", "Holds weights, orders the local endpoint and relays calls to it"};
    return Daemon::runProgram<Endpoint::Agent>(argc, argv, description, Endpoint::readAgentSettings);
}
