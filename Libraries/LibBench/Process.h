/// @file A child process of a test bench. Only benches start processes; the product's own never do.
#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Error.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Bench {

/// Owns one child process; a child that still runs at the end is killed and reaped.
class Process
{
public:
    /// Starts @p program with its output appended to @p logFile.
    static Core::Result<Process> start(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);

    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    ~Process();

    pid_t pid() const
    {
        return m_pid;
    }
    const std::string &logFile() const
    {
        return m_logFile;
    }

    /// Sends a signal; no effect on a process that has ended.
    void signal(int number);
    /// Exit code if the process has ended, 128 + signal if a signal ended it.
    std::optional<int> poll();
    /// As poll, but waits at most @p patience.
    std::optional<int> wait(Core::Duration timeout);

    /// Processor seconds that the process has used, user and system.
    double processorSeconds() const;
    /// Resident memory in bytes.
    std::size_t residentBytes() const;

private:
    Process(pid_t pid, std::string logFile);
    void killAndReap();

    pid_t m_pid = 0; ///< 0 once reaped or moved from.
    std::string m_logFile;
    std::optional<int> m_exitCode;
};

}
