/// @file Whole answers, one entry, and agents that misbehave.

#include "EntryCluster.h"

using namespace EntryTest;

namespace {

struct Pair
{
    FakePlatform m_platform;
    FakeAgent m_first{"engine-1", ModelService};
    FakeAgent m_second{"engine-2", ModelService};
    TestEntry m_entry{"entry-1", m_platform, {}};

    Pair()
    {
        m_platform.publishTemplate();
        m_platform.registerAgent(m_first.member());
        m_platform.registerAgent(m_second.member());
        waitUntil([this] { return m_entry.hasAvailableEndpoints(2); });
    }

    void setConduct(const FakeAgent::Behavior &conduct)
    {
        m_first.setBehavior(conduct);
        m_second.setBehavior(conduct);
    }

    int calls() const
    {
        return m_first.calls() + m_second.calls();
    }
};

/// Sends the frames of a whole answer after a change to them, and finishes the stream as if all were well.
FakeAgent::Behavior changedAnswer(const std::function<void(std::vector<Protocol::AnswerFrame> &frames)> &change)
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

TEST_CASE("a caller gets the version, the tokens and the end")
{
    Pair pair;
    const HttpReply reply = pair.m_entry.generate();
    REQUIRE(reply.m_status == 200);
    REQUIRE(reply.m_body.starts_with("{\"version\":\"7\",\"digest\":\"" + Digest + "\"}\n{\"token\":\"red \"}\n"));
    REQUIRE(reply.isComplete());
}

TEST_CASE("an answer with crossed, doubled or missing frames never looks whole")
{
    // A frame of another caller's answer is mixed in, or one comes twice or not at all. The analyst would finish a draft that nobody's model wrote.
    Pair pair;
    SECTION("crossed")
    {
        pair.setConduct(changedAnswer([](std::vector<Protocol::AnswerFrame> &frames) { frames[1].m_attempt = "another"; }));
    }
    SECTION("doubled")
    {
        pair.setConduct(changedAnswer([](std::vector<Protocol::AnswerFrame> &frames) { frames.insert(frames.begin() + 1, frames[1]); }));
    }
    SECTION("missing")
    {
        pair.setConduct(changedAnswer([](std::vector<Protocol::AnswerFrame> &frames) { frames.erase(frames.begin() + 1); }));
    }
    SECTION("cut before the end, although the stream ends well")
    {
        pair.setConduct(changedAnswer([](std::vector<Protocol::AnswerFrame> &frames) { frames.pop_back(); }));
    }
    SECTION("another version in the middle")
    {
        pair.setConduct(changedAnswer([](std::vector<Protocol::AnswerFrame> &frames) { frames[2].m_version = OtherDigest; }));
    }
    const HttpReply reply = pair.m_entry.generate();
    REQUIRE(reply.m_status == 200);
    REQUIRE_FALSE(reply.isComplete());
    REQUIRE(reply.m_body.find("\"code\":\"outcome-unknown\"") != std::string::npos);
}

TEST_CASE("a wrong version from the first frame on is not delivered, and another endpoint answers")
{
    // An engine names another version than its agent attests. The analyst would get a draft of weights that the account has not accepted.
    Pair pair;
    // One prompt keeps to one endpoint: that one is made to misbehave.
    REQUIRE(pair.m_entry.generate().isComplete());
    FakeAgent &owner = pair.m_first.calls() > 0 ? pair.m_first : pair.m_second;
    owner.setBehavior(changedAnswer([](std::vector<Protocol::AnswerFrame> &frames) {
        for (Protocol::AnswerFrame &frame : frames) {
            frame.m_version = OtherDigest;
            frame.m_data = "wrong";
        }
    }));
    for (int request = 0; request < 6; ++request) {
        const HttpReply reply = pair.m_entry.generate();
        REQUIRE(reply.isComplete());
        REQUIRE(reply.m_body.find("wrong") == std::string::npos);
    }
    REQUIRE(owner.calls() > 1);
}

TEST_CASE("an endpoint that refuses is replaced by another, within the retry budget")
{
    Pair pair;
    pair.m_first.setBehavior([](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) {
        responder.fail(Core::makeError(Core::ErrorCode::Unavailable, "admit attempt", "", "leaving"));
    });
    for (int request = 0; request < 6; ++request) {
        REQUIRE(pair.m_entry.generate().isComplete());
    }
    pair.m_second.setBehavior([](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) {
        responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "generate", "", "full"));
    });
    const HttpReply refused = pair.m_entry.generate();
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.code() == "not-run");
    REQUIRE_FALSE(refused.m_retryAfter.empty());
}

TEST_CASE("a leaving endpoint gets no new work, and what it runs is finished")
{
    // The instance list still calls it live. Its own word counts at once, and the draft that it is writing is not cut off.
    Pair pair;
    std::promise<Wire::Responder> started;
    std::promise<Protocol::LiveRequest> asked;
    pair.m_first.setBehavior([&started, &asked](FakeAgent &, const Protocol::LiveRequest &request, const Wire::Responder &responder) {
        asked.set_value(request);
        started.set_value(responder);
    });
    pair.m_second.changeReport([](Protocol::AgentReport &report) { report.m_endpointHealthy = false; });
    waitUntil([&pair] { return pair.m_entry.hasAvailableEndpoints(1); });
    std::future<HttpReply> running = std::async(std::launch::async, [&pair] { return pair.m_entry.generate(); });
    const Wire::Responder responder = started.get_future().get();
    pair.m_first.changeReport([](Protocol::AgentReport &report) { report.m_member.m_leaving = true; });
    waitUntil([&pair] { return pair.m_entry.hasAvailableEndpoints(0); });
    pair.m_second.changeReport([](Protocol::AgentReport &report) { report.m_endpointHealthy = true; });
    waitUntil([&pair] { return pair.m_entry.hasAvailableEndpoints(1); });
    for (int request = 0; request < 10; ++request) {
        REQUIRE(pair.m_entry.generate().isComplete());
    }
    REQUIRE(pair.m_first.calls() == 1);
    pair.m_first.answer(asked.get_future().get(), responder);
    REQUIRE(running.get().isComplete());
}

