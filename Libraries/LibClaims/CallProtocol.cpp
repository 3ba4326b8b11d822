/// @file Transitions of a call that may not be repeated.

#include "LibClaims/CallProtocol.h"

namespace Claims {

namespace {

Step conclude(CallState state, CallVerdict verdict)
{
    state.m_phase = CallPhase::Concluded;
    return Step{std::move(state), Conclude{verdict}};
}

Step askOther(CallState state, bool later)
{
    state.m_phase = CallPhase::AskingOther;
    AskOutcome question{state.m_other.m_attempt, false, state.m_other, later};
    return Step{std::move(state), std::move(question)};
}

Step askOwn(CallState state, bool later)
{
    state.m_phase = CallPhase::AskingOwn;
    AskOutcome question{state.m_attempt, true, {}, later};
    return Step{std::move(state), std::move(question)};
}

Step claimAnew(CallState state, const std::string &nextAttempt)
{
    state.m_reclaims += 1;
    state.m_attempt = nextAttempt;
    state.m_other = Claim();
    state.m_phase = CallPhase::Claiming;
    return Step{std::move(state), MakeClaim{nextAttempt}};
}

Step onClaimResult(CallState state, const ClaimResult &result)
{
    switch (result.m_verdict) {
    case Verdict::Won:
        state.m_phase = CallPhase::Dispatched;
        state.m_sent = true;
        return Step{state, Dispatch{state.m_attempt}};
    case Verdict::Lost:
        state.m_other = result.m_winner;
        return askOther(std::move(state), false);
    case Verdict::Expired:
        return conclude(std::move(state), CallVerdict::KeyExpired);
    case Verdict::Barred:
        break;
    }
    return conclude(std::move(state), CallVerdict::NotRun);
}

Step whileClaiming(CallState state, const Event &event)
{
    if (const ClaimJudged *judged = std::get_if<ClaimJudged>(&event)) {
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
    if (std::holds_alternative<CertainlyNotRun>(event)) {
        state.m_sent = false;
        return conclude(std::move(state), CallVerdict::NotRun);
    }
    return askOwn(std::move(state), false);
}

Step whileAskingOwn(CallState state, const Event &event)
{
    const OutcomeTold *told = std::get_if<OutcomeTold>(&event);
    if (!told) {
        return conclude(std::move(state), CallVerdict::OutcomeUnknown);
    }
    switch (told->m_outcome) {
    case Protocol::Outcome::Finished:
        return conclude(std::move(state), CallVerdict::Answered);
    case Protocol::Outcome::NeverRan:
        state.m_sent = false;
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
    const OutcomeTold *told = std::get_if<OutcomeTold>(&event);
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
    state.m_phase = CallPhase::BarringOther;
    WriteBar bar{state.m_other.m_attempt};
    return Step{std::move(state), std::move(bar)};
}

Step whileBarring(CallState state, const Event &event, const std::string &nextAttempt)
{
    if (std::holds_alternative<BarWritten>(event)) {
        return claimAnew(std::move(state), nextAttempt);
    }
    return conclude(std::move(state), CallVerdict::NotRun);
}

}

Step begin(const std::string &attempt)
{
    CallState state;
    state.m_attempt = attempt;
    return Step{std::move(state), MakeClaim{attempt}};
}

Step advance(const CallState &state, const Event &event, const std::string &nextAttempt)
{
    switch (state.m_phase) {
    case CallPhase::Claiming:
        return whileClaiming(state, event);
    case CallPhase::Dispatched:
        return whileDispatched(state, event);
    case CallPhase::AskingOwn:
        return whileAskingOwn(state, event);
    case CallPhase::AskingOther:
        return whileAskingOther(state, event);
    case CallPhase::BarringOther:
        return whileBarring(state, event, nextAttempt);
    case CallPhase::Concluded:
        break;
    }
    return Step{state, Conclude{state.m_sent ? CallVerdict::OutcomeUnknown : CallVerdict::NotRun}};
}

}
