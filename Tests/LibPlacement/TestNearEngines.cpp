/// @file Simulates a large service in which the engines of one failure domain change versions, and checks how long requests wait.

#include "LibPlacement/Admission.h"
#include "LibPlacement/Choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

namespace {

constexpr std::size_t Domains = 5;
constexpr std::size_t EntriesInDomain = 30;
constexpr std::size_t EnginesInDomain = 31;
constexpr Core::Duration Step{10};
constexpr Core::Duration SimulatedTime{6000};
constexpr Core::Duration Settled{1500}; ///< Requests before this time are not counted, because the entries are still receiving the first reports.
constexpr Core::Duration NearReportInterval{180};
constexpr Core::Duration RemoteReportInterval{500};
constexpr Core::Duration LateWait{1000}; ///< A longer wait is late: the answer would begin too late, and near the deadline of a version that is being replaced.

Fleet::EngineModel engineModel()
{
    Fleet::EngineModel engine;
    engine.m_slots = 8;
    engine.m_stepMilliseconds = 13.9;
    engine.m_promptTokensPerSecond = 13800;
    engine.m_usualPromptTokens = 979;
    engine.m_usualAnswerTokens = 71;
    return engine;
}

std::string domainName(std::size_t domain)
{
    return "domain-" + std::to_string(domain);
}

/// An engine that runs requests in its slots in order of arrival.
struct SimulatedEngine
{
    std::string m_id;
    std::size_t m_domain = 0;
    bool m_isLoading = false; ///< The engine is loading other weights during the whole simulation.
    std::vector<Core::Instant> m_ends; ///< End times of the running requests.
    std::deque<std::pair<std::size_t, Core::Instant>> m_waiting; ///< Domain of the entry and arrival time of each waiting request.
};

/// State of an entry.
struct SimulatedEntry
{
    std::size_t m_domain = 0;
    Placement::EndpointTracker m_endpointTracker;
    Placement::SlotTracker m_slotTracker;
    Core::Random m_random{0};
};

struct SimulatedService
{
    Fleet::EngineModel m_model = engineModel();
    std::map<std::string, Fleet::KnownEndpoint> m_endpoints;
    std::vector<SimulatedEngine> m_engines;
    std::vector<SimulatedEntry> m_entries;
    Placement::RequestLimits m_requestLimits{Placement::LimitHolder{}}; ///< No engine states a limit.
    std::set<std::string> m_evacuatedDomains;
    Placement::ColdBudget m_coldBudget{Placement::LimitHolder{"self", ""}, {}, Core::Instant()};
    Core::Instant m_start = Core::Instant() + Core::Duration(1000000);
    std::array<std::size_t, Domains> m_sent{}; ///< Requests after the Settled time, by domain of the entry.
    std::array<std::size_t, Domains> m_late{}; ///< Those of them that were late.

    /// @p loadingInFirst: number of engines of the first domain that are loading.
    explicit SimulatedService(std::size_t loadingInFirst)
    {
        for (std::size_t domain = 0; domain < Domains; ++domain) {
            for (std::size_t index = 0; index < EnginesInDomain; ++index) {
                addEngine(domain, domain == 0 && index < loadingInFirst);
            }
            for (std::size_t index = 0; index < EntriesInDomain; ++index) {
                m_entries.emplace_back();
                m_entries.back().m_domain = domain;
                m_entries.back().m_slotTracker.setShare(1.0 / (Domains * EntriesInDomain));
                m_entries.back().m_random = Core::Random(m_entries.size());
            }
        }
    }

    void addEngine(std::size_t domain, bool isLoading)
    {
        SimulatedEngine engine;
        engine.m_id = "engine-" + std::to_string(m_engines.size());
        engine.m_domain = domain;
        engine.m_isLoading = isLoading;
        Fleet::Endpoint &endpoint = m_endpoints[engine.m_id].m_endpoint;
        endpoint.m_id = engine.m_id;
        endpoint.m_service = "drafts";
        endpoint.m_slots = m_model.m_slots;
        endpoint.m_failureDomain = domainName(domain);
        m_engines.push_back(std::move(engine));
    }

    void report(const SimulatedEngine &engine, bool isNear, Core::Instant now)
    {
        Placement::EngineReport report;
        report.m_running = static_cast<std::uint32_t>(engine.m_ends.size());
        report.m_waiting = static_cast<std::uint32_t>(engine.m_waiting.size());
        report.m_isLoading = engine.m_isLoading;
        report.m_weights = {Fleet::LoadedWeights{"draft", 1, {}}};
        Placement::ReportedSlots slots = Placement::reportedSlots(m_model, report.m_running, report.m_waiting, report.m_pace);
        slots = engine.m_isLoading ? Placement::ReportedSlots{} : slots;
        for (SimulatedEntry &entry : m_entries) {
            if ((entry.m_domain == engine.m_domain) == isNear) {
                entry.m_endpointTracker.recordEngineReport(m_endpoints.at(engine.m_id).m_endpoint, report, now);
                entry.m_slotTracker.recordReport(engine.m_id, slots, now);
            }
        }
    }

