/// @file Implementation of the emulated fleet.

#include "LibEmulator/QuarantineEmulator.h"

#include <algorithm>
#include <memory>
#include <set>
#include <sstream>

namespace Emulator {

namespace {

using Quarantine::PromptPart;

constexpr Core::Duration Step{10};
constexpr Core::Duration GossipInterval{500};
constexpr Core::Duration NewsDelay{80};
constexpr Core::Duration MessageDelay{10};
constexpr Core::Duration PullInterval{1000};
constexpr Core::Duration RestartTime{1800}; ///< Of an engine.
constexpr Core::Duration ContactTime{3000};
constexpr std::size_t NoticedCrashes = 5;
constexpr std::size_t AllowedCrashes = 3; ///< Under a single request.
constexpr std::size_t GossipTargets = 3;
constexpr std::size_t NewsTargets = 8;
constexpr std::size_t PopularParts = 50;
constexpr std::uint64_t RequestsPerSession = 4;
constexpr Core::Duration RequestTimeout{6000};
constexpr Core::Duration RepeatDelay{10}; ///< From a broken answer to the caller's next attempt.
constexpr Core::Duration RefusedRepeatDelay{200}; ///< The same after a refusal; much shorter than what entries ask for.
constexpr std::size_t HistoryEntryBytes = 160; ///< Estimates of a map entry with its strings.
constexpr std::size_t SuspectEntryBytes = 480;
constexpr std::size_t VerdictEntryBytes = 320;

struct Request
{
    Quarantine::RequestHash m_id = 0;
    std::size_t m_entry = 0;
    std::vector<PromptPart> m_parts;
    Quarantine::Account m_account = 0;
    PromptPart m_identity;
    std::string m_crashingPart; ///< Empty unless engines end under a part of it.
    std::optional<std::size_t> m_crashingCaller; ///< The caller whose request ends engines; empty for other requests.
    std::uint32_t m_attempts = 0; ///< At engines, of the caller's current attempt.
    std::uint32_t m_callerAttempts = 1;
    Core::Instant m_arrivedAt; ///< Of the caller's current attempt.
    Core::Instant m_deadline;
    bool m_wasHeld = false;
};

bool isSound(const Request &request)
{
    return request.m_crashingPart.empty() && !request.m_crashingCaller;
}

/// A caller that repeats a request under which engines end.
struct CrashingCaller
{
    std::shared_ptr<Request> m_request; ///< Null before the first attempt.
    std::optional<Core::Instant> m_nextAt; ///< Empty while an attempt is under way.
    std::size_t m_crashes = 0;
};

struct Run
{
    std::shared_ptr<Request> m_request;
    Core::Instant m_beginsAt;
    Core::Instant m_endsAt; ///< Of the answer, or of the engine.
};

struct Engine
{
    Quarantine::Incarnation m_incarnation = 0;
    Core::Instant m_upAt;
    std::vector<Run> m_runs;
};

struct Message
{
    Core::Instant m_arrivesAt;
    std::size_t m_from = 0;
    std::size_t m_to = 0;
    Quarantine::Observations m_observations;
    std::uint64_t m_digest = 0;
};

struct Entry
{
    std::unique_ptr<Quarantine::PartQuarantine> m_quarantine;
    Core::Instant m_nextGossip;
    std::optional<Core::Instant> m_newsAt;
    Core::Instant m_nextPull;
    std::size_t m_bytes = 0;
};

std::size_t encodedBytes(const Quarantine::Observations &observations)
{
    std::stringstream buffer;
    msgpack::pack(buffer, observations);
    return buffer.str().size();
}

class Fleet
{
public:
    explicit Fleet(const QuarantineExperiment &experiment)
        : m_experiment(experiment)
        , m_random(experiment.m_seed)
        , m_engines(experiment.m_engines)
        , m_entries(experiment.m_entries)
        , m_callers(experiment.m_crashingCallers)
    {
        for (Engine &engine : m_engines) {
            engine.m_incarnation = ++m_lastIncarnation;
        }
        for (Entry &entry : m_entries) {
            forget(entry);
            entry.m_nextGossip = m_start + Core::Duration(static_cast<std::int64_t>(m_random.below(GossipInterval.count())));
        }
    }

