/// @file Tests that a caller retries repeatable requests at another entry, and never resends calls that are not repeatable.

#include "LibJson/Json.h"
#include "LibLoad/LoadRun.h"
#include "LibNetwork/Listener.h"
#include "LibStandIn/HttpServer.h"
#include "LibStandIn/Tokens.h"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <catch2/catch.hpp>

namespace {

using HttpRequest = Poco::Net::HTTPServerRequest;
using HttpResponse = Poco::Net::HTTPServerResponse;

/// An entry whose answers are set by the test.
class FakeEntry
{
public:
    std::function<void(HttpRequest &, HttpResponse &)> m_onRequest;
    std::atomic<int> m_requestCount = 0; ///< Requests received, without those for addresses.
    std::vector<std::string> m_keys; ///< Idempotency keys of these requests; read after they have ended.
    std::mutex m_mutex;

    FakeEntry()
    {
        m_address = Network::freeLoopbackAddress();
    }

    void start(const std::vector<Core::Address> &listed)
    {
        REQUIRE(m_server.listen(m_address, [this, listed](HttpRequest &request, HttpResponse &response) {
            if (request.getURI() == "/v1/addresses") {
                std::string list;
                for (const Core::Address &address : listed) {
                    list += (list.empty() ? "\"" : ",\"") + address.toString() + "\"";
                }
                return StandIn::sendAnswer(response, 200, "application/json", R"({"addresses":[)" + list + R"(],"lifetime_ms":60000,"key_epoch":"9"})");
            }
            ++m_requestCount;
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_keys.push_back(request.get("Idempotency-Key", ""));
            }
            m_onRequest(request, response);
        }));
    }

    Core::Address m_address;

private:
    StandIn::HttpServer m_server{8};
};

void sendCompleteAnswer(HttpRequest &request, HttpResponse &response)
{
    const Poco::JSON::Object::Ptr asked = Json::parseObject(StandIn::readBody(request, 100000).value()).value();
    std::string body = R"({"version":"1","digest":"m"})"
                       "\n";
    for (std::uint64_t index = 0; index < 2; ++index) {
        body += R"({"token":")" + StandIn::generateToken(asked->getValue<std::string>("account"), asked->getValue<std::string>("prompt"), index, "c") + "\"}\n";
    }
    StandIn::sendAnswer(response, 200, "application/x-ndjson", body + R"({"end":true,"tokens":2,"digest":"m"})" + "\n");
}

void dropRequest(HttpRequest &request, HttpResponse &)
{
    StandIn::discardBody(request);
    StandIn::dropConnection(request);
}

void refuseRequest(HttpRequest &request, HttpResponse &response)
{
    StandIn::discardBody(request);
    response.set("Retry-After", "0");
    StandIn::sendAnswer(response, 503, "application/json", R"({"error":{"code":"not-run"}})");
}

Load::Request makeRequest(Load::RequestKind kind, bool keyed)
{
    Load::Request request;
    request.m_kind = kind;
    request.m_account = "a";
    request.m_name = "n";
    request.m_path = "p";
    request.m_prompt = "marker";
    request.m_maximumTokens = 2;
    request.m_isKeyed = keyed;
    request.m_timeout = Core::Duration(10000);
    return request;
}

Load::Observation perform(const std::vector<Core::Address> &entries, const Load::Request &request, bool honoursRetryAfter = false, std::uint64_t seed = 1)
{
    Load::CallerSettings settings;
    settings.m_entries = entries;
    settings.m_marker = "run";
    settings.m_honoursRetryAfter = honoursRetryAfter;
    Load::VersionConsistencyChecker versionChecker;
    Load::Caller caller(settings, seed, versionChecker);
    return caller.perform(request, Core::Clock::now());
}

}

