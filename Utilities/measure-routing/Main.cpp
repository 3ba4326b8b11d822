/// @file measure-routing: compares routing strategies by simulation and measures the cost of one routing decision.

#include "Simulation.h"

#include <cstdio>
#include <cstdlib>
#include <new>

namespace {

std::uint64_t allocations = 0;

}

// Counts all allocations of the process, to show that a routing decision does not allocate.
void *operator new(std::size_t size)
{
    allocations += 1;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace {

struct NamedStrategy
{
    const char *m_name;
    Routing::Strategy m_strategy;
};

constexpr NamedStrategy Strategies[] = {
    {"random", Routing::Strategy::Random},
    {"least-reported", Routing::Strategy::LeastReportedLoad},
    {"fastest-free", Routing::Strategy::JoinFastestFreeServer},
    {"two-choices", Routing::Strategy::PowerOfTwoChoices},
    {"affinity", Routing::Strategy::PrefixAffinity},
};

struct FleetSize
{
    std::size_t m_engines;
    std::size_t m_entries;
    double m_seconds;
};

constexpr FleetSize Fleets[] = {{20, 13, 200}, {200, 40, 60}, {600, 60, 30}};

void compare(double load, double cacheGain)
{
    std::printf("\nload %.2f, a cached prefix saves %.0f%%, one engine in twenty 4 times slower, reports each second 0.5 s late\n", load, cacheGain * 100);
    std::printf("%-8s %-8s %-15s %8s %8s %10s %9s %7s %7s %13s %13s\n",
                "engines",
                "entries",
                "strategy",
                "p50 s",
                "p99 s",
                "small p99",
                "rejected",
                "late",
                "cached",
                "large served",
                "small served");
    for (const FleetSize &fleet : Fleets) {
        for (const NamedStrategy &strategy : Strategies) {
            MeasureRouting::Parameters parameters;
            parameters.m_strategy = strategy.m_strategy;
            parameters.m_engines = fleet.m_engines;
            parameters.m_entries = fleet.m_entries;
            parameters.m_seconds = fleet.m_seconds;
            parameters.m_load = load;
            parameters.m_cacheGain = cacheGain;
            const MeasureRouting::SimulationResult result = MeasureRouting::simulate(parameters);
            std::printf("%-8zu %-8zu %-15s %8.2f %8.2f %10.2f %8.2f%% %6.2f%% %6.1f%% %12.1f%% %12.1f%%\n",
                        fleet.m_engines,
                        fleet.m_entries,
                        strategy.m_name,
                        result.m_median,
                        result.m_percentile99,
                        result.m_smallPercentile99,
                        result.m_rejected * 100,
                        result.m_late * 100,
                        result.m_cacheHits * 100,
                        result.m_largeServed * 100,
                        result.m_smallServed * 100);
        }
    }
}

void measureDecision()
{
    constexpr int rounds = 100000;
    std::printf("\none decision among endpoints of one group\n%-10s %-15s %12s %14s\n", "endpoints", "strategy", "nanoseconds", "allocations");
    for (const std::size_t engines : {20, 200, 600}) {
        const std::string digest(64, 'a');
        Routing::EndpointTable table;
        const Core::Instant now = Core::Clock::now();
        for (std::size_t engine = 0; engine < engines; ++engine) {
            Protocol::AgentReport report;
            report.m_member.m_id = "engine-" + std::to_string(engine);
            report.m_member.m_service = "drafting-models";
            report.m_sequence = 1;
            report.m_endpointHealthy = true;
            report.m_attestations.emplace_back().m_digest = digest;
            report.m_load = Protocol::EndpointLoad{static_cast<std::uint32_t>(engine % 8), 0, 16};
            table.update(report, now);
        }
        const Routing::GroupKey group{"drafting-models", digest};
        for (const NamedStrategy &strategy : Strategies) {
            Core::Random random(1);
            std::uint64_t sum = 0;
            const std::uint64_t allocationsBefore = allocations;
            const Core::Instant start = Core::Clock::now();
            for (int round = 0; round < rounds; ++round) {
                const Routing::SelectionRequest request{random.next() | 1, {}, true};
                sum += *Routing::selectEndpoint(strategy.m_strategy, table, group, request, now, random);
            }
            const double seconds = Core::secondsBetween(start, Core::Clock::now());
            const double perDecision = static_cast<double>(allocations - allocationsBefore) / rounds;
            std::printf("%-10zu %-15s %12.0f %14.3f%s\n", engines, strategy.m_name, seconds / rounds * 1e9, perDecision, sum == 0 ? " " : "");
        }
    }
}

}

int main()
{
    compare(0.7, 0.3);
    compare(0.9, 0.3);
    compare(0.9, 0);
    compare(1.3, 0.3);
    measureDecision();
    return 0;
}
