/// @file Plays a large service whose engines change versions in one failure domain, and checks how long callers wait.

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
constexpr Core::Duration Run{6000};
constexpr Core::Duration Settled{1500}; ///< Before it, what is sent does not count: the entries hear the first reports.
constexpr Core::Duration NearReports{180};
constexpr Core::Duration FarReports{500};
constexpr Core::Duration Late{1000}; ///< A wait after which an answer begins too late, and near its bound on a version that is replaced.

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

/// An engine that runs as many requests as it has slots, in order of arrival.
struct PlayedEngine
{
    std::string m_id;
    std::size_t m_domain = 0;
    bool m_isAway = false; ///< It loads other weights all the while.
    std::vector<Core::Instant> m_ends; ///< Of the requests that run.
    std::deque<std::pair<std::size_t, Core::Instant>> m_waiting; ///< Domain of the caller, and when the request came.
};

/// What an entry knows.
struct PlayedEntry
{
    std::size_t m_domain = 0;
    Placement::EndpointTracker m_book;
    Placement::SlotTracker m_ledger;
    Core::Random m_random{0};
};

struct PlayedService
{
    Fleet::EngineModel m_model = engineModel();
    std::map<std::string, Fleet::KnownEndpoint> m_endpoints;
    std::vector<PlayedEngine> m_engines;
    std::vector<PlayedEntry> m_entries;
    Core::Instant m_start = Core::Instant() + Core::Duration(1000000);
    std::array<std::size_t, Domains> m_sent{}; ///< By domain of the caller, once settled.
    std::array<std::size_t, Domains> m_late{}; ///< Of these the ones that waited too long.

    /// @p awayInFirst: engines of the first domain that are away.
    explicit PlayedService(std::size_t awayInFirst)
    {
        for (std::size_t domain = 0; domain < Domains; ++domain) {
            for (std::size_t index = 0; index < EnginesInDomain; ++index) {
                addEngine(domain, domain == 0 && index < awayInFirst);
            }
            for (std::size_t index = 0; index < EntriesInDomain; ++index) {
                m_entries.emplace_back();
                m_entries.back().m_domain = domain;
                m_entries.back().m_ledger.setShare(1.0 / (Domains * EntriesInDomain));
                m_entries.back().m_random = Core::Random(m_entries.size());
            }
        }
    }

    void addEngine(std::size_t domain, bool isAway)
    {
        PlayedEngine engine;
        engine.m_id = "engine-" + std::to_string(m_engines.size());
        engine.m_domain = domain;
        engine.m_isAway = isAway;
        Fleet::Endpoint &endpoint = m_endpoints[engine.m_id].m_endpoint;
        endpoint.m_id = engine.m_id;
        endpoint.m_service = "drafts";
        endpoint.m_slots = m_model.m_slots;
        endpoint.m_failureDomain = domainName(domain);
        m_engines.push_back(std::move(engine));
    }

    void report(const PlayedEngine &engine, bool isNear, Core::Instant now)
    {
        Placement::EngineReport report;
        report.m_running = static_cast<std::uint32_t>(engine.m_ends.size());
        report.m_waiting = static_cast<std::uint32_t>(engine.m_waiting.size());
        report.m_isLoading = engine.m_isAway;
        report.m_weights = {Fleet::LoadedWeights{"draft", 1, {}}};
        Placement::ReportedSlots places = Placement::reportedSlots(m_model, report.m_running, report.m_waiting, report.m_pace);
        places = engine.m_isAway ? Placement::ReportedSlots{} : places;
        for (PlayedEntry &entry : m_entries) {
            if ((entry.m_domain == engine.m_domain) == isNear) {
                entry.m_book.recordEngineReport(m_endpoints.at(engine.m_id).m_endpoint, report, now);
                entry.m_ledger.recordReport(engine.m_id, places, now);
            }
        }
    }

