/// @file Implementation of a caller on POCO's HTTP client.

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
/// The entry answers at the deadline itself; its answer needs time to arrive.
constexpr Core::Duration DeadlineGrace{1500};
constexpr Core::Duration PauseAfterFailure{50};
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

Core::Duration timeLeft(Core::Instant deadline)
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

Poco::Net::HTTPRequest makeHttpRequest(const Request &request, Core::Duration left, const std::string &key, std::size_t bodyBytes)
{
    const bool isCall = request.m_kind == RequestKind::Call;
    const std::string uri = isCall ? "/v1/call/" + request.m_name + "/" + request.m_path : "/v1/generate";
    Poco::Net::HTTPRequest http(Poco::Net::HTTPRequest::HTTP_POST, uri, Poco::Net::HTTPMessage::HTTP_1_1);
    http.setContentType("application/json");
    http.setContentLength64(static_cast<Poco::Int64>(bodyBytes));
    http.set("Oriolerail-Account", request.m_account);
    http.set("Oriolerail-Timeout-Ms", std::to_string(left.count()));
    http.set("Oriolerail-Priority", std::to_string(request.m_priority));
    if (!key.empty()) {
        http.set("Idempotency-Key", key);
    }
    return http;
}

Core::Duration retryAfterOf(const Poco::Net::HTTPResponse &response)
{
    const std::string text = response.get("Retry-After", "");
    int seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(std::max(seconds, 0));
}

void noteTransportFailure(const Request &request, const std::string &detail, Observation &observation)
{
    observation.m_outcome = request.m_isKeyed ? Outcome::Unknown : Outcome::Failed;
    observation.m_code = "connection-lost";
    observation.m_detail = detail;
}

}

Caller::Caller(CallerSettings settings, std::uint64_t seed, VersionWitness &witness)
    : m_settings(std::move(settings))
    , m_witness(witness)
    , m_book(m_settings.m_entries)
    , m_random(seed)
{
}

Observation Caller::perform(const Request &request, Core::Instant arrival)
{
    const Timing timing{arrival, arrival + request.m_timeout};
    Observation observation;
    observation.m_waitedMs = millisecondsBetween(arrival, Core::Clock::now());
    for (;;) {
        const TryEnd end = tryOnce(request, timing, observation);
        if (!mayTryAgain(request, timing, end, observation)) {
            break;
        }
        pauseBeforeRetry(end, timing, observation);
        ++observation.m_retries;
    }
    observation.m_totalMs = millisecondsBetween(arrival, Core::Clock::now());
    const bool hasWeights = observation.m_outcome == Outcome::Ok && !observation.m_weights.empty();
    if (hasWeights && !m_witness.agrees(observation.m_digest, observation.m_weights)) {
        observation.m_outcome = Outcome::Wrong;
        observation.m_code = "mixed-version";
        observation.m_detail = "version " + observation.m_digest + " was made by other weights than " + observation.m_weights + " before";
    }
    return observation;
}

bool Caller::mayTryAgain(const Request &request, const Timing &timing, TryEnd end, const Observation &observation) const
{
    if (end == TryEnd::Final || Core::Clock::now() >= timing.m_deadline) {
        return false;
    }
    if (end == TryEnd::Refused) {
        return m_settings.m_honoursRetryAfter && Core::Clock::now() + observation.m_retryAfter < timing.m_deadline;
    }
    // A call that may not be repeated is tried again only if nothing of it was sent.
    const bool isSafe = end == TryEnd::NotSent || !request.m_isKeyed;
    return isSafe && observation.m_retries < m_settings.m_retries;
}

void Caller::pauseBeforeRetry(TryEnd end, const Timing &timing, const Observation &observation)
{
    const Core::Duration wanted = end == TryEnd::Refused ? std::max(observation.m_retryAfter, PauseAfterFailure) : PauseAfterFailure;
    std::this_thread::sleep_until(std::min(Core::Clock::now() + wanted, timing.m_deadline));
}

Caller::TryEnd Caller::tryOnce(const Request &request, const Timing &timing, Observation &observation)
{
    const Core::Result<Core::Address> entry = chooseEntry(timing);
    if (!entry) {
        observation.m_outcome = Outcome::Failed;
        observation.m_code = "no-entry";
        observation.m_detail = entry.error().message();
        return TryEnd::NotSent;
    }
    observation.m_entry = entry.value().toString();
    const TryEnd end = exchange(request, timing, entry.value(), observation);
    observation.m_brokenTries += end == TryEnd::Broken ? 1 : 0;
    if (end == TryEnd::NotSent || end == TryEnd::Broken) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_book.noteFailure(entry.value(), Core::Clock::now());
    }
    return end;
}

