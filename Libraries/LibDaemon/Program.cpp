/// @file Implementation of the shared parts of main functions.

#include "LibDaemon/Program.h"
#include "LibCore/Version.h"

#include <cxxopts.hpp>
#include <iostream>

namespace Daemon {

std::optional<CommandLine> readCommandLine(int argc, char **argv, const ProgramDescription &description, int &exitCode)
{
    cxxopts::Options options(description.m_name, description.m_purpose);
    cxxopts::OptionAdder add = options.add_options();
    add("settings", "YAML file with the settings", cxxopts::value<std::string>());
    add("check", "only check the settings");
    add("help", "show this help");
    add("version", "show the version");
    exitCode = ExitOk;
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return std::nullopt;
        }
        if (arguments.count("version") != 0) {
            std::cout << description.m_name << " " << Core::Version << "\n";
            return std::nullopt;
        }
        if (arguments.count("settings") != 0) {
            return CommandLine{arguments["settings"].as<std::string>(), arguments.count("check") != 0};
        }
        std::cerr << description.m_name << ": --settings is missing; see --help\n";
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << description.m_name << ": " << exception.what() << "; see --help\n";
    }
    exitCode = ExitUsage;
    return std::nullopt;
}

bool reportProblems(const Settings::Problems &problems)
{
    for (const Settings::Problem &problem : problems) {
        std::cerr << problem.message() << "\n";
    }
    return problems.empty();
}

void startLogs(const char *program, const std::string &directory)
{
    if (directory.empty()) {
        FLAGS_logtostderr = true;
    } else {
        FLAGS_log_dir = directory;
    }
    google::InitGoogleLogging(program);
}

sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

}
