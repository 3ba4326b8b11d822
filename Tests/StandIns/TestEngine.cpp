/// @file Tests of the model engine stand-in: fencing, slots, complete answers and the journal.

#include "LibCore/Digest.h"
#include "LibNetwork/Listener.h"
#include "LibStandIn/Engine.h"
#include "LibStandIn/JournalChecker.h"
#include "LibStandIn/Tokens.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <future>

namespace {

struct Answer
{
    int m_status = 0; ///< HTTP status; 0 if the connection was dropped.
    std::string m_version;
    std::string m_body;
};

std::string digestOf(const std::string &bytes)
{
    return Core::sha256Hex(bytes);
}

const std::string Weights(200000, 'w');
const std::string OtherWeights(200000, 'v');

struct RunningEngine
{
    Core::Address m_address;
    std::unique_ptr<StandIn::Engine> m_engine;
    std::unique_ptr<StandIn::HttpServer> m_server;

    explicit RunningEngine(StandIn::EngineSettings settings)
    {
        m_address = Network::freeLoopbackAddress();
        settings.m_firstTokenMs = 1;
        settings.m_tokenMs = 1;
        m_engine = std::make_unique<StandIn::Engine>(settings);
        m_server = std::make_unique<StandIn::HttpServer>(32);
        REQUIRE(m_server->listen(
            m_address, [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) { m_engine->handle(request, response); }));
    }

    ~RunningEngine()
    {
        m_engine->stop();
        m_server->stop();
    }

    Answer ask(const std::string &method, const std::string &path, const std::string &body, std::uint64_t fence = 0) const
    {
        Answer answer;
        try {
            Poco::Net::HTTPClientSession session(m_address.m_host, m_address.m_port);
            Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
            request.set("Oriolerail-Fence", std::to_string(fence));
            request.setContentLength(static_cast<std::streamsize>(body.size()));
            session.sendRequest(request) << body;
            Poco::Net::HTTPResponse response;
            std::istream &stream = session.receiveResponse(response);
            answer.m_version = response.get("Oriolerail-Version", "");
            answer.m_body.assign(std::istreambuf_iterator<char>(stream), {});
            answer.m_status = response.getStatus();
        } catch (const Poco::Exception &) {
            answer.m_status = 0;
        }
        return answer;
    }

    Answer load(const std::string &weights, std::uint64_t fence) const
    {
        return ask("PUT", "/models/" + digestOf(weights), weights, fence);
    }

    Answer generate(const std::string &request, const std::string &digest, int tokens, int priority = 0) const
    {
        const std::string body = R"({"request":")" + request + R"(","account":"a","digest":")" + digest + R"(","prompt":"question )" + request
            + R"(","max_tokens":)" + std::to_string(tokens) + R"(,"priority":)" + std::to_string(priority) + "}";
        return ask("POST", "/generate", body);
    }

    std::vector<StandIn::EngineRun> runs() const
    {
        return StandIn::parseEngineJournal("engine", ask("GET", "/journal", "").m_body).value().m_runs;
    }

    void setFaults(const std::string &json) const
    {
        REQUIRE(ask("POST", "/faults", json).m_status == 200);
    }

    /// Waits until the answer of GET /status contains @p text.
    void waitForStatus(const std::string &text) const
    {
        while (ask("GET", "/status", "").m_body.find(text) == std::string::npos) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }
};

StandIn::EngineSettings makeSettings()
{
    StandIn::EngineSettings settings;
    settings.m_capacity = 2;
    settings.m_reportLag = Core::Duration(0);
    return settings;
}

bool isCompleteAnswer(const Answer &answer)
{
    return answer.m_status == 200 && answer.m_body.find(R"("end":true)") != std::string::npos;
}

}

TEST_CASE("An answer is complete, belongs to its question and names the weights that generated it")
{
    RunningEngine engine(makeSettings());
    REQUIRE(engine.load(Weights, 1).m_body.find(digestOf(Weights)) != std::string::npos);
    const Answer answer = engine.generate("r1", digestOf(Weights), 3);
    REQUIRE(isCompleteAnswer(answer));
    REQUIRE(answer.m_version == digestOf(Weights));
    REQUIRE(answer.m_body.find(StandIn::generateToken("a", "question r1", 2, digestOf(Weights))) != std::string::npos);
    const std::vector<StandIn::EngineRun> expected{{"r1", "a", StandIn::questionName("a", "question r1"), digestOf(Weights), 3, true}};
    REQUIRE(engine.runs() == expected);
}

