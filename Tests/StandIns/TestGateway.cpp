/// @file Tests of the gateway over real sockets: forwarding, the journal and each fault.

#include "LibJson/Json.h"
#include "LibNetwork/Listener.h"
#include "LibStandInNetwork/Gateway.h"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>
#include <future>

namespace {

constexpr const char *NorthHost = "127.77.0.1";
constexpr const char *SouthHost = "127.77.0.2";
constexpr int TargetBacklog = 16;

std::string receiveAll(Poco::Net::StreamSocket &socket, std::size_t expected)
{
    std::string received;
    std::array<char, 65536> buffer;
    while (received.size() < expected) {
        const int bytes = socket.receiveBytes(buffer.data(), static_cast<int>(std::min(buffer.size(), expected - received.size())));
        if (bytes <= 0) {
            break;
        }
        received.append(buffer.data(), static_cast<std::size_t>(bytes));
    }
    return received;
}

/// Returns true if nothing can be read from the socket for 100 ms.
bool receivesNothing(Poco::Net::StreamSocket &socket)
{
    constexpr int waitMs = 100;
    return !socket.poll(Poco::Timespan(waitMs * 1000), Poco::Net::Socket::SELECT_READ);
}

/// A tunnel from the north host to a listener on the south host.
struct Tunnel
{
    Poco::Net::StreamSocket m_near;
    Poco::Net::StreamSocket m_far;
};

/// A running gateway and a listener on the south host.
struct GatewayFixture
{
    Core::Address m_address = Network::freeLoopbackAddress();
    Poco::Net::ServerSocket m_target = Network::listenOn(Core::Address{SouthHost, 0}, TargetBacklog);
    std::unique_ptr<StandIn::Gateway> m_gateway;

    explicit GatewayFixture(double latencyMs = 0)
    {
        StandIn::GatewaySettings settings;
        settings.m_listen = m_address;
        settings.m_instanceBytesPerSecond = 500e6;
        settings.m_regionPairBytesPerSecond = 500e6;
        settings.m_crossRegionLatencyMs = latencyMs;
        settings.m_hosts = {{NorthHost, "north", "n1"}, {SouthHost, "south", "s1"}};
        m_gateway = std::make_unique<StandIn::Gateway>(settings);
        REQUIRE(m_gateway->start());
    }

    /// Connects from the north host through the gateway to the listener and returns the first line of the gateway's answer.
    std::string connect(Poco::Net::StreamSocket &socket) const
    {
        const Poco::Net::SocketAddress source(NorthHost, 0);
        socket.impl()->bind(source, true);
        socket.connect(Poco::Net::SocketAddress(m_address.m_host, m_address.m_port));
        socket.setReceiveTimeout(Poco::Timespan(20, 0));
        const std::string request = "CONNECT " + m_target.address().toString() + " HTTP/1.1\r\nHost: x\r\n\r\n";
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        std::string head;
        while (head.find("\r\n\r\n") == std::string::npos) {
            const std::string byte = receiveAll(socket, 1);
            if (byte.empty()) {
                break;
            }
            head += byte;
        }
        return head.substr(0, head.find('\r'));
    }

    Tunnel open()
    {
        Tunnel tunnel;
        const std::string status = connect(tunnel.m_near);
        REQUIRE(status.find(" 200 ") != std::string::npos);
        tunnel.m_far = m_target.acceptConnection();
        tunnel.m_far.setReceiveTimeout(Poco::Timespan(20, 0));
        return tunnel;
    }

    std::string ask(const std::string &method, const std::string &path, const std::string &body) const
    {
        Poco::Net::HTTPClientSession session(m_address.m_host, m_address.m_port);
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        std::string answer(std::istreambuf_iterator<char>(stream), {});
        return std::to_string(response.getStatus()) + " " + answer;
    }

    void setFaults(const std::string &json) const
    {
        const std::string answer = ask("POST", "/faults", json);
        REQUIRE(answer.starts_with("200"));
    }
};

std::string pattern(std::size_t bytes)
{
    Core::Random random(7);
    std::string text(bytes, '\0');
    for (char &byte : text) {
        byte = static_cast<char>(random.next());
    }
    return text;
}

/// Sends the bytes and returns true if they arrive unchanged. Sends on a separate thread, because the buffers do not hold all bytes.
bool arrivesUnchanged(Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to, const std::string &bytes)
{
    std::future<int> sent = std::async(std::launch::async, [&from, &bytes] { return from.sendBytes(bytes.data(), static_cast<int>(bytes.size())); });
    const std::string received = receiveAll(to, bytes.size());
    const std::size_t same = static_cast<std::size_t>(std::mismatch(received.begin(), received.end(), bytes.begin()).first - received.begin());
    if (received != bytes) {
        UNSCOPED_INFO("sent " << sent.get() << ", received " << received.size() << ", the same up to " << same << " of " << bytes.size() << " bytes");
    }
    return received == bytes;
}

}

