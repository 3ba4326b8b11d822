/// @file Implementation of a load run.

#include "LibLoad/LoadRun.h"

#include "LibCore/Ring.h"

#include <thread>

namespace Load {

namespace {

constexpr Core::Duration RingPopTimeout{100};
constexpr Core::Duration FullRingPause{1};
constexpr double MillisecondsPerSecond = 1000;

struct Arrival
{
    Request m_request;
    Core::Instant m_time;
};

/// State shared by the scheduling thread and the workers.
struct SharedState
{
    Core::Ring<Arrival> m_arrivals;
    std::vector<std::unique_ptr<Caller>> m_callers;
    Core::Instant m_start;
    bool m_isClosedLoop;
    Report &m_report;
    std::mutex m_observationMutex;
    const OnObservation &m_onObservation;
    std::atomic<bool> m_hasQueuedAll = false; ///< Set once all arrivals have been queued.
};

void runWorker(SharedState &shared)
{
    for (;;) {
        const std::optional<Arrival> arrival = shared.m_arrivals.pop(RingPopTimeout);
        if (!arrival) {
            if (shared.m_hasQueuedAll) {
                return;
            }
            continue;
        }
        const Request &request = arrival->m_request;
        Caller &caller = *shared.m_callers[request.m_index % shared.m_callers.size()];
        const Core::Instant started = Core::Clock::now();
        Observation observation = caller.perform(request, shared.m_isClosedLoop ? started : arrival->m_time);
        observation.m_startedMs = Core::secondsBetween(shared.m_start, started) * MillisecondsPerSecond;
        shared.m_report.add(request, observation);
        const std::lock_guard<std::mutex> lock(shared.m_observationMutex);
        shared.m_onObservation(request, observation);
    }
}

/// Queues each request for the workers at its arrival time.
void queueArrivals(SharedState &shared, const NextRequest &next)
{
    while (std::optional<Request> request = next()) {
        const Core::Instant due = shared.m_start + request->m_at;
        if (!shared.m_isClosedLoop) {
            std::this_thread::sleep_until(due);
        }
        while (!shared.m_arrivals.tryPush(Arrival{*request, due})) {
            std::this_thread::sleep_for(FullRingPause);
        }
    }
}

}

void performLoad(const LoadRunSettings &settings, const NextRequest &next, Report &report, const OnObservation &onObservation)
{
    VersionConsistencyChecker versionChecker;
    SharedState shared{Core::Ring<Arrival>(settings.m_concurrency), {}, Core::Clock::now(), settings.m_isClosedLoop, report, {}, onObservation};
    for (std::uint32_t index = 0; index < std::max<std::uint32_t>(settings.m_callerCount, 1); ++index) {
        shared.m_callers.push_back(std::make_unique<Caller>(settings.m_callers, settings.m_seed + index, versionChecker));
    }
    std::vector<std::thread> workers;
    for (std::uint32_t index = 0; index < settings.m_concurrency; ++index) {
        workers.emplace_back([&shared] { runWorker(shared); });
    }
    queueArrivals(shared, next);
    shared.m_hasQueuedAll = true;
    shared.m_arrivals.close();
    for (std::thread &worker : workers) {
        worker.join();
    }
    report.finish(Core::secondsBetween(shared.m_start, Core::Clock::now()));
}

}
