/// @file Entries that retry failing requests, each with its own budget and its own view of the others, and the sum that the limit on retries counts.
#pragma once

#include "LibCore/Random.h"
#include "LibPlacement/RetryBudgets.h"
#include "RetryWindows.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace SimulatedRetries {

/// What happens to the entries. All times are in seconds from the first start.
struct Scenario
{
    std::size_t m_entries = 12;
    double m_requestsPerSecond = 240; ///< Of all entries together.
    double m_failingShare = 0.7; ///< Of the requests while endpoints fail.
    double m_failFrom = 25;
    double m_failTo = 45;
    std::vector<double> m_restarts; ///< At each, the entries of m_restartShare are killed.
    double m_restartShare = 1;
    double m_restartGap = 0; ///< Between the restarts of two entries.
    std::size_t m_joining = 0; ///< Further entries that start at m_joinAt.
    double m_joinAt = 0;
    double m_cutFrom = 1000; ///< From then on the entries of even and of odd numbers do not see each other.
    double m_cutTo = 1000;
};

struct Outcome
{
    double m_worstUse = 0; ///< Largest part of what is allowed in any window that retries used; the limit is 1.
    std::size_t m_wanted = 0; ///< Retries that callers needed.
    std::size_t m_sent = 0;
    std::size_t m_refusedThoughAllowed = 0; ///< Retries refused while the sum over all entries was below the limit.
};

inline const Core::Instant Start = Core::Instant() + Core::Duration(1'000'000);
inline constexpr Core::Duration Step{20};
inline constexpr Core::Duration ViewInterval{500}; ///< Between two updates of what entries know of each other.
inline constexpr Core::Duration Discovery{1000}; ///< Time in which entries learn of one that has started.
inline constexpr Core::Duration SettlingTime{4000}; ///< Time after a change in which all entries learn of it.
inline constexpr Core::Duration Downtime{300}; ///< From a kill to the next start.
inline constexpr std::uint64_t MaximumDelay = 80; ///< Milliseconds from sending to the arrival.
inline constexpr double Aftermath = 12; ///< Seconds after the recovery.

inline Core::Instant at(double seconds)
{
    return Start + Core::Duration(static_cast<std::int64_t>(std::llround(seconds * 1000)));
}

struct Process
{
    Placement::RetryBudgets m_budgets;
    Core::Instant m_startedAt;
    std::set<std::size_t> m_roster; ///< Of the others.
};

class Fleet
{
public:
    Fleet(const Scenario &scenario, const Placement::RetryBudgetSettings &settings)
        : m_scenario(scenario)
        , m_settings(settings)
        , m_processes(scenario.m_entries + scenario.m_joining)
        , m_nextStart(m_processes.size(), Start)
    {
        for (std::size_t joining = scenario.m_entries; joining < m_processes.size(); ++joining) {
            m_nextStart[joining] = at(scenario.m_joinAt);
        }
        for (const double restart : scenario.m_restarts) {
            const std::size_t count = static_cast<std::size_t>(std::llround(scenario.m_restartShare * static_cast<double>(scenario.m_entries)));
            for (std::size_t entry = 0; entry < count; ++entry) {
                m_kills.emplace_back(at(restart + scenario.m_restartGap * static_cast<double>(entry)), entry);
            }
        }
        std::sort(m_kills.begin(), m_kills.end());
    }

    Outcome play()
    {
        Core::Instant nextView = Start;
        for (Core::Instant now = Start; now < at(m_scenario.m_failTo + Aftermath); now += Step) {
            changeProcesses(now);
            // What entries know of each other changes only for some time after one has started, ended or been cut off.
            if (now >= nextView && now - m_lastChangeAt < SettlingTime) {
                updateViews(now);
                nextView = now + ViewInterval;
            }
            receive(now);
        }
        std::sort(m_retries.begin(), m_retries.end());
        return judge();
    }

private:
    void changeProcesses(Core::Instant now)
    {
        for (; m_nextKill < m_kills.size() && m_kills[m_nextKill].first <= now; ++m_nextKill) {
            const std::size_t entry = m_kills[m_nextKill].second;
            m_lastChangeAt = now;
            m_processes[entry].reset();
            m_nextStart[entry] = now + Downtime;
        }
        const bool isCutChanging = isNear(now, m_scenario.m_cutFrom) || isNear(now, m_scenario.m_cutTo);
        m_lastChangeAt = isCutChanging ? now : m_lastChangeAt;
        for (std::size_t entry = 0; entry < m_processes.size(); ++entry) {
            if (!m_processes[entry] && now >= m_nextStart[entry]) {
                m_lastChangeAt = now;
                m_processes[entry].emplace(Process{Placement::RetryBudgets(name(entry), m_settings, now), now, {}});
            }
        }
    }

