/// @file Callers' requests to one entry: complete answers, invalid answers of agents, overload, timeouts and limits.

#include "EntryCluster.h"

using namespace EntryTest;

namespace {

struct TwoAgentCluster
{
    FakePlatform m_platform;
    FakeAgent m_first{"engine-1", ModelService};
    FakeAgent m_second{"engine-2", ModelService};
    TestEntry m_entry{"entry-1", m_platform, {}};

    TwoAgentCluster()
    {
        m_platform.publishTemplate();
        m_platform.registerAgent(m_first.member());
        m_platform.registerAgent(m_second.member());
        waitUntil([this] { return m_entry.hasAvailableEndpoints(2); });
    }

    void setBehavior(const FakeAgent::Behavior &behavior)
    {
        m_first.setBehavior(behavior);
        m_second.setBehavior(behavior);
    }

    int calls() const
    {
        return m_first.calls() + m_second.calls();
    }
};

/// Sends the frames of a complete answer after a modification, and finishes the stream without an error.
FakeAgent::Behavior modifiedAnswer(const std::function<void(std::vector<Protocol::AnswerFrame> &frames)> &change)
{
    return [change](FakeAgent &, const Protocol::LiveRequest &request, const Wire::Responder &responder) {
        std::vector<Protocol::AnswerFrame> frames = FakeAgent::frames(request);
        change(frames);
        for (const Protocol::AnswerFrame &frame : frames) {
            responder.send(Wire::pack(frame));
        }
        responder.finish();
    };
}

}

TEST_CASE("a caller receives the version, the tokens and the end of an answer")
{
    TwoAgentCluster cluster;
    const HttpReply reply = cluster.m_entry.generate();
    REQUIRE(reply.m_status == 200);
    REQUIRE(reply.m_body.starts_with("{\"version\":\"7\",\"digest\":\"" + Digest + "\"}\n{\"token\":\"red \"}\n"));
    REQUIRE(reply.isComplete());
}

TEST_CASE("an answer with foreign, duplicate or missing frames is never delivered as complete")
{
    // A frame of another caller's answer enters the stream, or a frame arrives twice or not at all. The caller would use a text that no model generated.
    TwoAgentCluster cluster;
    SECTION("frame of another attempt")
    {
        cluster.setBehavior(modifiedAnswer([](std::vector<Protocol::AnswerFrame> &frames) { frames[1].m_attempt = "another"; }));
    }
    SECTION("duplicate frame")
    {
        cluster.setBehavior(modifiedAnswer([](std::vector<Protocol::AnswerFrame> &frames) { frames.insert(frames.begin() + 1, frames[1]); }));
    }
    SECTION("missing frame")
    {
        cluster.setBehavior(modifiedAnswer([](std::vector<Protocol::AnswerFrame> &frames) { frames.erase(frames.begin() + 1); }));
    }
    SECTION("missing end frame in a stream that ends without an error")
    {
        cluster.setBehavior(modifiedAnswer([](std::vector<Protocol::AnswerFrame> &frames) { frames.pop_back(); }));
    }
    SECTION("frame of another version")
    {
        cluster.setBehavior(modifiedAnswer([](std::vector<Protocol::AnswerFrame> &frames) { frames[2].m_version = OtherDigest; }));
    }
    const HttpReply reply = cluster.m_entry.generate();
    REQUIRE(reply.m_status == 200);
    REQUIRE_FALSE(reply.isComplete());
    REQUIRE(reply.m_body.find("\"code\":\"outcome-unknown\"") != std::string::npos);
}

TEST_CASE("an answer that is of the wrong version from the first frame is not delivered, and another endpoint answers")
{
    // An engine answers with another version than its agent attests. The caller would get an answer from weights that the account has not accepted.
    TwoAgentCluster cluster;
    // Equal prompts are routed to one endpoint, which is made to send wrong answers.
    REQUIRE(cluster.m_entry.generate().isComplete());
    FakeAgent &owner = cluster.m_first.calls() > 0 ? cluster.m_first : cluster.m_second;
    owner.setBehavior(modifiedAnswer([](std::vector<Protocol::AnswerFrame> &frames) {
        for (Protocol::AnswerFrame &frame : frames) {
            frame.m_version = OtherDigest;
            frame.m_data = "wrong";
        }
    }));
    for (int request = 0; request < 6; ++request) {
        const HttpReply reply = cluster.m_entry.generate();
        REQUIRE(reply.isComplete());
        REQUIRE(reply.m_body.find("wrong") == std::string::npos);
    }
    REQUIRE(owner.calls() > 1);
}

TEST_CASE("a request that an endpoint refuses is retried at another, within the retry budget")
{
    TwoAgentCluster cluster;
    cluster.m_first.setBehavior([](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) {
        responder.fail(Core::makeError(Core::ErrorCode::Unavailable, "admit attempt", "", "leaving"));
    });
    for (int request = 0; request < 6; ++request) {
        REQUIRE(cluster.m_entry.generate().isComplete());
    }
    cluster.m_second.setBehavior([](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) {
        responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "generate", "", "full"));
    });
    const HttpReply refused = cluster.m_entry.generate();
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.code() == "not-run");
    REQUIRE_FALSE(refused.m_retryAfter.empty());
}