    QuarantineOutcome play()
    {
        for (m_now = m_start; m_now < m_start + m_experiment.m_duration; m_now += Step) {
            playFaults();
            advanceEngines();
            deliverMessages();
            gossip();
            admitRequests();
        }
        return finish();
    }

private:
    bool isNow(Core::Instant at) const
    {
        return at >= m_now && at < m_now + Step;
    }

    void forget(Entry &entry)
    {
        entry.m_quarantine = std::make_unique<Quarantine::PartQuarantine>(m_random.next(), m_experiment.m_settings, m_experiment.m_decide);
        entry.m_quarantine->setProcessCount(m_experiment.m_exchanges ? m_experiment.m_entries : 1);
    }

    /// Returns how many events of this rate happen in one step.
    std::size_t eventsInStep(double perSecond)
    {
        const double expected = perSecond * Core::secondsBetween(m_now, m_now + Step);
        const double whole = std::floor(expected);
        return static_cast<std::size_t>(whole) + (m_random.unit() < expected - whole ? 1 : 0);
    }

    void playFaults()
    {
        for (std::size_t count = eventsInStep(m_experiment.m_otherCrashesPerSecond); count > 0; --count) {
            end(m_engines[m_random.below(m_engines.size())]);
        }
        for (const Core::Duration at : m_experiment.m_powerLosses) {
            for (std::size_t index = 0; isNow(m_start + at) && index < m_engines.size(); ++index) {
                end(m_engines[index]);
            }
        }
        for (std::size_t index = 0; m_experiment.m_entriesRestart && isNow(m_start + *m_experiment.m_entriesRestart) && index < m_entries.size(); index += 3) {
            forget(m_entries[index]);
            pull(m_entries[index], (index + 1) % m_entries.size());
        }
    }

    /// Lets an entry have the state of another one.
    void pull(Entry &entry, std::size_t from)
    {
        const Quarantine::Observations state = m_entries[from].m_quarantine->state(m_now);
        m_entries[from].m_bytes += state.isEmpty() ? 0 : encodedBytes(state);
        entry.m_quarantine->merge(state, m_now);
    }

    std::shared_ptr<Request> makeRequest()
    {
        const std::shared_ptr<Request> request = std::make_shared<Request>();
        request->m_id = ++m_requests;
        request->m_identity = PromptPart{"", "request-" + std::to_string(m_requests)};
        request->m_entry = m_random.below(m_entries.size());
        request->m_account = 1 + m_random.below(10);
        request->m_arrivedAt = m_now;
        request->m_deadline = m_now + RequestTimeout;
        const std::size_t popular = std::min(m_random.below(PopularParts), m_random.below(PopularParts));
        request->m_parts = {PromptPart{"drafts", "all"}, PromptPart{"drafts", "popular-" + std::to_string(popular)}};
        if (m_random.unit() < m_experiment.m_sessionShare) {
            request->m_parts.push_back(PromptPart{"drafts", "session-" + std::to_string(m_sessions++ / RequestsPerSession)});
        }
        return request;
    }

    void admitRequests()
    {
        std::vector<std::shared_ptr<Request>> waiting;
        waiting.swap(m_held);
        for (std::size_t count = eventsInStep(m_experiment.m_requestsPerSecond); count > 0; --count) {
            waiting.push_back(makeRequest());
            ++m_outcome.m_soundRequests;
        }
        const bool hasBegun = m_now >= m_start + m_experiment.m_begin;
        for (std::size_t count = hasBegun ? eventsInStep(m_experiment.m_crashingPerSecond) : 0; count > 0; --count) {
            const std::shared_ptr<Request> request = makeRequest();
            request->m_crashingPart = "crashing-" + std::to_string(m_random.below(m_experiment.m_crashingParts));
            const std::size_t place = m_random.below(request->m_parts.size() + 1);
            request->m_parts.insert(request->m_parts.begin() + static_cast<std::ptrdiff_t>(place), PromptPart{"drafts", request->m_crashingPart});
            waiting.push_back(request);
        }
        for (std::size_t index = 0; hasBegun && index < m_callers.size(); ++index) {
            CrashingCaller &caller = m_callers[index];
            if (!caller.m_request) {
                caller.m_request = makeRequest();
                caller.m_request->m_crashingCaller = index;
                caller.m_nextAt = m_now;
            }
            if (caller.m_nextAt && m_now >= *caller.m_nextAt) {
                caller.m_nextAt.reset();
                startAttempt(*caller.m_request);
                caller.m_request->m_deadline = m_now + RequestTimeout;
                waiting.push_back(caller.m_request);
            }
        }
        for (const std::shared_ptr<Request> &request : waiting) {
            if (request->m_arrivedAt == m_now) {
                m_entries[request->m_entry].m_quarantine->recordArrival(request->m_parts, m_now);
            }
            admit(request);
        }
    }

