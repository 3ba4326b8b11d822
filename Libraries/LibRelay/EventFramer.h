/// @file Splits a stream of server-sent events into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Relay {

/**
 * Buffers the bytes of an event until it is complete, and drops events that were already forwarded.
 *
 * An engine can stop in the middle of an event. If the first part had been forwarded, no other engine could continue the caller's stream. The ids of the
 * events reveal which events a second engine sends again, so that the caller does not receive them twice.
 */
class EventFramer
{
public:
    /// @p after: id of the last event that the caller has already received.
    explicit EventFramer(std::optional<std::uint64_t> after = std::nullopt);

    /// Adds bytes of the stream and returns the events that are complete now, without those that the caller has already received.
    std::string feed(std::string_view bytes);
    /// Returns the bytes of an event that is not complete.
    const std::string &partialEvent() const
    {
        return m_partialEvent;
    }
    /// Discards the bytes of an incomplete event before another engine continues the stream.
    void discardPartialEvent();
    std::optional<std::uint64_t> lastId() const
    {
        return m_lastId;
    }
    /// Returns whether the id of some event did not follow that of the event before it.
    bool hasGap() const
    {
        return m_hasGap;
    }

    /// Returns the bytes of events that were dropped since the last event that was returned.
    std::size_t repeatedBytes() const
    {
        return m_repeatedBytes;
    }

private:
    std::string m_partialEvent;
    std::size_t m_repeatedBytes = 0; ///< Of the engine that sends now.
    std::optional<std::uint64_t> m_lastId; ///< Id of the last event that was returned.
    bool m_hasGap = false;
};

}
