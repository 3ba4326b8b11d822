/// @file Implementation of the event framer.

#include "LibRelay/EventFramer.h"

#include "LibHttp/HeaderFields.h"

namespace Relay {

namespace {

/// Returns the length of the first complete event, including the empty line that ends it; npos if there is none.
std::size_t eventLength(std::string_view bytes)
{
    std::size_t lineStart = 0;
    while (true) {
        const std::size_t lineEnd = bytes.find('\n', lineStart);
        if (lineEnd == std::string_view::npos) {
            return std::string_view::npos;
        }
        const std::size_t length = lineEnd - lineStart;
        const bool isEmpty = length == 0 || (length == 1 && bytes[lineStart] == '\r');
        if (isEmpty) {
            return lineEnd + 1;
        }
        lineStart = lineEnd + 1;
    }
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::size_t lineStart = 0;
    while (lineStart < event.size()) {
        const std::size_t lineEnd = std::min(event.find('\n', lineStart), event.size());
        std::string_view line = event.substr(lineStart, lineEnd - lineStart);
        lineStart = lineEnd + 1;
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        return Http::parseNumber(line);
    }
    return std::nullopt;
}

}

EventFramer::EventFramer(std::optional<std::uint64_t> after)
    : m_lastId(after)
{
}

std::string EventFramer::feed(std::string_view bytes)
{
    m_partialEvent.append(bytes);
    std::string complete;
    std::string_view pending = m_partialEvent;
    while (true) {
        const std::size_t length = eventLength(pending);
        if (length == std::string_view::npos) {
            break;
        }
        const std::string_view event = pending.substr(0, length);
        pending.remove_prefix(length);
        const std::optional<std::uint64_t> id = eventId(event);
        if (id && m_lastId && *id <= *m_lastId) {
            m_repeatedBytes += length;
            continue;
        }
        m_repeatedBytes = 0;
        if (id) {
            m_hasGap = m_hasGap || (m_lastId && *id != *m_lastId + 1);
            m_lastId = id;
        }
        complete.append(event);
    }
    m_partialEvent.erase(0, m_partialEvent.size() - pending.size());
    return complete;
}

void EventFramer::discardPartialEvent()
{
    m_partialEvent.clear();
    m_repeatedBytes = 0;
}

}
