/// @file Tests that answers on their way to callers hold no more memory than all of them may together.

#include "../Support/RelayFixture.h"

using namespace TestSupport;

namespace {

constexpr std::size_t AnswerLimit = 128 << 10;
constexpr std::size_t Callers = 12;

/// A caller that sends a request and reads nothing of the answer.
struct SilentReader
{
    SilentReader(Http::EventLoop &loop, std::uint16_t port)
        : m_socket(loop)
    {
        m_socket.open(boost::asio::ip::tcp::v4());
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        m_socket.connect(loopback(port));
        boost::asio::write(m_socket, boost::asio::buffer(std::string("GET /read/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\nPatience: 3000\r\n\r\n")));
    }

    Http::Socket m_socket;
};

/// Sends a body without end, for as long as it is read.
void sendEndlessly(const std::shared_ptr<Http::Socket> &socket)
{
    static const std::string block(16 << 10, 'w');
    boost::asio::async_write(*socket, boost::asio::buffer(block), [socket](const boost::system::error_code &error, std::size_t) {
        if (!error) {
            sendEndlessly(socket);
        }
    });
}

/// An endpoint whose answers are longer than any buffer on their way.
struct EndlessEndpoint
{
    explicit EndlessEndpoint(Http::EventLoop &loop)
        : m_acceptor(loop, loopback(0))
    {
        accept();
    }

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, Http::Socket accepted) {
            if (error) {
                return;
            }
            const std::shared_ptr<Http::Socket> socket = std::make_shared<Http::Socket>(std::move(accepted));
            boost::asio::write(*socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nContent-Length: 1000000000\r\n\r\n")));
            sendEndlessly(socket);
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
};

}

TEST_CASE("Callers that read slowly do not make a process hold more of their answers than it may")
{
    // Guards against a process whose memory the queued answers of all callers exceed together.
    RelayFixture fixture;
    fixture.configure();
    fixture.m_context->m_answerMemory = std::make_shared<Core::ByteBudget>(AnswerLimit);
    EndlessEndpoint endpoint(fixture.m_loop);
    fixture.addAddress(Core::Address{"127.0.0.1", endpoint.m_acceptor.local_endpoint().port()});
    std::vector<std::unique_ptr<SilentReader>> callers;
    for (std::size_t count = 0; count < Callers; ++count) {
        callers.push_back(std::make_unique<SilentReader>(fixture.m_loop, fixture.m_listener->port()));
    }
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_context->m_answerMemory->isExceeded(); }));
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(1500));
    // Beyond the limit each answer may add what one read of its endpoint yields.
    constexpr std::size_t readBytes = 8 << 10;
    CHECK(fixture.m_context->m_answerMemory->peak() <= AnswerLimit + Callers * readBytes);
}

TEST_CASE("Events of streams that do not end hold no more memory than all answers may")
{
    // Guards against a process whose memory the unfinished events of all streams exceed together.
    RelayFixture fixture;
    fixture.configure();
    fixture.m_context->m_answerMemory = std::make_shared<Core::ByteBudget>(AnswerLimit);
    const std::string begin = std::string(StreamHead) + "100000\r\nid: 1\ndata: " + std::string(40 << 10, 'w');
    fixture.addEndpoint(answering(begin));
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t count = 0; count < Callers; ++count) {
        callers.push_back(std::make_unique<RawCaller>(fixture.m_loop, fixture.m_listener->port()));
        callers.back()->send("GET /stream/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\nPatience: 3000\r\n\r\n");
    }
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_requests.size() >= Callers; }));
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(300));
    CHECK(fixture.m_context->m_answerMemory->peak() <= AnswerLimit);
    CHECK(fixture.m_relay->openRequests() < Callers);
}