TEST_CASE("A generate request whose connection is lost is retried at another entry")
{
    // Guards against failed requests when an entry dies during an answer: the caller must get the complete answer from another entry.
    FakeEntry broken;
    FakeEntry healthy;
    broken.m_onRequest = dropRequest;
    healthy.m_onRequest = sendCompleteAnswer;
    broken.start({broken.m_address, healthy.m_address});
    healthy.start({broken.m_address, healthy.m_address});
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        const Load::Observation observation = perform({broken.m_address}, makeRequest(Load::RequestKind::Generate, false), false, seed);
        REQUIRE(observation.m_outcome == Load::Outcome::Ok);
        REQUIRE(observation.m_entry == healthy.m_address.toString());
        REQUIRE(observation.m_brokenTries == observation.m_retries);
        REQUIRE(observation.m_retries <= 1);
    }
    REQUIRE(healthy.m_requestCount == 10);
}

TEST_CASE("A call that is not repeatable is sent only once, and its outcome is unknown if the answer is lost")
{
    // Guards against double bookings when an answer is lost: resending the call would book twice, and reporting it as not run would invite a second booking.
    FakeEntry broken;
    broken.m_onRequest = dropRequest;
    broken.start({broken.m_address});
    const Load::Observation observation = perform({broken.m_address}, makeRequest(Load::RequestKind::Call, true));
    REQUIRE(observation.m_outcome == Load::Outcome::Unknown);
    REQUIRE(broken.m_requestCount == 1);
    REQUIRE(broken.m_keys == std::vector<std::string>{"9.run-0-0"});
}

TEST_CASE("A request to an unreachable entry is retried at another one, even if the call is not repeatable")
{
    FakeEntry unreachable;
    FakeEntry healthy;
    healthy.m_onRequest = [](HttpRequest &request, HttpResponse &response) {
        StandIn::sendAnswer(response, 200, "application/json", R"({"effect":1,"echo":")" + StandIn::readBody(request, 1000).value() + "\"}");
    };
    healthy.start({unreachable.m_address, healthy.m_address});
    for (int attempt = 0; attempt < 5; ++attempt) {
        REQUIRE(perform({unreachable.m_address, healthy.m_address}, makeRequest(Load::RequestKind::Call, true)).m_outcome == Load::Outcome::Ok);
    }
    REQUIRE(healthy.m_requestCount == 5);
}

TEST_CASE("A refused call ends as not run, or is retried with a new key for each attempt if the caller honours Retry-After")
{
    FakeEntry entry;
    entry.m_onRequest = [&entry](HttpRequest &request, HttpResponse &response) {
        if (entry.m_requestCount < 3) {
            return refuseRequest(request, response);
        }
        StandIn::sendAnswer(response, 200, "application/json", R"({"effect":1,"echo":")" + StandIn::readBody(request, 1000).value() + "\"}");
    };
    entry.start({entry.m_address});
    const Load::Observation refused = perform({entry.m_address}, makeRequest(Load::RequestKind::Call, true));
    REQUIRE(refused.m_outcome == Load::Outcome::NotRun);
    REQUIRE(entry.m_requestCount == 1);
    const Load::Observation waited = perform({entry.m_address}, makeRequest(Load::RequestKind::Call, true), true);
    REQUIRE(waited.m_outcome == Load::Outcome::Ok);
    REQUIRE(entry.m_keys == std::vector<std::string>{"9.run-0-0", "9.run-0-0", "9.run-0-1"});
}

TEST_CASE("A run performs and reports each request once")
{
    FakeEntry entry;
    entry.m_onRequest = sendCompleteAnswer;
    entry.start({entry.m_address});
    Load::LoadRunSettings settings;
    settings.m_callers.m_entries = {entry.m_address};
    settings.m_concurrency = 4;
    settings.m_isClosedLoop = true;
    std::uint64_t made = 0;
    std::set<std::uint64_t> ended;
    Load::Report report;
    Load::performLoad(
        settings,
        [&made]() -> std::optional<Load::Request> {
            if (made == 40) {
                return std::nullopt;
            }
            Load::Request request = makeRequest(Load::RequestKind::Generate, false);
            request.m_index = made++;
            request.m_prompt += std::to_string(request.m_index);
            return request;
        },
        report,
        [&ended](const Load::Request &request, const Load::Observation &) { ended.insert(request.m_index); });
    REQUIRE(ended.size() == 40);
    REQUIRE(report.count(Load::Outcome::Ok) == 40);
    REQUIRE(entry.m_requestCount == 40);
    REQUIRE(report.json().find(R"("ok":40)") != std::string::npos);
}
