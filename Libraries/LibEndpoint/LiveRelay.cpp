/// @file Implementation of LiveRelay.

#include "LibEndpoint/LiveRelay.h"
#include "LibEndpoint/EngineMessages.h"
#include "LibWire/Pack.h"

#include <glog/logging.h>

namespace Endpoint {

namespace {

constexpr Core::Duration MonitorInterval{50};
constexpr std::size_t MaximumLineBytes = 64 << 10;
constexpr std::size_t PlainFrameBytes = 64 << 10;
constexpr std::size_t MaximumFlushingBeforePrune = 64;
constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpTooManyRequests = 429;
constexpr int HttpUnavailable = 503;
constexpr const char *VersionHeader = "Oriolerail-Version";

AttemptTag tagOf(const Protocol::LiveRequest &request)
{
    return AttemptTag{request.m_attempt, request.m_key, request.m_agentIncarnation, request.m_agentReport};
}

Core::Error admissionError(Admission admission, const std::string &peer)
{
    const std::string step = "admit attempt";
    switch (admission) {
    case Admission::Duplicate:
        return Core::makeError(Core::ErrorCode::Ambiguous, step, peer, "the attempt arrived before; ask for its outcome");
    case Admission::KeyInUse:
        return Core::makeError(Core::ErrorCode::Conflict, step, peer, "another attempt has the key");
    case Admission::PossiblyForgotten:
        return Core::makeError(Core::ErrorCode::Ambiguous, step, peer, "the attempt may have been forgotten here");
    case Admission::OtherIncarnation:
        return Core::makeError(Core::ErrorCode::Unavailable, step, peer, "the attempt was meant for an earlier life of this agent");
    case Admission::Full:
        return Core::makeError(Core::ErrorCode::Overloaded, step, peer, "too many attempts are open");
    case Admission::Tombstoned:
    case Admission::Admitted:
        break;
    }
    return Core::makeError(Core::ErrorCode::Cancelled, step, peer, "the attempt was cancelled before it ran");
}

/// Returns true if @p error guarantees that the endpoint has not run the attempt.
bool provesNotExecuted(const Core::Error &error)
{
    return error.m_code != Core::ErrorCode::Ambiguous && error.m_code != Core::ErrorCode::Corrupt && error.m_code != Core::ErrorCode::Internal
        && error.m_code != Core::ErrorCode::Timeout;
}

}

bool RelaySettings::operator==(const RelaySettings &other) const
{
    return m_maximumBytesPerAnswer == other.m_maximumBytesPerAnswer && m_pool.m_maximumThreads == other.m_pool.m_maximumThreads
        && m_pool.m_maximumQueue == other.m_pool.m_maximumQueue && m_attemptLimits.m_maximumAttempts == other.m_attemptLimits.m_maximumAttempts;
}

RelaySettings readRelaySettings(Settings::Reader &reader)
{
    RelaySettings settings;
    settings.m_pool.m_maximumThreads = static_cast<std::size_t>(reader.integer("threads", 1, 1024, 64));
    settings.m_pool.m_maximumQueue = static_cast<std::size_t>(reader.integer("queue", 1, 65536, 256));
    settings.m_attemptLimits.m_maximumAttempts = static_cast<std::size_t>(reader.integer("remembered_attempts", 16, 1 << 20, 65536));
    settings.m_attemptLimits.m_maximumStoredAnswerBytes = static_cast<std::size_t>(reader.integer("stored_answer_bytes", 1024, 1 << 30, 16 << 20));
    return settings;
}

LiveRelay::LiveRelay(RelayParts parts)
    : m_parts(std::move(parts))
    , m_callsFinished(m_parts.m_metrics->counter("live_calls_total{end=\"finished\"}"))
    , m_callsFailed(m_parts.m_metrics->counter("live_calls_total{end=\"failed\"}"))
    , m_callsRefused(m_parts.m_metrics->counter("live_calls_total{end=\"refused\"}"))
    , m_callsCancelled(m_parts.m_metrics->counter("live_calls_total{end=\"cancelled\"}"))
    , m_versionMismatches(m_parts.m_metrics->counter("live_version_mismatches_total"))
    , m_outcomesAsked(m_parts.m_metrics->counter("live_outcomes_asked_total"))
    , m_outcomesLost(m_parts.m_metrics->counter("live_outcomes_lost_total"))
    , m_firstFrameLatency(m_parts.m_metrics->latency("live_first_frame_seconds"))
    , m_attempts(m_parts.m_self.m_incarnation, m_parts.m_settings.m_attemptLimits)
    , m_pool(m_parts.m_settings.m_pool, [this](Job &job) { run(job); })
{
}

LiveRelay::~LiveRelay()
{
    stop();
}

void LiveRelay::start()
{
    m_monitorThread = std::thread([this] { monitorAttempts(); });
}

void LiveRelay::stop()
{
    refuseQueued(); // First, or an aborted attempt makes room for a queued one.
    {
        const std::lock_guard<std::mutex> lock(m_runningMutex);
        m_stopping = true;
        for (const RunningAttempt &attempt : m_runningAttempts) {
            attempt.m_abortHandle->abort();
        }
    }
    m_runningChanged.notify_all();
    m_pool.stop();
    if (m_monitorThread.joinable()) {
        m_monitorThread.join();
    }
}

void LiveRelay::refuseQueued()
{
    for (const Job &job : m_pool.close()) {
        {
            const std::lock_guard<std::mutex> lock(m_attemptsMutex);
            m_attempts.recordNotRun(job.m_request.m_attempt);
        }
        m_callsRefused.add();
        job.m_responder.fail(Core::makeError(Core::ErrorCode::Unavailable, "begin attempt", m_parts.m_self.m_id, "the agent ends; it did not run"));
    }
}

void LiveRelay::onCall(const Wire::IncomingCall &call)
{
    const Core::Result<Protocol::LiveRequest> request = Wire::unpack<Protocol::LiveRequest>(call.m_body, call.m_peer);
    if (!request) {
        m_callsRefused.add();
        call.m_responder.fail(request.error());
        return;
    }
    const Core::Result<void> admitted = admit(request.value());
    if (!admitted) {
        m_callsRefused.add();
        call.m_responder.fail(admitted.error());
        return;
    }
    Job job{request.value(), call.m_responder, {}, std::make_shared<AbortHandle>()};
    if (call.m_timeout.count() > 0) {
        job.m_deadline = Core::Clock::now() + call.m_timeout;
    }
    if (!m_pool.tryPush(std::move(job), request.value().m_priority)) {
        const Core::Error error = Core::makeError(Core::ErrorCode::Overloaded, "queue attempt", m_parts.m_self.m_id, "the queue is full");
        const std::lock_guard<std::mutex> lock(m_attemptsMutex);
        m_attempts.recordNotRun(request.value().m_attempt);
        m_callsRefused.add();
        call.m_responder.fail(error);
    }
}

Core::Result<void> LiveRelay::admit(const Protocol::LiveRequest &request)
{
    if (m_leaving) {
        return Core::makeError(Core::ErrorCode::Unavailable, "admit attempt", m_parts.m_self.m_id, "leaving");
    }
    if (request.m_service != m_parts.m_self.m_service) {
        return Core::makeError(Core::ErrorCode::NotFound, "admit attempt", m_parts.m_self.m_id, "this is an instance of " + m_parts.m_self.m_service);
    }
    if (request.m_attempt.empty()) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "admit attempt", m_parts.m_self.m_id, "the attempt has no name");
    }
    if (request.m_repeatable) {
        return Core::success();
    }
    const std::lock_guard<std::mutex> lock(m_attemptsMutex);
    const Admission admission = m_attempts.admit(tagOf(request));
    if (admission != Admission::Admitted) {
        return admissionError(admission, m_parts.m_self.m_id);
    }
    return Core::success();
}

