/// @file The simulation's events.

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
    double m_started = 0; ///< When it was granted.
    double m_work = 0;
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
    std::size_t m_subject = 0; ///< Request, engine or entry.
    Protocol::EndpointLoad m_load; ///< In a Report.
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
    std::deque<std::size_t> m_prefixes; ///< Cached, the newest last.
    std::vector<std::size_t> m_watchers;
};

class Simulation
{
public:
    explicit Simulation(const Plan &plan)
        : m_plan(plan)
        , m_random(plan.m_seed)
        , m_engines(plan.m_engines)
    {
        const std::size_t slow = std::max<std::size_t>(1, static_cast<std::size_t>(plan.m_slowShare * static_cast<double>(plan.m_engines)));
        for (std::size_t engine = 0; engine < slow; ++engine) {
            m_engines[engine].m_speed = 1 / plan.m_slowFactor;
        }
        Routing::SchedulerSettings settings;
        settings.m_strategy = plan.m_strategy;
        for (std::size_t entry = 0; entry < plan.m_entries; ++entry) {
            m_entries.push_back(std::make_unique<Routing::Scheduler>(settings, Core::Random(m_random.next())));
            watchSubset(entry);
        }
    }

    Outcome run()
    {
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            push(Event{m_random.unit() * m_plan.m_reportInterval, EventKind::Sample, engine, {}, 1});
        }
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            push(Event{0.1, EventKind::Step, entry, {}, 0});
        }
        scheduleArrival(2);
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            if (event.m_time > m_plan.m_seconds + m_plan.m_timeout) {
                break;
            }
            m_now = event.m_time;
            handle(event);
        }
        return outcome();
    }

