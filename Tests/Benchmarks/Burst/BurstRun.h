/// @file One measured burst: starts a fleet, publishes a version and records its distribution.
#pragma once

#include "BurstOptions.h"
#include "LibBench/Fleet.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Burst {

/// Result of a load run.
struct LoadFigures
{
    std::uint64_t m_sent = 0;
    std::uint64_t m_failed = 0; ///< All requests without a complete answer.
    double m_p99Ms = 0; ///< 99th percentile of the time to complete answers, in milliseconds.
};

struct Figures
{
    std::vector<double> m_servingSeconds; ///< Time from the publication until each surviving replica served, ascending.
    std::size_t m_expected = 0; ///< Replicas that should serve at the end.
    double m_boundSeconds = 0;
    double m_originCopies = 0;
    double m_regionCopies = 0; ///< Bytes sent from one region to another, in copies of the weights: the largest of all ordered pairs. Includes all traffic.
    double m_processorSeconds = 0; ///< Processor time of all agents during the burst.
    LoadFigures m_baselineLoad;
    LoadFigures m_burstLoad;
    bool m_hasLoad = false;
};

class Run
{
public:
    explicit Run(Options options);

    Core::Result<Figures> perform();

private:
    Core::Result<void> publish(const std::string &version);
    Core::Result<void> awaitMembers();
    void awaitIdleNetwork();
    Core::Result<std::string> contentDigest(const std::string &version);
    Core::Result<Bench::Process> startLoad(double seconds, const std::string &name);
    Core::Result<LoadFigures> readLoad(Bench::Process &process, double seconds, const std::string &name);
    void awaitServing(const std::string &contentDigest, Figures &figures, bool hasFaults);
    bool serves(const Bench::ProcessSpec &engine, const std::string &contentDigest) const;
    void injectFaults();
    void saveDumps();
    double agentProcessorSeconds();
    std::map<std::string, std::uint64_t> regionBytes() const;
    std::uint64_t originBytes() const;

    const Options m_options;
    std::unique_ptr<Bench::Fleet> m_fleet;
    std::set<std::string> m_faultyInstances; ///< Instances that were killed or frozen.
    Core::Instant m_publishedAt;
};

}
