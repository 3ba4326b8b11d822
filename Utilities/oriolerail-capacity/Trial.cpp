/// @file Implementation of a capacity trial.

#include "Trial.h"

#include "LibBench/Publication.h"
#include "LibScenario/FleetView.h"

#include <thread>

namespace Capacity {

namespace {

constexpr std::uint64_t WeightsBytes = 256 << 10;
constexpr Core::Duration ServingTimeout{120000};
constexpr Core::Duration SettleTime{4000};
constexpr int SecondsPerMinute = 60;
constexpr int TokensPerRequest = 8;

Bench::Topology makeTopology(const TrialSize &size)
{
    Bench::Topology topology = Bench::burstTopology(size.m_agents);
    topology.m_entries = size.m_entries;
    topology.m_limitsLinks = false;
    topology.m_loadMsPerMebibyte = 0;
    for (Bench::StoredVersion &version : topology.m_versions) {
        version.m_bytes = WeightsBytes;
    }
    return topology;
}

Bench::Publication makePublication(const TrialSize &size, const std::string &version)
{
    Bench::Publication publication;
    for (int account = 1; account <= size.m_accounts; ++account) {
        publication.m_accounts.push_back(Bench::PublishedAccount{"account-" + std::to_string(account), "moodboard", version, size.m_agents, {}});
    }
    return publication;
}

std::vector<Bench::UsageSample> readUsageSamples(Bench::Fleet &fleet, Bench::ProcessKind kind)
{
    std::vector<Bench::UsageSample> samples;
    for (const Bench::ProcessSpec *spec : fleet.ofKind(kind)) {
        const Core::Result<Bench::UsageSample> sample = Bench::readUsageSample(fleet, spec->m_name);
        samples.push_back(sample ? sample.value() : Bench::UsageSample{});
    }
    return samples;
}

Bench::UsageRate meanRate(const std::vector<Bench::UsageSample> &before, const std::vector<Bench::UsageSample> &after)
{
    Bench::UsageRate mean;
    const double count = static_cast<double>(before.size());
    for (std::size_t index = 0; index < before.size(); ++index) {
        const Bench::UsageRate rate = Bench::usageRate(before[index], after[index]);
        mean.m_processorShare += rate.m_processorShare / count;
        mean.m_residentBytes += rate.m_residentBytes / count;
        mean.m_controlBytesPerSecond += rate.m_controlBytesPerSecond / count;
        mean.m_controlFramesPerSecond += rate.m_controlFramesPerSecond / count;
        mean.m_liveBytesPerSecond += rate.m_liveBytesPerSecond / count;
    }
    return mean;
}

Core::Result<Bench::Process> startLoad(const Bench::Fleet &fleet, const std::string &programs, const TrialSize &size, int seconds)
{
    std::string entries;
    for (const Bench::ProcessSpec *entry : fleet.ofKind(Bench::ProcessKind::Entry)) {
        entries += (entries.empty() ? "" : ",") + entry->m_callers.toString();
    }
    const std::vector<std::string> arguments = {
        "--entries",
        entries,
        "--template",
        "drafts",
        "--accounts",
        "account-1",
        "--rate",
        std::to_string(size.m_requestsPerSecond),
        "--seconds",
        std::to_string(seconds),
        "--max-tokens",
        std::to_string(TokensPerRequest),
        "--output",
        "json",
    };
    return Bench::Process::start(programs + "/oriolerail-load", arguments, fleet.directory() + "/load.out");
}

/// Publishes at the rate of the trial for @p seconds. Only waits if the rate is 0.
Core::Result<void> runChanges(Bench::Fleet &fleet, const TrialSize &size, int seconds, const std::string &programs)
{
    if (size.m_changesPerMinute == 0) {
        std::this_thread::sleep_for(std::chrono::seconds(seconds));
        return Core::success();
    }
    const int changes = size.m_changesPerMinute * seconds / SecondsPerMinute;
    const Core::Instant start = Core::Clock::now();
    for (int change = 0; change < changes; ++change) {
        std::this_thread::sleep_until(start + std::chrono::milliseconds(1000 * seconds * change / changes));
        BOOST_OUTCOME_TRYV(Bench::publish(fleet, programs, makePublication(size, "1")));
    }
    std::this_thread::sleep_until(start + std::chrono::seconds(seconds));
    return Core::success();
}

}

TrialSize withAxisValue(Axis axis, int value, TrialSize base)
{
    switch (axis) {
    case Axis::Agents:
        base.m_agents = value;
        break;
    case Axis::Entries:
        base.m_entries = value;
        break;
    case Axis::Accounts:
        base.m_accounts = value;
        break;
    case Axis::Changes:
        base.m_changesPerMinute = value;
        break;
    case Axis::Requests:
        base.m_requestsPerSecond = value;
        break;
    }
    return base;
}

Core::Result<TrialResult> runTrial(const TrialSize &size, int seconds, const std::string &programs)
{
    const std::unique_ptr<Bench::Fleet> fleet = BOOST_OUTCOME_TRYX(Bench::Fleet::start(makeTopology(size), programs));
    const Bench::ToolOutcome published = BOOST_OUTCOME_TRYX(Bench::publish(*fleet, programs, makePublication(size, "1")));
    if (published.m_exitCode != 0) {
        return Core::makeError(Core::ErrorCode::Internal, "publish", "", published.m_output);
    }
    const Scenario::StoredDigests digests = BOOST_OUTCOME_TRYX(Scenario::readStoredDigests(*fleet));
    const std::string digest = digests.m_byVersion.at("1");
    const bool serving = Bench::waitUntil([&fleet, &size, &digest] { return Scenario::servingReplicas(*fleet, digest) >= size.m_agents; }, ServingTimeout);
    if (!serving) {
        return Core::makeError(Core::ErrorCode::Timeout, "wait for replicas", "", std::to_string(Scenario::servingReplicas(*fleet, digest)) + " serve");
    }
    std::this_thread::sleep_for(SettleTime);
    std::optional<Bench::Process> load;
    if (size.m_requestsPerSecond > 0) {
        load = BOOST_OUTCOME_TRYX(startLoad(*fleet, programs, size, seconds));
    }
    const std::vector<Bench::UsageSample> entriesBefore = readUsageSamples(*fleet, Bench::ProcessKind::Entry);
    const std::vector<Bench::UsageSample> agentsBefore = readUsageSamples(*fleet, Bench::ProcessKind::Agent);
    const std::uint64_t recordsBefore = BOOST_OUTCOME_TRYX(Scenario::nextControlOffset(*fleet));
    BOOST_OUTCOME_TRYV(runChanges(*fleet, size, seconds, programs));
    const std::uint64_t recordsAfter = BOOST_OUTCOME_TRYX(Scenario::nextControlOffset(*fleet));
    TrialResult result;
    result.m_entry = meanRate(entriesBefore, readUsageSamples(*fleet, Bench::ProcessKind::Entry));
    result.m_agent = meanRate(agentsBefore, readUsageSamples(*fleet, Bench::ProcessKind::Agent));
    result.m_logAppendsPerSecond = static_cast<double>(recordsAfter - recordsBefore) / seconds;
    return result;
}

}
