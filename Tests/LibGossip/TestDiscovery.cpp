/// @file Tests that processes find each other although all seeds are gone.

#include "LibGossip/Discovery.h"
#include "LibGossip/GossipService.h"
#include "LibNetwork/Listener.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1'000'000);

void list(Fleet::FleetState &state, const std::string &id, const std::string &service, const std::string &host)
{
    Fleet::Endpoint endpoint;
    endpoint.m_id = id;
    endpoint.m_service = service;
    endpoint.m_address = Core::Address{host, 80};
    const Fleet::Offset offset = state.endpointsEnd() + 1;
    state.apply(Fleet::EndpointChanges{offset + 1, false, {Fleet::EndpointChange{id, offset, endpoint}}}, std::nullopt, Start);
}

/// Returns an address on the loopback network that no other test has at this time, and a different one for each number.
std::string host(unsigned number)
{
    constexpr unsigned groups = 200;
    const unsigned process = static_cast<unsigned>(getpid());
    return "127." + std::to_string(20 + process % groups) + "." + std::to_string(process / groups % groups) + "." + std::to_string(number);
}

/// A process of the system, as far as it exchanges heartbeats. Its only seed does not exist.
class Process
{
public:
    Process(Http::EventLoop &loop, Gossip::Role role, unsigned number, std::uint16_t port)
        : m_node(Gossip::nodeSettings(Core::Address{host(number), port}, MemoryBytes), m_metrics)
        , m_gossip(Gossip::GossipParts{loop, m_node, m_fleetState, m_versions, m_metrics, m_log, m_random}, settings(), member(role, number, port))
    {
        m_gossip.registerMethods();
        m_gossip.setEntryCount(role == Gossip::Role::Entry ? 1 : 0);
        const Core::Result<void> nodeStarted = m_node.start();
        REQUIRE(nodeStarted);
        const Core::Result<void> started = m_gossip.start();
        REQUIRE(started);
    }

    ~Process()
    {
        m_node.stop();
        close(m_discarded);
    }

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    Fleet::FleetState &fleetState()
    {
        return m_fleetState;
    }

    std::size_t knownEntries() const
    {
        return m_gossip.members().alive(Gossip::Role::Entry, Core::Clock::now()).size();
    }

private:
    static constexpr std::size_t MemoryBytes = 16 << 20;

    static Gossip::GossipSettings settings()
    {
        Gossip::GossipSettings settings;
        settings.m_seedHosts = {host(250)};
        return settings;
    }

    static Gossip::Member member(Gossip::Role role, unsigned number, std::uint16_t port)
    {
        Gossip::Member member;
        member.m_id = "process-" + std::to_string(number);
        member.m_incarnation = number;
        member.m_role = role;
        member.m_region = "north";
        member.m_failureDomain = "north-a";
        member.m_peers = Core::Address{host(number), port};
        return member;
    }

    const int m_discarded = open("/dev/null", O_WRONLY | O_CLOEXEC);
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log{m_discarded, "test", m_metrics};
    Core::Random m_random{1};
    Fleet::FleetState m_fleetState;
    Placement::VersionDeadlines m_versions{Core::Duration(8000)};
    Wire::Node m_node;
    Gossip::GossipService m_gossip;
};

void configure(Fleet::FleetState &state)
{
    Fleet::Service engines;
    engines.m_name = "engines";
    engines.m_engine.m_slots = 16;
    Fleet::Service plain;
    plain.m_name = "plain";
    Fleet::Declarations declarations;
    declarations.m_configuration = Fleet::Configuration{};
    declarations.m_configuration->m_services = {engines, plain};
    declarations.m_configurationOffset = 1;
    state.apply(declarations);
}

}

TEST_CASE("Entries and agents whose seeds are gone find each other through the hosts of engines")
{
    // Guards against processes that stay alone after a loss of power, because the machines that the settings name as seeds do not come back.
    constexpr unsigned agents = 5;
    constexpr Core::Duration longest{30000};
    const std::uint16_t port = Network::freeLoopbackAddress().m_port;
    Http::EventLoop loop;
    std::vector<std::unique_ptr<Process>> entries;
    std::vector<std::unique_ptr<Process>> others;
    for (unsigned number = 1; number <= 2; ++number) {
        entries.push_back(std::make_unique<Process>(loop, Gossip::Role::Entry, number, port));
    }
    for (unsigned number = 3; number < 3 + agents; ++number) {
        others.push_back(std::make_unique<Process>(loop, Gossip::Role::Agent, number, port));
        for (const std::unique_ptr<Process> &entry : entries) {
            list(entry->fleetState(), "engine-" + std::to_string(number), "engines", host(number));
        }
    }
    const std::function<bool()> haveFound = [&entries, &others] {
        const std::function<bool(const std::unique_ptr<Process> &)> knowsEntry = [](const std::unique_ptr<Process> &process) {
            return process->knownEntries() > 0;
        };
        return std::all_of(entries.begin(), entries.end(), knowsEntry) && std::all_of(others.begin(), others.end(), knowsEntry);
    };
    const Core::Instant end = Core::Clock::now() + longest;
    while (!haveFound() && Core::Clock::now() < end) {
        loop.restart();
        loop.run_for(std::chrono::milliseconds(20));
    }
    CHECK(haveFound());
}

TEST_CASE("A process asks the hosts of engines, beside which agents run")
{
    Fleet::FleetState state;
    CHECK(Gossip::agentHosts(state).empty());
    list(state, "a", "engines", "127.0.0.2");
    list(state, "b", "engines", "127.0.0.3");
    list(state, "c", "engines", "127.0.0.3");
    list(state, "d", "plain", "127.0.0.4");
    CHECK(Gossip::agentHosts(state) == std::vector<std::string>{"127.0.0.2", "127.0.0.3", "127.0.0.4"});
    configure(state);
    CHECK(Gossip::agentHosts(state) == std::vector<std::string>{"127.0.0.2", "127.0.0.3"});
}
