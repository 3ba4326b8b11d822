/// @file Tests of the plain service stand-in: effects, faults and the journal.

#include "LibNetwork/Listener.h"
#include "LibStandIn/JournalChecker.h"
#include "LibStandIn/PlainService.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

namespace {

struct RunningService
{
    Core::Address m_address;
    std::unique_ptr<StandIn::PlainService> m_service;
    StandIn::HttpServer m_server{8};

    RunningService()
    {
        m_address = Network::freeLoopbackAddress();
        m_service = std::make_unique<StandIn::PlainService>(StandIn::ServiceSettings{});
        REQUIRE(m_server.listen(
            m_address, [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) { m_service->handle(request, response); }));
    }

    ~RunningService()
    {
        m_service->stop();
        m_server.stop();
    }

    /// Returns "STATUS BODY", or "dropped" if there was no answer.
    std::string ask(const std::string &method, const std::string &path, const std::string &body, const std::string &key = "") const
    {
        try {
            Poco::Net::HTTPClientSession session(m_address.m_host, m_address.m_port);
            Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
            request.set("Idempotency-Key", key);
            request.set("Oriolerail-Attempt", "attempt-" + key);
            request.setContentLength(static_cast<std::streamsize>(body.size()));
            session.sendRequest(request) << body;
            Poco::Net::HTTPResponse response;
            std::istream &stream = session.receiveResponse(response);
            const std::string text(std::istreambuf_iterator<char>(stream), {});
            return std::to_string(response.getStatus()) + " " + text;
        } catch (const Poco::Exception &) {
            return "dropped";
        }
    }

    std::vector<StandIn::ServiceEffect> effects() const
    {
        return StandIn::parseServiceJournal("service", ask("GET", "/journal", "").substr(4)).value().m_effects;
    }
};

}

TEST_CASE("A call has one effect and gets its own answer")
{
    RunningService service;
    REQUIRE(service.ask("POST", "/bookings/1", "wall 3", "k1") == "200 {\"echo\":\"wall 3\",\"effect\":1}\n");
    const std::vector<StandIn::ServiceEffect> expected{{1, "k1", "attempt-k1", "", "/bookings/1"}};
    REQUIRE(service.effects() == expected);
}

TEST_CASE("A call whose answer is lost has an effect, a refused call has none")
{
    // The answer to a booking is lost on the way back. The booking exists nevertheless, so a retry would book twice.
    RunningService service;
    REQUIRE(service.ask("POST", "/faults", R"({"lose_answers":true})").starts_with("200"));
    REQUIRE(service.ask("POST", "/bookings/1", "wall 3", "k1") == "dropped");
    REQUIRE(service.effects().size() == 1);
    REQUIRE(service.ask("POST", "/faults", R"({"lose_answers":false,"refuse":true})").starts_with("200"));
    REQUIRE(service.ask("POST", "/bookings/1", "wall 3", "k2").starts_with("503"));
    REQUIRE(service.effects().size() == 1);
    REQUIRE(service.ask("POST", "/faults", R"({"refused":true})").starts_with("400"));
}