TEST_CASE("a leaving endpoint gets no new requests, and its running request is completed")
{
    // The instance list still lists the endpoint as live. Its own report takes effect at once, and its running answer is not interrupted.
    TwoAgentCluster cluster;
    std::promise<Wire::Responder> started;
    std::promise<Protocol::LiveRequest> receivedRequest;
    cluster.m_first.setBehavior([&started, &receivedRequest](FakeAgent &, const Protocol::LiveRequest &request, const Wire::Responder &responder) {
        receivedRequest.set_value(request);
        started.set_value(responder);
    });
    cluster.m_second.changeReport([](Protocol::AgentReport &report) { report.m_endpointHealthy = false; });
    waitUntil([&cluster] { return cluster.m_entry.hasAvailableEndpoints(1); });
    std::future<HttpReply> running = std::async(std::launch::async, [&cluster] { return cluster.m_entry.generate(); });
    const Wire::Responder responder = started.get_future().get();
    cluster.m_first.changeReport([](Protocol::AgentReport &report) { report.m_member.m_leaving = true; });
    waitUntil([&cluster] { return cluster.m_entry.hasAvailableEndpoints(0); });
    cluster.m_second.changeReport([](Protocol::AgentReport &report) { report.m_endpointHealthy = true; });
    waitUntil([&cluster] { return cluster.m_entry.hasAvailableEndpoints(1); });
    for (int request = 0; request < 10; ++request) {
        REQUIRE(cluster.m_entry.generate().isComplete());
    }
    REQUIRE(cluster.m_first.calls() == 1);
    cluster.m_first.answer(receivedRequest.get_future().get(), responder);
    REQUIRE(running.get().isComplete());
}

TEST_CASE("a request above the account's queue limit is refused at once with a retry time")
{
    // All engines are busy and the account's queue is full. The next caller must not wait until its deadline for the refusal.
    TwoAgentCluster cluster;
    const FakeAgent::Behavior neverAnswer = [](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) {
        static std::mutex mutex;
        static std::vector<Wire::Responder> pending;
        const std::lock_guard<std::mutex> lock(mutex);
        pending.push_back(responder);
    };
    cluster.setBehavior(neverAnswer);
    std::vector<std::future<HttpReply>> pending;
    for (int request = 0; request < 16 + 64; ++request) {
        pending.push_back(std::async(std::launch::async, [&cluster] { return cluster.m_entry.generate({{"Oriolerail-Timeout-Ms", "3000"}}); }));
    }
    waitUntil([&cluster] { return send(cluster.m_entry.member().m_admin, "GET", "/metrics", "").m_body.find("routing_queued 64") != std::string::npos; });
    const HttpReply refused = cluster.m_entry.generate();
    REQUIRE(refused.m_status == 429);
    REQUIRE(refused.code() == "not-run");
    REQUIRE(std::stoi(refused.m_retryAfter) >= 1);
    for (std::future<HttpReply> &reply : pending) {
        const int status = reply.get().m_status;
        REQUIRE((status == 503 || status == 504));
    }
}

TEST_CASE("a request is cancelled when its caller disconnects")
{
    // Otherwise the engine would continue to generate an answer that nobody reads, and requests in the queue would wait for it.
    TwoAgentCluster cluster;
    std::promise<Wire::Responder> started;
    cluster.m_first.setBehavior([&started](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) { started.set_value(responder); });
    cluster.m_second.changeReport([](Protocol::AgentReport &report) { report.m_endpointHealthy = false; });
    waitUntil([&cluster] { return cluster.m_entry.hasAvailableEndpoints(1); });
    const Core::Address &callers = cluster.m_entry.member().m_callers;
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(callers.m_host, callers.m_port));
    const std::string body = R"({"account":"sao-mai","template":"season","prompt":"moodboard"})";
    const std::string text = "POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    const Wire::Responder responder = started.get_future().get();
    REQUIRE_FALSE(responder.isCancelled());
    socket.close();
    waitUntil([&responder] { return responder.isCancelled(); });
}

TEST_CASE("a request without an answer ends at its deadline, and its call to the agent is cancelled")
{
    TwoAgentCluster cluster;
    std::vector<Wire::Responder> pending;
    std::mutex mutex;
    cluster.setBehavior([&pending, &mutex](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) {
        const std::lock_guard<std::mutex> lock(mutex);
        pending.push_back(responder);
    });
    const HttpReply reply = cluster.m_entry.generate({{"Oriolerail-Timeout-Ms", "300"}});
    REQUIRE(reply.m_status == 504);
    REQUIRE(reply.code() == "timeout");
    waitUntil([&pending, &mutex] {
        const std::lock_guard<std::mutex> lock(mutex);
        return pending.size() == 1 && pending[0].isCancelled();
    });
}

