/// @file Implementation of a caller with the HTTP client of POCO.

#include "LibLoad/Caller.h"

#include "LibNetwork/Dialer.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequest.h>
#include <charconv>
#include <sstream>
#include <thread>

namespace Load {

namespace {

constexpr Core::Duration DialTimeout{2000};
constexpr Core::Duration AddressTimeout{2000};
/// The entry answers at the deadline at the latest; its answer needs time to arrive.
constexpr Core::Duration DeadlineGrace{1500};
constexpr Core::Duration RetryPause{50};
constexpr std::size_t MaximumAddressBytes = 65536;
constexpr std::size_t MaximumErrorBytes = 65536;
constexpr std::size_t MaximumLineBytes = 65536;
constexpr int MillisecondsPerSecond = 1000;
constexpr int StatusOk = 200;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;

double millisecondsBetween(Core::Instant from, Core::Instant to)
{
    return Core::secondsBetween(from, to) * MillisecondsPerSecond;
}

Core::Duration remainingTime(Core::Instant deadline)
{
    return std::chrono::ceil<Core::Duration>(deadline - Core::Clock::now());
}

std::string readBounded(std::istream &stream, std::size_t limit)
{
    std::string text(limit, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

std::string generateBody(const Request &request)
{
    Poco::JSON::Object object;
    object.set("account", request.m_account);
    object.set("template", request.m_name);
    object.set("prompt", request.m_prompt);
    object.set("max_tokens", request.m_maximumTokens);
    object.set("priority", request.m_priority);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Poco::Net::HTTPRequest makeHttpRequest(const Request &request, Core::Duration remaining, const std::string &key, std::size_t bodyBytes)
{
    const bool isCall = request.m_kind == RequestKind::Call;
    const std::string uri = isCall ? "/v1/call/" + request.m_name + "/" + request.m_path : "/v1/generate";
    Poco::Net::HTTPRequest httpRequest(Poco::Net::HTTPRequest::HTTP_POST, uri, Poco::Net::HTTPMessage::HTTP_1_1);
    httpRequest.setContentType("application/json");
    httpRequest.setContentLength64(static_cast<Poco::Int64>(bodyBytes));
    httpRequest.set("Oriolerail-Account", request.m_account);
    httpRequest.set("Oriolerail-Timeout-Ms", std::to_string(remaining.count()));
    httpRequest.set("Oriolerail-Priority", std::to_string(request.m_priority));
    if (!key.empty()) {
        httpRequest.set("Idempotency-Key", key);
    }
    return httpRequest;
}

Core::Duration parseRetryAfter(const Poco::Net::HTTPResponse &response)
{
    const std::string text = response.get("Retry-After", "");
    int seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(std::max(seconds, 0));
}

void setTransportFailure(const Request &request, const std::string &detail, Observation &observation)
{
    observation.m_outcome = request.m_isKeyed ? Outcome::Unknown : Outcome::Failed;
    observation.m_code = "connection-lost";
    observation.m_detail = detail;
}

}

Caller::Caller(CallerSettings settings, std::uint64_t seed, VersionConsistencyChecker &versionChecker)
    : m_settings(std::move(settings))
    , m_versionChecker(versionChecker)
    , m_addressCache(m_settings.m_entries)
    , m_random(seed)
{
}

Observation Caller::perform(const Request &request, Core::Instant arrival)
{
    const Timing timing{arrival, arrival + request.m_timeout};
    Observation observation;
    observation.m_waitedMs = millisecondsBetween(arrival, Core::Clock::now());
    for (;;) {
        const AttemptEnd end = performAttempt(request, timing, observation);
        if (!mayRetry(request, timing, end, observation)) {
            break;
        }
        pauseBeforeRetry(end, timing, observation);
        ++observation.m_retries;
    }
    observation.m_totalMs = millisecondsBetween(arrival, Core::Clock::now());
    const bool hasWeights = observation.m_outcome == Outcome::Ok && !observation.m_weights.empty();
    if (hasWeights && !m_versionChecker.recordAndCheck(observation.m_digest, observation.m_weights)) {
        observation.m_outcome = Outcome::Wrong;
        observation.m_code = "mixed-version";
        observation.m_detail = "version " + observation.m_digest + " was made by other weights than " + observation.m_weights + " before";
    }
    return observation;
}

bool Caller::mayRetry(const Request &request, const Timing &timing, AttemptEnd end, const Observation &observation) const
{
    if (end == AttemptEnd::Final || Core::Clock::now() >= timing.m_deadline) {
        return false;
    }
    if (end == AttemptEnd::Refused) {
        return m_settings.m_honoursRetryAfter && Core::Clock::now() + observation.m_retryAfter < timing.m_deadline;
    }
    // A call that is not repeatable is retried only if no part of it was sent.
    const bool isSafe = end == AttemptEnd::NotSent || !request.m_isKeyed;
    return isSafe && observation.m_retries < m_settings.m_retries;
}

void Caller::pauseBeforeRetry(AttemptEnd end, const Timing &timing, const Observation &observation)
{
    const Core::Duration wanted = end == AttemptEnd::Refused ? std::max(observation.m_retryAfter, RetryPause) : RetryPause;
    std::this_thread::sleep_until(std::min(Core::Clock::now() + wanted, timing.m_deadline));
}

Caller::AttemptEnd Caller::performAttempt(const Request &request, const Timing &timing, Observation &observation)
{
    const Core::Result<Core::Address> entry = chooseEntry(timing);
    if (!entry) {
        observation.m_outcome = Outcome::Failed;
        observation.m_code = "no-entry";
        observation.m_detail = entry.error().message();
        return AttemptEnd::NotSent;
    }
    observation.m_entry = entry.value().toString();
    const AttemptEnd end = exchange(request, timing, entry.value(), observation);
    observation.m_brokenTries += end == AttemptEnd::Broken ? 1 : 0;
    if (end == AttemptEnd::NotSent || end == AttemptEnd::Broken) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_addressCache.recordFailure(entry.value(), Core::Clock::now());
    }
    return end;
}

Core::Result<Core::Address> Caller::chooseEntry(const Timing &timing)
{
    bool refresh = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        refresh = m_addressCache.needsRefresh(Core::Clock::now());
    }
    if (refresh) {
        refreshAddresses(timing);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::optional<Core::Address> picked = m_addressCache.pick(m_random, Core::Clock::now());
    if (!picked) {
        return Core::makeError(Core::ErrorCode::Unavailable, "ask for addresses", "", "no entry answers");
    }
    return *picked;
}

void Caller::refreshAddresses(const Timing &timing)
{
    std::vector<Core::Address> candidates;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        candidates = m_addressCache.refreshCandidates(m_random);
    }
    for (const Core::Address &candidate : candidates) {
        const Core::Duration remaining = std::min(remainingTime(timing.m_deadline), AddressTimeout);
        if (remaining.count() <= 0) {
            return;
        }
        try {
            const Core::Result<std::unique_ptr<Poco::Net::HTTPClientSession>> session = Network::dialHttp(m_settings.m_network, candidate, remaining);
            if (!session) {
                continue;
            }
            Poco::Net::HTTPRequest httpRequest(Poco::Net::HTTPRequest::HTTP_GET, "/v1/addresses", Poco::Net::HTTPMessage::HTTP_1_1);
            session.value()->sendRequest(httpRequest);
            Poco::Net::HTTPResponse response;
            const std::string body = readBounded(session.value()->receiveResponse(response), MaximumAddressBytes);
            const Core::Result<AddressAnswer> answer = parseAddressAnswer(body, candidate.toString());
            if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK && answer && !answer.value().m_addresses.empty()) {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_addressCache.update(answer.value(), Core::Clock::now());
                return;
            }
        } catch (const Poco::Exception &) {
            // Ask the next candidate. If none answers, the request fails with "no-entry".
            continue;
        }
    }
}

std::string Caller::nextKey(const Request &request, std::uint32_t attempt)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_addressCache.keyEpoch() + "." + m_settings.m_marker + "-" + std::to_string(request.m_index) + "-" + std::to_string(attempt);
}

