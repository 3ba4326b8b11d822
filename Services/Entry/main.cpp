/// @file oriolerail-entry: the process that routes requests.

#include "LibDaemon/Program.h"
#include "LibEntry/Entry.h"

int main(int argc, char **argv)
{
    const Daemon::ProgramDescription description{"oriolerail-entry", "Answers callers, routes their requests and takes part in control decisions"};
    return Daemon::runProgram<Entry::Entry>(argc, argv, description, Entry::readEntrySettings);
}