TEST_CASE("Bytes are forwarded unchanged in both directions, and the journal counts them by region and host")
{
    GatewayFixture fixture(1);
    Tunnel tunnel = fixture.open();
    const std::string bytes = pattern(3 << 20);
    REQUIRE(arrivesUnchanged(tunnel.m_near, tunnel.m_far, bytes));
    REQUIRE(arrivesUnchanged(tunnel.m_far, tunnel.m_near, bytes));
    const std::string answer = fixture.ask("GET", "/journal", "");
    const Poco::JSON::Object::Ptr journal = Json::parseObject(answer.substr(4)).value();
    for (const Poco::Dynamic::Var &item : *journal->getArray("region_pairs")) {
        const std::uint64_t counted = item.extract<Poco::JSON::Object::Ptr>()->getValue<std::uint64_t>("bytes");
        REQUIRE(counted >= bytes.size());
        REQUIRE(counted < bytes.size() + 200);
    }
    REQUIRE(journal->getArray("region_pairs")->size() == 2);
    REQUIRE(journal->getArray("hosts")->getObject(0)->getValue<std::uint64_t>("up") >= bytes.size());
}

TEST_CASE("The end of one direction is forwarded after its last byte, and the other direction stays open")
{
    GatewayFixture fixture;
    Tunnel tunnel = fixture.open();
    tunnel.m_near.sendBytes("question", 8);
    tunnel.m_near.shutdownSend();
    REQUIRE(receiveAll(tunnel.m_far, 100) == "question");
    tunnel.m_far.sendBytes("answer", 6);
    tunnel.m_far.shutdownSend();
    REQUIRE(receiveAll(tunnel.m_near, 100) == "answer");
}

TEST_CASE("The client gets an error answer if the target refuses the connection")
{
    GatewayFixture fixture;
    const Core::Address unused = Network::freeLoopbackAddress();
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(fixture.m_address.m_host, fixture.m_address.m_port));
    const std::string request = "CONNECT " + unused.toString() + " HTTP/1.1\r\nHost: x\r\n\r\n";
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    REQUIRE(receiveAll(socket, 12) == "HTTP/1.1 502");
}

TEST_CASE("A cut link refuses new connections and resets open ones")
{
    // Simulates a lost link between two regions: open connections are reset, and new ones fail at once.
    GatewayFixture fixture;
    Tunnel tunnel = fixture.open();
    fixture.setFaults(R"({"cut":[{"from":"south","to":"north"}]})");
    REQUIRE_THROWS_AS(receiveAll(tunnel.m_near, 1), Poco::Net::NetException);
    Poco::Net::StreamSocket refused;
    const std::string status = fixture.connect(refused);
    REQUIRE(status.find(" 502 ") != std::string::npos);
    fixture.setFaults(R"({"cut":[]})");
    Tunnel again = fixture.open();
    REQUIRE(arrivesUnchanged(again.m_near, again.m_far, "back"));
}

TEST_CASE("A silenced connection stays open and carries neither bytes nor its end, while a new one works")
{
    // Simulates a device between the two ends that has lost the state of the connection. Both sockets look established. If one
    // process ends, its peer is not notified and waits forever unless it uses heartbeats.
    GatewayFixture fixture;
    Tunnel tunnel = fixture.open();
    REQUIRE(arrivesUnchanged(tunnel.m_near, tunnel.m_far, "before"));
    fixture.setFaults(R"({"silent":[{"from":"north","to":"south"},{"from":"south","to":"north"}]})");
    tunnel.m_near.sendBytes("lost", 4);
    tunnel.m_far.sendBytes("lost", 4);
    REQUIRE(receivesNothing(tunnel.m_far));
    REQUIRE(receivesNothing(tunnel.m_near));
    Tunnel newer = fixture.open();
    REQUIRE(arrivesUnchanged(newer.m_near, newer.m_far, "new connections work"));
    fixture.setFaults(R"({"silent":[]})");
    tunnel.m_near.sendBytes("lost", 4);
    REQUIRE(receivesNothing(tunnel.m_far));
    tunnel.m_near.close();
    REQUIRE(receivesNothing(tunnel.m_far));
}

TEST_CASE("Bytes to a frozen host arrive after the freeze")
{
    // Simulates a paused instance: nothing is lost or refused, but everything takes as long as the pause.
    GatewayFixture fixture;
    Tunnel tunnel = fixture.open();
    fixture.setFaults(R"({"freeze":["127.77.0.2"]})");
    tunnel.m_near.sendBytes("patience", 8);
    REQUIRE(receivesNothing(tunnel.m_far));
    fixture.setFaults(R"({"freeze":[]})");
    REQUIRE(receiveAll(tunnel.m_far, 8) == "patience");
}

TEST_CASE("Corruption changes bytes but not their number")
{
    GatewayFixture fixture;
    Tunnel tunnel = fixture.open();
    fixture.setFaults(R"({"corrupt_percent":100})");
    const std::string bytes = pattern(100000);
    REQUIRE_FALSE(arrivesUnchanged(tunnel.m_near, tunnel.m_far, bytes));
    fixture.setFaults(R"({"corrupt_percent":0})");
    REQUIRE(arrivesUnchanged(tunnel.m_near, tunnel.m_far, bytes));
}

TEST_CASE("An unknown or malformed fault is refused and changes nothing")
{
    GatewayFixture fixture;
    REQUIRE(fixture.ask("POST", "/faults", R"({"cutt":[]})").starts_with("400"));
    REQUIRE(fixture.ask("POST", "/faults", R"({"cut":[{"from":"north"}]})").starts_with("400"));
    REQUIRE(fixture.ask("POST", "/faults", R"({"freeze":"north"})").starts_with("400"));
    REQUIRE(fixture.ask("POST", "/faults", "[").starts_with("400"));
    REQUIRE(fixture.ask("GET", "/faults", "").starts_with(R"(200 {"corrupt_percent":0,"cut":[],"freeze":[],"silent":[]})"));
}
