/// @file Encoding of records.

#include "LibControl/Records.h"
#include "LibCore/Digest.h"
#include "LibWire/Pack.h"

namespace Control {

namespace {

constexpr std::size_t MaximumNameBytes = 256;

/// A record on the log. The change is encoded separately, so that a kind from a newer release can be distinguished from a malformed record.
struct Envelope
{
    std::string m_id;
    std::string m_author;
    std::string m_kind;
    std::string m_body;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("id", m_id), MSGPACK_NVP("author", m_author), MSGPACK_NVP("kind", m_kind), MSGPACK_NVP("body", m_body));
};

template <typename T>
constexpr const char *KindName = "";
template <>
constexpr const char *KindName<PublishTemplate> = "publish-template";
template <>
constexpr const char *KindName<RemoveTemplate> = "remove-template";
template <>
constexpr const char *KindName<PublishPlan> = "publish-plan";
template <>
constexpr const char *KindName<Checkpoint> = "checkpoint";
template <>
constexpr const char *KindName<Restore> = "restore";

template <typename T>
bool decodeAs(const Envelope &envelope, Record &record, Core::Result<void> &result)
{
    if (envelope.m_kind != KindName<T>) {
        return false;
    }
    Core::Result<T> change = Wire::unpack<T>(envelope.m_body, "");
    if (!change) {
        result = change.error();
        return true;
    }
    record.m_change = std::move(change.value());
    result = Core::success();
    return true;
}

}

std::string encodeRecord(const Record &record)
{
    Envelope envelope{record.m_id, record.m_author, "", ""};
    std::visit(
        [&envelope](const auto &change) {
            envelope.m_kind = KindName<std::decay_t<decltype(change)>>;
            envelope.m_body = Wire::pack(change);
        },
        record.m_change);
    return Wire::pack(envelope);
}

Core::Result<Record> decodeRecord(std::string_view bytes)
{
    const Envelope envelope = BOOST_OUTCOME_TRYX(Wire::unpack<Envelope>(bytes, ""));
    if (envelope.m_id.empty() || envelope.m_id.size() > MaximumNameBytes || envelope.m_author.size() > MaximumNameBytes) {
        return Core::makeError(Core::ErrorCode::Corrupt, "decode record", "", "the record's id or author is missing or too long");
    }
    Record record;
    record.m_id = envelope.m_id;
    record.m_author = envelope.m_author;
    Core::Result<void> result = Core::makeError(Core::ErrorCode::Corrupt, "decode record", "", "unknown kind " + envelope.m_kind.substr(0, MaximumNameBytes));
    [[maybe_unused]] const bool isKnown = decodeAs<PublishTemplate>(envelope, record, result) || decodeAs<RemoveTemplate>(envelope, record, result)
        || decodeAs<PublishPlan>(envelope, record, result) || decodeAs<Checkpoint>(envelope, record, result) || decodeAs<Restore>(envelope, record, result);
    BOOST_OUTCOME_TRYV(std::move(result));
    return record;
}

Record makeCheckpoint(const ControlState &state, const std::string &author, const std::string &id)
{
    std::string encoded = encodeState(state);
    std::string digest = Core::sha256Hex(encoded);
    return Record{id, author, Checkpoint{state.m_position, std::move(digest), std::move(encoded)}};
}

}
