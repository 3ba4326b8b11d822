/// @file Bytes of one direction of a connection between their arrival and their departure: decision logic without sockets.
#pragma once

#include "LibCore/Clock.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace StandIn {

/// Bytes arrive, are granted by the links in order, and may leave once the latency is over. Empty buffers hold no memory to speak of.
class FlowBuffer
{
public:
    void append(std::string_view bytes)
    {
        m_bytes.append(bytes);
        m_ungranted += bytes.size();
    }

    /// The next @p count ungranted bytes may leave at @p due, but never before earlier ones.
    void grant(std::size_t count, Core::Instant due)
    {
        m_ungranted -= count;
        if (!m_segments.empty() && m_segments.back().m_due >= due) {
            m_segments.back().m_bytes += count;
            return;
        }
        m_segments.push_back(Segment{due, count});
    }

    /// The bytes that may leave now.
    std::string_view writable(Core::Instant now) const
    {
        std::size_t count = 0;
        for (std::deque<Segment>::const_iterator it = m_segments.begin(); it != m_segments.end() && it->m_due <= now; ++it) {
            count += it->m_bytes;
        }
        return std::string_view(m_bytes).substr(m_begin, count);
    }

    /// The first @p count bytes have left.
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

    /// When the first granted bytes may leave.
    std::optional<Core::Instant> nextDue() const
    {
        if (m_segments.empty()) {
            return std::nullopt;
        }
        return m_segments.front().m_due;
    }

    std::size_t size() const
    {
        return m_bytes.size() - m_begin;
    }

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
    std::size_t m_begin = 0; ///< First byte of m_bytes that has not left.
    std::size_t m_ungranted = 0; ///< Bytes at the end of m_bytes that the links have not granted.
    std::deque<Segment> m_segments; ///< In order of m_due; together size() - m_ungranted bytes.
};

}
