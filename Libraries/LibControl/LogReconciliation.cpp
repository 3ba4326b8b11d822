/// @file Implementation of following the stream.

#include "LibControl/LogReconciliation.h"
#include "LibControl/Recovery.h"
#include "LibCore/Digest.h"

namespace Control {

namespace {

constexpr std::size_t PageRecords = 256;
constexpr Platform::ReadOptions AtOnce{PageRecords, Core::Duration(0)};

bool holdsHistory(const Platform::LogPage &page, const ControlState &state)
{
    // A record that has expired cannot be compared either, not even if the very next one is still there: the log may have
    // lost it, filled its offset with another one, and expired that.
    return !page.m_records.empty() && Core::sha256Hex(page.m_records.front().m_body) == state.m_lastDigest;
}

}

Core::Result<LogContinuation> readContinuation(Platform::Log &log, const ControlState &state)
{
    Platform::LogPage page = BOOST_OUTCOME_TRYX(log.read(ControlStream, state.m_position, AtOnce));
    if (!holdsHistory(page, state)) {
        return LogContinuation{false, {}};
    }
    page.m_records.erase(page.m_records.begin());
    return LogContinuation{true, std::move(page.m_records)};
}

Core::Result<Reconciliation> reconcile(Platform::Log &log, const ControlState &inForce)
{
    Reconciliation result;
    RecoveredState fresh = BOOST_OUTCOME_TRYX(recoverFromLog(log, ControlStream));
    const bool hasState = fresh.m_state && fresh.m_state->m_applied > 0;
    if (hasState && covers(*fresh.m_state, inForce)) {
        result.m_stateToAdopt = std::move(fresh.m_state);
        return result;
    }
    if (inForce.m_applied == 0) {
        return result;
    }
    const ControlState base =
        fresh.m_state ? std::move(*fresh.m_state) : BOOST_OUTCOME_TRYX(replayRetainedRecords(log, ControlStream, inForce, fresh.m_firstOffset));
    result.m_stateToRestore = mergeStates(base, inForce);
    return result;
}

}
