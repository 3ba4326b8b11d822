/// @file Implementation of the shared main function.

#include "LibStandIn/Program.h"

#include <csignal>
#include <cxxopts.hpp>
#include <glog/logging.h>
#include <iostream>
#include <pthread.h>

namespace StandIn {

namespace {

/// Returns the signals that end the program. They are blocked in every thread, so that only waitForSignal() receives them.
sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void waitForSignal()
{
    const sigset_t signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
}

}

int runProgram(int argumentCount,
               const char *const *arguments,
               const std::string &name,
               const std::function<void(Settings::Reader &)> &read,
               const std::function<Core::Result<void>(const std::function<void()> &wait)> &serve)
{
    cxxopts::Options options(name, "Stand-in for tests and measurements; see docs/STANDINS.md");
    options.add_options()("settings", "settings file (YAML)", cxxopts::value<std::string>())("help", "print this text");
    std::string path;
    try {
        const cxxopts::ParseResult parsed = options.parse(argumentCount, arguments);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return ExitOk;
        }
        path = parsed["settings"].as<std::string>();
    } catch (const std::exception &exception) {
        std::cerr << name << ": " << exception.what() << '\n';
        return ExitUsage;
    }
    google::InitGoogleLogging(name.c_str());
    FLAGS_logtostderr = true;
    const Settings::Problems problems = Settings::readFile(path, read);
    for (const Settings::Problem &problem : problems) {
        std::cerr << problem.message() << '\n';
    }
    if (!problems.empty()) {
        return ExitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const Core::Result<void> result = serve(waitForSignal);
    if (!result) {
        std::cerr << name << ": " << result.error() << '\n';
        return ExitFailed;
    }
    return ExitOk;
}

}
