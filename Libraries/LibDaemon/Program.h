/// @file Shared parts of the main functions of long-running processes: command line, settings check, logs, and draining on a signal.
#pragma once

#include "LibCore/Error.h"
#include "LibCore/SignalMask.h"
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

/// Parses the command line. For help, version or wrong usage, prints the text, sets @p exitCode and returns nothing.
std::optional<CommandLine> readCommandLine(int argc, char **argv, const ProgramDescription &description, int &exitCode);

/// Prints every problem to standard error. Returns true if there is none.
bool reportProblems(const Settings::Problems &problems);

/// Starts logging to @p directory, or to standard error if it is empty.
void startLogs(const char *program, const std::string &directory);

/// Blocks SIGTERM and SIGINT in this thread and all threads started later, and returns them as a set. Ignores SIGPIPE.
sigset_t blockTerminationSignals();

/**
 * Runs a process until it ends: checks all settings before anything starts, and drains on SIGTERM or SIGINT.
 *
 * @p Process is constructed from the settings and has start(), startLeaving(), awaitDrained() and stop().
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
 * Runs a process that handles signals on its own event loop: checks all settings before anything starts. The process releases the signals, which are held
 * back until then, once it handles them.
 *
 * @p Process is constructed from the settings and @p adapter, which connects the process to the platform. It has run() and onReload(). The callback that is
 * passed to onReload() reads the settings file again. If the file has mistakes, the callback reports them on standard error and returns nothing.
 */
template <typename Process, typename ProcessSettings, typename Adapter>
int runLoopProgram(int argc, char **argv, const ProgramDescription &description, ProcessSettings (*readSettings)(Settings::Reader &), const Adapter &adapter)
{
    Core::holdProcessSignals(); // Until the process handles them: settings that change after they were read must be read again.
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
