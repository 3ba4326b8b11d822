/// @file Implementation of reading the continuation of a state, and of reconciliation.

#include "LibControl/LogReconciliation.h"
#include "LibControl/Recovery.h"
#include "LibCore/Digest.h"

namespace Control {

namespace {

constexpr std::size_t RecordsPerPage = 256;
constexpr Platform::ReadOptions NoWait{RecordsPerPage, Core::Duration(0)};

bool continuesHistory(const Platform::LogPage &page, const ControlState &state)
{
    // A record that has expired cannot be compared, even if the next one is still there: the log may have lost the record,
    // assigned its offset to another one, and expired that.
    return !page.m_records.empty() && Core::sha256Hex(page.m_records.front().m_body) == state.m_lastDigest;
}

}

Core::Result<LogContinuation> readContinuation(Platform::Log &log, const ControlState &state)
{
    Platform::LogPage page = BOOST_OUTCOME_TRYX(log.read(ControlStream, state.m_position, NoWait));
    if (!continuesHistory(page, state)) {
        return LogContinuation{false, {}};
    }
    page.m_records.erase(page.m_records.begin());
    return LogContinuation{true, std::move(page.m_records)};
}

Core::Result<Reconciliation> reconcile(Platform::Log &log, const ControlState &inForce)
{
    Reconciliation result;
    RecoveredState recovered = BOOST_OUTCOME_TRYX(recoverFromLog(log, ControlStream));
    const bool hasState = recovered.m_state && recovered.m_state->m_applied > 0;
    if (hasState && covers(*recovered.m_state, inForce)) {
        result.m_stateToAdopt = std::move(recovered.m_state);
        return result;
    }
    if (inForce.m_applied == 0) {
        return result;
    }
    const ControlState base =
        recovered.m_state ? std::move(*recovered.m_state) : BOOST_OUTCOME_TRYX(replayRetainedRecords(log, ControlStream, inForce, recovered.m_firstOffset));
    result.m_stateToRestore = mergeStates(base, inForce);
    return result;
}

}
