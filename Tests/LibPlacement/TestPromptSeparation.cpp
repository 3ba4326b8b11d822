/// @file Plays prompts of very different lengths on the same engines and checks what callers with short and with long prompts get, with and without separation.

#include "LibPlacement/Admission.h"
#include "LibPlacement/Choice.h"
#include "LibPlacement/PromptSeparation.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>

namespace {

constexpr std::size_t Engines = 36;
constexpr std::size_t Entries = 12;
constexpr int StepsOfAPass = 5;
constexpr Core::Duration ReportInterval{500};
constexpr std::int64_t PlayedMilliseconds = 20000;
constexpr std::uint32_t ShortPrompt = 400;
constexpr double ShortObjective = 400; ///< Milliseconds from sending a request to the first event.
constexpr double LongObjective = 1000;

Fleet::EngineModel engineModel()
{
    Fleet::EngineModel engine;
    engine.m_slots = 12;
    engine.m_stepMilliseconds = 8.87;
    engine.m_stepMillisecondsPerRequest = 0.0388;
    engine.m_stepMillisecondsPerThousandContext = 0.0227;
    engine.m_promptTokensPerSecond = 19100;
    engine.m_usualPromptTokens = 952;
    engine.m_usualAnswerTokens = 98;
    return engine;
}

struct Load
{
    double m_longTokenShare = 0; ///< Part of all prompt tokens that belongs to long prompts.
    std::uint32_t m_longPrompt = 6000;
    double m_utilization = 0.7;
};

struct Request
{
    bool m_isLong = false;
    std::uint32_t m_promptTokens = 0;
    Core::Instant m_sentAt;
};

/// An engine that works in passes: it reads the prompts of what it has admitted, then makes a few steps.
struct SimulatedEngine
{
    std::string m_id;
    std::deque<Request> m_waiting;
    std::vector<Request> m_reading; ///< Admitted at the start of the pass under way.
    std::vector<int> m_passesLeft; ///< Of each running request.
    Core::Instant m_passEndsAt;
};

struct SimulatedEntry
{
    Placement::EndpointTracker m_endpointTracker;
    Placement::SlotTracker m_slotTracker;
    Placement::PromptSizes m_sizes;
    Core::Random m_random{0};
};

struct Served
{
    std::vector<double> m_milliseconds; ///< To the first event.

    double percentile(double part)
    {
        std::sort(m_milliseconds.begin(), m_milliseconds.end());
        return m_milliseconds.empty() ? 0 : m_milliseconds[static_cast<std::size_t>(part * static_cast<double>(m_milliseconds.size() - 1))];
    }
    double inTime(double objective) const
    {
        const std::ptrdiff_t count = std::count_if(m_milliseconds.begin(), m_milliseconds.end(), [objective](double value) { return value <= objective; });
        return static_cast<double>(count) / static_cast<double>(m_milliseconds.size());
    }
};

class Simulation
{
public:
    Simulation(const Load &load, bool separates)
        : m_load(load)
        , m_separates(separates)
        , m_entries(Entries)
    {
        for (std::size_t index = 0; index < Engines; ++index) {
            SimulatedEngine engine;
            engine.m_id = "engine-" + std::to_string(index);
            Fleet::Endpoint &endpoint = m_endpoints[engine.m_id].m_endpoint;
            endpoint.m_id = engine.m_id;
            endpoint.m_service = "drafts";
            endpoint.m_slots = m_model.m_slots;
            m_engines.push_back(std::move(engine));
        }
        for (std::size_t index = 0; index < Entries; ++index) {
            m_entries[index].m_random = Core::Random(index + 1);
            m_entries[index].m_slotTracker.setShare(1.0 / Entries);
        }
    }