    void runRequests(SimulatedEngine &engine, Core::Instant now)
    {
        std::erase_if(engine.m_ends, [now](Core::Instant end) { return end <= now; });
        const std::int64_t interval = static_cast<std::int64_t>(Placement::saturatedIntervalMilliseconds(m_model));
        while (!engine.m_waiting.empty() && engine.m_ends.size() < m_model.m_slots) {
            const std::pair<std::size_t, Core::Instant> request = engine.m_waiting.front();
            engine.m_waiting.pop_front();
            engine.m_ends.push_back(now + Core::Duration(interval * m_model.m_slots));
            if (request.second >= m_start + Settled) {
                m_late[request.first] += now - request.second > LateWait ? 1 : 0;
            }
        }
    }

    void send(SimulatedEntry &entry, Core::Instant now)
    {
        Placement::ChoiceRequest request;
        request.m_service = "drafts";
        request.m_model = "draft";
        request.m_size = {m_model.m_usualPromptTokens, m_model.m_usualAnswerTokens};
        const Placement::ChoiceView view{m_endpoints,
                                         entry.m_endpointTracker,
                                         entry.m_slotTracker,
                                         m_requestLimits,
                                         m_model,
                                         domainName(entry.m_domain),
                                         now,
                                         m_evacuatedDomains,
                                         m_coldBudget};
        const std::optional<Placement::Choice> choice = Placement::chooseEndpoint(request, view, entry.m_random).m_choice;
        if (!choice) {
            return;
        }
        entry.m_endpointTracker.recordSent(choice->m_endpoint, now);
        entry.m_slotTracker.recordSent(choice->m_endpoint.m_id);
        const std::vector<SimulatedEngine>::iterator engine =
            std::find_if(m_engines.begin(), m_engines.end(), [&choice](const SimulatedEngine &candidate) { return candidate.m_id == choice->m_endpoint.m_id; });
        engine->m_waiting.emplace_back(entry.m_domain, now);
        m_sent[entry.m_domain] += now >= m_start + Settled ? 1 : 0;
    }

    /// @p utilization: utilization of the engines that are not loading, from 0 to 1.
    void simulate(double utilization)
    {
        const std::int64_t serving = std::count_if(m_engines.begin(), m_engines.end(), [](const SimulatedEngine &engine) { return !engine.m_isLoading; });
        const double perSecond = utilization * static_cast<double>(serving) * Placement::finishedPerSecond(m_model);
        const double perStep = perSecond / static_cast<double>(m_entries.size()) * std::chrono::duration<double>(Step).count();
        for (Core::Duration at{0}; at < SimulatedTime; at += Step) {
            const Core::Instant now = m_start + at;
            for (std::size_t index = 0; index < m_engines.size(); ++index) {
                runRequests(m_engines[index], now);
                const Core::Duration shifted = at + Core::Duration(10 * static_cast<std::int64_t>(index));
                if (shifted % NearReportInterval < Step) {
                    report(m_engines[index], true, now);
                }
                if (shifted % RemoteReportInterval < Step) {
                    report(m_engines[index], false, now);
                }
            }
            for (SimulatedEntry &entry : m_entries) {
                if (entry.m_random.unit() < perStep) {
                    send(entry, now);
                }
            }
        }
    }
};

}

TEST_CASE("requests in a failure domain whose engines are mostly loading are not late more often than elsewhere")
{
    // Guards against requests that queue at the last local engines while engines in other domains have free slots.
    SimulatedService service(EnginesInDomain - 9);
    service.simulate(0.8);
    for (std::size_t domain = 0; domain < Domains; ++domain) {
        INFO("domain " << domain << ": " << service.m_late[domain] << " of " << service.m_sent[domain] << " late");
        CHECK(service.m_sent[domain] > 300);
        CHECK(service.m_late[domain] * 20 <= service.m_sent[domain]);
    }
}

TEST_CASE("preferring local engines does not make requests late while all engines serve")
{
    // Guards against saving traffic between regions at the cost of longer waits.
    SimulatedService service(0);
    service.simulate(0.8);
    for (std::size_t domain = 0; domain < Domains; ++domain) {
        INFO("domain " << domain << ": " << service.m_late[domain] << " of " << service.m_sent[domain] << " late");
        CHECK(service.m_late[domain] * 20 <= service.m_sent[domain]);
    }
}
