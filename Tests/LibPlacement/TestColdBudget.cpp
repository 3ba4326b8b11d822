/// @file Tests that all entries together keep to the rate of a cold endpoint, whatever they know of each other, and use most of it.

#include "LibCore/Random.h"
#include "LibPlacement/ColdBudget.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
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

/// Returns all entries but @p self.
std::vector<Placement::LimitHolder> othersOf(std::size_t self, std::size_t entries)
{
    std::vector<Placement::LimitHolder> others;
    for (std::size_t other = 0; other < entries; ++other) {
        if (other != self) {
            others.push_back(holder(other));
        }
    }
    return others;
}

/// Returns the budget of an entry that has been running for long and knows @p others.
Placement::ColdBudget settledBudget(std::size_t self, std::vector<Placement::LimitHolder> others)
{
    const Core::Instant startedAt = Start - Core::Duration(60000);
    Placement::ColdBudget budget(holder(self), budgetSettings(), startedAt);
    budget.setEntries(std::move(others), true, startedAt);
    return budget;
}

/// Returns the time at which a request that is sent now arrives. Requests take between 0 and 80 ms.
Core::Instant arrival(Core::Instant now, Core::Random &random)
{
    return now + Core::Duration(static_cast<std::int64_t>(random.below(80)));
}

/// Sends a request if the entry may.
void press(Placement::ColdBudget &budget, const Fleet::Endpoint &endpoint, Core::Instant now, Core::Random &random, std::vector<Core::Instant> &arrivals)
{
    if (budget.maySend(endpoint, now)) {
        budget.recordSent(endpoint, now);
        arrivals.push_back(arrival(now, random));
    }
}

/// Entries of which each sends to the endpoint as soon as it may. Each knows all others but every @p unknown-th one; 0 if it knows all.
class SimulatedEntries
{
public:
    SimulatedEntries(std::size_t entries, std::size_t unknown)
    {
        for (std::size_t self = 0; self < entries; ++self) {
            std::vector<Placement::LimitHolder> others;
            for (std::size_t other = 0; other < entries; ++other) {
                if (other != self && (unknown == 0 || (self + other) % unknown != 0)) {
                    others.push_back(holder(other));
                }
            }
            m_budgets.push_back(settledBudget(self, std::move(others)));
            m_budgets.back().recordStated(coldEndpoint(), PerSecond, Start + ColdTime);
        }
    }