Caller::AttemptEnd Caller::exchange(const Request &request, const Timing &timing, const Core::Address &entry, Observation &observation)
{
    const Core::Duration remaining = remainingTime(timing.m_deadline);
    if (remaining.count() <= 0) {
        observation.m_outcome = Outcome::Failed;
        observation.m_code = "caller-timeout";
        return AttemptEnd::Final;
    }
    const Core::Result<std::unique_ptr<Poco::Net::HTTPClientSession>> dialed = Network::dialHttp(m_settings.m_network, entry, std::min(remaining, DialTimeout));
    if (!dialed) {
        observation.m_outcome = Outcome::Failed;
        observation.m_code = "connect";
        observation.m_detail = dialed.error().message();
        return AttemptEnd::NotSent;
    }
    Poco::Net::HTTPClientSession &session = *dialed.value();
    const Poco::Timespan waitLimit((remaining + DeadlineGrace).count() * MillisecondsPerSecond);
    // Each attempt uses a new key, since the key of a refused attempt may have been claimed.
    observation.m_key = request.m_isKeyed ? nextKey(request, observation.m_retries) : "";
    try {
        session.setTimeout(waitLimit, waitLimit, waitLimit);
        session.socket().setReceiveTimeout(waitLimit);
        const std::string body = request.m_kind == RequestKind::Call ? request.m_prompt : generateBody(request);
        Poco::Net::HTTPRequest httpRequest = makeHttpRequest(request, remaining, observation.m_key, body.size());
        session.sendRequest(httpRequest) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &answer = session.receiveResponse(response);
        return readAnswer(request, timing, response, answer, observation);
    } catch (const Poco::TimeoutException &) {
        setTransportFailure(request, "nothing came until the deadline", observation);
        observation.m_code = "caller-timeout";
        return AttemptEnd::Final;
    } catch (const Poco::Exception &exception) {
        setTransportFailure(request, exception.displayText(), observation);
        return AttemptEnd::Broken;
    }
}

