/// @file Tests that an answer which comes byte by byte holds a thread for a limited time, and that a broken one is an error.

#include "LibNetwork/HttpAnswerReader.h"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <thread>

namespace {

/// Returns the body of the final answer in what a server sends before it closes the connection.
Core::Result<std::string> readAnswer(const std::string &bytes)
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    Poco::Net::StreamSocket client(listener.address());
    client.setReceiveTimeout(Poco::Timespan(5, 0));
    Poco::Net::StreamSocket server = listener.acceptConnection();
    server.sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
    server.close();
    Network::HttpAnswerReader reader(client, "read", "server");
    BOOST_OUTCOME_TRYV(reader.readHead());
    std::string body;
    constexpr std::size_t maximumBytes = 100;
    BOOST_OUTCOME_TRYV(reader.readRest(body, maximumBytes));
    return body;
}

const std::string WholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

}

TEST_CASE("An answer with an invalid status is an error, whatever follows it")
{
    // Guards against statuses that the parser takes for those of interim answers, so that bytes behind them are read as the answer.
    const std::string status = GENERATE("000", "001", "099", "600", "700", "999");
    CAPTURE(status);
    const Core::Result<std::string> body = readAnswer("HTTP/1.1 " + status + " Broken\r\nContent-Length: 0\r\n\r\n" + WholeAnswer);
    REQUIRE_FALSE(body);
    CHECK(body.error().m_code == Core::ErrorCode::Ambiguous);
}

TEST_CASE("The answer behind interim ones is read")
{
    const Core::Result<std::string> body = readAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + WholeAnswer);
    REQUIRE(body);
    CHECK(body.value() == "body");
}

TEST_CASE("An answer with a malformed field in its head is an error")
{
    const std::string line = GENERATE("ev il: x", "ev\x01il: x", "ev(il): x", ": x", "evil", "X : x", "Content-Length : 2", "X: x\x01", "Content-Length: 2");
    CAPTURE(line);
    CHECK_FALSE(readAnswer("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nbody"));
}

TEST_CASE("Reading an answer ends although its head or its body goes on byte by byte")
{
    // Guards against a thread that a slow service holds for hours, since each byte comes within the time limit of one wait.
    const bool isHead = GENERATE(true, false);
    CAPTURE(isHead);
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    Poco::Net::StreamSocket client(listener.address());
    client.setReceiveTimeout(Poco::Timespan(2, 0));
    Poco::Net::StreamSocket server = listener.acceptConnection();
    std::atomic<bool> hasEnded = false;
    std::thread sender([&server, &hasEnded, isHead] {
        const std::string start = std::string("HTTP/1.1 200 OK\r\n") + (isHead ? "X: " : "Content-Length: 1000000\r\n\r\n");
        server.sendBytes(start.data(), static_cast<int>(start.size()), MSG_NOSIGNAL);
        for (int bytes = 0; bytes < 200 && !hasEnded; ++bytes) {
            server.sendBytes("x", 1, MSG_NOSIGNAL);
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    });
    const Core::Instant begin = Core::Clock::now();
    Network::HttpAnswerReader reader(client, "read", "server");
    reader.setTimeLimit(Core::Duration(500));
    Core::Result<void> result = reader.readHead();
    CHECK(result.has_value() == !isHead);
    if (result) {
        std::string body;
        result = reader.readRest(body, 1 << 20);
    }
    CHECK_FALSE(result);
    CHECK(Core::Clock::now() - begin < Core::Duration(5000));
    hasEnded = true;
    sender.join();
}