    void run()
    {
        const double longPart = m_load.m_longTokenShare / m_load.m_longPrompt;
        const double shortPart = (1 - m_load.m_longTokenShare) / ShortPrompt;
        const double longRequests = longPart / (longPart + shortPart);
        const double work = longRequests * milliseconds(m_load.m_longPrompt) + (1 - longRequests) * milliseconds(ShortPrompt);
        const double perMillisecond = m_load.m_utilization * Engines / work / Entries;
        for (std::int64_t time = 0; time < PlayedMilliseconds; ++time) {
            m_now = m_start + Core::Duration(time);
            for (std::size_t index = 0; index < Engines; ++index) {
                advance(m_engines[index]);
                if ((time + static_cast<std::int64_t>(index) * 13) % ReportInterval.count() == 0) {
                    report(m_engines[index]);
                }
            }
            for (SimulatedEntry &entry : m_entries) {
                if (entry.m_random.unit() < perMillisecond) {
                    const bool isLong = entry.m_random.unit() < longRequests;
                    send(entry, Request{isLong, isLong ? m_load.m_longPrompt : ShortPrompt, m_now});
                }
            }
        }
    }

    Served m_short;
    Served m_long;

private:
    double milliseconds(std::uint32_t promptTokens) const
    {
        return Placement::promptMilliseconds(m_model, promptTokens)
            + m_model.m_usualAnswerTokens * Placement::stepMilliseconds(m_model, m_model.m_slots) / m_model.m_slots;
    }

    void advance(SimulatedEngine &engine)
    {
        if (m_now < engine.m_passEndsAt) {
            return;
        }
        for (const Request &request : engine.m_reading) {
            (request.m_isLong ? m_long : m_short).m_milliseconds.push_back(Core::secondsBetween(request.m_sentAt, m_now) * 1000);
            engine.m_passesLeft.push_back(static_cast<int>(m_model.m_usualAnswerTokens) / StepsOfAPass);
        }
        engine.m_reading.clear();
        std::erase_if(engine.m_passesLeft, [](int &left) { return --left < 0; });
        double reading = 0;
        while (!engine.m_waiting.empty() && engine.m_passesLeft.size() + engine.m_reading.size() < m_model.m_slots) {
            reading += Placement::promptMilliseconds(m_model, engine.m_waiting.front().m_promptTokens);
            engine.m_reading.push_back(engine.m_waiting.front());
            engine.m_waiting.pop_front();
        }
        const std::size_t running = engine.m_passesLeft.size() + engine.m_reading.size();
        if (running > 0) {
            const double pass = reading + StepsOfAPass * Placement::stepMilliseconds(m_model, static_cast<std::uint32_t>(running));
            engine.m_passEndsAt = m_now + Core::Duration(static_cast<std::int64_t>(pass));
        }
    }

    void report(const SimulatedEngine &engine)
    {
        Placement::EngineReport report;
        report.m_running = static_cast<std::uint32_t>(engine.m_passesLeft.size() + engine.m_reading.size());
        report.m_waiting = static_cast<std::uint32_t>(engine.m_waiting.size());
        report.m_weights = {Fleet::LoadedWeights{"draft", 1, {}}};
        for (SimulatedEntry &entry : m_entries) {
            entry.m_endpointTracker.recordEngineReport(m_endpoints.at(engine.m_id).m_endpoint, report, m_now);
            entry.m_slotTracker.recordReport(engine.m_id, Placement::reportedSlots(m_model, report.m_running, report.m_waiting, 1), m_now);
        }
    }

    void send(SimulatedEntry &entry, const Request &sent)
    {
        Placement::ChoiceRequest request;
        request.m_service = "drafts";
        request.m_model = "draft";
        request.m_size = {sent.m_promptTokens, m_model.m_usualAnswerTokens};
        if (m_separates) {
            entry.m_sizes.record(m_model, request.m_size, sent.m_isLong, m_settings);
            request.m_prompt = Placement::promptPreference(entry.m_sizes, sent.m_promptTokens, sent.m_isLong, m_settings);
        }
        const Placement::ChoiceView view{
            m_endpoints, entry.m_endpointTracker, entry.m_slotTracker, m_limits, m_model, "", m_now, m_evacuatedDomains, m_coldBudget};
        const std::optional<Placement::Choice> choice = Placement::chooseEndpoint(request, view, entry.m_random).m_choice;
        if (choice) {
            entry.m_endpointTracker.recordSent(choice->m_endpoint, m_now);
            entry.m_slotTracker.recordSent(choice->m_endpoint.m_id);
            m_engines[static_cast<std::size_t>(std::stoul(choice->m_endpoint.m_id.substr(7)))].m_waiting.push_back(sent);
        }
    }

