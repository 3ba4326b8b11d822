/// @file A child process of a test bench. Only test benches start processes; the entry and the agent never do.
#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Error.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Bench {

/// Owns a child process. The destructor kills and reaps a child that still runs.
class Process
{
public:
    /// Starts @p program and appends its output to @p logFile. Fails with Unavailable.
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

    /// Sends a signal. Has no effect on a process that has ended.
    void signal(int number);
    /// Returns the exit code if the process has ended, or 128 plus the signal number if a signal ended it.
    std::optional<int> poll();
    /// Like poll(), but waits up to @p timeout for the end of the process.
    std::optional<int> wait(Core::Duration timeout);

    /// Returns the user and system processor time used by the process, in seconds.
    double processorSeconds() const;
    /// Returns the resident memory of the process in bytes.
    std::size_t residentBytes() const;
    /// Returns the largest resident memory that the process has had, in bytes.
    std::size_t peakResidentBytes() const;

private:
    Process(pid_t pid, std::string logFile);
    void killAndReap();

    pid_t m_pid = 0; ///< 0 after the process was reaped or moved from.
    std::string m_logFile;
    std::optional<int> m_exitCode;
};

}
