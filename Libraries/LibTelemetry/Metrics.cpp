/// @file Implementation of the metrics registry.

#include "LibTelemetry/Metrics.h"

#include <sstream>

namespace Telemetry {

namespace {

constexpr unsigned LatencyBins = 140;
constexpr double SmallestLatencySeconds = 1e-5;
constexpr double LargestLatencySeconds = 1e3;

/// Adds a label to a metric name that may already have labels.
std::string withLabel(const std::string &name, const std::string &label)
{
    if (name.ends_with('}')) {
        return name.substr(0, name.size() - 1) + "," + label + "}";
    }
    return name + "{" + label + "}";
}

std::string withSuffix(const std::string &name, const std::string &suffix)
{
    const std::size_t brace = name.find('{');
    if (brace == std::string::npos) {
        return name + suffix;
    }
    return name.substr(0, brace) + suffix + name.substr(brace);
}

}

Latency::Latency()
    : m_histogram(boost::histogram::make_histogram(Axis(LatencyBins, SmallestLatencySeconds, LargestLatencySeconds)))
{
}

void Latency::record(double seconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_histogram(std::max(seconds, SmallestLatencySeconds));
    ++m_count;
    m_sum += seconds;
}

double Latency::quantile(double fraction) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const double targetCount = fraction * static_cast<double>(m_count);
    double cumulativeCount = 0;
    for (int bin = 0; bin < static_cast<int>(LatencyBins); ++bin) {
        cumulativeCount += m_histogram.at(bin);
        if (cumulativeCount >= targetCount && cumulativeCount > 0) {
            return m_histogram.axis(0).bin(bin).upper();
        }
    }
    return m_count == 0 ? 0 : LargestLatencySeconds;
}

std::uint64_t Latency::count() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_count;
}

double Latency::sum() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_sum;
}

Counter &Metrics::counter(const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<Counter> &slot = m_counters[name];
    if (!slot) {
        slot = std::make_unique<Counter>();
    }
    return *slot;
}

Latency &Metrics::latency(const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::unique_ptr<Latency> &slot = m_latencies[name];
    if (!slot) {
        slot = std::make_unique<Latency>();
    }
    return *slot;
}

void Metrics::gauge(const std::string &name, std::function<double()> read)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_gauges[name] = std::move(read);
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::ostringstream text;
    for (const std::pair<const std::string, std::unique_ptr<Counter>> &entry : m_counters) {
        text << "oriolerail_" << entry.first << ' ' << entry.second->value() << '\n';
    }
    for (const std::pair<const std::string, std::function<double()>> &entry : m_gauges) {
        text << "oriolerail_" << entry.first << ' ' << entry.second() << '\n';
    }
    for (const std::pair<const std::string, std::unique_ptr<Latency>> &entry : m_latencies) {
        const std::string name = "oriolerail_" + entry.first;
        text << withLabel(name, "quantile=\"0.5\"") << ' ' << entry.second->quantile(0.5) << '\n';
        text << withLabel(name, "quantile=\"0.95\"") << ' ' << entry.second->quantile(0.95) << '\n';
        text << withLabel(name, "quantile=\"0.99\"") << ' ' << entry.second->quantile(0.99) << '\n';
        text << withSuffix(name, "_sum") << ' ' << entry.second->sum() << '\n';
        text << withSuffix(name, "_count") << ' ' << entry.second->count() << '\n';
    }
    return text.str();
}

}
