/// @file Tests that all entries together keep to the rate of a cold endpoint, whatever they know of each other, and use most of it.

#include "LibPlacement/ColdBudget.h"

#include <catch2/catch.hpp>
#include <optional>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1'000'000);
constexpr double PerSecond = 26;
constexpr Core::Duration ColdTime{3000};

Fleet::Endpoint coldEndpoint(const std::string &id = "e")
{
    Fleet::Endpoint endpoint;
    endpoint.m_id = id;
    endpoint.m_startedMilliseconds = 7;
    endpoint.m_failureDomain = "a";
    return endpoint;
}

Placement::ColdBudgetSettings budgetSettings()
{
    Placement::ColdBudgetSettings settings;
    settings.m_excess = 1.5;
    settings.m_slack = 5;
    return settings;
}

double budget()
{
    return PerSecond * budgetSettings().m_excess + budgetSettings().m_slack;
}

Placement::LimitHolder holder(std::size_t index)
{
    return Placement::LimitHolder{"entry-" + std::to_string(index), std::string(1, static_cast<char>('a' + index % 3))};
}

/// Entries of which each sends to the endpoint as soon as it may. Each knows all others but every @p unknown-th one; 0 if it knows all.
class SimulatedEntries
{
public:
    SimulatedEntries(std::size_t entries, std::size_t unknown)
    {
        for (std::size_t self = 0; self < entries; ++self) {
            m_budgets.emplace_back(holder(self), budgetSettings());
            std::vector<Placement::LimitHolder> others;
            for (std::size_t other = 0; other < entries; ++other) {
                if (other != self && (unknown == 0 || (self + other) % unknown != 0)) {
                    others.push_back(holder(other));
                }
            }
            m_budgets.back().setEntries(std::move(others), true);
            m_budgets.back().recordCold(coldEndpoint(), PerSecond, ColdTime, Start);
        }
    }

    /// Returns the arrival times. Requests take between 0 and 80 ms to arrive.
    std::vector<Core::Instant> play()
    {
        std::vector<Core::Instant> arrivals;
        Core::Random random(3);
        for (Core::Instant now = Start; now < Start + ColdTime; now += Core::Duration(5)) {
            for (Placement::ColdBudget &budget : m_budgets) {
                if (budget.maySend(coldEndpoint(), now)) {
                    budget.recordSent(coldEndpoint(), now);
                    arrivals.push_back(now + Core::Duration(static_cast<std::int64_t>(random.below(80))));
                }
            }
        }
        std::sort(arrivals.begin(), arrivals.end());
        return arrivals;
    }

private:
    std::vector<Placement::ColdBudget> m_budgets;
};

std::size_t mostWithinASecond(const std::vector<Core::Instant> &times)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > Core::Duration(1000)) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// When an entry knows the others, counted from the start.
struct KnownAfter
{
    Core::Duration m_least{0};
    Core::Duration m_spread{1};
};