    static bool isNear(Core::Instant now, double seconds)
    {
        return now >= at(seconds) && now < at(seconds) + Step;
    }

    static std::string name(std::size_t entry)
    {
        return "entry-" + std::to_string(entry);
    }

    bool sees(std::size_t self, std::size_t other, Core::Instant now) const
    {
        const bool isCut = now >= at(m_scenario.m_cutFrom) && now < at(m_scenario.m_cutTo) && self % 2 != other % 2;
        const bool isDiscovered = m_processes[other] && now - std::max(m_processes[other]->m_startedAt, m_processes[self]->m_startedAt) >= Discovery;
        return self != other && !isCut && isDiscovered;
    }

    void updateViews(Core::Instant now)
    {
        for (std::size_t self = 0; self < m_processes.size(); ++self) {
            for (std::size_t other = 0; m_processes[self] && other < m_processes.size(); ++other) {
                if (sees(self, other, now)) {
                    m_processes[self]->m_roster.insert(other);
                }
            }
        }
        for (std::size_t self = 0; self < m_processes.size(); ++self) {
            if (m_processes[self]) {
                m_processes[self]->m_budgets.setSharers(sharers(self, now));
            }
        }
    }

    Placement::RetrySharers sharers(std::size_t self, Core::Instant now) const
    {
        Placement::RetrySharers sharers{name(self), {}, 0, false};
        for (const std::size_t other : m_processes[self]->m_roster) {
            sharers.m_others.push_back(name(other));
            if (sees(self, other, now)) {
                sharers.m_reportedEntries = std::max(sharers.m_reportedEntries, m_processes[other]->m_roster.size() + 1);
            }
        }
        sharers.m_areKnown = m_processes.size() == 1 || !sharers.m_others.empty();
        return sharers;
    }

    void receive(Core::Instant now)
    {
        m_due += m_scenario.m_requestsPerSecond * Core::secondsBetween(now, now + Step);
        for (; m_due >= 1; m_due -= 1) {
            const std::size_t entry = m_random.below(m_processes.size());
            m_requests.push_back(now);
            if (!m_processes[entry]) {
                continue;
            }
            m_processes[entry]->m_budgets.recordRequest("drafts", now);
            const bool isFailing = now >= at(m_scenario.m_failFrom) && now < at(m_scenario.m_failTo);
            if (isFailing && m_random.unit() < m_scenario.m_failingShare) {
                retry(m_processes[entry]->m_budgets, now);
            }
        }
    }

    void retry(Placement::RetryBudgets &budgets, Core::Instant now)
    {
        ++m_outcome.m_wanted;
        const Placement::RetryGrant grant = budgets.tryReserve("drafts", true, m_random.unit(), now);
        if (grant == Placement::RetryGrant::None) {
            m_refused.push_back(now);
            return;
        }
        budgets.spend("drafts", grant, now);
        m_retries.push_back(now + Core::Duration(static_cast<std::int64_t>(m_random.below(MaximumDelay))));
    }

    Outcome judge()
    {
        const TestSupport::RetryLimit limit{m_settings.m_retriesPerRequest, m_settings.m_slack, m_settings.m_window};
        m_outcome.m_worstUse = TestSupport::worstRetryUse(m_requests, m_retries, limit).part();
        m_outcome.m_sent = m_retries.size();
        m_outcome.m_refusedThoughAllowed = static_cast<std::size_t>(std::count_if(m_refused.begin(), m_refused.end(), [this, &limit](Core::Instant time) {
            const TestSupport::RetryUse use = TestSupport::retryUse(m_requests, m_retries, time - m_settings.m_window + Step, limit);
            return static_cast<double>(use.m_retries) + 1 <= use.m_allowed;
        }));
        return m_outcome;
    }

    const Scenario m_scenario;
    const Placement::RetryBudgetSettings m_settings;
    std::vector<std::optional<Process>> m_processes; ///< Empty while an entry is down.
    std::vector<Core::Instant> m_nextStart;
    std::vector<std::pair<Core::Instant, std::size_t>> m_kills;
    std::size_t m_nextKill = 0;
    Core::Instant m_lastChangeAt = Start; ///< When an entry last started or ended, or a cut began or ended.
    double m_due = 0; ///< Requests that have not been received yet.
    Core::Random m_random{11};
    std::vector<Core::Instant> m_requests;
    std::vector<Core::Instant> m_retries; ///< Arrivals.
    std::vector<Core::Instant> m_refused;
    Outcome m_outcome;
};

/// Plays a scenario until some seconds after the endpoints have recovered.
inline Outcome play(const Scenario &scenario, const Placement::RetryBudgetSettings &settings)
{
    return Fleet(scenario, settings).play();
}

}
