/// @file Cuts a stream of server-sent events into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Relay {

/**
 * Holds the bytes of an event back until it is whole.
 *
 * An engine can break off in the middle of an event. Had the first half been passed on, the caller's stream could not be continued by another
 * engine; and events that a second engine sends again, or out of order, would reach the caller twice.
 */
class EventFramer
{
public:
    /// @p after: id of the last event that the caller has already.
    explicit EventFramer(std::optional<std::uint64_t> after = std::nullopt);

    /// Takes bytes and returns the whole events among them that the caller lacks.
    std::string feed(std::string_view bytes);
    /// Bytes of an event that has not ended.
    const std::string &partialEvent() const
    {
        return m_partialEvent;
    }
    /// Drops a half event, before another engine goes on.
    void discardPartialEvent();
    std::optional<std::uint64_t> lastId() const
    {
        return m_lastId;
    }
    /// An event's id did not follow the last one.
    bool hasGap() const
    {
        return m_hasGap;
    }

private:
    std::string m_partialEvent;
    std::optional<std::uint64_t> m_lastId; ///< Of the last event that was passed on.
    bool m_hasGap = false;
};

}