void LiveRelay::onOutcomeRequest(const Wire::IncomingCall &call)
{
    m_outcomesAsked.add();
    const Core::Result<Protocol::OutcomeRequest> request = Wire::unpack<Protocol::OutcomeRequest>(call.m_body, call.m_peer);
    if (!request) {
        call.m_responder.fail(request.error());
        return;
    }
    const Protocol::OutcomeRequest &outcomeRequest = request.value();
    Protocol::OutcomeAnswer answer;
    {
        const std::lock_guard<std::mutex> lock(m_attemptsMutex);
        answer =
            m_attempts.outcome(AttemptTag{outcomeRequest.m_attempt, outcomeRequest.m_key, outcomeRequest.m_agentIncarnation, outcomeRequest.m_agentReport});
    }
    call.m_responder.reply(Wire::pack(answer));
}

void LiveRelay::run(Job &job)
{
    const Core::Result<void> begun = beginAttempt(job);
    if (!begun) {
        m_callsCancelled.add();
        job.m_responder.fail(begun.error());
        return;
    }
    const std::list<RunningAttempt>::iterator attempt = addRunningAttempt(job);
    const bool isModel = m_parts.m_client->settings().m_kind == EndpointKind::Model;
    const Core::Result<void> result = isModel ? runModel(job) : runPlain(job);
    finishJob(job, result);
    removeRunningAttempt(attempt);
}

