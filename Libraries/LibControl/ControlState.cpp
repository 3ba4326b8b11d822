/// @file Encoding and queries of the control state.

#include "LibControl/ControlState.h"
#include "LibCore/Digest.h"
#include "LibWire/Pack.h"

namespace Control {

std::string encodeState(const ControlState &state)
{
    return Wire::pack(state);
}

Core::Result<ControlState> decodeState(std::string_view bytes, const std::string &peer)
{
    ControlState state = BOOST_OUTCOME_TRYX(Wire::unpack<ControlState>(bytes, peer));
    const bool isBounded =
        state.m_outcomes.size() <= MaximumOutcomes && state.m_templates.size() <= MaximumTemplates && state.m_removals.size() <= MaximumRemovals;
    if (!isBounded) {
        return Core::makeError(Core::ErrorCode::Corrupt, "decode state", peer, "the state exceeds its bounds");
    }
    return state;
}

std::string stateDigest(const ControlState &state)
{
    return Core::sha256Hex(encodeState(state));
}

Offset configurationRevision(const ControlState &state, const std::string &service)
{
    Offset newest = 0;
    for (const std::pair<const std::string, AcceptedTemplate> &entry : state.m_templates) {
        if (entry.second.m_template.m_service == service) {
            newest = std::max(newest, entry.second.m_revision);
        }
    }
    return newest;
}

const RecordOutcome *findOutcome(const ControlState &state, const std::string &record)
{
    for (const RecordOutcome &outcome : state.m_outcomes) {
        if (outcome.m_record == record) {
            return &outcome;
        }
    }
    return nullptr;
}

Offset templateRevision(const ControlState &state, const std::string &name)
{
    const std::map<std::string, AcceptedTemplate>::const_iterator accepted = state.m_templates.find(name);
    if (accepted != state.m_templates.end()) {
        return accepted->second.m_revision;
    }
    const std::map<std::string, Removal>::const_iterator removed = state.m_removals.find(name);
    return removed == state.m_removals.end() ? 0 : removed->second.m_revision;
}

}
