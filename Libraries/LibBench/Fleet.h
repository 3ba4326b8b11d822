/// @file A running test fleet: real processes on addresses of the loopback range.
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
 * Starts, breaks and ends the processes of a layout.
 *
 * The fleet takes a free slot of the loopback range for its life, so that several fleets can run at once. Everything it
 * started ends with it.
 */
class Fleet
{
public:
    /// Finds the binaries in @p programs and starts the whole layout; fails, naming the process, if one is not ready in time.
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
    /// Where settings and logs of the processes are.
    const std::string &directory() const
    {
        return m_directory;
    }
    /// Leaves the directory behind, so that the logs of a run that failed can be read.
    void keepDirectory()
    {
        m_isDirectoryKept = true;
    }

    Core::Result<const ProcessSpec *> find(const std::string &name) const;
    std::vector<const ProcessSpec *> ofKind(ProcessKind kind) const;
    Process *process(const std::string &name);

    /// SIGKILL; the instance leaves the list when it notices.
    Core::Result<void> kill(const std::string &name);
    /// SIGTERM; the process drains.
    Core::Result<void> terminate(const std::string &name);
    /// SIGSTOP and SIGCONT.
    Core::Result<void> freeze(const std::string &name);
    Core::Result<void> resume(const std::string &name);
    /// Starts a process again that has ended, with nothing kept, and waits until it is ready.
    Core::Result<void> replace(const std::string &name);

    /// Sets fault switches of a stand-in.
    Core::Result<void> setFaults(const std::string &name, const std::string &json);
    /// A JSON page of a process, for example its /journal or /status.
    Core::Result<Poco::JSON::Object::Ptr> page(const std::string &name, const std::string &path) const;
    /// Tells the instance list about an instance.
    Core::Result<void> setListed(const ProcessSpec &spec, const std::string &state);

    /// Names of processes that ended without having been told to.
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
    std::optional<Poco::Net::ServerSocket> m_slotLock; ///< Bound while the slot is ours.
    Layout m_layout;
    std::map<std::string, Process> m_running;
    std::map<std::string, bool> m_isEndExpected; ///< Processes that were killed or told to end.
};

/// Waits until @p condition holds; false if it does not within @p patience.
bool waitUntil(const std::function<bool()> &condition, Core::Duration timeout);

}
