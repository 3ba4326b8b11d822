/// @file Buffer for the bytes of one direction of a connection. Logic only, without sockets.
#pragma once

#include "LibCore/Clock.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace StandIn {

/// Holds received bytes until the links have granted them and their latency has passed. Bytes are granted and written in order. An
/// empty buffer releases its memory if it is larger than CompactBytes.
class FlowBuffer
{
public:
    /// Adds received bytes, which are not granted yet.
    void append(std::string_view bytes)
    {
        m_bytes.append(bytes);
        m_ungranted += bytes.size();
    }

    /// Grants the next @p count bytes: they may be written from @p due on, but not before earlier ones.
    void grant(std::size_t count, Core::Instant due)
    {
        m_ungranted -= count;
        if (!m_segments.empty() && m_segments.back().m_due >= due) {
            m_segments.back().m_bytes += count;
            return;
        }
        m_segments.push_back(Segment{due, count});
    }

    /// Returns the bytes that may be written now.
    std::string_view writable(Core::Instant now) const
    {
        std::size_t count = 0;
        for (std::deque<Segment>::const_iterator it = m_segments.begin(); it != m_segments.end() && it->m_due <= now; ++it) {
            count += it->m_bytes;
        }
        return std::string_view(m_bytes).substr(m_begin, count);
    }

    /// Removes the first @p count bytes after they were written.
    void consume(std::size_t count)
    {
        m_begin += count;
        while (count > 0) {
            Segment &first = m_segments.front();
            const std::size_t part = std::min(count, first.m_bytes);
            first.m_bytes -= part;
            count -= part;
            if (first.m_bytes == 0) {
                m_segments.pop_front();
            }
        }
        if (m_begin == m_bytes.size()) {
            releaseMemory();
        } else if (m_begin > CompactBytes) {
            m_bytes.erase(0, m_begin);
            m_begin = 0;
        }
    }

    /// Returns the time from which the first granted bytes may be written; empty if none are granted.
    std::optional<Core::Instant> nextDue() const
    {
        if (m_segments.empty()) {
            return std::nullopt;
        }
        return m_segments.front().m_due;
    }

    /// Returns the number of bytes held, granted or not.
    std::size_t size() const
    {
        return m_bytes.size() - m_begin;
    }

    /// Returns the number of bytes that are not granted yet.
    std::size_t ungranted() const
    {
        return m_ungranted;
    }

private:
    struct Segment
    {
        Core::Instant m_due;
        std::size_t m_bytes = 0;
    };

    /// Written bytes are erased from m_bytes beyond this number, and an empty buffer keeps at most this capacity.
    static constexpr std::size_t CompactBytes = 32768;

    void releaseMemory()
    {
        m_begin = 0;
        if (m_bytes.capacity() > CompactBytes) {
            m_bytes = std::string();
        } else {
            m_bytes.clear();
        }
    }

    std::string m_bytes;
    std::size_t m_begin = 0; ///< Index of the first byte of m_bytes that has not been written.
    std::size_t m_ungranted = 0; ///< Number of bytes at the end of m_bytes that the links have not granted.
    std::deque<Segment> m_segments; ///< Granted bytes in order of m_due. Their sum is size() of this buffer minus m_ungranted.
};

}
