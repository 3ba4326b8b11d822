/// @file Tests of how the origin worker uses connections to the origin.

#include "LibTransfer/OriginWorker.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>
#include <future>
#include <sys/socket.h>
#include <thread>

namespace {

/// Reads to the end of a request's header.
void readHeader(Poco::Net::StreamSocket &socket)
{
    std::string header;
    while (header.find("\r\n\r\n") == std::string::npos) {
        char byte = 0;
        REQUIRE(socket.receiveBytes(&byte, 1) == 1);
        header.push_back(byte);
    }
}

}

TEST_CASE("A connection to the origin is closed when nothing more is to be downloaded")
{
    // The origin accepts fewer connections than the fleet has agents. If agents kept their connections after the download, those of other agents would be reset
    // repeatedly, and their engines would get no weights.
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    const Core::Address origin{"127.0.0.1", listener.address().port()};
    Transfer::OriginDialect dialect;
    dialect.m_makeChunkRequest = [](const Transfer::OriginChunk &) { return Transfer::OriginRequest{"/chunk", "", 200}; };
    Transfer::OriginWorker worker(Network::NetworkSettings{}, Transfer::OriginTimeouts{Core::Duration(2000), Core::Duration(2000)}, 1, dialect);
    worker.start();
    std::promise<bool> isDownloaded;
    Transfer::OriginJob job{Transfer::OriginJobKind::ReadChunk,
                            origin,
                            Transfer::OriginChunk{"drafts", "1", 0, 0, 4},
                            [&isDownloaded](const Core::Result<std::string> &bytes) { isDownloaded.set_value(bytes && bytes.value() == "abcd"); }};
    const bool isQueued = worker.offer(std::move(job));
    REQUIRE(isQueued);
    Poco::Net::StreamSocket connection = listener.acceptConnection();
    readHeader(connection);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: Keep-Alive\r\n\r\nabcd";
    connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
    CHECK(isDownloaded.get_future().get());
    connection.setReceiveTimeout(Poco::Timespan(5, 0));
    char byte = 0;
    CHECK(connection.receiveBytes(&byte, 1) == 0);
    worker.stop();
}

TEST_CASE("A download from the origin ends although its body goes on byte by byte")
{
    // Guards against a worker whose connections a slow origin holds for hours, and against an agent that cannot end meanwhile.
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    const Core::Address origin{"127.0.0.1", listener.address().port()};
    Transfer::OriginDialect dialect;
    dialect.m_makeChunkRequest = [](const Transfer::OriginChunk &) { return Transfer::OriginRequest{"/chunk", "", 200}; };
    const Transfer::OriginTimeouts timeouts{Core::Duration(2000), Core::Duration(2000), Core::Duration(500)};
    Transfer::OriginWorker worker(Network::NetworkSettings{}, timeouts, 1, dialect);
    worker.start();
    std::promise<bool> isDownloaded;
    std::future<bool> result = isDownloaded.get_future();
    Transfer::OriginJob job{Transfer::OriginJobKind::ReadChunk,
                            origin,
                            Transfer::OriginChunk{"drafts", "1", 0, 0, 1000000},
                            [&isDownloaded](const Core::Result<std::string> &bytes) { isDownloaded.set_value(bytes.has_value()); }};
    const bool isQueued = worker.offer(std::move(job));
    REQUIRE(isQueued);
    Poco::Net::StreamSocket connection = listener.acceptConnection();
    readHeader(connection);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
    connection.sendBytes(head.data(), static_cast<int>(head.size()));
    bool hasEnded = false;
    for (int bytes = 0; bytes < 200 && !hasEnded; ++bytes) {
        try {
            connection.sendBytes("x", 1, MSG_NOSIGNAL);
        } catch (const Poco::Exception &) {
            // The worker has closed the connection.
        }
        hasEnded = result.wait_for(std::chrono::milliseconds(50)) == std::future_status::ready;
    }
    connection.close();
    CHECK(hasEnded);
    CHECK_FALSE(result.get());
    worker.stop();
}
