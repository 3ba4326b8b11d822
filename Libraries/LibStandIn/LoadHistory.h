/// @file History of an engine's load, which simulates that engines report their load with a lag. Logic only, without threads.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <deque>

namespace StandIn {

/// Load of an engine at one time.
struct LoadSample
{
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;

    bool operator==(const LoadSample &) const = default;
};

/// Records load samples and returns the one that is older than the lag. Not thread-safe.
class LoadHistory
{
public:
    explicit LoadHistory(Core::Duration lag)
        : m_lag(lag)
    {
    }

    void record(LoadSample sample, Core::Instant now)
    {
        removeOutdated(now);
        m_samples.push_back(Entry{now, sample});
        if (m_samples.size() > MaximumSamples) {
            m_samples.pop_front();
        }
    }

    /// Returns the load at @p now minus the lag, or zero load if no sample is that old.
    LoadSample reported(Core::Instant now)
    {
        removeOutdated(now);
        const bool oldEnough = !m_samples.empty() && m_samples.front().m_time + m_lag <= now;
        return oldEnough ? m_samples.front().m_sample : LoadSample{};
    }

private:
    struct Entry
    {
        Core::Instant m_time;
        LoadSample m_sample;
    };

    static constexpr std::size_t MaximumSamples = 65536;

    /// Removes samples that are superseded by a newer one older than the lag.
    void removeOutdated(Core::Instant now)
    {
        while (m_samples.size() > 1 && m_samples[1].m_time + m_lag <= now) {
            m_samples.pop_front();
        }
    }

    Core::Duration m_lag;
    std::deque<Entry> m_samples; ///< Oldest first.
};

}