private:
    Core::Instant instant() const
    {
        return Core::Instant() + std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double>(m_now + 1000));
    }

    void push(const Event &event)
    {
        m_events.push(event);
    }

    void watchSubset(std::size_t entry)
    {
        std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
        for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
            ranked.emplace_back(Core::rendezvousWeight("entry-" + std::to_string(entry), "engine-" + std::to_string(engine)), engine);
        }
        std::sort(ranked.rbegin(), ranked.rend());
        for (std::size_t index = 0; index < std::min(m_plan.m_watched, ranked.size()); ++index) {
            m_engines[ranked[index].second].m_watchers.push_back(entry);
        }
    }

    void scheduleArrival(double after)
    {
        const double capacity = static_cast<double>(m_plan.m_engines * m_plan.m_capacity) / m_plan.m_meanService;
        const double rate = capacity * m_plan.m_load;
        const double time = after - std::log(1 - m_random.unit()) / rate;
        if (time < m_plan.m_seconds) {
            push(Event{time, EventKind::Arrival, 0, {}, 0});
        }
    }

    void handle(const Event &event)
    {
        switch (event.m_kind) {
        case EventKind::Arrival:
            arrive();
            break;
        case EventKind::Finish:
            finish(event.m_subject);
            break;
        case EventKind::Sample:
            sample(event);
            break;
        case EventKind::Report:
            report(event);
            break;
        case EventKind::Step:
            resolve(event.m_subject);
            push(Event{m_now + 0.1, EventKind::Step, event.m_subject, {}, 0});
            break;
        }
    }

    std::size_t drawAccount()
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

    void arrive()
    {
        scheduleArrival(m_now);
        Request request;
        request.m_account = drawAccount();
        request.m_prefix = request.m_account * 1000 + static_cast<std::size_t>(std::pow(m_random.unit(), 2) * static_cast<double>(m_plan.m_prefixesPerAccount));
        request.m_entry = m_random.below(m_entries.size());
        request.m_arrival = m_now;
        request.m_work = -std::log(1 - m_random.unit()) * m_plan.m_meanService;
        const std::size_t index = m_requests.size();
        m_requests.push_back(request);
        Routing::Submission submission;
        submission.m_request.m_ticket = index + 1;
        submission.m_request.m_account = "account-" + std::to_string(request.m_account);
        submission.m_request.m_deadline = instant() + std::chrono::milliseconds(static_cast<std::int64_t>(m_plan.m_timeout * 1000));
        submission.m_group = Routing::GroupKey{Service, Digest};
        submission.m_affinity = Routing::affinityHash(submission.m_request.m_account, std::to_string(request.m_prefix));
        const Routing::Admission admission = m_entries[request.m_entry]->submit(submission, instant());
        if (const Routing::Granted *granted = std::get_if<Routing::Granted>(&admission)) {
            start(*granted);
        } else if (std::holds_alternative<Routing::Refused>(admission)) {
            m_rejected += 1;
        }
    }

    void resolve(std::size_t entry)
    {
        for (const Routing::Resolution &resolution : m_entries[entry]->poll(instant())) {
            if (const Routing::Granted *granted = std::get_if<Routing::Granted>(&resolution)) {
                start(*granted);
            }
        }
    }

    /// The request goes to the engine, which runs it or lets it wait.
    void start(const Routing::Granted &granted)
    {
        const std::size_t index = granted.m_ticket - 1;
        m_requests[index].m_granted = granted;
        m_requests[index].m_started = m_now;
        Engine &engine = m_engines[engineOf(granted)];
        if (engine.m_running < m_plan.m_capacity) {
            runAt(engine, index);
        } else if (engine.m_queue.size() < EngineQueue) {
            engine.m_queue.push_back(index);
        } else {
            m_rejected += 1;
            release(index, Routing::CallResult::Abandoned);
        }
    }

    void runAt(Engine &engine, std::size_t index)
    {
        engine.m_running += 1;
        const std::size_t prefix = m_requests[index].m_prefix;
        const std::deque<std::size_t>::iterator cached = std::find(engine.m_prefixes.begin(), engine.m_prefixes.end(), prefix);
        const bool hit = cached != engine.m_prefixes.end();
        if (hit) {
            engine.m_prefixes.erase(cached);
        }
        engine.m_prefixes.push_back(prefix);
        if (engine.m_prefixes.size() > m_plan.m_cachedPrefixes) {
            engine.m_prefixes.pop_front();
        }
        m_ran += 1;
        m_hits += hit ? 1 : 0;
        const double work = m_requests[index].m_work * (hit ? 1 - m_plan.m_cacheGain : 1);
        push(Event{m_now + work / engine.m_speed, EventKind::Finish, index, {}, 0});
    }

    void finish(std::size_t index)
    {
        m_requests[index].m_done = true;
        Engine &engine = m_engines[engineOf(m_requests[index].m_granted)];
        engine.m_running -= 1;
        if (m_now - m_requests[index].m_arrival <= m_plan.m_timeout) {
            m_ended.emplace_back(index, m_now - m_requests[index].m_arrival);
        }
        while (!engine.m_queue.empty() && engine.m_running < m_plan.m_capacity) {
            const std::size_t next = engine.m_queue.front();
            engine.m_queue.pop_front();
            runAt(engine, next);
        }
        release(index, Routing::CallResult::Answered);
    }

    void release(std::size_t index, Routing::CallResult result)
    {
        const Request &request = m_requests[index];
        const Core::Instant started =
            Core::Instant() + std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double>(request.m_started + 1000));
        m_entries[request.m_entry]->finish(request.m_granted, result, started, instant());
        resolve(request.m_entry);
    }

    void sample(const Event &event)
    {
        const Engine &engine = m_engines[event.m_subject];
        Event report = event;
        report.m_time = m_now + m_plan.m_reportLag;
        report.m_kind = EventKind::Report;
        report.m_load = Protocol::EndpointLoad{engine.m_running, static_cast<std::uint32_t>(engine.m_queue.size()), m_plan.m_capacity};
        push(report);
        Event next = event;
        next.m_time = m_now + m_plan.m_reportInterval;
        next.m_sequence += 1;
        push(next);
    }

    void report(const Event &event)
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
            m_entries[entry]->table().update(report, instant());
            resolve(entry);
        }
    }

    static std::size_t engineOf(const Routing::Granted &granted)
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

    Outcome outcome() const
    {
        std::vector<double> times;
        std::vector<double> smallTimes;
        for (const std::pair<std::size_t, double> &ended : m_ended) {
            times.push_back(ended.second);
            if (m_requests[ended.first].m_account >= LargeAccounts) {
                smallTimes.push_back(ended.second);
            }
        }
        std::size_t small = 0;
        for (const Request &request : m_requests) {
            small += request.m_account >= LargeAccounts ? 1 : 0;
        }
        const double all = static_cast<double>(m_requests.size());
        Outcome outcome;
        outcome.m_median = quantile(times, 0.5);
        outcome.m_tail = quantile(times, 0.99);
        outcome.m_smallTail = quantile(smallTimes, 0.99);
        outcome.m_rejected = static_cast<double>(m_rejected) / all;
        outcome.m_late = 1 - outcome.m_rejected - static_cast<double>(times.size()) / all;
        outcome.m_cacheHits = static_cast<double>(m_hits) / static_cast<double>(std::max<std::size_t>(1, m_ran));
        outcome.m_smallServed = static_cast<double>(smallTimes.size()) / static_cast<double>(small);
        outcome.m_largeServed = static_cast<double>(times.size() - smallTimes.size()) / (all - static_cast<double>(small));
        return outcome;
    }

    const Plan m_plan;
    Core::Random m_random;
    double m_now = 0;
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<Routing::Scheduler>> m_entries;
    std::priority_queue<Event> m_events;
    std::vector<Request> m_requests;
    std::vector<std::pair<std::size_t, double>> m_ended; ///< Requests that ended in time, with how long they took.
    std::size_t m_rejected = 0;
    std::size_t m_ran = 0;
    std::size_t m_hits = 0;
};

}

double accountShare(std::size_t account)
{
    return account < LargeAccounts ? LargeShare / LargeAccounts : (1 - LargeShare) / (Accounts - LargeAccounts);
}

Outcome simulate(const Plan &plan)
{
    return Simulation(plan).run();
}

}
