/// @file A test fleet of real processes on loopback addresses.
#pragma once

#include "LibBench/Layout.h"
#include "LibBench/Process.h"
#include "LibCore/Clock.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/ServerSocket.h>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Bench {

/**
 * Starts, disturbs and stops the processes of a layout.
 *
 * The fleet reserves a free slot of the loopback range for its lifetime, so that several fleets can run concurrently. The
 * destructor kills all processes.
 */
class Fleet
{
public:
    /// Starts all processes with the binaries in @p programs. Fails with Unavailable and the name of the process if one is not ready in time.
    static Core::Result<std::unique_ptr<Fleet>> start(const Topology &topology, const std::string &programs);
    ~Fleet();

    const Topology &topology() const
    {
        return m_topology;
    }
    const Layout &layout() const
    {
        return m_layout;
    }
    /// Returns the directory with the settings and logs of the processes.
    const std::string &directory() const
    {
        return m_directory;
    }
    /// Keeps the directory after the fleet is destroyed, so that the logs of a failed run can be read.
    void keepDirectory()
    {
        m_isDirectoryKept = true;
    }

    /// Returns the specification of a process. Fails with NotFound.
    Core::Result<const ProcessSpec *> find(const std::string &name) const;
    /// Returns the specifications of all processes of a kind.
    std::vector<const ProcessSpec *> ofKind(ProcessKind kind) const;
    /// Returns the process with this name; nullptr if it has not been started.
    Process *process(const std::string &name);

    /// Kills the process with SIGKILL and removes its instance from the instance list.
    Core::Result<void> kill(const std::string &name);
    /// Sends SIGTERM, so that the process drains.
    Core::Result<void> terminate(const std::string &name);
    /// Pauses the process with SIGSTOP.
    Core::Result<void> freeze(const std::string &name);
    /// Resumes a frozen process with SIGCONT.
    Core::Result<void> resume(const std::string &name);
    /// Restarts a process that has ended, without its former state, and waits until it is ready. Fails with Conflict if it still runs.
    Core::Result<void> replace(const std::string &name);

    /// Sets the fault switches of a stand-in.
    Core::Result<void> setFaults(const std::string &name, const std::string &json);
    /// Returns a JSON page of a process, for example /journal or /status.
    Core::Result<Poco::JSON::Object::Ptr> page(const std::string &name, const std::string &path) const;
    /// Adds an instance to the instance list, or updates its state there.
    Core::Result<void> setListed(const ProcessSpec &spec, const std::string &state);

    /// Returns the names of processes that ended without having been killed or terminated.
    std::vector<std::string> unexpectedExits();

private:
    Fleet(Topology topology, std::string programs);

    bool acquireSlot();
    Core::Result<void> startAll();
    Core::Result<void> launch(const ProcessSpec &spec);
    Core::Result<void> waitForReady(const ProcessSpec &spec);
    Core::Result<void> signal(const std::string &name, int number);
    void stopAll();

    Topology m_topology;
    std::string m_programs;
    std::string m_directory;
    bool m_isDirectoryKept = false;
    std::optional<Poco::Net::ServerSocket> m_slotLock; ///< Bound while this fleet owns the slot.
    Layout m_layout;
    std::map<std::string, Process> m_running;
    std::map<std::string, bool> m_isEndExpected; ///< True for processes that were killed or terminated.
};

/// Polls until @p condition holds. Returns false if it does not hold within @p timeout.
bool waitUntil(const std::function<bool()> &condition, Core::Duration timeout);

}