/// Returns the arrival times at an endpoint of entries that start together with it. Each knows all others after a time of its own.
std::vector<Core::Instant> playJointStart(const Fleet::Endpoint &endpoint, std::size_t entries, std::uint64_t seed, const KnownAfter &knownAfter)
{
    Core::Random random(seed);
    std::vector<Placement::ColdBudget> budgets;
    std::vector<std::optional<Core::Instant>> knownAt; // Empty once the entry knows the others.
    std::vector<Placement::LimitHolder> all;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        all.push_back(holder(entry));
        budgets.emplace_back(all.back(), budgetSettings());
        budgets.back().setEntries({}, false);
        budgets.back().recordCold(endpoint, PerSecond, ColdTime, Start);
        knownAt.push_back(Start + knownAfter.m_least
                          + Core::Duration(static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(knownAfter.m_spread.count())))));
    }
    std::vector<Core::Instant> arrivals;
    for (Core::Instant now = Start; now < Start + ColdTime; now += Core::Duration(25)) {
        for (std::size_t entry = 0; entry < entries; ++entry) {
            if (knownAt[entry] && now >= *knownAt[entry]) {
                std::vector<Placement::LimitHolder> others = all;
                others.erase(others.begin() + static_cast<std::ptrdiff_t>(entry));
                budgets[entry].setEntries(std::move(others), true);
                knownAt[entry].reset();
            }
            if (budgets[entry].maySend(endpoint, now)) {
                budgets[entry].recordSent(endpoint, now);
                arrivals.push_back(now + Core::Duration(static_cast<std::int64_t>(random.below(80))));
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    return arrivals;
}

}

TEST_CASE("Load: a domain returns cold while all entries press; no second exceeds the budget, and most of it is used")
{
    const std::size_t entries = GENERATE(1U, 12U, 53U, 400U);
    CAPTURE(entries);
    const std::vector<Core::Instant> arrivals = SimulatedEntries(entries, 0).play();
    CHECK(static_cast<double>(mostWithinASecond(arrivals)) <= budget());
    CHECK(static_cast<double>(arrivals.size()) >= PerSecond * ColdTime.count() / 1000 * 0.8);
}

TEST_CASE("Load: as before, but one in ten pairs of entries do not know of each other; no second exceeds the budget")
{
    const std::size_t entries = GENERATE(12U, 53U, 400U);
    CAPTURE(entries);
    CHECK(static_cast<double>(mostWithinASecond(SimulatedEntries(entries, 10).play())) <= budget());
}

TEST_CASE("Load: all entries and engines have started together, and no entry knows another; each engine's budget is kept, and each entry can send")
{
    const std::size_t entries = GENERATE(12U, 53U, 100U);
    CAPTURE(entries);
    constexpr std::size_t engines = 34;
    std::vector<std::size_t> sent(engines);
    for (std::size_t entry = 0; entry < entries; ++entry) {
        Placement::ColdBudget budget(holder(entry), budgetSettings());
        budget.setEntries({}, false);
        std::size_t usable = 0;
        for (std::size_t engine = 0; engine < engines; ++engine) {
            const Fleet::Endpoint endpoint = coldEndpoint("engine-" + std::to_string(engine));
            budget.recordCold(endpoint, PerSecond, ColdTime, Start);
            usable += budget.maySend(endpoint, Start) ? 1 : 0;
            sent[engine] += budget.maySend(endpoint, Start) ? 1 : 0;
        }
        CHECK(usable > 0);
    }
    CHECK(static_cast<double>(*std::max_element(sent.begin(), sent.end())) <= budget());
}

TEST_CASE("Load: all entries and engines have started together, and entries come to know each other within a second; no second exceeds the budget")
{
    // Guards against entries that spend the budget of a cold engine twice: once as newcomers, and once more with those that rank first for it.
    constexpr std::size_t entries = 87;
    constexpr std::size_t engines = 34;
    const KnownAfter knownAfter{Core::Duration(400), Core::Duration(600)};
    const std::uint64_t seed = GENERATE(1U, 2U, 3U, 4U);
    std::size_t most = 0;
    for (std::size_t engine = 0; engine < engines; ++engine) {
        const Fleet::Endpoint endpoint = coldEndpoint("engine-" + std::to_string(engine));
        most = std::max(most, mostWithinASecond(playJointStart(endpoint, entries, seed, knownAfter)));
    }
    CHECK(static_cast<double>(most) <= budget());
}

TEST_CASE("An endpoint is cold until its time is over, the list calls it warm, or it has started again")
{
    Placement::ColdBudget budget(holder(0), budgetSettings());
    budget.recordCold(coldEndpoint(), PerSecond, ColdTime, Start);
    CHECK(budget.isCold(coldEndpoint(), Start));
    CHECK_FALSE(budget.isCold(coldEndpoint(), Start + ColdTime));
    Fleet::Endpoint restarted = coldEndpoint();
    ++restarted.m_startedMilliseconds;
    CHECK_FALSE(budget.isCold(restarted, Start));
    budget.recordWarm(coldEndpoint());
    CHECK_FALSE(budget.isCold(coldEndpoint(), Start));
}
