/// @file Implementation of the model engine stand-in.

#include "LibStandIn/Engine.h"

#include "LibCore/Digest.h"
#include "LibJson/Json.h"
#include "LibStandIn/FaultPage.h"
#include "LibStandIn/Tokens.h"

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>
#include <charconv>

namespace StandIn {

namespace {

constexpr std::size_t JournalCapacity = 500000;
constexpr std::size_t MaximumBodyBytes = 1 << 20;
constexpr std::uint64_t MaximumTokens = 100000;
constexpr double BytesPerMebibyte = 1 << 20;
constexpr Core::Duration HangPollInterval{50};
constexpr std::string_view ModelPrefix = "/models/";
constexpr std::string_view CancelPrefix = "/cancel/";
constexpr std::size_t ReadBytes = 65536;

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusInternal = 500;
constexpr int StatusUnavailable = 503;
constexpr int StatusInsufficientStorage = 507;

int statusOf(Core::ErrorCode code)
{
    switch (code) {
    case Core::ErrorCode::InvalidInput:
        return StatusBadRequest;
    case Core::ErrorCode::NotFound:
        return StatusNotFound;
    case Core::ErrorCode::Conflict:
        return StatusConflict;
    case Core::ErrorCode::Overloaded:
        return StatusInsufficientStorage;
    case Core::ErrorCode::Unavailable:
        return StatusUnavailable;
    default:
        return StatusInternal;
    }
}

std::string_view stateName(ModelState state)
{
    switch (state) {
    case ModelState::Loading:
        return "loading";
    case ModelState::Serving:
        return "serving";
    case ModelState::Draining:
        return "draining";
    }
    return "unknown";
}

Core::Result<EngineFaults> changeFaults(EngineFaults faults, const Poco::JSON::Object &object)
{
    BOOST_OUTCOME_TRYV(
        Json::refuseUnknownFields(object, {"slow_factor", "die_while_loading", "misreport_digest", "hang", "cut_answers_after_tokens", "refuse_loads"}));
    if (object.has("slow_factor")) {
        faults.m_slowFactor = BOOST_OUTCOME_TRYX(Json::numberOf(object, "slow_factor"));
    }
    if (object.has("die_while_loading")) {
        faults.m_dieWhileLoading = BOOST_OUTCOME_TRYX(Json::flagOf(object, "die_while_loading"));
    }
    if (object.has("misreport_digest")) {
        faults.m_misreportDigest = BOOST_OUTCOME_TRYX(Json::textOf(object, "misreport_digest"));
    }
    if (object.has("hang")) {
        faults.m_hang = BOOST_OUTCOME_TRYX(Json::flagOf(object, "hang"));
    }
    if (object.has("cut_answers_after_tokens")) {
        faults.m_cutAnswersAfterTokens = static_cast<std::int64_t>(BOOST_OUTCOME_TRYX(Json::numberOf(object, "cut_answers_after_tokens")));
    }
    if (object.has("refuse_loads")) {
        faults.m_refuseLoads = BOOST_OUTCOME_TRYX(Json::flagOf(object, "refuse_loads"));
    }
    return faults;
}

std::string showFaults(const EngineFaults &faults)
{
    Poco::JSON::Object object;
    object.set("slow_factor", faults.m_slowFactor);
    object.set("die_while_loading", faults.m_dieWhileLoading);
    object.set("misreport_digest", faults.m_misreportDigest);
    object.set("hang", faults.m_hang);
    object.set("cut_answers_after_tokens", faults.m_cutAnswersAfterTokens);
    object.set("refuse_loads", faults.m_refuseLoads);
    return Json::toLine(object);
}

Core::Result<std::uint64_t> fenceOf(const Poco::Net::HTTPServerRequest &request)
{
    const std::string text = request.get("Oriolerail-Fence", "");
    std::uint64_t fence = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), fence);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read fencing number", "", "the header Oriolerail-Fence is missing or not a number");
    }
    return fence;
}

std::string modelAnswer(const std::string &digest)
{
    Poco::JSON::Object object;
    object.set("digest", digest);
    object.set("state", "serving");
    return Json::toLine(object);
}

}

struct Engine::Generation
{
    GenerateRequest m_request;
    BatchTicket m_ticket;
    std::string m_actualDigest;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sent = 0; ///< Number of tokens written to the connection.
    bool m_isPrefixCached = false;
    EngineFaults m_faults;
};

