/// @file Implementation of the plain service stand-in.

#include "LibStandIn/PlainService.h"

#include "LibJson/Json.h"
#include "LibStandIn/FaultPage.h"

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>

namespace StandIn {

namespace {

constexpr std::size_t JournalCapacity = 500000;
constexpr std::size_t MaximumBodyBytes = 1 << 20;
constexpr std::int64_t MaximumCount = 100000;
constexpr std::size_t MaximumServices = 4096;
constexpr double MaximumMilliseconds = 600000;
constexpr int MaximumThreadsLimit = 20000;
constexpr Core::Duration HangPollInterval{50};

constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusUnavailable = 503;

ServiceSettings readService(Settings::Reader &reader, const ServiceSettings &defaults)
{
    ServiceSettings settings = defaults;
    settings.m_capacity = static_cast<std::uint32_t>(reader.integer("capacity", 1, MaximumCount, defaults.m_capacity));
    settings.m_maximumQueued = static_cast<std::uint32_t>(reader.integer("maximum_queued", 0, MaximumCount, defaults.m_maximumQueued));
    settings.m_workMs = reader.number("work_ms", 0, MaximumMilliseconds, defaults.m_workMs);
    return settings;
}

int defaultThreads(const std::vector<ServiceSettings> &services)
{
    constexpr int spare = 16;
    std::int64_t threads = spare;
    for (const ServiceSettings &service : services) {
        threads += service.m_capacity + std::int64_t(service.m_maximumQueued);
    }
    return static_cast<int>(std::min<std::int64_t>(threads, MaximumThreadsLimit));
}

Core::Result<ServiceFaults> changeFaults(ServiceFaults faults, const Poco::JSON::Object &object)
{
    BOOST_OUTCOME_TRYV(Json::refuseUnknownFields(object, {"lose_answers", "slow_ms", "hang", "refuse"}));
    if (object.has("lose_answers")) {
        faults.m_loseAnswers = BOOST_OUTCOME_TRYX(Json::flagOf(object, "lose_answers"));
    }
    if (object.has("slow_ms")) {
        faults.m_slowMs = BOOST_OUTCOME_TRYX(Json::numberOf(object, "slow_ms"));
    }
    if (object.has("hang")) {
        faults.m_hang = BOOST_OUTCOME_TRYX(Json::flagOf(object, "hang"));
    }
    if (object.has("refuse")) {
        faults.m_refuse = BOOST_OUTCOME_TRYX(Json::flagOf(object, "refuse"));
    }
    return faults;
}

std::string showFaults(const ServiceFaults &faults)
{
    Poco::JSON::Object object;
    object.set("lose_answers", faults.m_loseAnswers);
    object.set("slow_ms", faults.m_slowMs);
    object.set("hang", faults.m_hang);
    object.set("refuse", faults.m_refuse);
    return Json::toLine(object);
}

}

ServiceProgramSettings readServiceProgramSettings(Settings::Reader &reader)
{
    ServiceProgramSettings settings;
    ServiceSettings common = readService(reader, ServiceSettings{});
    if (reader.has("services")) {
        reader.list("services", MaximumServices, [&settings, &common](Settings::Reader &item) {
            ServiceSettings service = readService(item, common);
            service.m_listen = item.address("listen");
            settings.m_services.push_back(service);
        });
    } else {
        common.m_listen = reader.address("listen");
        settings.m_services.push_back(common);
    }
    settings.m_maximumThreads = static_cast<int>(reader.integer("maximum_threads", 2, MaximumThreadsLimit, defaultThreads(settings.m_services)));
    return settings;
}

PlainService::PlainService(ServiceSettings settings)
    : m_settings(std::move(settings))
    , m_faults(changeFaults)
    , m_journal(JournalCapacity)
    , m_calls(m_settings.m_capacity, m_settings.m_maximumQueued)
{
}

void PlainService::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
}

void PlainService::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const std::string path = Poco::URI(request.getURI()).getPathEtc();
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
    perform(path, request, response);
}

bool PlainService::waitWhileHanging()
{
    while (m_faults.current().m_hang) {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (m_changed.wait_for(lock, HangPollInterval, [this] { return m_stopping; })) {
            return false;
        }
    }
    return true;
}

void PlainService::answerStatus(Poco::Net::HTTPServerResponse &response)
{
    Poco::JSON::Object object;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        object.set("running", m_calls.running());
        object.set("queued", m_calls.queued());
    }
    object.set("models", Poco::JSON::Array());
    object.set("capacity", m_settings.m_capacity);
    sendAnswer(response, StatusOk, "application/json", Json::toLine(object));
}

void PlainService::answerJournal(Poco::Net::HTTPServerResponse &response)
{
    response.setContentType("application/json");
    response.setChunkedTransferEncoding(true);
    std::ostream &output = response.send();
    output << "{\"dropped\":" << m_journal.dropped() << ",\"effects\":[";
    bool first = true;
    for (const ServiceEffect &effect : m_journal.entries()) {
        Poco::JSON::Object object;
        object.set("effect", effect.m_effect);
        object.set("key", effect.m_key);
        object.set("attempt", effect.m_attempt);
        object.set("account", effect.m_account);
        object.set("path", effect.m_path);
        output << (first ? "" : ",");
        object.stringify(output);
        first = false;
    }
    output << "]}\n";
    output.flush();
}

void PlainService::perform(const std::string &path, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const Core::Result<std::string> body = readBody(request, MaximumBodyBytes);
    if (!body) {
        return sendError(response, StatusBadRequest, body.error());
    }
    const ServiceFaults faults = m_faults.current();
    bool full = faults.m_refuse;
    if (full || !acquireSlot(full)) {
        return full ? sendError(response, StatusUnavailable, Core::makeError(Core::ErrorCode::Unavailable, "perform", "", "refused; nothing was done"))
                    : dropConnection(request);
    }
    const bool finished = sleepFor(m_settings.m_workMs + faults.m_slowMs);
    std::uint64_t number = 0;
    if (finished) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        number = ++m_effects;
    }
    releaseSlot();
    if (!finished) {
        return dropConnection(request);
    }
    m_journal.add(
        ServiceEffect{number, request.get("Idempotency-Key", ""), request.get("Oriolerail-Attempt", ""), request.get("Oriolerail-Account", ""), path});
    if (faults.m_loseAnswers) {
        return dropConnection(request);
    }
    Poco::JSON::Object object;
    object.set("effect", number);
    object.set("echo", body.value());
    sendAnswer(response, StatusOk, "application/json", Json::toLine(object));
}

bool PlainService::acquireSlot(bool &full)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    if (!m_calls.hasCapacity()) {
        full = true;
        return false;
    }
    const BatchTicket ticket = m_calls.enqueue(0);
    bool started = false;
    m_changed.wait(lock, [this, &ticket, &started] {
        if (m_stopping) {
            return true;
        }
        started = m_calls.tryStart(ticket);
        return started;
    });
    if (!started) {
        m_calls.leaveQueue(ticket);
    }
    return started;
}

void PlainService::releaseSlot()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_calls.finish();
    }
    m_changed.notify_all();
}

bool PlainService::sleepFor(double milliseconds)
{
    const Core::Instant due = Core::Clock::now() + std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double, std::milli>(milliseconds));
    std::unique_lock<std::mutex> lock(m_mutex);
    return !m_changed.wait_until(lock, due, [this] { return m_stopping; });
}

}
