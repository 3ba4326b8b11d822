/// @file Tests calls between two nodes: answers, errors, cancellation, and lost or silent connections.

#include "LibNetwork/Listener.h"
#include "LibWire/Node.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <future>

namespace {

/// A server node and a client node.
struct NodePair
{
    Telemetry::Metrics m_serverMetrics;
    Telemetry::Metrics m_clientMetrics;
    Core::Address m_address = Network::freeLoopbackAddress();
    std::unique_ptr<Wire::Node> m_server;
    std::unique_ptr<Wire::Node> m_client;

    NodePair()
    {
        Wire::NodeSettings serverSettings;
        serverSettings.m_listen = m_address;
        m_server = std::make_unique<Wire::Node>(serverSettings, m_serverMetrics);
        Wire::NodeSettings clientSettings;
        clientSettings.m_limits.m_heartbeatInterval = Core::Duration(100);
        clientSettings.m_limits.m_silenceTimeout = Core::Duration(400);
        m_client = std::make_unique<Wire::Node>(clientSettings, m_clientMetrics);
        REQUIRE(m_client->start());
    }
};

Wire::CallEnd callAndWait(Wire::Node &node, const Core::Address &peer, const std::string &method, Core::Duration timeout)
{
    const std::shared_ptr<std::promise<Wire::CallEnd>> promise = std::make_shared<std::promise<Wire::CallEnd>>();
    Wire::CallEvents events;
    events.m_onEnd = [promise](const Wire::CallEnd &end) { promise->set_value(end); };
    node.call(peer, method, "question", Wire::CallOptions{timeout}, events);
    return promise->get_future().get();
}

}

TEST_CASE("A call is answered, and large bodies arrive complete")
{
    NodePair pair;
    pair.m_server->handle("live.echo", [](const Wire::IncomingCall &call) { call.m_responder.reply(call.m_body + "!"); });
    REQUIRE(pair.m_server->start());
    const std::string body(3 << 20, 'x');
    const Core::Result<std::string> answer = pair.m_client->request(pair.m_address, "live.echo", body, Core::Duration(5000));
    REQUIRE(answer);
    REQUIRE(answer.value() == body + "!");
    REQUIRE(pair.m_clientMetrics.counter("wire_bytes_sent_total{purpose=\"live\"}").value() > body.size());
}

TEST_CASE("An error contains the step and the peer, and a missing method or a missing answer is an error")
{
    NodePair pair;
    pair.m_server->handle(
        "control.no", [](const Wire::IncomingCall &call) { call.m_responder.fail(Core::makeError(Core::ErrorCode::Conflict, "accept change", "", "stale")); });
    pair.m_server->handle("control.unanswered", [](const Wire::IncomingCall &) {});
    REQUIRE(pair.m_server->start());
    const Core::Result<std::string> conflict = pair.m_client->request(pair.m_address, "control.no", "", Core::Duration(5000));
    REQUIRE_FALSE(conflict);
    REQUIRE(conflict.error() == Core::makeError(Core::ErrorCode::Conflict, "accept change", pair.m_address.toString(), "stale"));
    REQUIRE(pair.m_client->request(pair.m_address, "control.none", "", Core::Duration(5000)).error().m_code == Core::ErrorCode::NotFound);
    REQUIRE(pair.m_client->request(pair.m_address, "control.unanswered", "", Core::Duration(5000)).error().m_code == Core::ErrorCode::Internal);
}

TEST_CASE("A call to an address without a listener ends as not sent")
{
    // The peer's instance no longer exists and its address refuses connections. The request cannot have run, so the caller may safely try another peer.
    NodePair pair;
    const Wire::CallEnd end = callAndWait(*pair.m_client, Network::freeLoopbackAddress(), "live.echo", Core::Duration(5000));
    REQUIRE_FALSE(end.m_succeeded);
    REQUIRE(end.m_delivery == Wire::Delivery::NotSent);
    REQUIRE(end.m_error.m_code == Core::ErrorCode::Unavailable);
}

TEST_CASE("A call that times out is cancelled at its handler")
{
    NodePair pair;
    std::promise<Wire::Responder> received;
    pair.m_server->handle("live.slow", [&received](const Wire::IncomingCall &call) { received.set_value(call.m_responder); });
    REQUIRE(pair.m_server->start());
    const Wire::CallEnd end = callAndWait(*pair.m_client, pair.m_address, "live.slow", Core::Duration(200));
    REQUIRE(end.m_error.m_code == Core::ErrorCode::Timeout);
    REQUIRE(end.m_delivery == Wire::Delivery::Sent);
    const Wire::Responder responder = received.get_future().get();
    while (!responder.isCancelled()) {
        std::this_thread::yield();
    }
    REQUIRE_FALSE(responder.send("late"));
}

TEST_CASE("A call on a silent connection ends although the socket stays open")
{
    // A device between the two ends has lost the state of the connection: the socket is established, and no data ever arrives.
    // Without the heartbeat a call without a deadline would wait forever.
    NodePair pair;
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    const Core::Address address{"127.0.0.1", silent.address().port()};
    const Wire::CallEnd end = callAndWait(*pair.m_client, address, "control.state", Core::Duration(0));
    REQUIRE(end.m_delivery == Wire::Delivery::Sent);
    REQUIRE(end.m_error.m_code == Core::ErrorCode::Ambiguous);
    REQUIRE(end.m_error.m_detail == "the connection went silent");
}

TEST_CASE("A call in flight ends when the peer stops")
{
    NodePair pair;
    std::promise<Wire::Responder> received;
    pair.m_server->handle("live.slow", [&received](const Wire::IncomingCall &call) { received.set_value(call.m_responder); });
    REQUIRE(pair.m_server->start());
    const std::shared_ptr<std::promise<Wire::CallEnd>> promise = std::make_shared<std::promise<Wire::CallEnd>>();
    Wire::CallEvents events;
    events.m_onEnd = [promise](const Wire::CallEnd &end) { promise->set_value(end); };
    pair.m_client->call(pair.m_address, "live.slow", "", Wire::CallOptions{Core::Duration(0)}, events);
    const Wire::Responder responder = received.get_future().get();
    pair.m_server->stop();
    REQUIRE(promise->get_future().get().m_delivery == Wire::Delivery::Sent);
}
