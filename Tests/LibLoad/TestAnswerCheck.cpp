/// @file Every way in which an answer can be not whole, or not one's own, is recognised.

#include "LibLoad/AnswerCheck.h"
#include "LibStandIn/Tokens.h"

#include <catch2/catch.hpp>

namespace {

constexpr const char *Head = R"({"version":"7","digest":"m1"})";
constexpr const char *End = R"({"end":true,"tokens":2,"digest":"m1"})";

Load::Request makeRequest()
{
    Load::Request request;
    request.m_account = "buyer";
    request.m_prompt = "fabrics";
    request.m_maximumTokens = 2;
    return request;
}

std::string token(const std::string &prompt, std::uint64_t index, const std::string &weights = "c1")
{
    return R"({"token":")" + StandIn::generateToken("buyer", prompt, index, weights) + R"("})";
}

/// "outcome code" after all lines.
std::string checkLines(const std::vector<std::string> &lines)
{
    const Load::Request request = makeRequest();
    Load::AnswerCheck check(request);
    for (const std::string &line : lines) {
        if (!check.onLine(line)) {
            break;
        }
    }
    Load::Observation observation;
    check.finish(observation);
    return std::string(Load::outcomeName(observation.m_outcome)) + " " + observation.m_code;
}

std::string checkError(int status, const std::string &body)
{
    Load::Observation observation;
    Load::readErrorAnswer(status, body, observation);
    return std::string(Load::outcomeName(observation.m_outcome)) + " " + observation.m_code;
}

}

TEST_CASE("a whole answer of one's own is right")
{
    REQUIRE(checkLines({Head, token("fabrics", 0), token("fabrics", 1), End}) == "ok ");
}

TEST_CASE("an answer that was cut is not whole, wherever it was cut")
{
    REQUIRE(checkLines({}) == "failed cut");
    REQUIRE(checkLines({Head}) == "failed cut");
    REQUIRE(checkLines({Head, token("fabrics", 0), token("fabrics", 1)}) == "failed cut");
}

TEST_CASE("tokens of another request, lost ones and doubled ones are wrong")
{
    // Two answers cross on a shared connection. Each looks whole, and a buyer reads somebody else's draft.
    REQUIRE(checkLines({Head, token("frames", 0), token("frames", 1), End}) == "wrong crossed");
    REQUIRE(checkLines({Head, token("fabrics", 1), End}) == "wrong crossed");
    REQUIRE(checkLines({Head, token("fabrics", 0), token("fabrics", 0), End}) == "wrong crossed");
    REQUIRE(checkLines({Head, token("fabrics", 0), End}) == "wrong incomplete");
    REQUIRE(checkLines({Head, token("fabrics", 0), R"({"end":true,"tokens":1,"digest":"m1"})"}) == "wrong incomplete");
    REQUIRE(checkLines({Head, token("fabrics", 0), token("fabrics", 1), End, token("fabrics", 2)}) == "wrong bytes-after-end");
}

TEST_CASE("an answer of two versions is wrong")
{
    // An attempt moved to another engine in the middle. The first half is from the old weights, the second from the new.
    REQUIRE(checkLines({Head, token("fabrics", 0), token("fabrics", 1, "c2"), End}) == "wrong mixed-weights");
    REQUIRE(checkLines({Head, token("fabrics", 0), token("fabrics", 1), R"({"end":true,"tokens":2,"digest":"m2"})"}) == "wrong mixed-version");
    REQUIRE(checkLines({R"({"version":"7"})", token("fabrics", 0)}) == "wrong no-version");
    Load::VersionConsistencyChecker versionChecker;
    REQUIRE(versionChecker.recordAndCheck("m1", "c1"));
    REQUIRE(versionChecker.recordAndCheck("m2", "c2"));
    REQUIRE_FALSE(versionChecker.recordAndCheck("m1", "c2"));
}

TEST_CASE("an error line in the middle is an honest failure")
{
    REQUIRE(checkLines({Head, token("fabrics", 0), R"({"error":{"code":"outcome-unknown","step":"s","peer":"p","detail":"d"}})"}) == "unknown outcome-unknown");
    REQUIRE(checkLines({R"({"error":{"code":"timeout"}})"}) == "failed timeout");
    REQUIRE(checkLines({"not JSON"}) == "failed malformed-line");
}

TEST_CASE("error answers are read by code, and a code under the wrong status is wrong")
{
    REQUIRE(checkError(503, R"({"error":{"code":"not-run"}})") == "not-run not-run");
    REQUIRE(checkError(429, R"({"error":{"code":"not-run"}})") == "not-run not-run");
    REQUIRE(checkError(502, R"({"error":{"code":"outcome-unknown"}})") == "unknown outcome-unknown");
    REQUIRE(checkError(504, R"({"error":{"code":"timeout"}})") == "failed timeout");
    REQUIRE(checkError(503, "Service Unavailable") == "failed status-503");
    REQUIRE(checkError(500, R"({"error":{"code":"not-run"}})") == "wrong not-run");
    REQUIRE(checkError(504, R"({"error":{"code":"outcome-unknown"}})") == "wrong outcome-unknown");
}

TEST_CASE("a service's answer must echo the request")
{
    Load::Observation observation;
    Load::checkServiceAnswer(makeRequest(), R"({"effect":4,"echo":"fabrics"})", observation);
    REQUIRE(observation.m_outcome == Load::Outcome::Ok);
    Load::checkServiceAnswer(makeRequest(), R"({"effect":4,"echo":"frames"})", observation);
    REQUIRE(observation.m_code == "crossed");
    Load::checkServiceAnswer(makeRequest(), R"({"effect":4,"ec)", observation);
    REQUIRE(observation.m_code == "incomplete");
}