    void work(PlayedEngine &engine, Core::Instant now)
    {
        std::erase_if(engine.m_ends, [now](Core::Instant end) { return end <= now; });
        const std::int64_t interval = static_cast<std::int64_t>(Placement::saturatedIntervalMilliseconds(m_model));
        while (!engine.m_waiting.empty() && engine.m_ends.size() < m_model.m_slots) {
            const std::pair<std::size_t, Core::Instant> request = engine.m_waiting.front();
            engine.m_waiting.pop_front();
            engine.m_ends.push_back(now + Core::Duration(interval * m_model.m_slots));
            if (request.second >= m_start + Settled) {
                m_late[request.first] += now - request.second > Late ? 1 : 0;
            }
        }
    }

    void send(PlayedEntry &entry, Core::Instant now)
    {
        Placement::ChoiceRequest request;
        request.m_service = "drafts";
        request.m_model = "draft";
        request.m_size = {m_model.m_usualPromptTokens, m_model.m_usualAnswerTokens};
        const Placement::ChoiceView view{m_endpoints, entry.m_book, entry.m_ledger, m_model, domainName(entry.m_domain), now};
        const std::optional<Placement::Choice> choice = Placement::chooseEndpoint(request, view, entry.m_random).m_choice;
        if (!choice) {
            return;
        }
        entry.m_book.recordSent(choice->m_endpoint);
        entry.m_ledger.recordSent(choice->m_endpoint.m_id);
        const std::vector<PlayedEngine>::iterator engine =
            std::find_if(m_engines.begin(), m_engines.end(), [&choice](const PlayedEngine &candidate) { return candidate.m_id == choice->m_endpoint.m_id; });
        engine->m_waiting.emplace_back(entry.m_domain, now);
        m_sent[entry.m_domain] += now >= m_start + Settled ? 1 : 0;
    }

    /// @p utilization: of the engines that are not away.
    void play(double utilization)
    {
        const std::int64_t working = std::count_if(m_engines.begin(), m_engines.end(), [](const PlayedEngine &engine) { return !engine.m_isAway; });
        const double perSecond = utilization * static_cast<double>(working) * Placement::finishedPerSecond(m_model);
        const double perStep = perSecond / static_cast<double>(m_entries.size()) * std::chrono::duration<double>(Step).count();
        for (Core::Duration at{0}; at < Run; at += Step) {
            const Core::Instant now = m_start + at;
            for (std::size_t index = 0; index < m_engines.size(); ++index) {
                work(m_engines[index], now);
                const Core::Duration shifted = at + Core::Duration(10 * static_cast<std::int64_t>(index));
                if (shifted % NearReports < Step) {
                    report(m_engines[index], true, now);
                }
                if (shifted % FarReports < Step) {
                    report(m_engines[index], false, now);
                }
            }
            for (PlayedEntry &entry : m_entries) {
                if (entry.m_random.unit() < perStep) {
                    send(entry, now);
                }
            }
        }
    }
};

}

TEST_CASE("callers of a failure domain whose engines are mostly away wait no longer than others")
{
    // Guards against requests that queue at the last engines nearby while engines elsewhere have places.
    PlayedService service(EnginesInDomain - 9);
    service.play(0.8);
    for (std::size_t domain = 0; domain < Domains; ++domain) {
        INFO("domain " << domain << ": " << service.m_late[domain] << " of " << service.m_sent[domain] << " late");
        CHECK(service.m_sent[domain] > 300);
        CHECK(service.m_late[domain] * 20 <= service.m_sent[domain]);
    }
}

TEST_CASE("callers wait no longer for engines nearby than they would for any while all work")
{
    // Guards against bytes saved on links between regions at the cost of callers.
    PlayedService service(0);
    service.play(0.8);
    for (std::size_t domain = 0; domain < Domains; ++domain) {
        INFO("domain " << domain << ": " << service.m_late[domain] << " of " << service.m_sent[domain] << " late");
        CHECK(service.m_late[domain] * 20 <= service.m_sent[domain]);
    }
}
