/// @file oriolerail-entry: the process on an entry instance.

#include "LibEntry/Entry.h"

#include <csignal>
#include <cxxopts.hpp>
#include <glog/logging.h>
#include <iostream>

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailed = 1;

/// Blocked in every thread, so that only the main thread takes them, by waiting.
sigset_t endingSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

int runEntry(Entry::EntrySettings settings)
{
    const sigset_t signals = endingSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    Entry::Entry entry(std::move(settings));
    const Core::Result<void> started = entry.start();
    if (!started) {
        LOG(ERROR) << started.error();
        return ExitFailed;
    }
    int received = 0;
    sigwait(&signals, &received);
    entry.startLeaving();
    const bool drained = entry.awaitDrained();
    entry.stop();
    return drained ? 0 : ExitFailed;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("oriolerail-entry", "Answers callers, routes their requests and takes part in control decisions");
    options.add_options()("settings", "YAML file with the settings", cxxopts::value<std::string>())("check", "only check the settings")("help",
                                                                                                                                        "show this help");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0 || arguments.count("settings") == 0) {
            std::cout << options.help();
            return arguments.count("help") != 0 ? 0 : ExitUsage;
        }
        Entry::EntrySettings settings;
        const Settings::Problems problems =
            Settings::readFile(arguments["settings"].as<std::string>(), [&settings](Settings::Reader &reader) { settings = Entry::readEntrySettings(reader); });
        for (const Settings::Problem &problem : problems) {
            std::cerr << problem.message() << "\n";
        }
        if (!problems.empty()) {
            return ExitUsage;
        }
        if (arguments.count("check") != 0) {
            return 0;
        }
        if (settings.m_instance.m_logDirectory.empty()) {
            FLAGS_logtostderr = true;
        } else {
            FLAGS_log_dir = settings.m_instance.m_logDirectory;
        }
        google::InitGoogleLogging(argv[0]);
        return runEntry(std::move(settings));
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << exception.what() << "\n";
        return ExitUsage;
    }
}
