/// @file Tests that a node limits what all its streams hold together.

#include "LibNetwork/Listener.h"
#include "LibWire/Node.h"

#include <catch2/catch.hpp>

TEST_CASE("Answers that peers do not read hold no more memory than the node may")
{
    // Guards against a process whose memory the queued answers of all streams exceed together.
    constexpr std::size_t limit = 1 << 20;
    constexpr std::size_t streams = 16;
    const std::shared_ptr<Core::ByteBudget> memory = std::make_shared<Core::ByteBudget>(limit);
    std::vector<std::shared_ptr<Wire::StreamOutput>> outputs;
    std::size_t accepted = 0;
    for (std::size_t count = 0; count < streams; ++count) {
        outputs.push_back(std::make_shared<Wire::StreamOutput>(16 << 20, memory, [] {}));
        accepted += outputs.back()->push(Wire::FrameKind::Message, std::string(200 << 10, 'x')) ? 1 : 0;
    }
    CHECK(accepted == 5);
    CHECK(memory->peak() <= limit);
    outputs.front()->close();
    CHECK(outputs.back()->push(Wire::FrameKind::Message, std::string(200 << 10, 'x')));
    outputs.clear();
    CHECK(memory->held() == 0);
}

TEST_CASE("A message for which a node has no memory is refused, and its caller learns that")
{
    Telemetry::Metrics serverMetrics;
    Telemetry::Metrics clientMetrics;
    const Core::Address address = Network::freeLoopbackAddress();
    Wire::NodeSettings serverSettings;
    serverSettings.m_listen = address;
    serverSettings.m_memoryBytes = 256 << 10;
    Wire::Node server(serverSettings, serverMetrics);
    server.handle("live.echo", [](const Wire::IncomingCall &call) { call.m_responder.reply(std::to_string(call.m_body.size())); });
    REQUIRE(server.start());
    Wire::Node client(Wire::NodeSettings{}, clientMetrics);
    REQUIRE(client.start());
    const Core::Result<std::string> small = client.request(address, "live.echo", std::string(100 << 10, 'x'), Core::Duration(5000));
    REQUIRE(small);
    CHECK(small.value() == std::to_string(100 << 10));
    const Core::Result<std::string> large = client.request(address, "live.echo", std::string(1 << 20, 'x'), Core::Duration(5000));
    REQUIRE_FALSE(large);
    CHECK(large.error().m_code == Core::ErrorCode::Overloaded);
    CHECK(client.request(address, "live.echo", std::string(100 << 10, 'x'), Core::Duration(5000)));
}

TEST_CASE("Of a long name of a method little is kept")
{
    // Guards against calls whose names hold memory that the node has not reserved.
    Telemetry::Metrics metrics;
    const Core::Address address = Network::freeLoopbackAddress();
    Wire::NodeSettings settings;
    settings.m_listen = address;
    Wire::Node server(settings, metrics);
    REQUIRE(server.start());
    Telemetry::Metrics clientMetrics;
    Wire::Node client(Wire::NodeSettings{}, clientMetrics);
    REQUIRE(client.start());
    const Core::Result<std::string> answer = client.request(address, std::string(8 << 10, 'm'), "x", Core::Duration(5000));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().m_code == Core::ErrorCode::NotFound);
    CHECK(answer.error().m_detail.size() < 1000);
}