TEST_CASE("Loads and removals with an old fencing number are refused, unless the engine does not check")
{
    // Guards against a planner that resumes after a pause and sends outdated loads. An engine that checks refuses the old fencing
    // number. An engine that does not check loads the old version; only its agent can prevent that.
    RunningEngine checking(makeSettings());
    REQUIRE(checking.load(Weights, 7).m_status == 200);
    REQUIRE(checking.load(OtherWeights, 6).m_status == 409);
    REQUIRE(checking.ask("DELETE", "/models/" + digestOf(Weights), "", 6).m_status == 409);
    REQUIRE(checking.load(OtherWeights, 7).m_status == 200);

    StandIn::EngineSettings withoutFencing = makeSettings();
    withoutFencing.m_checksFencing = false;
    RunningEngine unchecked(withoutFencing);
    REQUIRE(unchecked.load(Weights, 7).m_status == 200);
    REQUIRE(unchecked.load(OtherWeights, 6).m_status == 200);
}

TEST_CASE("A load without a free slot is refused, and a drained model frees its slot")
{
    RunningEngine engine(makeSettings());
    const std::string third(1000, 'u');
    REQUIRE(engine.load(Weights, 1).m_status == 200);
    REQUIRE(engine.load(OtherWeights, 1).m_status == 200);
    REQUIRE(engine.load(third, 1).m_status == 507);
    REQUIRE(engine.ask("DELETE", "/models/" + digestOf(Weights), "", 2).m_status == 200);
    REQUIRE(engine.generate("r", digestOf(Weights), 1).m_status == 404);
    REQUIRE(engine.load(third, 2).m_status == 200);
}

TEST_CASE("A running answer is completed after its model is removed, and its slot is not freed before")
{
    StandIn::EngineSettings settings = makeSettings();
    settings.m_slots = 1;
    RunningEngine engine(settings);
    REQUIRE(engine.load(Weights, 1).m_status == 200);
    std::future<Answer> answer = std::async(std::launch::async, [&engine] { return engine.generate("long", digestOf(Weights), 1000); });
    engine.waitForStatus(R"("running":1)");
    REQUIRE(engine.ask("DELETE", "/models/" + digestOf(Weights), "", 2).m_status == 200);
    REQUIRE(engine.generate("late", digestOf(Weights), 1).m_status == 404);
    REQUIRE(engine.load(OtherWeights, 2).m_status == 507);
    REQUIRE(isCompleteAnswer(answer.get()));
    engine.waitForStatus(R"("models":[])");
    REQUIRE(engine.load(OtherWeights, 2).m_status == 200);
}

TEST_CASE("The journal records the digest of the bytes held, not the digest named in the load request")
{
    // The weights are damaged in transfer, so that the engine holds other bytes than the load request names. The journal must show
    // it, otherwise no test could detect incomplete weights.
    RunningEngine engine(makeSettings());
    const std::string path = "/models/" + digestOf(Weights);
    REQUIRE(engine.ask("PUT", path, OtherWeights, 1).m_body.find(digestOf(OtherWeights)) != std::string::npos);
    engine.setFaults(R"({"misreport_digest":"pretence"})");
    const Answer answer = engine.generate("r", digestOf(Weights), 1);
    REQUIRE(answer.m_version == "pretence");
    REQUIRE(engine.runs().at(0).m_digest == digestOf(OtherWeights));
}

TEST_CASE("Weights that end early are not loaded")
{
    RunningEngine engine(makeSettings());
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(engine.m_address.m_host, engine.m_address.m_port));
    const std::string head = "PUT /models/" + digestOf(Weights) + " HTTP/1.1\r\nOriolerail-Fence: 1\r\nContent-Length: 200000\r\n\r\nwww";
    socket.sendBytes(head.data(), static_cast<int>(head.size()));
    engine.waitForStatus(R"("loading")");
    socket.shutdownSend();
    engine.waitForStatus(R"("models":[])");
    REQUIRE(engine.load(Weights, 1).m_status == 200);
}

