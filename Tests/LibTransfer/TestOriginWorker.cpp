/// @file How the duty that draws from the origin treats the origin's connections.

#include "LibTransfer/OriginWorker.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>
#include <future>

namespace {

/// Reads until the head of a request has ended.
void readHead(Poco::Net::StreamSocket &socket)
{
    std::string head;
    while (head.find("\r\n\r\n") == std::string::npos) {
        char byte = 0;
        REQUIRE(socket.receiveBytes(&byte, 1) == 1);
        head.push_back(byte);
    }
}

}

TEST_CASE("a connection to the origin is given back when there is nothing more to draw")
{
    // The origin takes fewer connections than the fleet has agents. If those that have drawn kept theirs, the others would be reset again and again, and
    // their engines would stay without weights.
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    const Core::Address origin{"127.0.0.1", listener.address().port()};
    Transfer::OriginDialect dialect;
    dialect.m_makeChunkRequest = [](const Transfer::OriginChunk &) { return Transfer::OriginRequest{"/chunk", "", 200}; };
    Transfer::OriginWorker duty(Network::NetworkSettings{}, Core::Duration(2000), 1, dialect);
    duty.start();
    std::promise<bool> drawn;
    Transfer::OriginJob job{origin, Transfer::OriginChunk{"drafts", "1", 0, 0, 4}, [&drawn](const Core::Result<std::string> &bytes) {
                                drawn.set_value(bytes && bytes.value() == "abcd");
                            }};
    const bool isTaken = duty.offer(std::move(job));
    REQUIRE(isTaken);
    Poco::Net::StreamSocket connection = listener.acceptConnection();
    readHead(connection);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: Keep-Alive\r\n\r\nabcd";
    connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
    CHECK(drawn.get_future().get());
    connection.setReceiveTimeout(Poco::Timespan(5, 0));
    char byte = 0;
    CHECK(connection.receiveBytes(&byte, 1) == 0);
    duty.stop();
}
