/// @file Implementation of the test fleet.

#include "LibBench/Fleet.h"
#include "LibBench/Http.h"

#include <Poco/JSON/Parser.h>
#include <Poco/TemporaryFile.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace Bench {

namespace {

constexpr int FirstSlot = 20;
constexpr int LastSlot = 219;
constexpr std::uint16_t SlotLockPort = 6999;
constexpr Core::Duration ReadyTimeout{30000};
constexpr Core::Duration PollInterval{20};
constexpr Core::Duration KillTimeout{3000};
constexpr int HttpNoContent = 204;

std::string fileName(const std::string &processName)
{
    std::string name = processName;
    std::replace(name.begin(), name.end(), ':', '-');
    return name;
}

}

bool waitUntil(const std::function<bool()> &condition, Core::Duration timeout)
{
    const Core::Instant deadline = Core::Clock::now() + timeout;
    while (!condition()) {
        if (Core::Clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

Core::Result<std::unique_ptr<Fleet>> Fleet::start(const Topology &topology, const std::string &programs)
{
    std::unique_ptr<Fleet> fleet(new Fleet(topology, programs));
    BOOST_OUTCOME_TRYV(fleet->startAll());
    return fleet;
}

Fleet::Fleet(Topology topology, std::string programs)
    : m_topology(std::move(topology))
    , m_programs(std::move(programs))
{
}

Fleet::~Fleet()
{
    stopAll();
    if (m_isDirectoryKept) {
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
}

bool Fleet::acquireSlot()
{
    for (int slot = FirstSlot; slot <= LastSlot; ++slot) {
        const std::string host = "127." + std::to_string(slot) + ".0.1";
        try {
            Poco::Net::ServerSocket lock;
            lock.bind(Poco::Net::SocketAddress(host, SlotLockPort), false);
            lock.listen();
            m_slotLock = lock;
            m_layout = makeLayout(m_topology, slot);
            return true;
        } catch (const Poco::Exception &) {
            // Another fleet owns this slot.
            continue;
        }
    }
    return false;
}

Core::Result<void> Fleet::startAll()
{
    if (!acquireSlot()) {
        return Core::makeError(Core::ErrorCode::Unavailable, "start fleet", "", "no free slot of the loopback range");
    }
    m_directory = Poco::TemporaryFile::tempName();
    std::filesystem::create_directories(m_directory);
    for (const ProcessSpec &spec : m_layout.m_processes) {
        const bool needsPlatform = spec.m_kind == ProcessKind::Entry || spec.m_kind == ProcessKind::Agent;
        BOOST_OUTCOME_TRYV(launch(spec));
        if (!needsPlatform) {
            BOOST_OUTCOME_TRYV(waitForReady(spec));
        }
        if (!spec.m_instance.empty()) {
            BOOST_OUTCOME_TRYV(setListed(spec, "live"));
        }
    }
    for (const ProcessSpec &spec : m_layout.m_processes) {
        BOOST_OUTCOME_TRYV(waitForReady(spec));
    }
    return Core::success();
}

Core::Result<void> Fleet::launch(const ProcessSpec &spec)
{
    const std::string base = m_directory + "/" + fileName(spec.m_name);
    std::ofstream(base + ".yaml") << spec.m_settings;
    Process process = BOOST_OUTCOME_TRYX(Process::start(m_programs + "/" + spec.m_program, {"--settings", base + ".yaml"}, base + ".log"));
    m_running.insert_or_assign(spec.m_name, std::move(process));
    m_isEndExpected[spec.m_name] = false;
    return Core::success();
}

Core::Result<void> Fleet::waitForReady(const ProcessSpec &spec)
{
    Process &process = m_running.at(spec.m_name);
    const bool ready = waitUntil([&spec, &process] { return process.poll() || httpGet(spec.m_health, "/healthz"); }, ReadyTimeout);
    if (!ready || process.poll()) {
        std::ifstream log(process.logFile());
        std::ostringstream text;
        text << log.rdbuf();
        return Core::makeError(Core::ErrorCode::Unavailable, "start process", spec.m_name, text.str());
    }
    return Core::success();
}

Core::Result<const ProcessSpec *> Fleet::find(const std::string &name) const
{
    for (const ProcessSpec &spec : m_layout.m_processes) {
        if (spec.m_name == name) {
            return &spec;
        }
    }
    return Core::makeError(Core::ErrorCode::NotFound, "find process", name, "the fleet has no such process");
}

std::vector<const ProcessSpec *> Fleet::ofKind(ProcessKind kind) const
{
    std::vector<const ProcessSpec *> found;
    for (const ProcessSpec &spec : m_layout.m_processes) {
        if (spec.m_kind == kind) {
            found.push_back(&spec);
        }
    }
    return found;
}

Process *Fleet::process(const std::string &name)
{
    const std::map<std::string, Process>::iterator it = m_running.find(name);
    return it == m_running.end() ? nullptr : &it->second;
}

Core::Result<void> Fleet::signal(const std::string &name, int number)
{
    BOOST_OUTCOME_TRYV(find(name));
    m_running.at(name).signal(number);
    return Core::success();
}

Core::Result<void> Fleet::kill(const std::string &name)
{
    const ProcessSpec *spec = BOOST_OUTCOME_TRYX(find(name));
    m_isEndExpected[name] = true;
    BOOST_OUTCOME_TRYV(signal(name, SIGKILL));
    m_running.at(name).wait(KillTimeout);
    if (!spec->m_instance.empty()) {
        BOOST_OUTCOME_TRYV(httpRequest(m_layout.m_log, "DELETE", "/instances/" + spec->m_instance, "", Core::Duration(2000)));
    }
    return Core::success();
}

Core::Result<void> Fleet::terminate(const std::string &name)
{
    m_isEndExpected[name] = true;
    return signal(name, SIGTERM);
}

Core::Result<void> Fleet::freeze(const std::string &name)
{
    return signal(name, SIGSTOP);
}

Core::Result<void> Fleet::resume(const std::string &name)
{
    return signal(name, SIGCONT);
}

Core::Result<void> Fleet::replace(const std::string &name)
{
    const ProcessSpec *spec = BOOST_OUTCOME_TRYX(find(name));
    if (!m_running.at(name).poll()) {
        return Core::makeError(Core::ErrorCode::Conflict, "replace process", name, "it still runs");
    }
    BOOST_OUTCOME_TRYV(launch(*spec));
    BOOST_OUTCOME_TRYV(waitForReady(*spec));
    if (!spec->m_instance.empty()) {
        BOOST_OUTCOME_TRYV(setListed(*spec, "live"));
    }
    return Core::success();
}

Core::Result<void> Fleet::setFaults(const std::string &name, const std::string &json)
{
    const ProcessSpec *spec = BOOST_OUTCOME_TRYX(find(name));
    const HttpAnswer answer = BOOST_OUTCOME_TRYX(httpRequest(spec->m_health, "POST", "/faults", json, Core::Duration(5000)));
    if (answer.m_status / 100 != 2) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "set faults", name, "status " + std::to_string(answer.m_status) + ": " + answer.m_body);
    }
    return Core::success();
}

Core::Result<Poco::JSON::Object::Ptr> Fleet::page(const std::string &name, const std::string &path) const
{
    const ProcessSpec *spec = BOOST_OUTCOME_TRYX(find(name));
    const std::string body = BOOST_OUTCOME_TRYX(httpGet(spec->m_health, path, Core::Duration(5000)));
    try {
        return Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Corrupt, "read page " + path, name, exception.displayText());
    }
}

Core::Result<void> Fleet::setListed(const ProcessSpec &spec, const std::string &state)
{
    Poco::JSON::Object::Ptr body = new Poco::JSON::Object;
    body->set("address", spec.m_wire.toString());
    body->set("role", spec.m_role);
    body->set("service", spec.m_service);
    body->set("region", spec.m_region);
    body->set("failure_domain", spec.m_failureDomain);
    body->set("state", state);
    std::ostringstream text;
    body->stringify(text);
    const HttpAnswer answer = BOOST_OUTCOME_TRYX(httpRequest(m_layout.m_log, "PUT", "/instances/" + spec.m_instance, text.str(), Core::Duration(2000)));
    if (answer.m_status != HttpNoContent) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "list instance", spec.m_instance, "status " + std::to_string(answer.m_status));
    }
    return Core::success();
}

std::vector<std::string> Fleet::unexpectedExits()
{
    std::vector<std::string> names;
    for (std::pair<const std::string, Process> &entry : m_running) {
        if (!m_isEndExpected[entry.first] && entry.second.poll()) {
            names.push_back(entry.first);
        }
    }
    return names;
}

void Fleet::stopAll()
{
    // A frozen process does not handle SIGTERM, and the stand-ins have nothing to drain, so all processes are killed.
    for (std::pair<const std::string, Process> &entry : m_running) {
        entry.second.signal(SIGKILL);
    }
    m_running.clear();
}

}
