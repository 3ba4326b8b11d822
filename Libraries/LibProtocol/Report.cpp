/// @file Decoding of the frames of a report stream.

#include "LibProtocol/Report.h"
#include "LibWire/Pack.h"

namespace Protocol {

Core::Result<void> applyWatchFrame(const std::string &frame, const std::string &peer, AgentReport &held)
{
    const LoadReport load = BOOST_OUTCOME_TRYX(Wire::unpack<LoadReport>(frame, peer));
    if (!load.m_isLoadOnly) {
        held = BOOST_OUTCOME_TRYX(Wire::unpack<AgentReport>(frame, peer));
        return Core::success();
    }
    if (held.m_sequence < load.m_fullReportSequence) {
        return Core::makeError(Core::ErrorCode::Conflict, "apply load report", peer, "it builds on a report that was missed");
    }
    held.m_sequence = load.m_sequence;
    held.m_load = load.m_load;
    return Core::success();
}

}
