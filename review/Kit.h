/// @file Stand-ins of the platform's store and of engines, and the programs under test as processes.
#pragma once

#include "Http.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <mutex>

namespace Review {

/// What was sent, answered and run, one line each with the time since the start.
class Record
{
public:
    explicit Record(const std::string &file);
    void write(const std::string &line);
    /// Seconds since the start.
    double now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const Clock::time_point m_start = Clock::now();
};

/// The platform's store: two keyed topics that are read by offset, by newest record, and by waiting.
class Store
{
public:
    explicit Store(const Address &address);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    bool start();
    /// Writes a record; without a value the key is dropped. The return is the acknowledgement.
    void put(const std::string &topic, const std::string &key, std::optional<std::string> value);

private:
    struct Entry
    {
        std::string m_key;
        std::optional<std::string> m_value;
    };

    bool handle(Stream &stream, const Request &request);
    std::string read(const std::string &topic, std::uint64_t from);
    std::string newest(const std::string &topic);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<Entry>> m_topics;
    bool m_isStopping = false;
    Server m_server;
};

/// The sort of machine that a process of the system runs on.
struct Machine
{
    std::string m_name;
    std::string m_zone;
    std::string m_region;
    std::string m_host;
};

/// One process of the system, started with the command of the deploy file and the settings that the platform renders from the template.
class Daemon
{
public:
    Daemon(std::string folder, Machine machine);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Renders the template into the settings file.
    void writeSettings(const std::string &templateFile, const std::map<std::string, std::string> &values);
    void start(const std::string &program);
    void signal(int number);
    /// Returns the wait status once the process has ended.
    std::optional<int> poll();
    /// Returns the memory that the process has of its own, in bytes; 0 if it has ended.
    std::uint64_t memory() const;
    const Machine &machine() const
    {
        return m_machine;
    }
    Address address(std::uint16_t port) const
    {
        return Address{m_machine.m_host, port};
    }

private:
    const std::string m_folder;
    const Machine m_machine;
    int m_process = -1;
    std::optional<int> m_status;
};

/// Ports that are alike on all machines.
inline constexpr std::uint16_t FrontPort = 18005;
inline constexpr std::uint16_t ReadyPort = 18002;
inline constexpr std::uint16_t DirectoryPort = 18009;
inline constexpr std::uint16_t ControlPort = 18000;
inline constexpr std::uint16_t InternalPort = 17700;
inline constexpr std::uint16_t EnginePort = 18001;
inline constexpr std::uint16_t StorePort = 18007;

/// Names and addresses of one play of a case, in a temporary folder that is removed at its end.
class Site
{
public:
    explicit Site(const std::string &recordFile);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    Record &record()
    {
        return m_record;
    }
    Store &store()
    {
        return m_store;
    }
    /// Returns a loopback address of its own for each group and number.
    std::string host(int group, int number) const;
    std::shared_ptr<Daemon> addEntry(const std::string &zone, const std::string &region, int number);
    std::shared_ptr<Daemon> addAgent(const std::string &zone, const std::string &region, int number, const std::string &service);
    /// Waits until the entry says that it is ready.
    bool awaitReady(const Daemon &entry, Milliseconds timeout);
    std::vector<Address> resolve(const Daemon &entry, const std::string &name);
    bool start();

private:
    std::map<std::string, std::string> commonValues(const Machine &machine) const;

    Record m_record;
    const int m_network;
    const std::string m_folder;
    Store m_store;
    std::vector<std::shared_ptr<Daemon>> m_daemons;
};

/// An engine or a plain service: registers itself in the store and runs requests.
class Endpoint
{
public:
    struct Identity
    {
        std::string m_id;
        std::string m_service;
        std::string m_zone;
        Address m_address;
        std::string m_model; ///< Of an engine that holds version 1 of it; empty for plain services.
        int m_layers = 0;
        int m_slots = 6;
    };
    /// Answers one request that the endpoint runs. Returns false to close the connection.
    using Work = std::function<bool(const std::shared_ptr<Stream> &stream, const Request &request)>;

    Endpoint(Site &site, Identity identity, Work work);
    ~Endpoint();
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    /// Starts an incarnation. @p born: what its machine's time of day says, in Unix milliseconds.
    bool start(std::uint64_t born);
    /// The process dies: its connections are reset and it writes nothing more. Its record stays until it expires.
    void crash();
    /// Reports that it leaves; returns when the store has accepted that.
    void drain();
    /// Ends some time after a drain, and removes the record.
    void leave();
    bool isRunning() const
    {
        return m_isRunning;
    }

private:
    void writeRecord();
    bool handle(const std::shared_ptr<Stream> &stream, const Request &request);
    std::string reportBody() const;

    Site &m_site;
    const Identity m_identity;
    const Work m_work;
    std::unique_ptr<Server> m_server;
    std::thread m_heartbeat;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    std::atomic<bool> m_isRunning{false};
    bool m_isDraining = false;
    std::uint64_t m_born = 0;
    std::atomic<int> m_working{0};
    int m_beats = 0;
};

std::uint64_t unixMilliseconds();
void sleepFor(Milliseconds time);

/// Returns whether the disruption is played: TROUBLE=0 in the environment leaves it out.
bool hasTrouble();

inline constexpr int Held = 0;
inline constexpr int Broken = 1;
inline constexpr int CouldNotRun = 2;

}