Core::Result<void> LiveRelay::beginAttempt(const Job &job)
{
    const Protocol::LiveRequest &request = job.m_request;
    const std::lock_guard<std::mutex> lock(m_attemptsMutex);
    if (job.m_responder.isCancelled()) {
        m_attempts.cancel(tagOf(request));
        return Core::makeError(Core::ErrorCode::Cancelled, "begin attempt", m_parts.m_self.m_id, "the entry no longer waits; it did not run");
    }
    if (job.m_deadline && Core::Clock::now() >= *job.m_deadline) {
        m_attempts.recordNotRun(request.m_attempt);
        return Core::makeError(Core::ErrorCode::Cancelled, "begin attempt", m_parts.m_self.m_id, "its time ran out in the queue; it did not run");
    }
    if (!request.m_repeatable && !m_attempts.tryBegin(request.m_attempt)) {
        return Core::makeError(Core::ErrorCode::Cancelled, "begin attempt", m_parts.m_self.m_id, "cancelled in the queue; it did not run");
    }
    return Core::success();
}

Core::Result<void> LiveRelay::runModel(Job &job)
{
    const std::optional<std::string> contentDigest = m_parts.m_host->servedContentDigest(job.m_request.m_digest);
    if (!contentDigest) {
        return Core::makeError(Core::ErrorCode::NotFound, "find version", m_parts.m_self.m_id, "the engine does not serve it");
    }
    const std::unique_ptr<Exchange> exchange = BOOST_OUTCOME_TRYX(m_parts.m_client->generate(job.m_request, *contentDigest, job.m_abortHandle));
    if (exchange->status() != HttpOk) {
        const bool isFull = exchange->status() == HttpUnavailable || exchange->status() == HttpTooManyRequests;
        const Core::ErrorCode otherCode = exchange->status() == HttpNotFound ? Core::ErrorCode::NotFound : Core::ErrorCode::Ambiguous;
        const std::string detail = "status " + std::to_string(exchange->status());
        return Core::makeError(isFull ? Core::ErrorCode::Overloaded : otherCode, "generate", m_parts.m_self.m_id, detail);
    }
    if (exchange->header(VersionHeader) != *contentDigest) {
        m_parts.m_host->onVersionMismatch(*contentDigest);
        m_versionMismatches.add();
        job.m_abortHandle->abort();
        return Core::makeError(Core::ErrorCode::Corrupt, "generate", m_parts.m_self.m_id, "the engine names the version " + exchange->header(VersionHeader));
    }
    return streamTokens(job, *exchange, *contentDigest);
}