    const Load m_load;
    const bool m_separates;
    const Fleet::EngineModel m_model = engineModel();
    const Placement::PromptSeparationSettings m_settings;
    Core::Instant m_start = Core::Instant() + Core::Duration(1'000'000);
    Core::Instant m_now;
    std::map<std::string, Fleet::KnownEndpoint> m_endpoints;
    Placement::RequestLimits m_limits{Placement::LimitHolder{}};
    std::set<std::string> m_evacuatedDomains;
    Placement::ColdBudget m_coldBudget{Placement::LimitHolder{"self", ""}, {}, Core::Instant()};
    std::vector<SimulatedEngine> m_engines;
    std::vector<SimulatedEntry> m_entries;
};

}

TEST_CASE("Load: long prompts hold 10, 40 and 70 in 100 of the tokens; short ones come sooner, and both kinds meet their objectives")
{
    const double share = GENERATE(0.1, 0.4, 0.7);
    const std::uint32_t tokens = GENERATE(2500U, 6000U);
    Simulation mixed(Load{share, tokens}, false);
    Simulation separate(Load{share, tokens}, true);
    mixed.run();
    separate.run();
    CAPTURE(share, tokens, mixed.m_short.inTime(ShortObjective), separate.m_short.inTime(ShortObjective));
    CAPTURE(mixed.m_long.inTime(LongObjective), separate.m_long.inTime(LongObjective));
    CHECK(separate.m_short.inTime(ShortObjective) >= mixed.m_short.inTime(ShortObjective) - 0.005);
    CHECK(separate.m_short.percentile(0.95) <= mixed.m_short.percentile(0.95));
    CHECK(separate.m_short.inTime(ShortObjective) >= 0.95);
    CHECK(separate.m_long.inTime(LongObjective) >= 0.9);
}

TEST_CASE("Prompts of about one length are not told apart, nor are long ones whose objective leaves no room")
{
    const Placement::PromptSeparationSettings settings;
    Placement::PromptSizes alike;
    Placement::PromptSizes urgent;
    for (std::uint32_t count = 0; count < 300; ++count) {
        alike.record(engineModel(), {800 + count % 5 * 100, 98}, true, settings);
        urgent.record(engineModel(), {count % 5 == 0 ? 4000U : 400U, 98}, false, settings);
    }
    CHECK(Placement::promptPreference(alike, 1200, true, settings) == Placement::PromptPreference{});
    CHECK(Placement::promptPreference(urgent, 4000, false, settings) == Placement::PromptPreference{});
}

TEST_CASE("The engines that read long prompts are about as many as the load asks, and the same ones as it changes")
{
    std::size_t few = 0;
    std::size_t many = 0;
    for (std::size_t index = 0; index < 400; ++index) {
        const std::string engine = "engine-" + std::to_string(index);
        const bool isOfFew = Placement::isPreferred(engine, Placement::PromptPreference{0.2, true});
        const bool isOfMany = Placement::isPreferred(engine, Placement::PromptPreference{0.4, true});
        CHECK((isOfMany || !isOfFew));
        CHECK(Placement::isPreferred(engine, Placement::PromptPreference{0.2, false}) != isOfFew);
        few += isOfFew ? 1 : 0;
        many += isOfMany ? 1 : 0;
    }
    CHECK(few > 80);
    CHECK(few < many);
    CHECK(many < 240);
}
