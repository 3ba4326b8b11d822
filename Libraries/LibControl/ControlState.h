/// @file The control state: a pure fold over the records of the control stream, the same on every instance that folded the same records.
#pragma once

#include "LibControl/Model.h"

#include <deque>
#include <map>
#include <string>

namespace Control {

/// Name of the control stream at the log service.
inline constexpr const char *ControlStream = "control";

/// How many outcomes a state remembers; an operator reads back within seconds, so this covers many times that.
inline constexpr std::size_t MaximumOutcomes = 256;
inline constexpr std::size_t MaximumTemplates = 4096;
inline constexpr std::size_t MaximumRemovals = 1024;

/// What became of one record.
struct RecordOutcome
{
    std::string m_record; ///< Id of the record.
    Offset m_offset = 0; ///< Where it stands.
    bool m_accepted = false;
    Offset m_winner = 0; ///< Revision that the record lost against, if it was refused as stale.
    std::string m_winnerAuthor; ///< Who made that revision.
    std::string m_detail; ///< Why it was refused.

    bool operator==(const RecordOutcome &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("record", m_record),
                       MSGPACK_NVP("offset", m_offset),
                       MSGPACK_NVP("accepted", m_accepted),
                       MSGPACK_NVP("winner", m_winner),
                       MSGPACK_NVP("winner_author", m_winnerAuthor),
                       MSGPACK_NVP("detail", m_detail));
};

/// That a template was removed, so that a change based on an older revision still loses.
struct Removal
{
    Offset m_revision = 0;
    std::string m_operator;

    bool operator==(const Removal &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("revision", m_revision), MSGPACK_NVP("operator", m_operator));
};

/**
 * Everything that was accepted, as of one record.
 *
 * There are two numbers, since the log can come back from an outage with records missing and hand their offsets out again.
 * m_position is the log's own number of the last record. m_applied is the number that the system uses for revisions and
 * fencing; it grows by one with each record and by more when state is restored, so it never stands for two things.
 */
struct ControlState
{
    Offset m_applied = 0; ///< Only ever grows; equals m_position as long as the log lost nothing.
    Offset m_position = 0; ///< Offset at the log of the last record folded.
    std::uint64_t m_generation = 0; ///< How often state was restored into a log that had lost records.
    Offset m_checkpoint = 0; ///< Newest position that a checkpoint on the stream stands for; 0 if there is none.
    std::string m_chain; ///< Digest over every record folded, one after the other: equal chains mean equal states.
    std::string m_lastDigest; ///< Digest of the record at m_position, to notice that the log holds another there now.
    std::map<std::string, AcceptedTemplate> m_templates; ///< By name.
    std::map<std::string, Removal> m_removals; ///< By name of templates that were removed; the newest MaximumRemovals.
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

/// MessagePack form of a whole state.
std::string encodeState(const ControlState &state);
/// Fails with Corrupt on anything that encodeState() cannot have made.
Core::Result<ControlState> decodeState(std::string_view bytes, const std::string &peer);
/// SHA-256 of the encoded state, in hexadecimal.
std::string stateDigest(const ControlState &state);

/// Newest revision among the templates and removals of a service's templates; 0 if there is none.
Offset configurationRevision(const ControlState &state, const std::string &service);
/// The remembered outcome of a record, or null.
const RecordOutcome *findOutcome(const ControlState &state, const std::string &record);
/// The template's current revision: that of its removal if it was removed, 0 if it never was.
Offset templateRevision(const ControlState &state, const std::string &name);

}
