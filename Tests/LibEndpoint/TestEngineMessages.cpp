/// @file Tests that messages from endpoints are bounded and validated before they are used.

#include "LibEndpoint/AnswerFramer.h"
#include "LibEndpoint/EngineMessages.h"

#include <catch2/catch.hpp>

TEST_CASE("a status that is malformed, nested too deeply or too long is an error and not an empty engine")
{
    // If such a status counted as an engine without models, the agent would load all weights again.
    const std::string deep(100, '[');
    const std::string model = R"({"digest":"d","state":"serving"})";
    std::string models = model;
    for (int index = 0; index < 100; ++index) {
        models += "," + model;
    }
    for (const std::string &body : {std::string("no json"),
                                    std::string("[]"),
                                    deep,
                                    R"({"models":[1]})" + std::string(),
                                    R"({"models":[{"state":"serving"}]})" + std::string(),
                                    R"({"models":[)" + models + "]}"}) {
        INFO(body.substr(0, 60));
        REQUIRE_FALSE(Endpoint::parseStatus(body, "engine"));
    }
}

TEST_CASE("a model in an unknown state does not count as serving")
{
    const Core::Result<Endpoint::EngineStatus> status = Endpoint::parseStatus(R"({"models":[{"digest":"d","state":"warming"}],"capacity":4})", "engine");
    REQUIRE(status);
    REQUIRE(status.value().m_models.front().m_state == Endpoint::ModelState::Draining);
    REQUIRE(status.value().m_load.m_capacity == 4);
}

TEST_CASE("lines of an answer are parsed, and malformed lines are errors")
{
    REQUIRE(Endpoint::parseEngineLine(R"({"token":"a \"b\""})", "engine").value() == Endpoint::EngineLine{false, "a \"b\"", 0, ""});
    REQUIRE(Endpoint::parseEngineLine(R"({"end":true,"tokens":3,"digest":"d"})", "engine").value() == Endpoint::EngineLine{true, "", 3, "d"});
    REQUIRE_FALSE(Endpoint::parseEngineLine(R"({"end":true})", "engine"));
    REQUIRE_FALSE(Endpoint::parseEngineLine("{}", "engine"));
    REQUIRE_FALSE(Endpoint::parseEngineLine("", "engine"));
}

TEST_CASE("a caller's prompt cannot override fields that the agent sets")
{
    Protocol::LiveRequest request;
    request.m_attempt = "a1";
    request.m_account = "buyer";
    request.m_body = R"({"prompt":"linen","max_tokens":5,"account":"other","digest":"other","request":"other"})";
    const std::string body = Endpoint::generateBody(request, "content").value();
    REQUIRE(body.find("other") == std::string::npos);
    request.m_body = R"({"prompt":"linen","max_tokens":0})";
    REQUIRE(Endpoint::generateBody(request, "content").error().m_code == Core::ErrorCode::InvalidInput);
    request.m_body = R"({"max_tokens":5})";
    REQUIRE(Endpoint::generateBody(request, "content").error().m_code == Core::ErrorCode::InvalidInput);
}

TEST_CASE("frames are numbered without gaps and the end frame has the length and digest of the data")
{
    Endpoint::AnswerFramer framer("a1", "version", 200);
    const Protocol::EndpointLoad load{2, 1, 8};
    REQUIRE(framer.dataFrame("ab", load).m_number == 0);
    const Protocol::AnswerFrame second = framer.dataFrame("c", load);
    REQUIRE(second.m_number == 1);
    REQUIRE(second.m_running == 3);
    const Protocol::AnswerFrame end = framer.endFrame(load);
    REQUIRE(end.m_number == 2);
    REQUIRE(end.m_kind == Protocol::AnswerKind::End);
    REQUIRE(end.m_totalBytes == 3);
    REQUIRE(end.m_totalDigest == Core::sha256Hex("abc"));
}