TEST_CASE("no request is served before an accepted configuration is known")
{
    FakePlatform platform;
    TestEntry entry("entry-1", platform, {});
    const HttpReply reply = entry.generate();
    REQUIRE((reply.m_status == 503 || reply.m_status == 404));
    REQUIRE(entry.call().m_status == 503);
}

TEST_CASE("malformed requests are refused with the matching status")
{
    TwoAgentCluster cluster;
    const Core::Address &callers = cluster.m_entry.member().m_callers;
    REQUIRE(send(callers, "POST", "/v1/generate", "no json").m_status == 400);
    REQUIRE(send(callers, "POST", "/v1/generate", "{}").m_status == 400);
    REQUIRE(send(callers, "POST", "/v1/generate", R"({"account":"a b","template":"season","prompt":"x"})").m_status == 400);
    REQUIRE(send(callers, "POST", "/v1/generate", R"({"account":"sao-mai","template":"season","prompt":"x","max_tokens":-1})").m_status == 400);
    for (const std::string number : {"0", "65537", "4294967297", "18446744073709551615", "-9223372036854775808", "1.5"}) {
        INFO("max_tokens " << number);
        REQUIRE(send(callers, "POST", "/v1/generate", R"({"account":"sao-mai","template":"season","prompt":"x","max_tokens":)" + number + "}").m_status == 400);
    }
    REQUIRE(send(callers, "POST", "/v1/generate", R"({"account":"sao-mai","template":"none","prompt":"x"})").m_status == 404);
    REQUIRE(send(callers, "POST", "/v1/generate", std::string(2 << 20, 'x')).m_status == 413);
    REQUIRE(send(callers, "GET", "/v1/generate", "").m_status == 404);
    REQUIRE(cluster.m_entry.generate({{"Oriolerail-Timeout-Ms", "soon"}}).m_status == 400);
    REQUIRE(cluster.m_entry.keyedCall("no-epoch").m_status == 400);
    REQUIRE(cluster.calls() == 0);
}

TEST_CASE("a connection whose request arrives too slowly is closed")
{
    // The caller sends single bytes at intervals, so that each read succeeds within its timeout. A few hundred such callers would occupy all threads of the
    // entry.
    FakePlatform platform;
    TestEntry entry("entry-1", platform, {}, [](Entry::EntrySettings &settings) { settings.m_callers.m_requestTimeout = Core::Duration(400); });
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(entry.member().m_callers.m_host, entry.member().m_callers.m_port));
    bool cut = false;
    const std::string text = "POST /v1/generate HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(100000, 'x');
    for (std::size_t index = 0; index < text.size() && !cut; ++index) {
        try {
            socket.sendBytes(text.data() + index, 1);
            cut = socket.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ) && socket.available() == 0;
        } catch (const Poco::Exception &) {
            cut = true;
        }
    }
    REQUIRE(cut);
}

TEST_CASE("connections above the limit are refused at once with a retry time")
{
    FakePlatform platform;
    TestEntry entry("entry-1", platform, {}, [](Entry::EntrySettings &settings) { settings.m_callers.m_maximumConnections = 2; });
    const Poco::Net::SocketAddress address(entry.member().m_callers.m_host, entry.member().m_callers.m_port);
    const Poco::Net::StreamSocket first(address);
    const Poco::Net::StreamSocket second(address);
    const HttpReply refused = send(entry.member().m_callers, "GET", "/v1/addresses", "");
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.m_retryAfter == "1");
}

TEST_CASE("a connection above the limit ends in order for a caller that has sent its request")
{
    // Guards against a reset, which can destroy the refusal before the caller reads it.
    FakePlatform platform;
    TestEntry entry("entry-1", platform, {}, [](Entry::EntrySettings &settings) { settings.m_callers.m_maximumConnections = 1; });
    const Poco::Net::SocketAddress address(entry.member().m_callers.m_host, entry.member().m_callers.m_port);
    const Poco::Net::StreamSocket first(address);
    Poco::Net::StreamSocket second(address);
    second.setReceiveTimeout(Poco::Timespan(10, 0));
    const std::string request = "GET /v1/addresses HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(8000, 'x') + "\r\n\r\n";
    second.sendBytes(request.data(), static_cast<int>(request.size()));
    std::this_thread::sleep_for(Core::Duration(300));
    second.sendBytes(request.data(), static_cast<int>(request.size()));
    second.shutdownSend();
    std::string received(4096, '\0');
    std::string answer;
    int size = second.receiveBytes(received.data(), static_cast<int>(received.size()));
    while (size > 0) {
        answer.append(received.data(), static_cast<std::size_t>(size));
        size = second.receiveBytes(received.data(), static_cast<int>(received.size()));
    }
    REQUIRE(answer.starts_with("HTTP/1.1 503 "));
}
