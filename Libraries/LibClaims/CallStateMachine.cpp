/// @file Transitions of a call that may not be repeated.

#include "LibClaims/CallStateMachine.h"

namespace Claims {

namespace {

Step conclude(CallState state, CallVerdict verdict)
{
    state.m_phase = CallPhase::Finished;
    return Step{std::move(state), ReportVerdict{verdict}};
}

Step askOther(CallState state, bool later)
{
    state.m_phase = CallPhase::QueryingHolder;
    QueryOutcome question{state.m_holder.m_attempt, false, state.m_holder, later};
    return Step{std::move(state), std::move(question)};
}

Step askOwn(CallState state, bool later)
{
    state.m_phase = CallPhase::QueryingOwn;
    QueryOutcome question{state.m_attempt, true, {}, later};
    return Step{std::move(state), std::move(question)};
}

Step claimAnew(CallState state, const std::string &nextAttempt)
{
    state.m_reclaims += 1;
    state.m_attempt = nextAttempt;
    state.m_holder = Claim();
    state.m_phase = CallPhase::Claiming;
    return Step{std::move(state), WriteClaim{nextAttempt}};
}

Step onClaimResult(CallState state, const ClaimResult &result)
{
    switch (result.m_verdict) {
    case Verdict::Won:
        state.m_phase = CallPhase::Dispatched;
        state.m_dispatched = true;
        return Step{state, Dispatch{state.m_attempt}};
    case Verdict::Lost:
        state.m_holder = result.m_holder;
        return askOther(std::move(state), false);
    case Verdict::Expired:
        return conclude(std::move(state), CallVerdict::KeyExpired);
    case Verdict::Tombstoned:
        break;
    }
    return conclude(std::move(state), CallVerdict::NotRun);
}

Step whileClaiming(CallState state, const Event &event)
{
    if (const ClaimDecided *judged = std::get_if<ClaimDecided>(&event)) {
        return onClaimResult(std::move(state), judged->m_result);
    }
    // Nothing was sent, and without a further step of this call nothing will be.
    return conclude(std::move(state), CallVerdict::NotRun);
}

Step whileDispatched(CallState state, const Event &event)
{
    if (std::holds_alternative<CompleteAnswer>(event)) {
        return conclude(std::move(state), CallVerdict::Answered);
    }
    if (std::holds_alternative<AttemptNotRun>(event)) {
        state.m_dispatched = false;
        return conclude(std::move(state), CallVerdict::NotRun);
    }
    return askOwn(std::move(state), false);
}

Step whileAskingOwn(CallState state, const Event &event)
{
    const OutcomeReceived *told = std::get_if<OutcomeReceived>(&event);
    if (!told) {
        return conclude(std::move(state), CallVerdict::OutcomeUnknown);
    }
    switch (told->m_outcome) {
    case Protocol::Outcome::Finished:
        return conclude(std::move(state), CallVerdict::Answered);
    case Protocol::Outcome::NeverRan:
        state.m_dispatched = false;
        return conclude(std::move(state), CallVerdict::NotRun);
    case Protocol::Outcome::Running:
        return askOwn(std::move(state), true);
    case Protocol::Outcome::Unknown:
        break;
    }
    return conclude(std::move(state), CallVerdict::OutcomeUnknown);
}

Step whileAskingOther(CallState state, const Event &event)
{
    const OutcomeReceived *told = std::get_if<OutcomeReceived>(&event);
    if (!told) {
        return conclude(std::move(state), CallVerdict::KeyUsed);
    }
    switch (told->m_outcome) {
    case Protocol::Outcome::Finished:
        return conclude(std::move(state), CallVerdict::Answered);
    case Protocol::Outcome::Running:
        return askOther(std::move(state), true);
    case Protocol::Outcome::Unknown:
        return conclude(std::move(state), CallVerdict::OutcomeUnknown);
    case Protocol::Outcome::NeverRan:
        break;
    }
    if (state.m_reclaims >= MaximumReclaims) {
        return conclude(std::move(state), CallVerdict::NotRun);
    }
    state.m_phase = CallPhase::WritingTombstone;
    WriteTombstone bar{state.m_holder.m_attempt};
    return Step{std::move(state), std::move(bar)};
}

Step whileBarring(CallState state, const Event &event, const std::string &nextAttempt)
{
    if (std::holds_alternative<TombstoneWritten>(event)) {
        return claimAnew(std::move(state), nextAttempt);
    }
    return conclude(std::move(state), CallVerdict::NotRun);
}

}

Step beginCall(const std::string &attempt)
{
    CallState state;
    state.m_attempt = attempt;
    return Step{std::move(state), WriteClaim{attempt}};
}

Step advanceCall(const CallState &state, const Event &event, const std::string &nextAttempt)
{
    switch (state.m_phase) {
    case CallPhase::Claiming:
        return whileClaiming(state, event);
    case CallPhase::Dispatched:
        return whileDispatched(state, event);
    case CallPhase::QueryingOwn:
        return whileAskingOwn(state, event);
    case CallPhase::QueryingHolder:
        return whileAskingOther(state, event);
    case CallPhase::WritingTombstone:
        return whileBarring(state, event, nextAttempt);
    case CallPhase::Finished:
        break;
    }
    return Step{state, ReportVerdict{state.m_dispatched ? CallVerdict::OutcomeUnknown : CallVerdict::NotRun}};
}

}
