/// @file Tests that what a peer in trouble sends in place of an answer is no answer, and is not taken for a call of the peer either.

#include "LibNetwork/Listener.h"
#include "LibWire/Frame.h"
#include "LibWire/Node.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <future>
#include <sys/socket.h>

namespace {

constexpr const char *Method = "live.echo";
constexpr const char *Question = "question";
constexpr int FirstStream = 1; ///< Id of the stream of a connection's first call.

/// Encodes an HTTP/2 frame (RFC 9113, section 4.1).
std::string http2Frame(unsigned type, unsigned flags, unsigned stream, const std::string &payload)
{
    std::string frame;
    for (const std::size_t number :
         {payload.size() >> 16, payload.size() >> 8, payload.size(), std::size_t(type), std::size_t(flags), std::size_t(0), std::size_t(0), std::size_t(0)}) {
        frame.push_back(static_cast<char>(number & 0xff));
    }
    frame.push_back(static_cast<char>(stream));
    return frame + payload;
}

std::string settingsFrame()
{
    return http2Frame(4, 0, 0, "");
}

std::string headFrame(const std::string &status)
{
    constexpr unsigned endOfHeaders = 4;
    constexpr char literalStatus = 8; ///< A literal value of the static table's ":status", which is not indexed.
    return http2Frame(1, endOfHeaders, FirstStream, std::string(1, literalStatus) + static_cast<char>(status.size()) + status);
}

std::string dataFrame(const std::string &payload, bool isLast)
{
    return http2Frame(0, isLast ? 1 : 0, FirstStream, payload);
}

std::string wholeAnswer(const std::string &text)
{
    return Wire::encodeFrame(Wire::FrameKind::Message, text) + Wire::encodeFrame(Wire::FrameKind::End, "");
}

/// Accepts one connection and sends the bytes once the question has arrived.
class ScriptedPeer
{
public:
    explicit ScriptedPeer(std::string answer)
        : m_answer(std::move(answer))
        , m_thread([this] { run(); })
    {
    }

    ~ScriptedPeer()
    {
        m_thread.join();
    }

    ScriptedPeer(const ScriptedPeer &) = delete;
    ScriptedPeer &operator=(const ScriptedPeer &) = delete;

    Core::Address address() const
    {
        return Core::Address{"127.0.0.1", m_listener.address().port()};
    }

private:
    void run()
    {
        Poco::Net::StreamSocket socket = m_listener.acceptConnection();
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        std::array<char, 4096> buffer{};
        std::string received;
        try {
            int size = 1;
            while (size > 0 && received.find(Question) == std::string::npos) {
                size = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                received.append(buffer.data(), static_cast<std::size_t>(std::max(size, 0)));
            }
            socket.sendBytes(m_answer.data(), static_cast<int>(m_answer.size()), MSG_NOSIGNAL);
            while (size > 0) {
                size = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            }
        } catch (const Poco::Exception &) {
            // The node has closed the connection, which ends the script as well.
        }
    }

    Poco::Net::ServerSocket m_listener{Poco::Net::SocketAddress("127.0.0.1", 0)};
    const std::string m_answer;
    std::thread m_thread;
};

/// What a node made of the bytes that came as the answer to its call.
struct Outcome
{
    Wire::CallEnd m_end;
    std::vector<std::string> m_frames;
    std::size_t m_handled = 0; ///< Calls that the node answered, although nobody made one.

    explicit Outcome(const std::string &answer)
    {
        ScriptedPeer peer(settingsFrame() + answer);
        Telemetry::Metrics metrics;
        Wire::Node node(Wire::NodeSettings{}, metrics);
        std::atomic<std::size_t> handled = 0;
        node.handle(Method, [&handled](const Wire::IncomingCall &) { ++handled; });
        REQUIRE(node.start());
        std::promise<Wire::CallEnd> ended;
        Wire::CallEvents events;
        events.m_onFrame = [this](std::string frame) { m_frames.push_back(std::move(frame)); };
        events.m_onEnd = [&ended](const Wire::CallEnd &end) { ended.set_value(end); };
        node.call(peer.address(), Method, Question, Wire::CallOptions{Core::Duration(3000)}, events);
        m_end = ended.get_future().get();
        node.stop();
        m_handled = handled;
    }
};

}

TEST_CASE("A call is answered by frames behind the status of a success")
{
    const Outcome outcome(headFrame("200") + dataFrame(wholeAnswer("text"), true));
    CHECK(outcome.m_end.m_succeeded);
    CHECK(outcome.m_frames == std::vector<std::string>{"text"});
    CHECK(outcome.m_handled == 0);
}

TEST_CASE("Frames behind any other status are no answer")
{
    // Guards against a program at the address of a peer, or a peer in trouble, whose failure would count as a success.
    const std::string status = GENERATE("000", "099", "404", "503", "600", "999");
    CAPTURE(status);
    const Outcome outcome(headFrame(status) + dataFrame(wholeAnswer("evil"), true));
    CHECK_FALSE(outcome.m_end.m_succeeded);
    CHECK(outcome.m_end.m_delivery == Wire::Delivery::Sent);
    CHECK(outcome.m_end.m_error.m_code == Core::ErrorCode::Corrupt);
    CHECK(outcome.m_frames.empty());
    CHECK(outcome.m_handled == 0);
}

TEST_CASE("Frames behind the end of a call are not taken for a call of the peer")
{
    // Guards against the rest of a broken or late answer that is handled as a request.
    const std::string end = GENERATE(Wire::encodeFrame(Wire::FrameKind::End, ""), std::string("\x09\0\0\0\0", 5));
    const Outcome outcome(headFrame("200") + dataFrame(end, false) + dataFrame(wholeAnswer("evil"), true));
    CHECK(outcome.m_frames.empty());
    CHECK(outcome.m_handled == 0);
}
