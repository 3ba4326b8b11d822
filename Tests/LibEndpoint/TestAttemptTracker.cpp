/// @file The gate for calls that may not be repeated: single rules, and a model check over all short interleavings.

#include "LibEndpoint/AttemptTracker.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace {

using Endpoint::Admission;
using Endpoint::AttemptTag;
using Endpoint::AttemptTracker;
using Endpoint::AttemptTrackerLimits;
using Protocol::Outcome;

const std::string Life = "life-1";

AttemptTag tag(const std::string &attempt, const std::string &key = "", std::uint64_t report = 10)
{
    return AttemptTag{attempt, key, Life, report};
}

/// Admits, begins and finishes an attempt.
void runWhole(AttemptTracker &gate, const AttemptTag &attempt, const std::string &body)
{
    REQUIRE(gate.admit(attempt) == Admission::Admitted);
    REQUIRE(gate.tryBegin(attempt.m_attempt));
    gate.recordAnswer(attempt.m_attempt, 200, body);
}

}

TEST_CASE("a finished attempt does not run again and its answer is kept")
{
    // The answer to a booking is lost on its way back, and the entry or the network sends the call once more. A second run would book twice.
    AttemptTracker gate(Life, {});
    runWhole(gate, tag("a", "key"), "booked");
    REQUIRE(gate.admit(tag("a", "key")) == Admission::Duplicate);
    REQUIRE_FALSE(gate.tryBegin("a"));
    REQUIRE(gate.outcome(tag("a")) == Protocol::OutcomeAnswer{Outcome::Finished, 200, "booked"});
    REQUIRE(gate.admit(tag("b", "key")) == Admission::KeyInUse);
}

TEST_CASE("an attempt that was asked after before it arrived never runs")
{
    // The call is held up in the network; the entry asks, learns that nothing ran, and tells its caller so. Then the call arrives.
    AttemptTracker gate(Life, {});
    REQUIRE(gate.outcome(tag("late")).m_outcome == Outcome::NeverRan);
    REQUIRE(gate.admit(tag("late", "key")) == Admission::Tombstoned);
    REQUIRE_FALSE(gate.tryBegin("late"));
}

TEST_CASE("an attempt that was cancelled in the queue never runs and says so")
{
    AttemptTracker gate(Life, {});
    REQUIRE(gate.admit(tag("a", "key")) == Admission::Admitted);
    gate.cancel(tag("a", "key"));
    REQUIRE_FALSE(gate.tryBegin("a"));
    REQUIRE(gate.outcome(tag("a")).m_outcome == Outcome::NeverRan);
    REQUIRE(gate.admit(tag("b", "key")) == Admission::Admitted);
}

TEST_CASE("a lost answer is unknown and never repeated")
{
    // The service has posted the invoice, and its answer is lost. Neither "not run" nor a second try would be true or safe.
    AttemptTracker gate(Life, {});
    REQUIRE(gate.admit(tag("a", "key")) == Admission::Admitted);
    REQUIRE(gate.tryBegin("a"));
    gate.recordLostAnswer("a");
    REQUIRE(gate.outcome(tag("a")).m_outcome == Outcome::Unknown);
    REQUIRE(gate.admit(tag("a", "key")) == Admission::Duplicate);
    REQUIRE(gate.admit(tag("b", "key")) == Admission::KeyInUse);
}

TEST_CASE("a fresh agent does not claim that an attempt of an earlier life did not run")
{
    // The agent is replaced while a booking runs. Its successor has never heard of the booking and must not deny it.
    AttemptTracker gate("life-2", {});
    REQUIRE(gate.outcome(tag("a")).m_outcome == Outcome::Unknown);
    REQUIRE(gate.outcome(AttemptTag{"b", "", "", 0}).m_outcome == Outcome::Unknown);
    REQUIRE(gate.admit(tag("a", "key")) == Admission::OtherIncarnation);
}

TEST_CASE("what is forgotten is unknown and is not run late")
{
    // An agent remembers a bounded number of attempts. One that it has forgotten looks like one that never arrived.
    AttemptTrackerLimits limits;
    limits.m_maximumAttempts = 2;
    AttemptTracker gate(Life, limits);
    runWhole(gate, tag("a", "", 10), "1");
    runWhole(gate, tag("b", "", 11), "2");
    runWhole(gate, tag("c", "", 12), "3");
    REQUIRE(gate.rememberedAttempts() == 2);
    REQUIRE(gate.outcome(tag("a", "", 10)).m_outcome == Outcome::Unknown);
    REQUIRE(gate.admit(tag("a", "", 10)) != Admission::Admitted);
    REQUIRE(gate.outcome(tag("new", "", 20)).m_outcome == Outcome::NeverRan);
}

