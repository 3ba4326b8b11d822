/// @file Tests of AttemptTracker: its rules one by one, and a model check over all short interleavings of events.

#include "LibEndpoint/AttemptTracker.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace {

using Endpoint::Admission;
using Endpoint::AttemptTag;
using Endpoint::AttemptTracker;
using Endpoint::AttemptTrackerLimits;
using Protocol::Outcome;

const std::string Incarnation = "life-1";

AttemptTag tag(const std::string &attempt, const std::string &key = "", std::uint64_t report = 10)
{
    return AttemptTag{attempt, key, Incarnation, report};
}

/// Admits, begins and finishes an attempt.
void runToCompletion(AttemptTracker &tracker, const AttemptTag &attempt, const std::string &body)
{
    REQUIRE(tracker.admit(attempt) == Admission::Admitted);
    REQUIRE(tracker.tryBegin(attempt.m_attempt));
    tracker.recordAnswer(attempt.m_attempt, 200, body);
}

}

TEST_CASE("a finished attempt does not run again and its answer is stored")
{
    // The answer to a call that books a crew is lost in the network, and the call is sent again. A second run would book twice.
    AttemptTracker tracker(Incarnation, {});
    runToCompletion(tracker, tag("a", "key"), "booked");
    REQUIRE(tracker.admit(tag("a", "key")) == Admission::Duplicate);
    REQUIRE_FALSE(tracker.tryBegin("a"));
    REQUIRE(tracker.outcome(tag("a")) == Protocol::OutcomeAnswer{Outcome::Finished, 200, "booked"});
    REQUIRE(tracker.admit(tag("b", "key")) == Admission::KeyInUse);
}

TEST_CASE("an attempt whose outcome was requested before it arrived never runs")
{
    // The call is delayed in the network. The entry requests the outcome, gets NeverRan and reports that to its caller; then the call arrives.
    AttemptTracker tracker(Incarnation, {});
    REQUIRE(tracker.outcome(tag("late")).m_outcome == Outcome::NeverRan);
    REQUIRE(tracker.admit(tag("late", "key")) == Admission::Tombstoned);
    REQUIRE_FALSE(tracker.tryBegin("late"));
}

TEST_CASE("an attempt that was cancelled in the queue never runs and is reported as never run")
{
    AttemptTracker tracker(Incarnation, {});
    REQUIRE(tracker.admit(tag("a", "key")) == Admission::Admitted);
    tracker.cancel(tag("a", "key"));
    REQUIRE_FALSE(tracker.tryBegin("a"));
    REQUIRE(tracker.outcome(tag("a")).m_outcome == Outcome::NeverRan);
    REQUIRE(tracker.admit(tag("b", "key")) == Admission::Admitted);
}

TEST_CASE("an attempt whose answer was lost is unknown and never runs again")
{
    // The service has posted the invoice, but its answer is lost. "Not run" would be false, and a retry could post it twice.
    AttemptTracker tracker(Incarnation, {});
    REQUIRE(tracker.admit(tag("a", "key")) == Admission::Admitted);
    REQUIRE(tracker.tryBegin("a"));
    tracker.recordLostAnswer("a");
    REQUIRE(tracker.outcome(tag("a")).m_outcome == Outcome::Unknown);
    REQUIRE(tracker.admit(tag("a", "key")) == Admission::Duplicate);
    REQUIRE(tracker.admit(tag("b", "key")) == Admission::KeyInUse);
}

TEST_CASE("a restarted agent does not report an attempt of an earlier incarnation as never run")
{
    // The agent is replaced while it runs a call that must not be repeated. The new agent has no record of the call, which may have run.
    AttemptTracker tracker("life-2", {});
    REQUIRE(tracker.outcome(tag("a")).m_outcome == Outcome::Unknown);
    REQUIRE(tracker.outcome(AttemptTag{"b", "", "", 0}).m_outcome == Outcome::Unknown);
    REQUIRE(tracker.admit(tag("a", "key")) == Admission::OtherIncarnation);
}

TEST_CASE("an evicted attempt is unknown and does not run when it arrives late")
{
    // An agent keeps a bounded number of records. Without the horizon, an evicted attempt would look like one that never arrived.
    AttemptTrackerLimits limits;
    limits.m_maximumAttempts = 2;
    AttemptTracker tracker(Incarnation, limits);
    runToCompletion(tracker, tag("a", "", 10), "1");
    runToCompletion(tracker, tag("b", "", 11), "2");
    runToCompletion(tracker, tag("c", "", 12), "3");
    REQUIRE(tracker.rememberedAttempts() == 2);
    REQUIRE(tracker.outcome(tag("a", "", 10)).m_outcome == Outcome::Unknown);
    REQUIRE(tracker.admit(tag("a", "", 10)) != Admission::Admitted);
    REQUIRE(tracker.outcome(tag("new", "", 20)).m_outcome == Outcome::NeverRan);
}

