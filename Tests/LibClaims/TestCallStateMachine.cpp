/// @file Model check of keyed calls: every interleaving of three calls under one key, with lost and delayed messages and restarts of the agent.

#include "LibClaims/CallStateMachine.h"
#include "LibWire/Pack.h"

#include <catch2/catch.hpp>
#include <set>

namespace {

constexpr std::size_t Calls = 3;
constexpr int MaximumFaults = 3;

/// Mechanisms that can be disabled, to verify that the check detects it.
struct Mechanisms
{
    bool m_claims = true; ///< Off: a lost claim is treated as won.
    bool m_agentTombstones = true; ///< Off: an agent that is asked for the outcome of an unknown attempt does not record a tombstone for it.
    bool m_incarnations = true; ///< Off: an agent accepts attempts that were sent to an earlier incarnation.
    bool m_outcomeQueries = true; ///< Off: an incomplete answer is reported as not run without an outcome query.
    bool m_logTombstones = true; ///< Off: an entry that finds that the holder never ran dispatches without writing a tombstone and claiming again.
};

enum class AttemptStatus {
    Ran,
    Tombstoned,
};

struct Agent
{
    int m_incarnation = 0;
    std::map<std::string, AttemptStatus> m_attempts; ///< Attempts seen by this incarnation.
};

/// A dispatched attempt that has not arrived yet, although its sender has given it up.
struct DelayedAttempt
{
    std::string m_attempt;
    int m_incarnation = 0;
};

struct Call
{
    Claims::Step m_step;
    int m_incarnation = 0; ///< Incarnation of the agent, as known when the call began.
    int m_attemptCount = 1;
    std::vector<std::string> m_attemptIds; ///< Ids of all its attempts.
};

struct ModelState
{
    std::vector<Claims::ClaimBatch> m_log;
    std::vector<Claims::ClaimBatch> m_delayedAppends; ///< Batches that may still be appended.
    std::vector<DelayedAttempt> m_delayedAttempts;
    Agent m_agent;
    std::vector<Call> m_calls;
    std::map<std::string, int> m_executions; ///< Executions by attempt.
    int m_faults = 0;
};

Claims::ClaimKey makeKey()
{
    return Claims::ClaimKey{Claims::Epoch{0, 0}, "0.booking"};
}

int incarnationOf(const Claims::Claim &claim)
{
    return std::stoi(claim.m_agentIncarnation);
}

std::string stateKey(const ModelState &model)
{
    std::string text;
    for (const Claims::ClaimBatch &batch : model.m_log) {
        text += Wire::pack(batch);
    }
    text += "|";
    for (const Claims::ClaimBatch &batch : model.m_delayedAppends) {
        text += Wire::pack(batch);
    }
    for (const DelayedAttempt &delayed : model.m_delayedAttempts) {
        text += "|" + delayed.m_attempt + std::to_string(delayed.m_incarnation);
    }
    text += "|agent" + std::to_string(model.m_agent.m_incarnation);
    for (const std::pair<const std::string, AttemptStatus> &entry : model.m_agent.m_attempts) {
        text += entry.first + std::to_string(static_cast<int>(entry.second));
    }
    for (const Call &call : model.m_calls) {
        const Claims::CallState &state = call.m_step.m_state;
        text += "|call" + std::to_string(static_cast<int>(state.m_phase)) + state.m_attempt + state.m_holder.m_attempt + std::to_string(state.m_reclaims)
            + std::to_string(call.m_step.m_action.index()) + std::to_string(call.m_incarnation);
        if (const Claims::ReportVerdict *verdict = std::get_if<Claims::ReportVerdict>(&call.m_step.m_action)) {
            text += std::to_string(static_cast<int>(verdict->m_verdict));
        }
    }
    for (const std::pair<const std::string, int> &entry : model.m_executions) {
        text += "|" + entry.first + std::to_string(entry.second);
    }
    return text + "|" + std::to_string(model.m_faults);
}

/// Delivers the attempt to the agent. Returns true if the agent ran it.
bool deliverAttempt(ModelState &model, const Mechanisms &mechanisms, const std::string &attempt, int incarnation)
{
    if (mechanisms.m_incarnations && incarnation != model.m_agent.m_incarnation) {
        return false;
    }
    if (!model.m_agent.m_attempts.emplace(attempt, AttemptStatus::Ran).second) {
        return false;
    }
    model.m_executions[attempt] += 1;
    return true;
}

/// Answers as Endpoint::AttemptTracker::outcome() does.
Protocol::Outcome queryOutcome(ModelState &model, const Mechanisms &mechanisms, const std::string &attempt, int incarnation)
{
    const bool sameIncarnation = incarnation == model.m_agent.m_incarnation;
    const std::map<std::string, AttemptStatus>::const_iterator it = model.m_agent.m_attempts.find(attempt);
    if (sameIncarnation && it != model.m_agent.m_attempts.end()) {
        return it->second == AttemptStatus::Ran ? Protocol::Outcome::Finished : Protocol::Outcome::NeverRan;
    }
    if (mechanisms.m_agentTombstones) {
        model.m_agent.m_attempts.emplace(attempt, AttemptStatus::Tombstoned);
    }
    return sameIncarnation ? Protocol::Outcome::NeverRan : Protocol::Outcome::Unknown;
}

/// Applies the complete log as a new writer does, and returns the result of one batch.
Claims::AppliedBatch applyLog(const ModelState &model, const std::string &id)
{
    Claims::ClaimTable table(100);
    Claims::AppliedBatch found;
    Claims::Offset offset = 0;
    for (const Claims::ClaimBatch &batch : model.m_log) {
        const Claims::AppliedBatch applied = table.apply(++offset, Wire::pack(batch));
        if (applied.m_id == id) {
            found = applied;
        }
    }
    return found;
}

class Checker
{
public:
    explicit Checker(Mechanisms mechanisms)
        : m_mechanisms(mechanisms)
    {
    }

