/// @file Tests that newer state of peers is fetched although one of them does not answer.

#include "../Support/LoopbackPeer.h"
#include "LibGossip/GossipService.h"
#include "LibNetwork/Listener.h"
#include "LibWire/Pack.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <unistd.h>

using TestSupport::runUntil;

namespace {

constexpr std::uint64_t NewerVersion = 7;

/// The service under test.
struct ServiceFixture
{
    Http::EventLoop m_loop;
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log{STDOUT_FILENO, "test", m_metrics, Telemetry::EventLogLimits{0, 0, 0}};
    Core::Random m_random{3};
    Fleet::FleetState m_fleetState;
    Placement::VersionDeadlines m_versions{Core::Duration(6500)};
    Gossip::Member m_self;
    std::unique_ptr<Wire::Node> m_node;
    std::unique_ptr<Gossip::GossipService> m_gossip;

    ServiceFixture()
    {
        m_self.m_id = "self";
        m_self.m_role = Gossip::Role::Entry;
        m_self.m_peers = Network::freeLoopbackAddress();
        m_node = std::make_unique<Wire::Node>(Gossip::nodeSettings(m_self.m_peers, Wire::NodeSettings().m_memoryBytes), m_metrics);
        m_gossip = std::make_unique<Gossip::GossipService>(
            Gossip::GossipParts{m_loop, *m_node, m_fleetState, m_versions, m_metrics, m_log, m_random}, Gossip::GossipSettings{}, m_self);
        m_gossip->registerMethods();
        REQUIRE(m_node->start());
        REQUIRE(m_gossip->start());
    }

    ~ServiceFixture()
    {
        m_node->stop();
    }

    /// Sends one heartbeat of an entry that has a newer configuration.
    void sendHeartbeat(const std::string &id, const Core::Address &peers)
    {
        Gossip::Heartbeat heartbeat;
        heartbeat.m_sender.m_id = id;
        heartbeat.m_sender.m_incarnation = static_cast<std::uint32_t>(peers.m_port);
        heartbeat.m_sender.m_role = Gossip::Role::Entry;
        heartbeat.m_sender.m_peers = peers;
        heartbeat.m_configurationRevisionOffset = 1;
        boost::asio::ip::udp::socket socket(m_loop, boost::asio::ip::udp::v4());
        const boost::asio::ip::udp::endpoint target(boost::asio::ip::make_address_v4(m_self.m_peers.m_host), m_self.m_peers.m_port);
        socket.send_to(boost::asio::buffer(Wire::pack(heartbeat)), target);
    }
};

}

TEST_CASE("State is fetched from another peer that has it if the first one is silent, without a further heartbeat")
{
    ServiceFixture fixture;
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    Telemetry::Metrics metrics;
    Wire::NodeSettings settings;
    settings.m_listen = Network::freeLoopbackAddress();
    Wire::Node peer(settings, metrics);
    peer.handle("fleet.state", [](const Wire::IncomingCall &call) {
        Gossip::StateAnswer answer;
        answer.m_declarations.m_configuration = Fleet::Configuration{};
        answer.m_declarations.m_configuration->m_version = NewerVersion;
        call.m_responder.reply(Wire::pack(answer));
    });
    REQUIRE(peer.start());
    fixture.sendHeartbeat("silent", Core::Address{"127.0.0.1", silent.address().port()});
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_metrics.counter("gossip_state_requests_total").value() == 1; }));
    fixture.sendHeartbeat("answering", *settings.m_listen);
    CHECK(runUntil(
        fixture.m_loop, [&fixture] { return fixture.m_fleetState.configuration() != nullptr; }, std::chrono::seconds(5)));
    CHECK(fixture.m_fleetState.declarations().configurationRevisionOffset() == 1);
}