Core::Result<GenerateRequest> parseGenerateRequest(const std::string &body)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(Json::parseObject(body));
    GenerateRequest request;
    request.m_request = BOOST_OUTCOME_TRYX(Json::textOf(*object, "request"));
    request.m_account = BOOST_OUTCOME_TRYX(Json::textOf(*object, "account"));
    request.m_digest = BOOST_OUTCOME_TRYX(Json::textOf(*object, "digest"));
    request.m_prompt = BOOST_OUTCOME_TRYX(Json::textOf(*object, "prompt"));
    const double tokens = BOOST_OUTCOME_TRYX(Json::numberOf(*object, "max_tokens"));
    if (!(tokens >= 0 && tokens <= MaximumTokens)) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read request", "", "max_tokens: expected at most " + std::to_string(MaximumTokens));
    }
    request.m_maximumTokens = static_cast<std::uint64_t>(tokens);
    if (object->has("priority")) {
        constexpr double priorityBound = 1000000;
        request.m_priority = static_cast<std::int32_t>(std::clamp(BOOST_OUTCOME_TRYX(Json::numberOf(*object, "priority")), -priorityBound, priorityBound));
    }
    return request;
}

Engine::Engine(EngineSettings settings)
    : m_settings(std::move(settings))
    , m_faults(changeFaults)
    , m_journal(JournalCapacity)
    , m_slots(SlotRules{m_settings.m_checksFencing, m_settings.m_slots})
    , m_batch(m_settings.m_capacity, m_settings.m_maximumQueued)
    , m_prefixes(m_settings.m_cachedPrefixes)
    , m_loadHistory(m_settings.m_reportLag)
{
}

void Engine::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
}

void Engine::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const std::string path = Poco::URI(request.getURI()).getPath();
    const std::string &method = request.getMethod();
    if (path == "/faults") {
        return answerFaultPage(m_faults, showFaults, request, response);
    }
    if (path == "/journal") {
        return answerJournal(response);
    }
    if (!waitWhileHanging()) {
        return dropConnection(request);
    }
    if (path == "/healthz") {
        return sendAnswer(response, StatusOk, "text/plain", "ok\n");
    }
    if (path == "/status") {
        return answerStatus(response);
    }
    if (path == "/generate" && method == "POST") {
        return generate(request, response);
    }
    if (path.starts_with(CancelPrefix) && method == "POST") {
        return cancel(path.substr(CancelPrefix.size()), response);
    }
    if (path.starts_with(ModelPrefix) && method == "PUT") {
        return load(path.substr(ModelPrefix.size()), request, response);
    }
    if (path.starts_with(ModelPrefix) && method == "DELETE") {
        return unload(path.substr(ModelPrefix.size()), request, response);
    }
    sendError(response, StatusNotFound, Core::makeError(Core::ErrorCode::NotFound, "find page", "", path));
}

bool Engine::waitWhileHanging()
{
    while (m_faults.current().m_hang) {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (m_changed.wait_for(lock, HangPollInterval, [this] { return m_stopping; })) {
            return false;
        }
    }
    return true;
}

void Engine::answerStatus(Poco::Net::HTTPServerResponse &response)
{
    Poco::JSON::Array models;
    LoadSample load;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const HeldModel &model : m_slots.models()) {
            Poco::JSON::Object object;
            object.set("digest", model.m_state == ModelState::Serving ? reportedVersion(model.m_actualDigest) : model.m_digest);
            object.set("state", std::string(stateName(model.m_state)));
            object.set("fence", model.m_fence);
            models.add(object);
        }
        load = m_loadHistory.reported(Core::Clock::now());
    }
    Poco::JSON::Object object;
    object.set("models", models);
    object.set("running", load.m_running);
    object.set("queued", load.m_queued);
    object.set("capacity", m_settings.m_capacity);
    sendAnswer(response, StatusOk, "application/json", Json::toLine(object));
}

void Engine::answerJournal(Poco::Net::HTTPServerResponse &response)
{
    response.setContentType("application/json");
    response.setChunkedTransferEncoding(true);
    std::ostream &output = response.send();
    output << "{\"dropped\":" << m_journal.dropped() << ",\"ran\":[";
    bool first = true;
    for (const EngineRun &run : m_journal.entries()) {
        Poco::JSON::Object object;
        object.set("request", run.m_request);
        object.set("account", run.m_account);
        object.set("question", run.m_question);
        object.set("digest", run.m_digest);
        object.set("tokens", run.m_tokens);
        object.set("completed", run.m_completed);
        output << (first ? "" : ",");
        object.stringify(output);
        first = false;
    }
    output << "]}\n";
    output.flush();
}

