/// @file Implementation of the routing simulation.

#include "Simulation.h"

#include <algorithm>
#include <cmath>

namespace MeasureRouting {

namespace {

constexpr std::size_t LargeAccounts = 3;
constexpr double LargeShare = 0.8;
constexpr std::size_t EngineQueue = 64;
constexpr const char *Service = "drafting-models";
constexpr const char *Digest = "digest";

struct Request
{
    std::size_t m_account = 0;
    std::size_t m_prefix = 0;
    std::size_t m_entry = 0;
    double m_arrival = 0;
    double m_started = 0; ///< When an endpoint was granted.
    double m_serviceTime = 0; ///< Service time at an engine of normal speed without a cached prefix.
    Routing::Granted m_granted;
    bool m_done = false;
};

enum class EventKind {
    Arrival,
    Finish,
    Sample,
    Report,
    Step,
};

struct Event
{
    double m_time = 0;
    EventKind m_kind = EventKind::Arrival;
    std::size_t m_subject = 0; ///< Index of a request, engine or entry, depending on the kind.
    Protocol::EndpointLoad m_load; ///< Load in a Report event.
    std::uint64_t m_sequence = 0;

    bool operator<(const Event &other) const
    {
        return m_time > other.m_time;
    }
};

struct Engine
{
    double m_speed = 1;
    std::uint32_t m_running = 0;
    std::deque<std::size_t> m_queue;
    std::deque<std::size_t> m_prefixes; ///< Cached prefixes, most recently used last.
    std::vector<std::size_t> m_watchers;
};

class Simulation
{
public:
    explicit Simulation(const Parameters &parameters)
        : m_parameters(parameters)
        , m_random(parameters.m_seed)
        , m_engines(parameters.m_engines)
    {
        const std::size_t slow = std::max<std::size_t>(1, static_cast<std::size_t>(parameters.m_slowShare * static_cast<double>(parameters.m_engines)));
        for (std::size_t engine = 0; engine < slow; ++engine) {
            m_engines[engine].m_speed = 1 / parameters.m_slowFactor;
        }
        Routing::SchedulerSettings settings;
        settings.m_strategy = parameters.m_strategy;
        for (std::size_t entry = 0; entry < parameters.m_entries; ++entry) {
            m_entries.push_back(std::make_unique<Routing::Scheduler>(settings, Core::Random(m_random.next())));
            assignWatchedEngines(entry);
        }
    }

    SimulationResult run()
    {
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            schedule(Event{m_random.unit() * m_parameters.m_reportInterval, EventKind::Sample, engine, {}, 1});
        }
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            schedule(Event{0.1, EventKind::Step, entry, {}, 0});
        }
        scheduleArrival(2);
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            if (event.m_time > m_parameters.m_seconds + m_parameters.m_timeout) {
                break;
            }
            m_now = event.m_time;
            handle(event);
        }
        return makeResult();
    }

