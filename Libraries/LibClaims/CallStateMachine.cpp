/// @file Transitions of the state machine of a keyed call.

#include "LibClaims/CallStateMachine.h"

namespace Claims {

namespace {

Step finish(CallState state, CallVerdict verdict)
{
    state.m_phase = CallPhase::Finished;
    return Step{std::move(state), ReportVerdict{verdict}};
}

Step queryHolder(CallState state, bool isDelayed)
{
    state.m_phase = CallPhase::QueryingHolder;
    QueryOutcome query{state.m_holder.m_attempt, false, state.m_holder, isDelayed};
    return Step{std::move(state), std::move(query)};
}

Step queryOwn(CallState state, bool isDelayed)
{
    state.m_phase = CallPhase::QueryingOwn;
    QueryOutcome query{state.m_attempt, true, {}, isDelayed};
    return Step{std::move(state), std::move(query)};
}

Step claimAgain(CallState state, const std::string &nextAttempt)
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
        return queryHolder(std::move(state), false);
    case Verdict::Expired:
        return finish(std::move(state), CallVerdict::KeyExpired);
    case Verdict::Tombstoned:
        break;
    }
    return finish(std::move(state), CallVerdict::NotRun);
}

Step advanceClaiming(CallState state, const Event &event)
{
    if (const ClaimDecided *decided = std::get_if<ClaimDecided>(&event)) {
        return onClaimResult(std::move(state), decided->m_result);
    }
    // Nothing was sent, and nothing will be, since the call ends here.
    return finish(std::move(state), CallVerdict::NotRun);
}

Step advanceDispatched(CallState state, const Event &event)
{
    if (std::holds_alternative<CompleteAnswer>(event)) {
        return finish(std::move(state), CallVerdict::Answered);
    }
    if (std::holds_alternative<AttemptNotRun>(event)) {
        state.m_dispatched = false;
        return finish(std::move(state), CallVerdict::NotRun);
    }
    return queryOwn(std::move(state), false);
}

Step advanceQueryingOwn(CallState state, const Event &event)
{
    const OutcomeReceived *received = std::get_if<OutcomeReceived>(&event);
    if (!received) {
        return finish(std::move(state), CallVerdict::OutcomeUnknown);
    }
    switch (received->m_outcome) {
    case Protocol::Outcome::Finished:
        return finish(std::move(state), CallVerdict::Answered);
    case Protocol::Outcome::NeverRan:
        state.m_dispatched = false;
        return finish(std::move(state), CallVerdict::NotRun);
    case Protocol::Outcome::Running:
        return queryOwn(std::move(state), true);
    case Protocol::Outcome::Unknown:
        break;
    }
    return finish(std::move(state), CallVerdict::OutcomeUnknown);
}

Step advanceQueryingHolder(CallState state, const Event &event)
{
    const OutcomeReceived *received = std::get_if<OutcomeReceived>(&event);
    if (!received) {
        return finish(std::move(state), CallVerdict::KeyUsed);
    }
    switch (received->m_outcome) {
    case Protocol::Outcome::Finished:
        return finish(std::move(state), CallVerdict::Answered);
    case Protocol::Outcome::Running:
        return queryHolder(std::move(state), true);
    case Protocol::Outcome::Unknown:
        return finish(std::move(state), CallVerdict::OutcomeUnknown);
    case Protocol::Outcome::NeverRan:
        break;
    }
    if (state.m_reclaims >= MaximumReclaims) {
        return finish(std::move(state), CallVerdict::NotRun);
    }
    state.m_phase = CallPhase::WritingTombstone;
    WriteTombstone tombstone{state.m_holder.m_attempt};
    return Step{std::move(state), std::move(tombstone)};
}

Step advanceWritingTombstone(CallState state, const Event &event, const std::string &nextAttempt)
{
    if (std::holds_alternative<TombstoneWritten>(event)) {
        return claimAgain(std::move(state), nextAttempt);
    }
    return finish(std::move(state), CallVerdict::NotRun);
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
        return advanceClaiming(state, event);
    case CallPhase::Dispatched:
        return advanceDispatched(state, event);
    case CallPhase::QueryingOwn:
        return advanceQueryingOwn(state, event);
    case CallPhase::QueryingHolder:
        return advanceQueryingHolder(state, event);
    case CallPhase::WritingTombstone:
        return advanceWritingTombstone(state, event, nextAttempt);
    case CallPhase::Finished:
        break;
    }
    return Step{state, ReportVerdict{state.m_dispatched ? CallVerdict::OutcomeUnknown : CallVerdict::NotRun}};
}

}
