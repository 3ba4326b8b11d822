/// @file Implementation of usage samples.

#include "LibBench/Sample.h"
#include "LibBench/Http.h"

#include <cstdlib>
#include <sstream>

namespace Bench {

namespace {

double valueOrZero(const std::map<std::string, double> &metrics, const std::string &name)
{
    const std::map<std::string, double>::const_iterator it = metrics.find(name);
    return it == metrics.end() ? 0 : it->second;
}

double sumBothDirections(const std::map<std::string, double> &metrics, const std::string &unit, const std::string &purpose)
{
    const std::string label = "_total{purpose=\"" + purpose + "\"}";
    return valueOrZero(metrics, "oriolerail_wire_" + unit + "_sent" + label) + valueOrZero(metrics, "oriolerail_wire_" + unit + "_received" + label);
}

}

std::map<std::string, double> parseMetrics(const std::string &text)
{
    std::map<std::string, double> metrics;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t space = line.rfind(' ');
        if (space == std::string::npos || line.starts_with('#')) {
            continue;
        }
        metrics[line.substr(0, space)] = std::strtod(line.c_str() + space, nullptr);
    }
    return metrics;
}

Core::Result<UsageSample> readUsageSample(Fleet &fleet, const std::string &process)
{
    const ProcessSpec *spec = BOOST_OUTCOME_TRYX(fleet.find(process));
    const std::string text = BOOST_OUTCOME_TRYX(httpGet(spec->m_health, "/metrics"));
    const std::map<std::string, double> metrics = parseMetrics(text);
    const Process *running = fleet.process(process);
    UsageSample sample;
    sample.m_takenAt = Core::Clock::now();
    sample.m_processorSeconds = running->processorSeconds();
    sample.m_residentBytes = static_cast<double>(running->residentBytes());
    sample.m_controlBytes = sumBothDirections(metrics, "bytes", "control");
    sample.m_controlFrames = sumBothDirections(metrics, "frames", "control");
    sample.m_transferBytes = sumBothDirections(metrics, "bytes", "transfer");
    sample.m_liveBytes = sumBothDirections(metrics, "bytes", "live");
    return sample;
}

UsageRate usageRate(const UsageSample &before, const UsageSample &after)
{
    const double seconds = Core::secondsBetween(before.m_takenAt, after.m_takenAt);
    UsageRate rate;
    rate.m_processorShare = (after.m_processorSeconds - before.m_processorSeconds) / seconds;
    rate.m_residentBytes = after.m_residentBytes;
    rate.m_controlBytesPerSecond = (after.m_controlBytes - before.m_controlBytes) / seconds;
    rate.m_controlFramesPerSecond = (after.m_controlFrames - before.m_controlFrames) / seconds;
    rate.m_liveBytesPerSecond = (after.m_liveBytes - before.m_liveBytes) / seconds;
    return rate;
}

}