private:
    Core::Instant currentInstant() const
    {
        return Core::Instant() + std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double>(m_now + 1000));
    }

    void schedule(const Event &event)
    {
        m_events.push(event);
    }

    void assignWatchedEngines(std::size_t entry)
    {
        std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            ranked.emplace_back(Core::rendezvousWeight("entry-" + std::to_string(entry), "engine-" + std::to_string(engine)), engine);
        }
        std::sort(ranked.rbegin(), ranked.rend());
        for (std::size_t index = 0; index < std::min(m_parameters.m_watchedEngines, ranked.size()); ++index) {
            m_engines[ranked[index].second].m_watchers.push_back(entry);
        }
    }

    void scheduleArrival(double after)
    {
        const double capacity = static_cast<double>(m_parameters.m_engines * m_parameters.m_capacity) / m_parameters.m_meanServiceTime;
        const double rate = capacity * m_parameters.m_load;
        const double time = after - std::log(1 - m_random.unit()) / rate;
        if (time < m_parameters.m_seconds) {
            schedule(Event{time, EventKind::Arrival, 0, {}, 0});
        }
    }

    void handle(const Event &event)
    {
        switch (event.m_kind) {
        case EventKind::Arrival:
            onArrival();
            break;
        case EventKind::Finish:
            onFinish(event.m_subject);
            break;
        case EventKind::Sample:
            onSample(event);
            break;
        case EventKind::Report:
            onReport(event);
            break;
        case EventKind::Step:
            pollEntry(event.m_subject);
            schedule(Event{m_now + 0.1, EventKind::Step, event.m_subject, {}, 0});
            break;
        }
    }

    std::size_t pickAccount()
    {
        double point = m_random.unit();
        for (std::size_t account = 0; account + 1 < Accounts; ++account) {
            point -= accountShare(account);
            if (point < 0) {
                return account;
            }
        }
        return Accounts - 1;
    }

    void onArrival()
    {
        scheduleArrival(m_now);
        Request request;
        request.m_account = pickAccount();
        request.m_prefix =
            request.m_account * 1000 + static_cast<std::size_t>(std::pow(m_random.unit(), 2) * static_cast<double>(m_parameters.m_prefixesPerAccount));
        request.m_entry = m_random.below(m_entries.size());
        request.m_arrival = m_now;
        request.m_serviceTime = -std::log(1 - m_random.unit()) * m_parameters.m_meanServiceTime;
        const std::size_t index = m_requests.size();
        m_requests.push_back(request);
        Routing::Submission submission;
        submission.m_request.m_ticket = index + 1;
        submission.m_request.m_account = "account-" + std::to_string(request.m_account);
        submission.m_request.m_deadline = currentInstant() + std::chrono::milliseconds(static_cast<std::int64_t>(m_parameters.m_timeout * 1000));
        submission.m_group = Routing::GroupKey{Service, Digest};
        submission.m_affinity = Routing::affinityHash(submission.m_request.m_account, std::to_string(request.m_prefix));
        const Routing::Admission admission = m_entries[request.m_entry]->submit(submission, currentInstant());
        if (const Routing::Granted *granted = std::get_if<Routing::Granted>(&admission)) {
            start(*granted);
        } else if (std::holds_alternative<Routing::Refused>(admission)) {
            m_rejected += 1;
        }
    }

    void pollEntry(std::size_t entry)
    {
        for (const Routing::Resolution &resolution : m_entries[entry]->poll(currentInstant())) {
            if (const Routing::Granted *granted = std::get_if<Routing::Granted>(&resolution)) {
                start(*granted);
            }
        }
    }

    /// Sends the request to the engine, which runs, queues or rejects it.
    void start(const Routing::Granted &granted)
    {
        const std::size_t index = granted.m_ticket - 1;
        m_requests[index].m_granted = granted;
        m_requests[index].m_started = m_now;
        Engine &engine = m_engines[engineIndex(granted)];
        if (engine.m_running < m_parameters.m_capacity) {
            runRequest(engine, index);
        } else if (engine.m_queue.size() < EngineQueue) {
            engine.m_queue.push_back(index);
        } else {
            m_rejected += 1;
            release(index, Routing::CallResult::Abandoned);
        }
    }

    void runRequest(Engine &engine, std::size_t index)
    {
        engine.m_running += 1;
        const std::size_t prefix = m_requests[index].m_prefix;
        const std::deque<std::size_t>::iterator cached = std::find(engine.m_prefixes.begin(), engine.m_prefixes.end(), prefix);
        const bool hit = cached != engine.m_prefixes.end();
        if (hit) {
            engine.m_prefixes.erase(cached);
        }
        engine.m_prefixes.push_back(prefix);
        if (engine.m_prefixes.size() > m_parameters.m_cachedPrefixes) {
            engine.m_prefixes.pop_front();
        }
        m_runCount += 1;
        m_cacheHitCount += hit ? 1 : 0;
        const double work = m_requests[index].m_serviceTime * (hit ? 1 - m_parameters.m_cacheGain : 1);
        schedule(Event{m_now + work / engine.m_speed, EventKind::Finish, index, {}, 0});
    }

    void onFinish(std::size_t index)
    {
        m_requests[index].m_done = true;
        Engine &engine = m_engines[engineIndex(m_requests[index].m_granted)];
        engine.m_running -= 1;
        if (m_now - m_requests[index].m_arrival <= m_parameters.m_timeout) {
            m_finishedInTime.emplace_back(index, m_now - m_requests[index].m_arrival);
        }
        while (!engine.m_queue.empty() && engine.m_running < m_parameters.m_capacity) {
            const std::size_t next = engine.m_queue.front();
            engine.m_queue.pop_front();
            runRequest(engine, next);
        }
        release(index, Routing::CallResult::Answered);
    }

    void release(std::size_t index, Routing::CallResult result)
    {
        const Request &request = m_requests[index];
        const Core::Instant started =
            Core::Instant() + std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double>(request.m_started + 1000));
        m_entries[request.m_entry]->finish(request.m_granted, result, started, currentInstant());
        pollEntry(request.m_entry);
    }

    void onSample(const Event &event)
    {
        const Engine &engine = m_engines[event.m_subject];
        Event report = event;
        report.m_time = m_now + m_parameters.m_reportLag;
        report.m_kind = EventKind::Report;
        report.m_load = Protocol::EndpointLoad{engine.m_running, static_cast<std::uint32_t>(engine.m_queue.size()), m_parameters.m_capacity};
        schedule(report);
        Event next = event;
        next.m_time = m_now + m_parameters.m_reportInterval;
        next.m_sequence += 1;
        schedule(next);
    }

    void onReport(const Event &event)
    {
        Protocol::AgentReport report;
        report.m_member.m_id = "engine-" + std::to_string(event.m_subject);
        report.m_member.m_incarnation = "1";
        report.m_member.m_role = Protocol::Role::Agent;
        report.m_member.m_service = Service;
        report.m_sequence = event.m_sequence;
        report.m_endpointHealthy = true;
        report.m_attestations.push_back(Protocol::Attestation{Digest, 1});
        report.m_load = event.m_load;
        for (const std::size_t entry : m_engines[event.m_subject].m_watchers) {
            m_entries[entry]->table().update(report, currentInstant());
            pollEntry(entry);
        }
    }

    static std::size_t engineIndex(const Routing::Granted &granted)
    {
        return std::stoul(granted.m_member.m_id.substr(std::string("engine-").size()));
    }

    static double quantile(std::vector<double> times, double fraction)
    {
        if (times.empty()) {
            return 0;
        }
        std::sort(times.begin(), times.end());
        return times[std::min(times.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(times.size())))];
    }

    SimulationResult makeResult() const
    {
        std::vector<double> times;
        std::vector<double> smallTimes;
        for (const std::pair<std::size_t, double> &finished : m_finishedInTime) {
            times.push_back(finished.second);
            if (m_requests[finished.first].m_account >= LargeAccounts) {
                smallTimes.push_back(finished.second);
            }
        }
        std::size_t small = 0;
        for (const Request &request : m_requests) {
            small += request.m_account >= LargeAccounts ? 1 : 0;
        }
        const double all = static_cast<double>(m_requests.size());
        SimulationResult result;
        result.m_median = quantile(times, 0.5);
        result.m_percentile99 = quantile(times, 0.99);
        result.m_smallPercentile99 = quantile(smallTimes, 0.99);
        result.m_rejected = static_cast<double>(m_rejected) / all;
        result.m_late = 1 - result.m_rejected - static_cast<double>(times.size()) / all;
        result.m_cacheHits = static_cast<double>(m_cacheHitCount) / static_cast<double>(std::max<std::size_t>(1, m_runCount));
        result.m_smallServed = static_cast<double>(smallTimes.size()) / static_cast<double>(small);
        result.m_largeServed = static_cast<double>(times.size() - smallTimes.size()) / (all - static_cast<double>(small));
        return result;
    }

    const Parameters m_parameters;
    Core::Random m_random;
    double m_now = 0;
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<Routing::Scheduler>> m_entries;
    std::priority_queue<Event> m_events;
    std::vector<Request> m_requests;
    std::vector<std::pair<std::size_t, double>> m_finishedInTime; ///< Indices and durations of requests that finished within their timeout.
    std::size_t m_rejected = 0;
    std::size_t m_runCount = 0;
    std::size_t m_cacheHitCount = 0;
};

}

double accountShare(std::size_t account)
{
    return account < LargeAccounts ? LargeShare / LargeAccounts : (1 - LargeShare) / (Accounts - LargeAccounts);
}

SimulationResult simulate(const Parameters &parameters)
{
    return Simulation(parameters).run();
}

}
