/// @file Counters, gauges and histograms of one process, with export as Prometheus text.
#pragma once

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Telemetry {

/// A counter that never decreases. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/// Distribution of durations in seconds over logarithmic bins. Thread-safe.
class Latency
{
public:
    Latency();

    void record(double seconds);
    /// Returns the upper edge, in seconds, of the bin that contains the given quantile (0 to 1); 0 if nothing was recorded.
    double quantile(double fraction) const;
    std::uint64_t count() const;
    double sum() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>>;

    mutable std::mutex m_mutex;
    Histogram m_histogram;
    std::uint64_t m_count = 0;
    double m_sum = 0;
};

/**
 * All metrics of a process, by name. References stay valid for the registry's life.
 *
 * A name may carry labels in Prometheus notation, for example "wire_bytes_total{purpose=\"live\"}".
 */
class Metrics
{
public:
    Counter &counter(const std::string &name);
    Latency &latency(const std::string &name);
    /// Registers a value that is read at each export.
    void gauge(const std::string &name, std::function<double()> read);

    /// Returns all metrics in the Prometheus text exposition format.
    std::string prometheusText() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
    std::map<std::string, std::unique_ptr<Latency>> m_latencies;
    std::map<std::string, std::function<double()>> m_gauges;
};

}