Core::Result<void> LiveRelay::streamTokens(Job &job, Exchange &exchange, const std::string &contentDigest)
{
    const Core::Instant start = Core::Clock::now();
    AnswerFramer framer(job.m_request.m_attempt, job.m_request.m_digest, HttpOk);
    std::string completeAnswer;
    std::uint64_t tokens = 0;
    while (true) {
        const std::optional<std::string> text = BOOST_OUTCOME_TRYX(exchange.readLine(MaximumLineBytes));
        if (!text) {
            return Core::makeError(Core::ErrorCode::Ambiguous, "generate", m_parts.m_self.m_id, "the engine cut its answer");
        }
        const EngineLine line = BOOST_OUTCOME_TRYX(parseEngineLine(*text, m_parts.m_self.m_id));
        if (line.m_isEnd) {
            const bool isOtherVersion = !line.m_contentDigest.empty() && line.m_contentDigest != contentDigest;
            if (isOtherVersion) {
                m_parts.m_host->onVersionMismatch(contentDigest);
                m_versionMismatches.add();
            }
            if (isOtherVersion || line.m_tokens != tokens) {
                return Core::makeError(Core::ErrorCode::Corrupt, "generate", m_parts.m_self.m_id, "the end of the answer does not match the rest");
            }
            break;
        }
        if (tokens++ == 0) {
            m_firstFrameLatency.record(Core::secondsBetween(start, Core::Clock::now()));
        }
        if (!job.m_request.m_repeatable) {
            completeAnswer += line.m_token;
        }
        BOOST_OUTCOME_TRYV(sendFrame(job, framer.dataFrame(line.m_token, load())));
    }
    if (!job.m_request.m_repeatable) {
        const std::lock_guard<std::mutex> lock(m_attemptsMutex);
        m_attempts.recordAnswer(job.m_request.m_attempt, HttpOk, std::move(completeAnswer));
    }
    return sendFrame(job, framer.endFrame(load()));
}

Core::Result<void> LiveRelay::runPlain(Job &job)
{
    const std::unique_ptr<Exchange> exchange = BOOST_OUTCOME_TRYX(m_parts.m_client->call(job.m_request, job.m_abortHandle));
    const std::string body = BOOST_OUTCOME_TRYX(exchange->readAll(m_parts.m_settings.m_maximumBytesPerAnswer));
    if (!job.m_request.m_repeatable) {
        const std::lock_guard<std::mutex> lock(m_attemptsMutex);
        m_attempts.recordAnswer(job.m_request.m_attempt, exchange->status(), body);
    }
    AnswerFramer framer(job.m_request.m_attempt, "", exchange->status());
    for (std::size_t offset = 0; offset < body.size(); offset += PlainFrameBytes) {
        BOOST_OUTCOME_TRYV(sendFrame(job, framer.dataFrame(body.substr(offset, PlainFrameBytes), load())));
    }
    return sendFrame(job, framer.endFrame(load()));
}

Core::Result<void> LiveRelay::sendFrame(const Job &job, const Protocol::AnswerFrame &frame)
{
    std::string bytes = Wire::pack(frame);
    m_parts.m_host->onLiveBytes(bytes.size());
    if (!job.m_responder.send(std::move(bytes)) && job.m_request.m_repeatable) {
        return Core::makeError(Core::ErrorCode::Cancelled, "send answer", m_parts.m_self.m_id, "the entry no longer waits");
    }
    return Core::success();
}

void LiveRelay::finishJob(const Job &job, const Core::Result<void> &result)
{
    if (result) {
        m_callsFinished.add();
        job.m_responder.finish();
        return;
    }
    if (!job.m_request.m_repeatable) {
        const std::lock_guard<std::mutex> lock(m_attemptsMutex);
        if (provesNotExecuted(result.error())) {
            m_attempts.recordNotRun(job.m_request.m_attempt);
        } else {
            m_attempts.recordLostAnswer(job.m_request.m_attempt);
            m_outcomesLost.add();
        }
    }
    const bool cancelled = job.m_responder.isCancelled();
    (cancelled ? m_callsCancelled : m_callsFailed).add();
    cancelAtEngine(job);
    job.m_responder.fail(result.error());
}