Core::Result<Core::Address> Caller::chooseEntry(const Timing &timing)
{
    bool refresh = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        refresh = m_book.needsRefresh(Core::Clock::now());
    }
    if (refresh) {
        refreshAddresses(timing);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::optional<Core::Address> picked = m_book.pick(m_random, Core::Clock::now());
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
        candidates = m_book.refreshCandidates(m_random);
    }
    for (const Core::Address &candidate : candidates) {
        const Core::Duration left = std::min(timeLeft(timing.m_deadline), AddressTimeout);
        if (left.count() <= 0) {
            return;
        }
        try {
            const Core::Result<std::unique_ptr<Poco::Net::HTTPClientSession>> session = Network::dialHttp(m_settings.m_network, candidate, left);
            if (!session) {
                continue;
            }
            Poco::Net::HTTPRequest http(Poco::Net::HTTPRequest::HTTP_GET, "/v1/addresses", Poco::Net::HTTPMessage::HTTP_1_1);
            session.value()->sendRequest(http);
            Poco::Net::HTTPResponse response;
            const std::string body = readBounded(session.value()->receiveResponse(response), MaximumAddressBytes);
            const Core::Result<AddressAnswer> answer = parseAddressAnswer(body, candidate.toString());
            if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK && answer && !answer.value().m_addresses.empty()) {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_book.update(answer.value(), Core::Clock::now());
                return;
            }
        } catch (const Poco::Exception &) {
            // The next candidate is asked; if none answers, the request fails as "no-entry".
            continue;
        }
    }
}

std::string Caller::nextKey(const Request &request, std::uint32_t attempt)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_book.keyEpoch() + "." + m_settings.m_marker + "-" + std::to_string(request.m_index) + "-" + std::to_string(attempt);
}

Caller::TryEnd Caller::exchange(const Request &request, const Timing &timing, const Core::Address &entry, Observation &observation)
{
    const Core::Duration left = timeLeft(timing.m_deadline);
    if (left.count() <= 0) {
        observation.m_outcome = Outcome::Failed;
        observation.m_code = "caller-timeout";
        return TryEnd::Final;
    }
    const Core::Result<std::unique_ptr<Poco::Net::HTTPClientSession>> dialed = Network::dialHttp(m_settings.m_network, entry, std::min(left, DialTimeout));
    if (!dialed) {
        observation.m_outcome = Outcome::Failed;
        observation.m_code = "connect";
        observation.m_detail = dialed.error().message();
        return TryEnd::NotSent;
    }
    Poco::Net::HTTPClientSession &session = *dialed.value();
    const Poco::Timespan patience((left + DeadlineGrace).count() * MillisecondsPerSecond);
    // A key is used for one try only: a refused one may have been claimed.
    observation.m_key = request.m_isKeyed ? nextKey(request, observation.m_retries) : "";
    try {
        session.setTimeout(patience, patience, patience);
        session.socket().setReceiveTimeout(patience);
        const std::string body = request.m_kind == RequestKind::Call ? request.m_prompt : generateBody(request);
        Poco::Net::HTTPRequest http = makeHttpRequest(request, left, observation.m_key, body.size());
        session.sendRequest(http) << body << std::flush;
        Poco::Net::HTTPResponse response;
        std::istream &answer = session.receiveResponse(response);
        return readAnswer(request, timing, response, answer, observation);
    } catch (const Poco::TimeoutException &) {
        noteTransportFailure(request, "nothing came until the deadline", observation);
        observation.m_code = "caller-timeout";
        return TryEnd::Final;
    } catch (const Poco::Exception &exception) {
        noteTransportFailure(request, exception.displayText(), observation);
        return TryEnd::Broken;
    }
}

Caller::TryEnd
Caller::readAnswer(const Request &request, const Timing &timing, const Poco::Net::HTTPResponse &response, std::istream &body, Observation &observation)
{
    observation.m_status = response.getStatus();
    if (observation.m_status != StatusOk) {
        readErrorAnswer(observation.m_status, readBounded(body, MaximumErrorBytes), observation);
        observation.m_retryAfter = retryAfterOf(response);
        const bool refused = observation.m_outcome == Outcome::NotRun && (observation.m_status == StatusTooMany || observation.m_status == StatusUnavailable);
        return refused ? TryEnd::Refused : TryEnd::Final;
    }
    if (request.m_kind == RequestKind::Call) {
        const std::string text = readBounded(body, MaximumErrorBytes);
        const bool isWhole = response.getContentLength64() == Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH
            || text.size() == static_cast<std::size_t>(response.getContentLength64());
        if (!isWhole) {
            noteTransportFailure(request, "the answer was cut", observation);
            return TryEnd::Broken;
        }
        checkServiceAnswer(request, text, observation);
        return TryEnd::Final;
    }
    readLines(request, timing, body, observation);
    return observation.m_code == "cut" ? TryEnd::Broken : TryEnd::Final;
}

void Caller::readLines(const Request &request, const Timing &timing, std::istream &body, Observation &observation)
{
    AnswerCheck check(request);
    Core::Instant lastToken{};
    std::string line;
    bool goesOn = true;
    while (goesOn && std::getline(body, line) && line.size() <= MaximumLineBytes) {
        const std::uint64_t before = check.tokens();
        goesOn = check.onLine(line);
        if (check.tokens() == before) {
            continue;
        }
        const Core::Instant now = Core::Clock::now();
        if (before == 0) {
            observation.m_firstTokenMs = millisecondsBetween(timing.m_arrival, now);
        } else {
            observation.m_largestGapMs = std::max(observation.m_largestGapMs, millisecondsBetween(lastToken, now));
        }
        lastToken = now;
    }
    check.finish(observation);
}

}