void Engine::load(const std::string &digest, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const Core::Result<std::uint64_t> fence = fenceOf(request);
    if (!fence) {
        discardBody(request);
        return sendError(response, StatusBadRequest, fence.error());
    }
    if (m_faults.current().m_refuseLoads) {
        discardBody(request);
        return sendError(response, StatusUnavailable, Core::makeError(Core::ErrorCode::Unavailable, "load model", "", "loads are refused"));
    }
    Core::Result<bool> needed = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        needed = m_slots.beginLoad(digest, fence.value());
    }
    if (!needed || !needed.value()) {
        discardBody(request);
    }
    if (!needed) {
        return sendError(response, statusOf(needed.error().m_code), needed.error());
    }
    if (!needed.value()) {
        return sendAnswer(response, StatusOk, "application/json", modelAnswer(digest));
    }
    const Core::Result<std::string> actualDigest = receiveWeights(request);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!actualDigest) {
            m_slots.abandonLoad(digest);
        } else {
            m_slots.finishLoad(digest, actualDigest.value());
        }
    }
    if (!actualDigest) {
        return dropConnection(request);
    }
    sendAnswer(response, StatusOk, "application/json", modelAnswer(reportedVersion(actualDigest.value())));
}

Core::Result<std::string> Engine::receiveWeights(Poco::Net::HTTPServerRequest &request)
{
    const std::int64_t expected = request.getContentLength64();
    std::istream &stream = request.stream();
    std::vector<char> buffer(ReadBytes);
    Core::Sha256 hash;
    std::int64_t received = 0;
    while (stream.read(buffer.data(), static_cast<std::streamsize>(buffer.size())), stream.gcount() > 0) {
        received += stream.gcount();
        hash.update(std::string_view(buffer.data(), static_cast<std::size_t>(stream.gcount())));
        if (m_faults.current().m_dieWhileLoading && received * 2 >= expected) {
            simulateCrash();
            return Core::makeError(Core::ErrorCode::Internal, "load model", "", "the engine died");
        }
    }
    if (received != expected) {
        return Core::makeError(Core::ErrorCode::Corrupt, "load model", "", "the weights ended early");
    }
    Generation loading;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        loading.m_incarnation = m_incarnation;
    }
    const double milliseconds = static_cast<double>(received) / BytesPerMebibyte * m_settings.m_loadMsPerMebibyte * m_faults.current().m_slowFactor;
    if (!sleepFor(loading, milliseconds)) {
        return Core::makeError(Core::ErrorCode::Cancelled, "load model", "", "the engine stops");
    }
    return hash.finishHex();
}

void Engine::unload(const std::string &digest, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const Core::Result<std::uint64_t> fence = fenceOf(request);
    if (!fence) {
        return sendError(response, StatusBadRequest, fence.error());
    }
    Core::Result<void> removed = Core::success();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        removed = m_slots.remove(digest, fence.value());
    }
    if (!removed) {
        return sendError(response, statusOf(removed.error().m_code), removed.error());
    }
    sendAnswer(response, StatusOk, "application/json", "{}\n");
}

void Engine::generate(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const Core::Result<std::string> body = readBody(request, MaximumBodyBytes);
    if (!body) {
        return sendError(response, StatusBadRequest, body.error());
    }
    const Core::Result<GenerateRequest> parsed = parseGenerateRequest(body.value());
    if (!parsed) {
        return sendError(response, StatusBadRequest, parsed.error());
    }
    Generation generation;
    generation.m_request = parsed.value();
    generation.m_faults = m_faults.current();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_batch.hasCapacity()) {
            return sendError(response, StatusUnavailable, Core::makeError(Core::ErrorCode::Overloaded, "generate", "", "the queue is full"));
        }
        const Core::Result<std::string> held = m_slots.acquire(generation.m_request.m_digest);
        if (!held) {
            return sendError(response, StatusNotFound, held.error());
        }
        generation.m_actualDigest = held.value();
        generation.m_incarnation = m_incarnation;
        generation.m_ticket = m_batch.enqueue(generation.m_request.m_priority);
        m_active.insert(generation.m_request.m_request);
        recordLoad();
    }
    if (!enterBatch(generation)) {
        return dropConnection(request);
    }
    stream(generation, request, response);
}

