/// @file What the main functions of the long-running processes share: command line, settings check, logs, and draining on a signal.
#pragma once

#include "LibCore/Error.h"
#include "LibSettings/Reader.h"

#include <csignal>
#include <glog/logging.h>
#include <optional>
#include <string>

namespace Daemon {

enum ExitCode {
    ExitOk = 0,
    ExitFailed = 1,
    ExitUsage = 2,
};

struct ProgramDescription
{
    std::string m_name;
    std::string m_purpose; ///< One line for the help text.
};

struct CommandLine
{
    std::string m_settingsFile;
    bool m_checkOnly = false;
};

/// Reads the command line. On help, version or wrong usage it prints what is due, sets @p exitCode and returns nothing.
std::optional<CommandLine> readCommandLine(int argc, char **argv, const ProgramDescription &description, int &exitCode);

/// Prints every problem; true if there is none.
bool reportProblems(const Settings::Problems &problems);

/// Starts the logs in @p directory, or on standard error if it is empty.
void startLogs(const char *program, const std::string &directory);

/// Blocks the signals that end the process, in this and all later threads, and returns them.
sigset_t blockTerminationSignals();

/**
 * Runs a process to its end: checks the settings whole before anything starts, and drains on SIGTERM or SIGINT.
 *
 * @p Process is made from the settings and has start(), startLeaving(), awaitDrained() and stop().
 */
template <typename Process, typename ProcessSettings>
int runProgram(int argc, char **argv, const ProgramDescription &description, ProcessSettings (*readSettings)(Settings::Reader &))
{
    int exitCode = ExitOk;
    const std::optional<CommandLine> commandLine = readCommandLine(argc, argv, description, exitCode);
    if (!commandLine) {
        return exitCode;
    }
    ProcessSettings settings;
    const Settings::Problems problems =
        Settings::readFile(commandLine->m_settingsFile, [&settings, readSettings](Settings::Reader &reader) { settings = readSettings(reader); });
    if (!reportProblems(problems)) {
        return ExitUsage;
    }
    if (commandLine->m_checkOnly) {
        return ExitOk;
    }
    startLogs(argv[0], settings.m_instance.m_logDirectory);
    const sigset_t signals = blockTerminationSignals();
    Process process(std::move(settings));
    const Core::Result<void> started = process.start();
    if (!started) {
        LOG(ERROR) << started.error();
        return ExitFailed;
    }
    int received = 0;
    sigwait(&signals, &received);
    process.startLeaving();
    const bool drained = process.awaitDrained();
    process.stop();
    return drained ? ExitOk : ExitFailed;
}

/**
 * Runs a process that handles its signals on its own event loop: checks the settings whole before anything starts.
 *
 * @p Process is made from the settings and an adapter and has run() and onReload(), whose callback reads the settings file again; it gives nothing
 * if the file has mistakes, which are reported on standard error.
 */
template <typename Process, typename ProcessSettings, typename Adapter>
int runLoopProgram(int argc, char **argv, const ProgramDescription &description, ProcessSettings (*readSettings)(Settings::Reader &), const Adapter &adapter)
{
    int exitCode = ExitOk;
    const std::optional<CommandLine> commandLine = readCommandLine(argc, argv, description, exitCode);
    if (!commandLine) {
        return exitCode;
    }
    const std::function<std::optional<ProcessSettings>()> read = [&commandLine, readSettings]() -> std::optional<ProcessSettings> {
        ProcessSettings settings;
        const Settings::Problems problems =
            Settings::readFile(commandLine->m_settingsFile, [&settings, readSettings](Settings::Reader &reader) { settings = readSettings(reader); });
        return reportProblems(problems) ? std::optional<ProcessSettings>(std::move(settings)) : std::nullopt;
    };
    const std::optional<ProcessSettings> settings = read();
    if (!settings) {
        return ExitUsage;
    }
    if (commandLine->m_checkOnly) {
        return ExitOk;
    }
    startLogs(argv[0], "");
    std::signal(SIGPIPE, SIG_IGN);
    Process process(*settings, adapter);
    process.onReload(read);
    return process.run() == 0 ? ExitOk : ExitFailed;
}

}