TEST_CASE("the size of stored answers is bounded and the oldest are evicted first")
{
    AttemptTrackerLimits limits;
    limits.m_maximumStoredAnswerBytes = 10;
    limits.m_maximumBytesPerAnswer = 8;
    AttemptTracker tracker(Incarnation, limits);
    runToCompletion(tracker, tag("a"), "123456");
    runToCompletion(tracker, tag("b"), "123456");
    REQUIRE(tracker.storedAnswerBytes() == 6);
    REQUIRE(tracker.outcome(tag("a")).m_outcome == Outcome::Unknown);
    REQUIRE(tracker.outcome(tag("b")).m_outcome == Outcome::Finished);
    runToCompletion(tracker, tag("long"), "123456789");
    REQUIRE(tracker.outcome(tag("long")).m_outcome == Outcome::Unknown);
}

TEST_CASE("open attempts are never evicted; a full tracker refuses new ones")
{
    AttemptTrackerLimits limits;
    limits.m_maximumAttempts = 1;
    AttemptTracker tracker(Incarnation, limits);
    REQUIRE(tracker.admit(tag("a")) == Admission::Admitted);
    REQUIRE(tracker.admit(tag("b")) == Admission::Full);
    REQUIRE(tracker.outcome(tag("b")).m_outcome == Outcome::NeverRan);
    REQUIRE(tracker.admit(tag("b")) != Admission::Admitted);
    REQUIRE(tracker.tryBegin("a"));
}

namespace {

/// Events of the model. All but Restart concern one of the attempts.
enum class Event {
    Arrive, ///< The call arrives, for the first time or repeatedly.
    Begin, ///< A thread takes it from the queue and sends it to the endpoint.
    Finish,
    Lose, ///< The endpoint's answer is lost.
    Cancel,
    Ask, ///< The entry requests its outcome.
    Restart, ///< The agent is replaced.
};

constexpr std::array AttemptEvents = {Event::Arrive, Event::Begin, Event::Finish, Event::Lose, Event::Cancel, Event::Ask};
const std::array<std::string, 3> Attempts = {"a", "b", "other"};

/// A tracker with its environment, and the outcomes that it has reported.
struct SystemModel
{
    AttemptTracker m_tracker{"life-0", AttemptTrackerLimits{2, 4, 4}};
    int m_incarnationNumber = 0;
    std::map<std::string, int> m_runs; ///< By attempt: how often the endpoint received it.
    std::set<std::string> m_reportedNeverRun; ///< Attempts reported as never run.
    std::string m_trace;

    /// All attempts are sent to the first incarnation, each with another report number; the first two share a key.
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
            m_tracker.admit(tagOf(attempt));
            break;
        case Event::Begin:
            m_runs[name] += m_tracker.tryBegin(name) ? 1 : 0;
            break;
        case Event::Finish:
            m_tracker.recordAnswer(name, 200, "abc");
            break;
        case Event::Lose:
            m_tracker.recordLostAnswer(name);
            break;
        case Event::Cancel:
            m_tracker.cancel(tagOf(attempt));
            break;
        case Event::Ask:
            if (m_tracker.outcome(tagOf(attempt)).m_outcome == Outcome::NeverRan) {
                m_reportedNeverRun.insert(name);
            }
            break;
        case Event::Restart:
            ++m_incarnationNumber;
            m_tracker = AttemptTracker("life-" + std::to_string(m_incarnationNumber), AttemptTrackerLimits{2, 4, 4});
            break;
        }
    }

    bool invariantsHold() const
    {
        int runsOfKey = 0;
        for (const std::pair<const std::string, int> &run : m_runs) {
            runsOfKey += run.first == "other" ? 0 : run.second;
            const bool ranDespiteReport = run.second > 0 && m_reportedNeverRun.contains(run.first);
            if (run.second > 1 || ranDespiteReport) {
                return false;
            }
        }
        return runsOfKey <= 1;
    }
};

/// Explores all sequences of up to @p depth events. Returns the trace of the first one that violates an invariant, or an empty text.
std::string findViolation(const SystemModel &model, int depth)
{
    if (!model.invariantsHold()) {
        return model.m_trace;
    }
    if (depth == 0) {
        return "";
    }
    for (std::size_t attempt = 0; attempt < Attempts.size(); ++attempt) {
        for (const Event event : AttemptEvents) {
            SystemModel next = model;
            next.apply(event, attempt);
            const std::string violation = findViolation(next, depth - 1);
            if (!violation.empty()) {
                return violation;
            }
        }
    }
    SystemModel next = model;
    next.apply(Event::Restart, 0);
    return findViolation(next, depth - 1);
}

}

TEST_CASE("model check: each key runs at most once, and an attempt reported as never run never runs")
{
    // Calls arrive repeatedly, are cancelled, queried and lost in any order; the tracker holds two records, and the agent restarts.
    REQUIRE(findViolation(SystemModel(), 5) == "");
}