bool Engine::enterBatch(Generation &generation)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    bool started = false;
    m_changed.wait(lock, [this, &generation, &started] {
        if (shouldStop(generation)) {
            return true;
        }
        started = m_batch.tryStart(generation.m_ticket);
        return started;
    });
    if (started) {
        generation.m_isPrefixCached = m_prefixes.touch(generation.m_actualDigest, generation.m_request.m_prompt);
        recordLoad();
        // There may be another free place for the next request in the queue.
        m_changed.notify_all();
        return true;
    }
    m_batch.leaveQueue(generation.m_ticket);
    leaveBatch(generation);
    return false;
}

/// Called with m_mutex held.
void Engine::leaveBatch(const Generation &generation)
{
    if (generation.m_incarnation == m_incarnation) {
        m_slots.release(generation.m_request.m_digest);
    }
    m_active.erase(m_active.find(generation.m_request.m_request));
    if (!m_active.contains(generation.m_request.m_request)) {
        m_cancelled.erase(generation.m_request.m_request);
    }
    recordLoad();
    m_changed.notify_all();
}

void Engine::stream(Generation &generation, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    response.setContentType("application/x-ndjson");
    response.setChunkedTransferEncoding(true);
    response.set("Oriolerail-Version", reportedVersion(generation.m_actualDigest));
    bool completed = false;
    try {
        std::ostream &output = response.send();
        completed = sendTokens(generation, output);
        if (completed) {
            output << "{\"end\":true,\"tokens\":" << generation.m_sent << ",\"digest\":\"" << reportedVersion(generation.m_actualDigest) << "\"}\n";
            output.flush();
            completed = output.good();
        }
    } catch (const Poco::Exception &) {
        // The client closed the connection. The journal records the run as not completed.
        completed = false;
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_batch.finish();
        leaveBatch(generation);
    }
    const GenerateRequest &generateRequest = generation.m_request;
    m_journal.add(EngineRun{generateRequest.m_request,
                            generateRequest.m_account,
                            questionName(generateRequest.m_account, generateRequest.m_prompt),
                            generation.m_actualDigest,
                            generation.m_sent,
                            completed});
    if (!completed) {
        dropConnection(request);
    }
}

bool Engine::sendTokens(Generation &generation, std::ostream &output)
{
    const GenerateRequest &generateRequest = generation.m_request;
    const double slow = generation.m_faults.m_slowFactor;
    const double firstFactor = generation.m_isPrefixCached ? m_settings.m_cachedFirstTokenFactor : 1;
    const std::int64_t cutAfter = generation.m_faults.m_cutAnswersAfterTokens;
    for (std::uint64_t index = 0; index < generateRequest.m_maximumTokens; ++index) {
        const double milliseconds = index == 0 ? m_settings.m_firstTokenMs * firstFactor : m_settings.m_tokenMs;
        if (!sleepFor(generation, milliseconds * slow)) {
            return false;
        }
        if (cutAfter > 0 && index >= static_cast<std::uint64_t>(cutAfter)) {
            return false;
        }
        output << "{\"token\":\"" << generateToken(generateRequest.m_account, generateRequest.m_prompt, index, generation.m_actualDigest) << "\"}\n";
        output.flush();
        if (!output.good()) {
            return false;
        }
        ++generation.m_sent;
    }
    return true;
}

bool Engine::sleepFor(const Generation &generation, double milliseconds)
{
    const Core::Instant due = Core::Clock::now() + std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double, std::milli>(milliseconds));
    std::unique_lock<std::mutex> lock(m_mutex);
    return !m_changed.wait_until(lock, due, [this, &generation] { return shouldStop(generation); });
}

/// Called with m_mutex held.
bool Engine::shouldStop(const Generation &generation) const
{
    return m_stopping || generation.m_incarnation != m_incarnation || m_cancelled.contains(generation.m_request.m_request);
}

void Engine::cancel(const std::string &request, Poco::Net::HTTPServerResponse &response)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_active.contains(request)) {
            m_cancelled.insert(request);
        }
    }
    m_changed.notify_all();
    sendAnswer(response, StatusOk, "application/json", "{}\n");
}

void Engine::simulateCrash()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_incarnation;
        m_slots.clear();
        m_prefixes = PrefixCache(m_settings.m_cachedPrefixes);
    }
    m_changed.notify_all();
}

/// Called with m_mutex held.
void Engine::recordLoad()
{
    m_loadHistory.record(LoadSample{m_batch.running(), m_batch.queued()}, Core::Clock::now());
}

std::string Engine::reportedVersion(const std::string &actualDigest) const
{
    const std::string misreported = m_faults.current().m_misreportDigest;
    return misreported.empty() ? actualDigest : misreported;
}

}