    /// Lets the caller send the request to another entry.
    void startAttempt(Request &request)
    {
        request.m_entry = m_random.below(m_entries.size());
        request.m_attempts = 0;
        request.m_arrivedAt = m_now;
    }

    /// Ends the current attempt of the request's caller without an answer.
    void endAttempt(const std::shared_ptr<Request> &request, bool isRefused)
    {
        if (request->m_crashingCaller) {
            m_callers[*request->m_crashingCaller].m_nextAt = m_now + (isRefused ? RefusedRepeatDelay : RepeatDelay);
            return;
        }
        if (isRefused || request->m_callerAttempts >= m_experiment.m_callerAttempts) {
            return;
        }
        ++request->m_callerAttempts;
        startAttempt(*request);
        m_held.push_back(request);
    }

    Quarantine::Treatment treatmentOf(const Request &request)
    {
        Quarantine::PartQuarantine &quarantine = *m_entries[request.m_entry].m_quarantine;
        const Quarantine::Treatment byParts = quarantine.treat(request.m_parts, request.m_account, m_now);
        return Quarantine::stricter(byParts, quarantine.treatRequest(request.m_identity, request.m_arrivedAt, m_now));
    }

    void admit(const std::shared_ptr<Request> &request)
    {
        const bool isSound = Emulator::isSound(*request);
        Quarantine::PartQuarantine &quarantine = *m_entries[request->m_entry].m_quarantine;
        const Quarantine::Treatment treatment = treatmentOf(*request);
        if (treatment.m_kind == Quarantine::TreatmentKind::Refuse || m_now > request->m_deadline) {
            m_outcome.m_soundRefused += isSound ? 1 : 0;
            m_outcome.m_soundBlamed += isSound && Quarantine::isRequestIdentity(treatment.m_part) ? 1 : 0;
            endAttempt(request, true);
            return;
        }
        Engine &engine = m_engines[m_random.below(m_engines.size())];
        const bool isFree = engine.m_upAt <= m_now && engine.m_runs.size() < m_experiment.m_slots;
        if (treatment.m_kind == Quarantine::TreatmentKind::Hold || !isFree) {
            m_outcome.m_soundHeld += isSound && !request->m_wasHeld && treatment.m_kind == Quarantine::TreatmentKind::Hold ? 1 : 0;
            request->m_wasHeld = request->m_wasHeld || treatment.m_kind == Quarantine::TreatmentKind::Hold;
            m_held.push_back(request);
            return;
        }
        quarantine.recordSent(request->m_parts, m_now);
        ++request->m_attempts;
        const Core::Instant begins = m_now + m_experiment.m_firstTokenTime + Core::Duration(static_cast<std::int64_t>(m_random.below(300)));
        const std::uint64_t length = isSound ? 600 + m_random.below(700) : 40 + m_random.below(70);
        engine.m_runs.push_back(Run{request, begins, begins + Core::Duration(static_cast<std::int64_t>(length))});
        countArrival(*request);
    }

    void countArrival(const Request &request)
    {
        const std::map<std::string, std::vector<Core::Instant>>::const_iterator crashes = m_crashes.find(request.m_crashingPart);
        const bool isNoticed = crashes != m_crashes.end() && crashes->second.size() >= NoticedCrashes;
        m_outcome.m_lateArrivals += isNoticed && m_now - crashes->second[NoticedCrashes - 1] > ContactTime ? 1 : 0;
    }