void LiveRelay::cancelAtEngine(const Job &job)
{
    const bool mayStillBeRunning = m_parts.m_client->settings().m_kind == EndpointKind::Model && job.m_request.m_repeatable
        && (job.m_abortHandle->isAborted() || job.m_responder.isCancelled());
    if (!mayStillBeRunning) {
        return;
    }
    const Core::Result<void> cancelled = m_parts.m_client->cancel(job.m_request.m_attempt);
    if (!cancelled) {
        // Not an error: the engine only wastes work, because the answer can no longer reach the caller.
        VLOG(1) << cancelled.error();
    }
}

void LiveRelay::monitorAttempts()
{
    std::unique_lock<std::mutex> lock(m_runningMutex);
    while (!m_stopping) {
        if (m_runningAttempts.empty()) {
            m_runningChanged.wait(lock, [this] { return m_stopping || !m_runningAttempts.empty(); });
            continue;
        }
        const Core::Instant now = Core::Clock::now();
        for (const RunningAttempt &attempt : m_runningAttempts) {
            const bool isLate = attempt.m_deadline && now >= *attempt.m_deadline;
            if (attempt.m_repeatable && (isLate || attempt.m_responder.isCancelled())) {
                attempt.m_abortHandle->abort();
            }
        }
        m_runningChanged.wait_for(lock, MonitorInterval, [this] { return m_stopping; });
    }
}

std::list<LiveRelay::RunningAttempt>::iterator LiveRelay::addRunningAttempt(const Job &job)
{
    const std::lock_guard<std::mutex> lock(m_runningMutex);
    m_runningAttempts.push_back(RunningAttempt{job.m_responder, job.m_deadline, job.m_abortHandle, job.m_request.m_repeatable});
    if (m_stopping) {
        job.m_abortHandle->abort();
    }
    m_runningChanged.notify_all();
    return std::prev(m_runningAttempts.end());
}

void LiveRelay::removeRunningAttempt(std::list<RunningAttempt>::iterator attempt)
{
    const std::lock_guard<std::mutex> lock(m_runningMutex);
    m_flushingResponders.push_back(attempt->m_responder);
    m_runningAttempts.erase(attempt);
    if (m_flushingResponders.size() > MaximumFlushingBeforePrune) {
        std::erase_if(m_flushingResponders, [](const Wire::Responder &responder) { return responder.isCancelled(); });
    }
}

void LiveRelay::startLeaving()
{
    m_leaving = true;
}

bool LiveRelay::isDrained() const
{
    if (m_pool.queued() > 0 || m_pool.running() > 0) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(m_runningMutex);
    for (const Wire::Responder &responder : m_flushingResponders) {
        if (!responder.isCancelled()) {
            return false;
        }
    }
    return true;
}

Protocol::EndpointLoad LiveRelay::load() const
{
    Protocol::EndpointLoad load;
    load.m_running = static_cast<std::uint32_t>(m_pool.running());
    load.m_queued = static_cast<std::uint32_t>(m_pool.queued());
    load.m_capacity = m_parts.m_host->capacity();
    return load;
}

Poco::JSON::Object::Ptr LiveRelay::dump() const
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("leaving", m_leaving.load());
    object->set("running", m_pool.running());
    object->set("queued", m_pool.queued());
    object->set("threads", m_pool.threads());
    const std::lock_guard<std::mutex> lock(m_attemptsMutex);
    object->set("remembered_attempts", m_attempts.rememberedAttempts());
    object->set("open_attempts", m_attempts.openAttempts());
    object->set("stored_answer_bytes", m_attempts.storedAnswerBytes());
    return object;
}

}