Caller::AttemptEnd
Caller::readAnswer(const Request &request, const Timing &timing, const Poco::Net::HTTPResponse &response, std::istream &body, Observation &observation)
{
    observation.m_status = response.getStatus();
    if (observation.m_status != StatusOk) {
        readErrorAnswer(observation.m_status, readBounded(body, MaximumErrorBytes), observation);
        observation.m_retryAfter = parseRetryAfter(response);
        const bool refused = observation.m_outcome == Outcome::NotRun && (observation.m_status == StatusTooMany || observation.m_status == StatusUnavailable);
        return refused ? AttemptEnd::Refused : AttemptEnd::Final;
    }
    if (request.m_kind == RequestKind::Call) {
        const std::string text = readBounded(body, MaximumErrorBytes);
        const bool isComplete = response.getContentLength64() == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH
            || text.size() == static_cast<std::size_t>(response.getContentLength64());
        if (!isComplete) {
            setTransportFailure(request, "the answer was cut", observation);
            return AttemptEnd::Broken;
        }
        checkServiceAnswer(request, text, observation);
        return AttemptEnd::Final;
    }
    readLines(request, timing, body, observation);
    return observation.m_code == "cut" ? AttemptEnd::Broken : AttemptEnd::Final;
}

void Caller::readLines(const Request &request, const Timing &timing, std::istream &body, Observation &observation)
{
    AnswerCheck check(request);
    Core::Instant lastToken{};
    std::string line;
    bool expectsMore = true;
    while (expectsMore && std::getline(body, line) && line.size() <= MaximumLineBytes) {
        const std::uint64_t tokensBefore = check.tokens();
        expectsMore = check.onLine(line);
        if (check.tokens() == tokensBefore) {
            continue;
        }
        const Core::Instant now = Core::Clock::now();
        if (tokensBefore == 0) {
            observation.m_firstTokenMs = millisecondsBetween(timing.m_arrival, now);
        } else {
            observation.m_largestGapMs = std::max(observation.m_largestGapMs, millisecondsBetween(lastToken, now));
        }
        lastToken = now;
    }
    check.finish(observation);
}

}