    /// Returns the first violation found, or an empty text.
    std::string check()
    {
        ModelState model;
        for (std::size_t index = 0; index < Calls; ++index) {
            const std::string attempt = "call" + std::to_string(index) + ".1";
            model.m_calls.push_back(Call{Claims::beginCall(attempt), 0, 1, {attempt}});
        }
        explore(model);
        return m_violation;
    }

    std::size_t states() const
    {
        return m_visited.size();
    }

private:
    void explore(const ModelState &model)
    {
        if (!m_violation.empty() || !m_visited.insert(stateKey(model)).second) {
            return;
        }
        m_violation = findViolation(model);
        for (std::size_t index = 0; index < model.m_calls.size(); ++index) {
            performAction(model, index);
        }
        deliverDelayed(model);
        if (model.m_agent.m_incarnation == 0 && model.m_faults < MaximumFaults) {
            ModelState restarted = model;
            restarted.m_agent = Agent{1, {}};
            restarted.m_faults += 1;
            explore(restarted);
        }
    }

    static std::string findViolation(const ModelState &model)
    {
        int executions = 0;
        for (const std::pair<const std::string, int> &entry : model.m_executions) {
            executions += entry.second;
        }
        if (executions > 1) {
            return "ran " + std::to_string(executions) + " times under one key";
        }
        for (const Call &call : model.m_calls) {
            const Claims::ReportVerdict *verdict = std::get_if<Claims::ReportVerdict>(&call.m_step.m_action);
            if (!verdict) {
                continue;
            }
            const bool ran = std::any_of(
                call.m_attemptIds.begin(), call.m_attemptIds.end(), [&model](const std::string &attempt) { return model.m_executions.contains(attempt); });
            if (verdict->m_verdict == Claims::CallVerdict::NotRun && ran) {
                return "a call was reported as not run, but ran";
            }
            if (verdict->m_verdict == Claims::CallVerdict::Answered && executions != 1) {
                return "a call was answered, but nothing ran";
            }
        }
        return "";
    }

    void deliverDelayed(const ModelState &model)
    {
        for (std::size_t index = 0; index < model.m_delayedAttempts.size(); ++index) {
            ModelState next = model;
            const DelayedAttempt delayed = next.m_delayedAttempts[index];
            next.m_delayedAttempts.erase(next.m_delayedAttempts.begin() + static_cast<std::ptrdiff_t>(index));
            deliverAttempt(next, m_mechanisms, delayed.m_attempt, delayed.m_incarnation);
            explore(next);
        }
        for (std::size_t index = 0; index < model.m_delayedAppends.size(); ++index) {
            ModelState next = model;
            next.m_log.push_back(next.m_delayedAppends[index]);
            next.m_delayedAppends.erase(next.m_delayedAppends.begin() + static_cast<std::ptrdiff_t>(index));
            explore(next);
        }
    }

    void applyEvent(ModelState model, std::size_t index, const Claims::Event &event)
    {
        Call &call = model.m_calls[index];
        const std::string nextAttempt = "call" + std::to_string(index) + "." + std::to_string(call.m_attemptCount + 1);
        const Claims::CallState before = call.m_step.m_state;
        call.m_step = Claims::advanceCall(before, event, nextAttempt);
        if (!m_mechanisms.m_outcomeQueries && before.m_phase == Claims::CallPhase::Dispatched && std::holds_alternative<Claims::AnswerIncomplete>(event)) {
            call.m_step.m_action = Claims::ReportVerdict{Claims::CallVerdict::NotRun};
        }
        if (!m_mechanisms.m_logTombstones && std::holds_alternative<Claims::WriteTombstone>(call.m_step.m_action)) {
            call.m_step.m_state.m_phase = Claims::CallPhase::Dispatched;
            call.m_step.m_action = Claims::Dispatch{call.m_step.m_state.m_attempt};
        }
        if (call.m_step.m_state.m_attempt == nextAttempt) {
            call.m_attemptCount += 1;
            call.m_attemptIds.push_back(nextAttempt);
        }
        explore(model);
    }

    void performAction(const ModelState &model, std::size_t index)
    {
        std::visit([this, &model, index](const auto &action) { perform(model, index, action); }, model.m_calls[index].m_step.m_action);
    }

