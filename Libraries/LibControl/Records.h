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

/// An operator takes a template out of force.
struct RemoveTemplate
{
    std::string m_name;
    Offset m_basedOn = 0;

    bool operator==(const RemoveTemplate &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("name", m_name), MSGPACK_NVP("based_on", m_basedOn));
};

/// An entry proposes which instances hold what.
struct PublishPlan
{
    Offset m_basedOnPlan = 0; ///< Offset of the service's plan that this one follows; 0 if there is none.
    Plan m_plan;

    bool operator==(const PublishPlan &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("based_on_plan", m_basedOnPlan), MSGPACK_NVP("plan", m_plan));
};

/// A copy of the state, so that a fresh reader needs only the records after it.
struct Checkpoint
{
    Offset m_position = 0; ///< Position of the state that it holds.
    std::string m_digest; ///< Of m_state.
    std::string m_state; ///< Encoded.

    bool operator==(const Checkpoint &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("position", m_position), MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("state", m_state));
};

/**
 * Puts state back into a log that came back with records missing.
 *
 * It replaces the state of every reader, so it holds only if its writer had seen everything before it: it must stand
 * right behind the position it names. A writer that was overtaken reads on and tries again.
 */
struct Restore
{
    Offset m_position = 0; ///< Offset at the log of the record right before this one.
    std::string m_digest; ///< Of m_state.
    std::string m_state; ///< Encoded.

    bool operator==(const Restore &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("position", m_position), MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("state", m_state));
};

/// One record of the control stream.
struct Record
{
    std::string m_id; ///< Random; by it a lost append answer is settled, and a record that was appended twice counts once.
    std::string m_author; ///< Operator or entry.
    std::variant<PublishTemplate, RemoveTemplate, PublishPlan, Checkpoint, Restore> m_change;

    bool operator==(const Record &) const = default;
};

std::string encodeRecord(const Record &record);
/// Fails with Corrupt on a malformed record.
Core::Result<Record> decodeRecord(std::string_view bytes);

/// A checkpoint of @p state by @p author.
Record makeCheckpoint(const ControlState &state, const std::string &author, const std::string &id);

}
