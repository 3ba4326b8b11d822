/// @file Tests of how the origin worker uses connections to the origin.

#include "LibTransfer/OriginWorker.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>
#include <future>
#include <sys/socket.h>
#include <thread>

namespace {

using Transfer::OriginTimeouts;

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

constexpr Core::Duration LongTime{60000}; ///< Longer than a test may take.

/// A download of one chunk from an origin that the test plays.
class TrickledDownload
{
public:
    static constexpr std::uint32_t ChunkBytes = 1 << 20;

    explicit TrickledDownload(const OriginTimeouts &timeouts)
        : m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_worker(Network::NetworkSettings{}, timeouts, 1, dialect())
    {
        m_worker.start();
        const Core::Address origin{"127.0.0.1", m_listener.address().port()};
        Transfer::OriginJob job{Transfer::OriginJobKind::ReadChunk,
                                origin,
                                Transfer::OriginChunk{"drafts", "1", 0, 0, ChunkBytes},
                                [this](const Core::Result<std::string> &bytes) { m_isDownloaded.set_value(bytes.has_value()); }};
        const bool isQueued = m_worker.offer(std::move(job));
        REQUIRE(isQueued);
        m_connection = m_listener.acceptConnection();
        readHeader(m_connection);
    }

    ~TrickledDownload()
    {
        m_connection.close();
        stopWorker();
        m_stopping.wait();
    }

    TrickledDownload(const TrickledDownload &) = delete;
    TrickledDownload &operator=(const TrickledDownload &) = delete;

    void send(const std::string &bytes)
    {
        m_connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()), MSG_NOSIGNAL);
    }

    /// Stops the worker on another thread, since it may block.
    void stopWorker()
    {
        if (!m_stopping.valid()) {
            m_stopping = std::async(std::launch::async, [this] { m_worker.stop(); });
        }
    }

    /// Sends single bytes until the download has ended. Returns whether it has.
    bool endsWhileBytesCome()
    {
        constexpr int most = 200;
        constexpr std::chrono::milliseconds pause(50);
        for (int bytes = 0; bytes < most; ++bytes) {
            if (m_result.wait_for(pause) == std::future_status::ready) {
                return true;
            }
            try {
                send("x");
            } catch (const Poco::Exception &) {
                // The worker has closed the connection.
            }
        }
        return false;
    }

    std::future<bool> &result()
    {
        return m_result;
    }

private:
    static Transfer::OriginDialect dialect()
    {
        Transfer::OriginDialect dialect;
        dialect.m_makeChunkRequest = [](const Transfer::OriginChunk &) { return Transfer::OriginRequest{"/chunk", "", 200}; };
        return dialect;
    }

    Poco::Net::ServerSocket m_listener;
    Transfer::OriginWorker m_worker;
    std::promise<bool> m_isDownloaded;
    std::future<bool> m_result = m_isDownloaded.get_future();
    std::future<void> m_stopping;
    Poco::Net::StreamSocket m_connection;
};

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
    const OriginTimeouts timeouts = GENERATE(OriginTimeouts{LongTime, LongTime, Core::Duration(500)}, OriginTimeouts{LongTime, Core::Duration(500), LongTime});
    TrickledDownload download(timeouts);
    download.send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
    CHECK(download.endsWhileBytesCome());
    CHECK_FALSE(download.result().get());
}

TEST_CASE("A download from the origin ends although the head of its answer goes on byte by byte")
{
    // Guards against an origin in trouble that holds all connections of every agent for good, so that no engine gets its weights once it is sound again.
    const std::string begin = GENERATE("HTTP/1.1 200 OK\r\nOdd: ", "HTTP/1.1 ", "");
    TrickledDownload download(OriginTimeouts{LongTime, Core::Duration(500), LongTime});
    download.send(begin);
    CHECK(download.endsWhileBytesCome());
    CHECK_FALSE(download.result().get());
}

TEST_CASE("A worker stops while the origin's answer goes on byte by byte")
{
    // Guards against an agent that cannot end at a termination signal and is killed.
    const std::string begin = GENERATE("HTTP/1.1 200 OK\r\nOdd: ", "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
    TrickledDownload download(OriginTimeouts{LongTime, LongTime, LongTime});
    download.send(begin);
    download.stopWorker();
    CHECK(download.endsWhileBytesCome());
    CHECK_FALSE(download.result().get());
}

TEST_CASE("A download from the origin goes on for as long as its body makes progress")
{
    TrickledDownload download(OriginTimeouts{LongTime, Core::Duration(1000), LongTime});
    constexpr std::size_t parts = 16;
    download.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(TrickledDownload::ChunkBytes) + "\r\n\r\n");
    for (std::size_t part = 0; part < parts; ++part) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        download.send(std::string(TrickledDownload::ChunkBytes / parts, 'x'));
    }
    CHECK(download.result().get());
}