TEST_CASE("An engine that crashes while loading loses all models and its fencing number")
{
    RunningEngine engine(makeSettings());
    REQUIRE(engine.load(Weights, 5).m_status == 200);
    engine.setFaults(R"({"die_while_loading":true})");
    REQUIRE(engine.load(OtherWeights, 6).m_status == 0);
    engine.setFaults(R"({"die_while_loading":false})");
    REQUIRE(engine.generate("r", digestOf(Weights), 1).m_status == 404);
    REQUIRE(engine.load(OtherWeights, 1).m_status == 200);
}

TEST_CASE("An answer that is cut off has no end line, and the journal records it as not completed")
{
    RunningEngine engine(makeSettings());
    REQUIRE(engine.load(Weights, 1).m_status == 200);
    engine.setFaults(R"({"cut_answers_after_tokens":2})");
    REQUIRE_FALSE(isCompleteAnswer(engine.generate("r", digestOf(Weights), 5)));
    const std::vector<StandIn::EngineRun> runs = engine.runs();
    REQUIRE(runs.size() == 1);
    REQUIRE(runs[0].m_tokens == 2);
    REQUIRE_FALSE(runs[0].m_completed);
}

TEST_CASE("A full queue refuses requests, and a cancelled request ends")
{
    StandIn::EngineSettings settings = makeSettings();
    settings.m_capacity = 1;
    settings.m_maximumQueued = 1;
    RunningEngine engine(settings);
    REQUIRE(engine.load(Weights, 1).m_status == 200);
    std::future<Answer> first = std::async(std::launch::async, [&engine] { return engine.generate("first", digestOf(Weights), 100000); });
    engine.waitForStatus(R"("running":1)");
    std::future<Answer> second = std::async(std::launch::async, [&engine] { return engine.generate("second", digestOf(Weights), 1); });
    engine.waitForStatus(R"("queued":1)");
    REQUIRE(engine.generate("third", digestOf(Weights), 1).m_status == 503);
    REQUIRE(engine.ask("POST", "/cancel/first", "").m_status == 200);
    REQUIRE_FALSE(isCompleteAnswer(first.get()));
    REQUIRE(isCompleteAnswer(second.get()));
}

TEST_CASE("Requests enter the batch by priority, then in order of arrival")
{
    StandIn::BatchQueue queue(1, 10);
    const StandIn::BatchTicket early = queue.enqueue(0);
    REQUIRE(queue.tryStart(early));
    const StandIn::BatchTicket low = queue.enqueue(0);
    const StandIn::BatchTicket high = queue.enqueue(5);
    const StandIn::BatchTicket alsoHigh = queue.enqueue(5);
    REQUIRE_FALSE(queue.tryStart(high));
    queue.finish();
    REQUIRE_FALSE(queue.tryStart(low));
    REQUIRE_FALSE(queue.tryStart(alsoHigh));
    REQUIRE(queue.tryStart(high));
    queue.finish();
    REQUIRE(queue.tryStart(alsoHigh));
    queue.finish();
    REQUIRE(queue.tryStart(low));
}

TEST_CASE("Load is reported with the lag, and the least recently used prefix is evicted")
{
    const Core::Instant start{};
    StandIn::LoadHistory history(Core::Duration(200));
    history.record(StandIn::LoadSample{3, 1}, start);
    REQUIRE(history.reported(start + Core::Duration(100)) == StandIn::LoadSample{});
    history.record(StandIn::LoadSample{5, 0}, start + Core::Duration(150));
    REQUIRE(history.reported(start + Core::Duration(300)) == StandIn::LoadSample{3, 1});
    REQUIRE(history.reported(start + Core::Duration(350)) == StandIn::LoadSample{5, 0});

    StandIn::PrefixCache cache(2);
    REQUIRE_FALSE(cache.touch("w", "one"));
    REQUIRE_FALSE(cache.touch("w", "two"));
    REQUIRE(cache.touch("w", "one"));
    REQUIRE_FALSE(cache.touch("other", "one"));
    REQUIRE_FALSE(cache.touch("w", "two"));
}