    void advanceEngines()
    {
        for (Engine &engine : m_engines) {
            std::vector<Run> ended;
            std::erase_if(engine.m_runs, [this, &ended](const Run &run) {
                if (run.m_endsAt > m_now) {
                    return false;
                }
                ended.push_back(run);
                return true;
            });
            for (const Run &run : ended) {
                if (isSound(*run.m_request)) {
                    complete(engine, run);
                    continue;
                }
                countCrash(*run.m_request);
                engine.m_runs.push_back(run);
                end(engine);
                break;
            }
        }
    }

    void countCrash(const Request &request)
    {
        if (request.m_crashingCaller) {
            ++m_outcome.m_requestCrashes;
            m_outcome.m_crashesAfterThird += ++m_callers[*request.m_crashingCaller].m_crashes > AllowedCrashes ? 1 : 0;
            return;
        }
        m_crashes[request.m_crashingPart].push_back(m_now);
        ++m_outcome.m_crashes;
    }

    Quarantine::RunFacts factsOf(const Engine &engine, const Run &run) const
    {
        Quarantine::RunFacts facts;
        facts.m_parts = run.m_request->m_parts;
        facts.m_account = run.m_request->m_account;
        facts.m_identity = run.m_request->m_identity;
        facts.m_request = Quarantine::requestOf(run.m_request->m_identity);
        facts.m_incarnation = engine.m_incarnation;
        if (run.m_beginsAt <= m_now) {
            facts.m_writing = std::chrono::duration_cast<Core::Duration>(m_now - run.m_beginsAt);
        }
        facts.m_isEndStated = true;
        return facts;
    }

    void complete(const Engine &engine, const Run &run)
    {
        if (m_experiment.m_acquits) {
            m_entries[run.m_request->m_entry].m_quarantine->recordCompletion(factsOf(engine, run), m_now);
        }
    }

    void end(Engine &engine)
    {
        std::vector<Run> lost;
        lost.swap(engine.m_runs);
        for (const Run &run : lost) {
            const Request &request = *run.m_request;
            m_entries[request.m_entry].m_quarantine->recordCrash(factsOf(engine, run), m_now);
            if (request.m_attempts < m_experiment.m_maximumAttempts) {
                m_held.push_back(run.m_request);
            } else {
                endAttempt(run.m_request, false);
            }
        }
        engine.m_upAt = m_now + RestartTime;
        engine.m_incarnation = ++m_lastIncarnation;
    }

    void gossip()
    {
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            Entry &entry = m_entries[index];
            entry.m_quarantine->update(m_now);
            collectVerdicts(*entry.m_quarantine);
            if (entry.m_quarantine->hasNews() && !entry.m_newsAt) {
                entry.m_newsAt = m_now + NewsDelay;
            }
            if (!m_experiment.m_exchanges) {
                continue;
            }
            while (entry.m_quarantine->hasRequestNews()) {
                sendToAll(index, entry.m_quarantine->takeRequestNews(m_now));
            }
            if (entry.m_newsAt && m_now >= *entry.m_newsAt) {
                entry.m_newsAt.reset();
                send(index, NewsTargets, entry.m_quarantine->takeNews(Quarantine::NewsSample, m_now));
            }
            if (m_now >= entry.m_nextGossip) {
                entry.m_nextGossip += GossipInterval;
                send(index, GossipTargets, entry.m_quarantine->sample(Quarantine::RegularSample, m_now, m_random));
            }
        }
    }

    void send(std::size_t from, std::size_t targets, const Quarantine::Observations &observations)
    {
        for (std::size_t count = 0; count < std::min(targets, m_entries.size() - 1); ++count) {
            sendTo((from + 1 + m_random.below(m_entries.size() - 1)) % m_entries.size(), from, observations);
        }
    }

    void sendToAll(std::size_t from, const Quarantine::Observations &observations)
    {
        for (std::size_t to = 0; to < m_entries.size(); ++to) {
            if (to != from) {
                sendTo(to, from, observations);
            }
        }
    }

    void sendTo(std::size_t to, std::size_t from, const Quarantine::Observations &observations)
    {
        m_entries[from].m_bytes += observations.isEmpty() ? 0 : encodedBytes(observations);
        if (m_random.unit() >= m_experiment.m_lossShare) {
            m_messages.push_back(Message{m_now + MessageDelay, from, to, observations, m_entries[from].m_quarantine->verdicts().digest()});
        }
    }