    /// Explores each way in which an append can end: answered, answer lost, refused, or delayed.
    template <typename Result, typename Failure>
    void append(const ModelState &model, std::size_t index, const Claims::ClaimBatch &batch, Result onAppended, Failure failure)
    {
        ModelState appended = model;
        appended.m_log.push_back(batch);
        applyEvent(appended, index, onAppended(applyLog(appended, batch.m_id)));
        if (model.m_faults >= MaximumFaults) {
            return;
        }
        appended.m_faults += 1;
        applyEvent(appended, index, failure);
        ModelState refused = model;
        refused.m_faults += 1;
        applyEvent(refused, index, failure);
        ModelState delayed = refused;
        delayed.m_delayedAppends.push_back(batch);
        applyEvent(delayed, index, failure);
    }

    void perform(const ModelState &model, std::size_t index, const Claims::WriteClaim &action)
    {
        Claims::Claim claim;
        claim.m_key = makeKey();
        claim.m_attempt = action.m_attempt;
        claim.m_agentIncarnation = std::to_string(model.m_calls[index].m_incarnation);
        Claims::ClaimBatch batch;
        batch.m_id = "claim " + action.m_attempt;
        batch.m_claims.push_back(claim);
        append(
            model,
            index,
            batch,
            [this](const Claims::AppliedBatch &applied) {
                Claims::ClaimResult result = applied.m_results.at(0);
                if (!m_mechanisms.m_claims) {
                    result.m_verdict = Claims::Verdict::Won;
                }
                return Claims::Event(Claims::ClaimDecided{result});
            },
            Claims::Event(Claims::ClaimFailed{}));
    }

    void perform(const ModelState &model, std::size_t index, const Claims::Dispatch &action)
    {
        const int incarnation = model.m_calls[index].m_incarnation;
        ModelState arrived = model;
        const bool ran = deliverAttempt(arrived, m_mechanisms, action.m_attempt, incarnation);
        applyEvent(arrived, index, ran ? Claims::Event(Claims::CompleteAnswer{}) : Claims::Event(Claims::AttemptNotRun{}));
        if (model.m_faults >= MaximumFaults) {
            return;
        }
        arrived.m_faults += 1;
        applyEvent(arrived, index, Claims::AnswerIncomplete{});
        ModelState unsent = model;
        unsent.m_faults += 1;
        applyEvent(unsent, index, Claims::AttemptNotRun{});
        ModelState delayed = unsent;
        delayed.m_delayedAttempts.push_back(DelayedAttempt{action.m_attempt, incarnation});
        applyEvent(delayed, index, Claims::AnswerIncomplete{});
    }

    void perform(const ModelState &model, std::size_t index, const Claims::QueryOutcome &action)
    {
        ModelState queried = model;
        const int incarnation = action.m_isOwn ? model.m_calls[index].m_incarnation : incarnationOf(action.m_holder);
        const Protocol::Outcome outcome = queryOutcome(queried, m_mechanisms, action.m_attempt, incarnation);
        applyEvent(queried, index, Claims::OutcomeReceived{outcome});
        if (model.m_faults >= MaximumFaults) {
            return;
        }
        queried.m_faults += 1;
        applyEvent(queried, index, Claims::OutcomeUnavailable{});
    }

    void perform(const ModelState &model, std::size_t index, const Claims::WriteTombstone &action)
    {
        Claims::ClaimBatch batch;
        batch.m_id = "tombstone " + action.m_attempt + std::to_string(index);
        batch.m_tombstones.push_back(Claims::AttemptTombstone{makeKey().m_text, action.m_attempt});
        append(
            model,
            index,
            batch,
            [](const Claims::AppliedBatch &) { return Claims::Event(Claims::TombstoneWritten{}); },
            Claims::Event(Claims::TombstoneFailed{}));
    }

    void perform(const ModelState &, std::size_t, const Claims::ReportVerdict &)
    {
    }

    const Mechanisms m_mechanisms;
    std::set<std::string> m_visited;
    std::string m_violation;
};

}

TEST_CASE("in no interleaving do three calls under one key run twice, or run although reported as not run")
{
    // A caller retries the same keyed call through three entries. Appends and answers are lost or delayed, the agent restarts, and any entry can pause
    // at any point. A violation would mean that a call runs twice, or takes effect although it was reported as not run.
    Checker checker((Mechanisms()));
    REQUIRE(checker.check() == "");
    INFO("states: " << checker.states());
    REQUIRE(checker.states() > 1000);
}

TEST_CASE("the model check detects each mechanism that is disabled")
{
    Mechanisms mechanisms;
    SECTION("claims decide which attempt runs")
    {
        mechanisms.m_claims = false;
    }
    SECTION("tombstones at the agent")
    {
        mechanisms.m_agentTombstones = false;
    }
    SECTION("incarnations of the agent")
    {
        mechanisms.m_incarnations = false;
    }
    SECTION("outcome query after an incomplete answer")
    {
        mechanisms.m_outcomeQueries = false;
    }
    SECTION("tombstones in the log and claiming again")
    {
        mechanisms.m_logTombstones = false;
    }
    Checker checker(mechanisms);
    REQUIRE(checker.check() != "");
}
