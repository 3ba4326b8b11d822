/// @file The records of the control stream.
#pragma once

#include "LibControl/ControlState.h"

#include <string>
#include <variant>

namespace Control {

/// An operator puts a template in force.
struct PublishTemplate
{
    Offset m_basedOn = 0; ///< Revision of the template that the operator saw; 0 if it is new.
    Template m_template;

    bool operator==(const PublishTemplate &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("based_on", m_basedOn), MSGPACK_NVP("template", m_template));
};

/// An operator removes a template.
struct RemoveTemplate
{
    std::string m_name;
    Offset m_basedOn = 0;

    bool operator==(const RemoveTemplate &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("name", m_name), MSGPACK_NVP("based_on", m_basedOn));
};

/// An entry proposes a plan.
struct PublishPlan
{
    Offset m_basedOnPlan = 0; ///< Offset of the service's plan that this one replaces; 0 if there is none.
    Plan m_plan;

    bool operator==(const PublishPlan &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("based_on_plan", m_basedOnPlan), MSGPACK_NVP("plan", m_plan));
};

/// A copy of the state, so that a new reader needs only the records after it.
struct Checkpoint
{
    Offset m_position = 0; ///< Log position of the state that it contains.
    std::string m_digest; ///< Digest of m_state.
    std::string m_state; ///< Encoded state.

    bool operator==(const Checkpoint &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("position", m_position), MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("state", m_state));
};

/**
 * Restores state into a log that returned with records missing.
 *
 * It replaces the state of every reader, so it is accepted only if its writer had read every record before it: it must
 * directly follow the position that it names. A writer whose record does not, because another one came first, reads on and
 * tries again.
 */
struct Restore
{
    Offset m_position = 0; ///< Log offset of the record directly before this one.
    std::string m_digest; ///< Digest of m_state.
    std::string m_state; ///< Encoded state.

    bool operator==(const Restore &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("position", m_position), MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("state", m_state));
};

/// One record of the control stream.
struct Record
{
    std::string m_id; ///< Random. It identifies a record whose append answer was lost, and makes a record that was appended twice count once.
    std::string m_author; ///< Operator or entry.
    std::variant<PublishTemplate, RemoveTemplate, PublishPlan, Checkpoint, Restore> m_change;

    bool operator==(const Record &) const = default;
};

std::string encodeRecord(const Record &record);
/// Decodes a record. Fails with Corrupt if it is malformed.
Core::Result<Record> decodeRecord(std::string_view bytes);

/// Returns a checkpoint of @p state by @p author.
Record makeCheckpoint(const ControlState &state, const std::string &author, const std::string &id);

}