    /// Returns the arrival times.
    std::vector<Core::Instant> play()
    {
        std::vector<Core::Instant> arrivals;
        Core::Random random(3);
        for (Core::Instant now = Start; now < Start + ColdTime; now += Core::Duration(5)) {
            for (Placement::ColdBudget &budget : m_budgets) {
                press(budget, coldEndpoint(), now, random, arrivals);
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

/// When an entry knows the others, counted from its start.
struct KnownAfter
{
    Core::Duration m_least{0};
    Core::Duration m_spread{1};
};

Core::Duration randomTime(const KnownAfter &range, Core::Random &random)
{
    return range.m_least + Core::Duration(static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(range.m_spread.count()))));
}

/// Returns the arrival times at an endpoint of entries that start together with it. Each knows all others after a time of its own.
std::vector<Core::Instant> playJointStart(const Fleet::Endpoint &endpoint, std::size_t entries, std::uint64_t seed, const KnownAfter &knownAfter)
{
    Core::Random random(seed);
    std::vector<Placement::ColdBudget> budgets;
    std::vector<std::optional<Core::Instant>> knownAt; // Empty once the entry knows the others.
    for (std::size_t entry = 0; entry < entries; ++entry) {
        budgets.emplace_back(holder(entry), budgetSettings(), Start);
        budgets.back().setEntries({}, false, Start);
        budgets.back().recordStated(endpoint, PerSecond, Start + ColdTime);
        knownAt.emplace_back(Start + randomTime(knownAfter, random));
    }
    std::vector<Core::Instant> arrivals;
    for (Core::Instant now = Start; now < Start + ColdTime; now += Core::Duration(25)) {
        for (std::size_t entry = 0; entry < entries; ++entry) {
            if (knownAt[entry] && now >= *knownAt[entry]) {
                budgets[entry].setEntries(othersOf(entry, entries), true, now);
                knownAt[entry].reset();
            }
            press(budgets[entry], endpoint, now, random, arrivals);
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    return arrivals;
}

/// An entry that is killed and replaced, and comes to know the others in several steps.
struct RestartingEntry
{
    std::unique_ptr<Placement::ColdBudget> m_budget; ///< Of the running incarnation.
    Core::Instant m_endsAt; ///< Of the first incarnation.
    Core::Instant m_startsAt; ///< Of the second one.
    bool m_isRestarted = false;
    std::size_t m_known = 0; ///< Entries that the second incarnation knows, itself included.
};

/// Gives an entry a list of as many others as it knows after @p running. Lists of different entries hold different ones, and each claims to be complete.
void learn(RestartingEntry &entry, std::size_t self, std::size_t entries, Core::Duration running, Core::Instant now, Core::Random &random)
{
    constexpr Core::Duration step{100};
    constexpr std::size_t steps = 10;
    const std::size_t known = std::min(entries, entries * static_cast<std::size_t>(running / step) / steps);
    if (known <= entry.m_known) {
        return;
    }
    entry.m_known = known;
    std::vector<Placement::LimitHolder> others = othersOf(self, entries);
    Core::keepRandom(others, known - 1, random);
    entry.m_budget->setEntries(std::move(others), true, now);
}

/// Returns the arrival times at an endpoint that is cold from the start on, while a share of the entries are killed and start again.
std::vector<Core::Instant> playRestarts(const Fleet::Endpoint &endpoint, std::size_t entries, double share, Core::Duration latestStart, std::uint64_t seed)
{
    Core::Random random(seed);
    std::vector<RestartingEntry> running;
    for (std::size_t self = 0; self < entries; ++self) {
        const bool isKilled = random.unit() < share;
        const Core::Instant endsAt = isKilled ? Start + Core::Duration(300) : Core::Instant::max();
        const Core::Duration startsAfter = randomTime(KnownAfter{Core::Duration(0), latestStart + Core::Duration(1)}, random);
        running.push_back(RestartingEntry{
            std::make_unique<Placement::ColdBudget>(settledBudget(self, othersOf(self, entries))), endsAt, isKilled ? endsAt + startsAfter : endsAt});
        running.back().m_budget->recordStated(endpoint, PerSecond, Start + ColdTime);
    }
    std::vector<Core::Instant> arrivals;
    for (Core::Instant now = Start; now < Start + ColdTime; now += Core::Duration(20)) {
        for (std::size_t self = 0; self < entries; ++self) {
            RestartingEntry &entry = running[self];
            if (now >= entry.m_startsAt && !entry.m_isRestarted) {
                entry.m_budget = std::make_unique<Placement::ColdBudget>(holder(self), budgetSettings(), now);
                entry.m_isRestarted = true;
                entry.m_budget->recordStated(endpoint, PerSecond, now + ColdTime);
            }
            if (entry.m_isRestarted) {
                learn(entry, self, entries, std::chrono::duration_cast<Core::Duration>(now - entry.m_startsAt), now, random);
            }
            if (now < entry.m_endsAt || entry.m_isRestarted) {
                press(*entry.m_budget, endpoint, now, random, arrivals);
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    return arrivals;
}

/// Returns the most requests within a second at any of 34 endpoints.
std::size_t mostAtAnyEndpoint(const std::function<std::vector<Core::Instant>(const Fleet::Endpoint &endpoint)> &play)
{
    constexpr std::size_t endpoints = 34;
    std::size_t most = 0;
    for (std::size_t number = 0; number < endpoints; ++number) {
        most = std::max(most, mostWithinASecond(play(coldEndpoint("engine-" + std::to_string(number)))));
    }
    return most;
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
        Placement::ColdBudget budget(holder(entry), budgetSettings(), Start);
        budget.setEntries({}, false, Start);
        const Core::Instant firstSend = Start + budgetSettings().m_window;
        std::size_t usable = 0;
        for (std::size_t engine = 0; engine < engines; ++engine) {
            const Fleet::Endpoint endpoint = coldEndpoint("engine-" + std::to_string(engine));
            budget.recordStated(endpoint, PerSecond, Start + ColdTime);
            usable += budget.maySend(endpoint, firstSend) ? 1 : 0;
            sent[engine] += budget.maySend(endpoint, firstSend) ? 1 : 0;
        }
        CHECK(usable > 0);
    }
    CHECK(static_cast<double>(*std::max_element(sent.begin(), sent.end())) <= budget());
}

TEST_CASE("Load: all entries and engines have started together, and entries come to know each other within a second; no second exceeds the budget")
{
    // Guards against entries that spend the budget of a cold engine twice: once as newcomers, and once more with those that rank first for it.
    constexpr std::size_t entries = 87;
    const KnownAfter knownAfter{Core::Duration(400), Core::Duration(600)};
    const std::uint64_t seed = GENERATE(1U, 2U, 3U, 4U);
    const std::size_t most = mostAtAnyEndpoint([&](const Fleet::Endpoint &endpoint) { return playJointStart(endpoint, entries, seed, knownAfter); });
    CHECK(static_cast<double>(most) <= budget());
}

TEST_CASE("Load: entries are killed while engines are cold, and know few, many, other and all entries within a second; no second exceeds the budget")
{
    // Guards against entries that send to a cold engine by lists of different entries, or once more after a restart.
    constexpr std::size_t entries = 87;
    const double share = GENERATE(0.33, 1.0);
    const std::int64_t latestStart = GENERATE(range(0, 2001, 250));
    CAPTURE(share, latestStart);
    const std::size_t most =
        mostAtAnyEndpoint([&](const Fleet::Endpoint &endpoint) { return playRestarts(endpoint, entries, share, Core::Duration(latestStart), 1); });
    CHECK(static_cast<double>(most) <= budget());
}

TEST_CASE("An endpoint is cold until its time is over, the list calls it warm, or it has started again")
{
    Placement::ColdBudget budget(holder(0), budgetSettings(), Start);
    budget.recordStated(coldEndpoint(), PerSecond, Start + ColdTime);
    CHECK(budget.isCold(coldEndpoint(), Start));
    CHECK_FALSE(budget.isCold(coldEndpoint(), Start + ColdTime));
    Fleet::Endpoint restarted = coldEndpoint();
    ++restarted.m_startedMilliseconds;
    CHECK_FALSE(budget.isCold(restarted, Start));
    budget.recordStated(coldEndpoint(), PerSecond, std::nullopt);
    CHECK_FALSE(budget.isCold(coldEndpoint(), Start));
}

TEST_CASE("An endpoint that states a later end of its cold time is cold until then, at the rate that is stated now")
{
    Placement::ColdBudget budget = settledBudget(0, {});
    budget.recordStated(coldEndpoint(), PerSecond, Start + ColdTime);
    CHECK(budget.recordStated(coldEndpoint(), 1, Start + ColdTime * 2));
    CHECK_FALSE(budget.recordStated(coldEndpoint(), 1, Start + ColdTime * 2));
    CHECK(budget.isCold(coldEndpoint(), Start + ColdTime));
    CHECK_FALSE(budget.isCold(coldEndpoint(), Start + ColdTime * 2));
    std::size_t sent = 0;
    for (; budget.maySend(coldEndpoint(), Start); ++sent) {
        budget.recordSent(coldEndpoint(), Start);
    }
    CHECK(sent == 5); // Four fifths of 1 x 1.5 + 5.
}

TEST_CASE("A statement that an endpoint is warm does not end the time for which it is suspected to be cold")
{
    // Guards against the full rate to an endpoint that has become cold while nobody could send to it, and whose last statement is older.
    Placement::ColdBudget budget = settledBudget(0, {});
    budget.recordSuspected(coldEndpoint(), PerSecond, Start + ColdTime);
    budget.recordStated(coldEndpoint(), PerSecond, std::nullopt);
    CHECK(budget.isCold(coldEndpoint(), Start));
    CHECK_FALSE(budget.isCold(coldEndpoint(), Start + ColdTime));
    budget.recordUnlimited(coldEndpoint());
    CHECK_FALSE(budget.isCold(coldEndpoint(), Start));
}