    void deliverMessages()
    {
        while (!m_messages.empty() && m_messages.front().m_arrivesAt <= m_now) {
            const Message message = std::move(m_messages.front());
            m_messages.pop_front();
            Entry &entry = m_entries[message.m_to];
            entry.m_quarantine->merge(message.m_observations, m_now);
            if (message.m_digest != entry.m_quarantine->verdicts().digest() && m_now >= entry.m_nextPull) {
                entry.m_nextPull = m_now + PullInterval;
                pull(entry, message.m_from);
            }
        }
    }

    void collectVerdicts(Quarantine::PartQuarantine &quarantine)
    {
        for (const Quarantine::VerdictChange &change : quarantine.verdicts().takeChanges()) {
            const bool isPart = !Quarantine::isRequestIdentity(change.m_verdict.m_part);
            const bool isSound = isPart && !change.m_verdict.m_part.m_id.starts_with("crashing-");
            if (isSound && !change.m_verdict.m_isLifted) {
                m_wronglyBlamed.insert(change.m_verdict.m_part);
            }
        }
        m_outcome.m_memoryBytes =
            std::max(m_outcome.m_memoryBytes,
                     quarantine.historyCount() * HistoryEntryBytes + (quarantine.suspectCount() + quarantine.suspectRequestCount()) * SuspectEntryBytes
                         + quarantine.verdicts().blamed().size() * VerdictEntryBytes);
    }

    QuarantineOutcome finish()
    {
        std::size_t bytes = 0;
        for (const Entry &entry : m_entries) {
            bytes = std::max(bytes, entry.m_bytes);
        }
        m_outcome.m_bytesPerSecond = static_cast<double>(bytes) / Core::secondsBetween(m_start + m_experiment.m_begin, m_now);
        m_outcome.m_wronglyBlamed = m_wronglyBlamed.size();
        return m_outcome;
    }

    const QuarantineExperiment m_experiment;
    const Core::Instant m_start = Core::Instant() + Core::Duration(1'000'000);
    Core::Instant m_now;
    Core::Random m_random;
    std::vector<Engine> m_engines;
    std::vector<Entry> m_entries;
    std::vector<CrashingCaller> m_callers;
    std::vector<std::shared_ptr<Request>> m_held; ///< Requests that wait at their entries.
    std::deque<Message> m_messages; ///< In the order of their arrival.
    std::map<std::string, std::vector<Core::Instant>> m_crashes; ///< By part.
    std::set<PromptPart> m_wronglyBlamed;
    Quarantine::Incarnation m_lastIncarnation = 0;
    Quarantine::RequestHash m_requests = 0;
    std::uint64_t m_sessions = 0;
    QuarantineOutcome m_outcome;
};

bool hasEnough(const Quarantine::Suspect &suspect, Core::Instant now, const Quarantine::DecisionSettings &settings)
{
    const std::function<bool(const Quarantine::Crash &)> isOld = [now, &settings](const Quarantine::Crash &crash) {
        return now - crash.m_at >= settings.m_settleTime;
    };
    return std::any_of(suspect.m_crashes.begin(), suspect.m_crashes.end(), isOld) && crashPoints(suspect.m_crashes, settings) >= settings.m_threshold;
}

}

QuarantineOutcome play(const QuarantineExperiment &experiment)
{
    return Fleet(experiment).play();
}

std::vector<PromptPart> blameByCount(std::vector<Quarantine::Suspect> suspects, Core::Instant now, const Quarantine::DecisionSettings &settings)
{
    std::vector<PromptPart> found;
    for (const Quarantine::Suspect &suspect : suspects) {
        if (!suspect.m_isBlamed && hasEnough(suspect, now, settings)) {
            found.push_back(suspect.m_part);
        }
    }
    return found;
}

std::vector<PromptPart> blameByShare(std::vector<Quarantine::Suspect> suspects, Core::Instant now, const Quarantine::DecisionSettings &settings)
{
    std::vector<PromptPart> found;
    for (const Quarantine::Suspect &suspect : suspects) {
        if (!suspect.m_isBlamed && hasEnough(suspect, now, settings) && suspect.m_crashes.size() * 2 >= suspect.m_runs) {
            found.push_back(suspect.m_part);
        }
    }
    return found;
}

}
