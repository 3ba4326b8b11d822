/// @file The control state: the result of applying the records of the control stream in order, the same on every instance that applied them.
#pragma once

#include "LibControl/Model.h"

#include <deque>
#include <map>
#include <string>

namespace Control {

/// Name of the control stream at the log service.
inline constexpr const char *ControlStream = "control";

/// Number of outcomes that a state keeps. An operator reads an outcome back within seconds, and this covers many times that.
inline constexpr std::size_t MaximumOutcomes = 256;
inline constexpr std::size_t MaximumTemplates = 4096;
inline constexpr std::size_t MaximumRemovals = 1024;

/// Outcome of one record.
struct RecordOutcome
{
    std::string m_record; ///< Id of the record.
    Offset m_offset = 0; ///< Number of the record, counted as ControlState::m_applied.
    bool m_accepted = false;
    Offset m_winner = 0; ///< If the record was refused as stale: the revision in force that made it stale.
    std::string m_winnerAuthor; ///< Author of that revision.
    std::string m_detail; ///< Reason for the refusal; empty if the record was accepted.

    bool operator==(const RecordOutcome &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("record", m_record),
                       MSGPACK_NVP("offset", m_offset),
                       MSGPACK_NVP("accepted", m_accepted),
                       MSGPACK_NVP("winner", m_winner),
                       MSGPACK_NVP("winner_author", m_winnerAuthor),
                       MSGPACK_NVP("detail", m_detail));
};

/// The removal of a template. It is kept so that a change based on an older revision is still refused as stale.
struct Removal
{
    Offset m_revision = 0;
    std::string m_operator;

    bool operator==(const Removal &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("revision", m_revision), MSGPACK_NVP("operator", m_operator));
};

/**
 * All accepted templates (the configurations of services, see Template) and plans, as they are after one record of the control stream.
 *
 * There are two numbers, because a log can return from an outage with records missing and then assigns their offsets again.
 * m_position is the log's own offset of the last record. m_applied is the number used for revisions and fencing: it grows
 * by one with each record and by more when state is restored, so that no number is used for two things.
 */
struct ControlState
{
    Offset m_applied = 0; ///< Never decreases; equals m_position as long as the log has lost no records.
    Offset m_position = 0; ///< Log offset of the last applied record.
    std::uint64_t m_generation = 0; ///< Number of times that state was restored into a log that had lost records.
    Offset m_checkpoint = 0; ///< Newest position covered by a checkpoint on the stream; 0 if there is none.
    std::string m_chain; ///< Running digest over all applied records in order: equal chains mean equal states.
    std::string m_lastDigest; ///< Digest of the record at m_position. It shows whether the log still has the same record at that offset.
    std::map<std::string, AcceptedTemplate> m_templates; ///< By name.
    std::map<std::string, Removal> m_removals; ///< Removed templates by name; the newest MaximumRemovals.
    std::map<std::string, Plan> m_plans; ///< By service.
    std::deque<RecordOutcome> m_outcomes; ///< Newest last; at most MaximumOutcomes.

    bool operator==(const ControlState &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("applied", m_applied),
                       MSGPACK_NVP("position", m_position),
                       MSGPACK_NVP("generation", m_generation),
                       MSGPACK_NVP("checkpoint", m_checkpoint),
                       MSGPACK_NVP("chain", m_chain),
                       MSGPACK_NVP("last_digest", m_lastDigest),
                       MSGPACK_NVP("templates", m_templates),
                       MSGPACK_NVP("removals", m_removals),
                       MSGPACK_NVP("plans", m_plans),
                       MSGPACK_NVP("outcomes", m_outcomes));
};

/// Returns the MessagePack form of the complete state.
std::string encodeState(const ControlState &state);
/// Decodes a state. Fails with Corrupt on input that encodeState() cannot have produced.
Core::Result<ControlState> decodeState(std::string_view bytes, const std::string &peer);
/// Returns the SHA-256 digest of the encoded state, in hexadecimal.
std::string stateDigest(const ControlState &state);

/// Returns the newest revision among the service's templates in force; 0 if there is none.
Offset configurationRevision(const ControlState &state, const std::string &service);
/// Returns the outcome of a record, or null if the state does not keep it.
const RecordOutcome *findOutcome(const ControlState &state, const std::string &record);
/// Returns the template's current revision: that of its removal if it was removed, 0 if it never existed.
Offset templateRevision(const ControlState &state, const std::string &name);

}