TEST_CASE("stored answers are bounded, oldest dropped first")
{
    AttemptTrackerLimits limits;
    limits.m_maximumStoredAnswerBytes = 10;
    limits.m_maximumBytesPerAnswer = 8;
    AttemptTracker gate(Life, limits);
    runWhole(gate, tag("a"), "123456");
    runWhole(gate, tag("b"), "123456");
    REQUIRE(gate.storedAnswerBytes() == 6);
    REQUIRE(gate.outcome(tag("a")).m_outcome == Outcome::Unknown);
    REQUIRE(gate.outcome(tag("b")).m_outcome == Outcome::Finished);
    runWhole(gate, tag("long"), "123456789");
    REQUIRE(gate.outcome(tag("long")).m_outcome == Outcome::Unknown);
}

TEST_CASE("open attempts are never forgotten; a full gate refuses")
{
    AttemptTrackerLimits limits;
    limits.m_maximumAttempts = 1;
    AttemptTracker gate(Life, limits);
    REQUIRE(gate.admit(tag("a")) == Admission::Admitted);
    REQUIRE(gate.admit(tag("b")) == Admission::Full);
    REQUIRE(gate.outcome(tag("b")).m_outcome == Outcome::NeverRan);
    REQUIRE(gate.admit(tag("b")) != Admission::Admitted);
    REQUIRE(gate.tryBegin("a"));
}

namespace {

/// What can happen in the model, each to one of the attempts.
enum class Event {
    Arrive, ///< The call arrives, for the first time or again.
    Begin, ///< A worker takes it from the queue and hands it to the endpoint.
    Finish,
    Lose, ///< The endpoint's answer is lost.
    Cancel,
    Ask, ///< The entry asks what became of it.
    Restart, ///< The agent is replaced.
};

constexpr std::array AttemptEvents = {Event::Arrive, Event::Begin, Event::Finish, Event::Lose, Event::Cancel, Event::Ask};
const std::array<std::string, 3> Attempts = {"a", "b", "other"};

/// The world around a gate, and what it has been told.
struct World
{
    AttemptTracker m_gate{"life-0", AttemptTrackerLimits{2, 4, 4}};
    int m_life = 0;
    std::map<std::string, int> m_runs; ///< By attempt: how often the endpoint got it.
    std::set<std::string> m_deniedRuns; ///< Attempts that were reported as never run.
    std::string m_trace;

    /// All attempts were sent in the first life; the first two share a key. Each was sent on a report of its own.
    static AttemptTag tagOf(std::size_t attempt)
    {
        const std::string key = attempt < 2 ? "key" : "other-key";
        return AttemptTag{Attempts.at(attempt), key, "life-0", attempt + 1};
    }

    void apply(Event event, std::size_t attempt)
    {
        const std::string &name = Attempts.at(attempt);
        m_trace += " " + std::to_string(static_cast<int>(event)) + name;
        switch (event) {
        case Event::Arrive:
            m_gate.admit(tagOf(attempt));
            break;
        case Event::Begin:
            m_runs[name] += m_gate.tryBegin(name) ? 1 : 0;
            break;
        case Event::Finish:
            m_gate.recordAnswer(name, 200, "abc");
            break;
        case Event::Lose:
            m_gate.recordLostAnswer(name);
            break;
        case Event::Cancel:
            m_gate.cancel(tagOf(attempt));
            break;
        case Event::Ask:
            if (m_gate.outcome(tagOf(attempt)).m_outcome == Outcome::NeverRan) {
                m_deniedRuns.insert(name);
            }
            break;
        case Event::Restart:
            ++m_life;
            m_gate = AttemptTracker("life-" + std::to_string(m_life), AttemptTrackerLimits{2, 4, 4});
            break;
        }
    }

    bool holds() const
    {
        int runsOfKey = 0;
        for (const std::pair<const std::string, int> &run : m_runs) {
            runsOfKey += run.first == "other" ? 0 : run.second;
            const bool deniedButRan = run.second > 0 && m_deniedRuns.contains(run.first);
            if (run.second > 1 || deniedButRan) {
                return false;
            }
        }
        return runsOfKey <= 1;
    }
};

/// Explores every sequence of events; returns the trace of the first that breaks a promise.
std::string findBreach(const World &world, int depth)
{
    if (!world.holds()) {
        return world.m_trace;
    }
    if (depth == 0) {
        return "";
    }
    for (std::size_t attempt = 0; attempt < Attempts.size(); ++attempt) {
        for (const Event event : AttemptEvents) {
            World next = world;
            next.apply(event, attempt);
            const std::string breach = findBreach(next, depth - 1);
            if (!breach.empty()) {
                return breach;
            }
        }
    }
    World next = world;
    next.apply(Event::Restart, 0);
    return findBreach(next, depth - 1);
}

}

TEST_CASE("model check: at most one run for each key, and never run means never run")
{
    // Calls arrive, arrive again, are cancelled, asked after and lost in any order, the memory holds two attempts, and the agent restarts.
    REQUIRE(findBreach(World(), 5) == "");
}
