/// @file Implementation of the answer checks.

#include "LibLoad/AnswerCheck.h"

#include "LibJson/Json.h"
#include "LibStandIn/Tokens.h"

namespace Load {

namespace {

constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;
constexpr int StatusBadGateway = 502;

std::string errorField(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::JSON::Object::Ptr error = object.getObject("error");
    return error ? error->optValue(field, std::string()) : std::string();
}

}

Outcome outcomeFromErrorCode(const std::string &code)
{
    if (code == "not-run") {
        return Outcome::NotRun;
    }
    if (code == "outcome-unknown") {
        return Outcome::Unknown;
    }
    return Outcome::Failed;
}

void AnswerCheck::fail(Outcome outcome, std::string code, std::string detail)
{
    m_failure = outcome;
    m_code = std::move(code);
    m_detail = std::move(detail);
}

bool AnswerCheck::onLine(const std::string &line)
{
    if (m_hasEnd) {
        fail(Outcome::Wrong, "bytes-after-end", line);
        return false;
    }
    const Core::Result<Poco::JSON::Object::Ptr> parsed = Json::parseObject(line);
    if (!parsed) {
        fail(Outcome::Failed, "malformed-line", line);
        return false;
    }
    const Poco::JSON::Object &object = *parsed.value();
    if (object.has("error")) {
        const std::string code = errorField(object, "code");
        fail(outcomeFromErrorCode(code), code, errorField(object, "detail"));
        return false;
    }
    if (!m_hasHead) {
        m_hasHead = true;
        m_version = object.optValue("version", std::string());
        m_digest = object.optValue("digest", std::string());
        if (m_digest.empty()) {
            fail(Outcome::Wrong, "no-version", line);
        }
    } else if (object.has("token")) {
        onToken(object.optValue("token", std::string()));
    } else if (object.optValue("end", false)) {
        onEnd(object.optValue<std::uint64_t>("tokens", 0), object.optValue("digest", std::string()));
    } else {
        fail(Outcome::Failed, "malformed-line", line);
    }
    return m_failure == Outcome::Ok;
}

void AnswerCheck::onToken(const std::string &token)
{
    const std::size_t slash = token.find('/');
    const std::string question = token.substr(0, slash);
    const std::string weights = slash == std::string::npos ? "" : token.substr(slash + 1);
    const std::string expected = StandIn::questionPart(m_request.m_account, m_request.m_prompt, m_tokens);
    if (question != expected) {
        return fail(Outcome::Wrong, "crossed", "token " + std::to_string(m_tokens) + " is " + question + ", expected " + expected);
    }
    if (m_tokens > 0 && weights != m_weights) {
        return fail(Outcome::Wrong, "mixed-weights", "token " + std::to_string(m_tokens) + " is from " + weights + ", those before from " + m_weights);
    }
    m_weights = weights;
    ++m_tokens;
}

void AnswerCheck::onEnd(std::uint64_t tokens, const std::string &digest)
{
    m_hasEnd = true;
    if (tokens != m_tokens || m_tokens != m_request.m_maximumTokens) {
        return fail(Outcome::Wrong,
                    "incomplete",
                    std::to_string(m_tokens) + " tokens came, the end names " + std::to_string(tokens) + ", " + std::to_string(m_request.m_maximumTokens)
                        + " were asked for");
    }
    if (digest != m_digest) {
        fail(Outcome::Wrong, "mixed-version", "the answer starts with " + m_digest + " and ends with " + digest);
    }
}

void AnswerCheck::finish(Observation &observation) const
{
    observation.m_version = m_version;
    observation.m_digest = m_digest;
    observation.m_weights = m_weights;
    observation.m_tokens = m_tokens;
    if (m_failure != Outcome::Ok) {
        observation.m_outcome = m_failure;
        observation.m_code = m_code;
        observation.m_detail = m_detail;
        return;
    }
    observation.m_outcome = m_hasEnd ? Outcome::Ok : Outcome::Failed;
    observation.m_code = m_hasEnd ? "" : "cut";
    observation.m_detail = m_hasEnd ? "" : "the answer ended after " + std::to_string(m_tokens) + " tokens";
}

void checkServiceAnswer(const Request &request, const std::string &body, Observation &observation)
{
    const Core::Result<Poco::JSON::Object::Ptr> parsed = Json::parseObject(body);
    if (!parsed || !parsed.value()->has("effect")) {
        observation.m_outcome = Outcome::Wrong;
        observation.m_code = "incomplete";
        observation.m_detail = body;
        return;
    }
    const std::string echo = parsed.value()->optValue("echo", std::string());
    const bool isOwn = echo == request.m_prompt;
    observation.m_outcome = isOwn ? Outcome::Ok : Outcome::Wrong;
    observation.m_code = isOwn ? "" : "crossed";
    observation.m_detail = isOwn ? "" : "the answer echoes " + echo;
}

void readErrorAnswer(int status, const std::string &body, Observation &observation)
{
    const Core::Result<Poco::JSON::Object::Ptr> parsed = Json::parseObject(body);
    observation.m_code = parsed ? errorField(*parsed.value(), "code") : std::string();
    observation.m_detail = parsed ? errorField(*parsed.value(), "detail") : body;
    if (observation.m_code.empty()) {
        observation.m_code = "status-" + std::to_string(status);
    }
    observation.m_outcome = outcomeFromErrorCode(observation.m_code);
    const bool saysNotRun = status == StatusTooMany || status == StatusUnavailable;
    if (observation.m_outcome == Outcome::NotRun && !saysNotRun) {
        observation.m_outcome = Outcome::Wrong;
        observation.m_detail = "not-run with status " + std::to_string(status);
    }
    if (observation.m_outcome == Outcome::Unknown && status != StatusBadGateway) {
        observation.m_outcome = Outcome::Wrong;
        observation.m_detail = "outcome-unknown with status " + std::to_string(status);
    }
}

bool VersionConsistencyChecker::recordAndCheck(const std::string &digest, const std::string &weights)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_weightsByDigest.emplace(digest, weights).first->second == weights;
}

}
