/// @file standin-origin: stand-in for the platform's weight store and origin of weights in tests and measurements.

#include "LibOriginStandIn/OriginServer.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <pthread.h>

namespace {

/// Blocks the termination signals in this thread and those started later, so that only sigwait() in run() receives them.
sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int run(const std::string &settingsPath)
{
    StandIn::OriginSettings settings;
    const Settings::Problems problems =
        Settings::readFile(settingsPath, [&settings](Settings::Reader &reader) { settings = StandIn::readOriginSettings(reader); });
    for (const Settings::Problem &problem : problems) {
        std::cerr << problem.message() << "\n";
    }
    if (!problems.empty()) {
        return 2;
    }
    const sigset_t signals = blockTerminationSignals();
    StandIn::OriginStore store(settings);
    const Core::Result<void> generated = store.generate();
    if (!generated) {
        std::cerr << generated.error() << "\n";
        return 1;
    }
    StandIn::OriginServer server(store);
    const Core::Result<void> started = server.start();
    if (!started) {
        std::cerr << started.error() << "\n";
        return 1;
    }
    int received = 0;
    sigwait(&signals, &received);
    // Exits without cleanup: the stand-in stores nothing, and idle connections may stay open for a long time.
    std::_Exit(0);
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("standin-origin", "Stand-in for the weight store and the origin of weights");
    options.add_options()("settings", "settings file", cxxopts::value<std::string>())("help", "show this text");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
            std::cout << options.help();
            return arguments.count("help") > 0 ? 0 : 2;
        }
        return run(arguments["settings"].as<std::string>());
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << "\n";
        return 2;
    }
}