TEST_CASE("overload is answered at once with a time to come back")
{
    // Every engine is busy and the account's queue is full. The next caller must not wait for its deadline to learn that.
    Pair pair;
    const FakeAgent::Behavior hang = [](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) {
        static std::mutex mutex;
        static std::vector<Wire::Responder> held;
        const std::lock_guard<std::mutex> lock(mutex);
        held.push_back(responder);
    };
    pair.setConduct(hang);
    std::vector<std::future<HttpReply>> held;
    for (int request = 0; request < 16 + 64; ++request) {
        held.push_back(std::async(std::launch::async, [&pair] { return pair.m_entry.generate({{"Oriolerail-Timeout-Ms", "3000"}}); }));
    }
    waitUntil([&pair] { return send(pair.m_entry.member().m_admin, "GET", "/metrics", "").m_body.find("routing_queued 64") != std::string::npos; });
    const HttpReply refused = pair.m_entry.generate();
    REQUIRE(refused.m_status == 429);
    REQUIRE(refused.code() == "not-run");
    REQUIRE(std::stoi(refused.m_retryAfter) >= 1);
    for (std::future<HttpReply> &reply : held) {
        const int status = reply.get().m_status;
        REQUIRE((status == 503 || status == 504));
    }
}

TEST_CASE("a caller that goes away stops its request")
{
    // A buyer closes the window. The engine would go on writing for nobody, and everyone behind would wait for it.
    Pair pair;
    std::promise<Wire::Responder> started;
    pair.m_first.setBehavior([&started](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) { started.set_value(responder); });
    pair.m_second.changeReport([](Protocol::AgentReport &report) { report.m_endpointHealthy = false; });
    waitUntil([&pair] { return pair.m_entry.hasAvailableEndpoints(1); });
    const Core::Address &callers = pair.m_entry.member().m_callers;
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(callers.m_host, callers.m_port));
    const std::string body = R"({"account":"sao-mai","template":"season","prompt":"moodboard"})";
    const std::string text = "POST /v1/generate HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
    const Wire::Responder responder = started.get_future().get();
    REQUIRE_FALSE(responder.isCancelled());
    socket.close();
    waitUntil([&responder] { return responder.isCancelled(); });
}

TEST_CASE("a request without an answer ends at its deadline, and the agent is told the time that is left")
{
    Pair pair;
    std::vector<Wire::Responder> held;
    std::mutex mutex;
    pair.setConduct([&held, &mutex](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) {
        const std::lock_guard<std::mutex> lock(mutex);
        held.push_back(responder);
    });
    const HttpReply reply = pair.m_entry.generate({{"Oriolerail-Timeout-Ms", "300"}});
    REQUIRE(reply.m_status == 504);
    REQUIRE(reply.code() == "timeout");
    waitUntil([&held, &mutex] {
        const std::lock_guard<std::mutex> lock(mutex);
        return held.size() == 1 && held[0].isCancelled();
    });
}

TEST_CASE("nothing is served before accepted configuration is known, and nothing by default")
{
    FakePlatform platform;
    TestEntry entry("entry-1", platform, {});
    const HttpReply reply = entry.generate();
    REQUIRE((reply.m_status == 503 || reply.m_status == 404));
    REQUIRE(entry.call().m_status == 503);
}

TEST_CASE("malformed requests are refused as such")
{
    Pair pair;
    const Core::Address &callers = pair.m_entry.member().m_callers;
    REQUIRE(send(callers, "POST", "/v1/generate", "no json").m_status == 400);
    REQUIRE(send(callers, "POST", "/v1/generate", "{}").m_status == 400);
    REQUIRE(send(callers, "POST", "/v1/generate", R"({"account":"a b","template":"season","prompt":"x"})").m_status == 400);
    REQUIRE(send(callers, "POST", "/v1/generate", R"({"account":"sao-mai","template":"season","prompt":"x","max_tokens":-1})").m_status == 400);
    REQUIRE(send(callers, "POST", "/v1/generate", R"({"account":"sao-mai","template":"none","prompt":"x"})").m_status == 404);
    REQUIRE(send(callers, "POST", "/v1/generate", std::string(2 << 20, 'x')).m_status == 413);
    REQUIRE(send(callers, "GET", "/v1/generate", "").m_status == 404);
    REQUIRE(pair.m_entry.generate({{"Oriolerail-Timeout-Ms", "soon"}}).m_status == 400);
    REQUIRE(pair.m_entry.keyedCall("no-epoch").m_status == 400);
    REQUIRE(pair.calls() == 0);
}

TEST_CASE("a caller that sends its request too slowly is cut off")
{
    // It sends a byte now and then, so that every single read succeeds. A few hundred like it would hold every thread of the entry.
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

TEST_CASE("connections over the limit are told at once to come back")
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
