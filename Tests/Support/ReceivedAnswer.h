/// @file What the caller of a relay has received of an answer, and whether it takes that for the whole answer.
#pragma once

#include "RelayFixture.h"

namespace TestSupport {

/// What a caller has received.
struct Received
{
    std::string m_head;
    std::string m_body; ///< As received, with the sizes of its chunks.
    bool m_isClosed = false;
    bool m_isReset = false;

    /// Returns the status as it was received; empty without a head.
    std::string status() const
    {
        constexpr std::size_t statusOffset = 9;
        return m_head.empty() ? "" : m_head.substr(statusOffset, 3);
    }

    /// Returns whether the framing states that the body is complete.
    bool looksComplete() const
    {
        if (m_head.find("Transfer-Encoding: chunked") != std::string::npos) {
            return m_body.ends_with("0\r\n\r\n");
        }
        const std::size_t length = m_head.find("Content-Length: ");
        if (length != std::string::npos) {
            return m_body.size() == std::stoul(m_head.substr(length + std::string("Content-Length: ").size()));
        }
        return m_isClosed && !m_isReset;
    }

    /// Returns the ids of the events, of one digit each.
    std::string eventIds() const
    {
        std::string ids;
        for (std::size_t at = m_body.find("id: "); at != std::string::npos; at = m_body.find("id: ", at + 1)) {
            ids += m_body.substr(at + 4, 1);
        }
        return ids;
    }
};

/// Sends a request and waits until the answer is complete or the connection ends.
inline Received receive(RelayFixture &fixture, const std::string &requestLine, const std::string &requestBody = {})
{
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    const std::string length = requestBody.empty() ? "" : "Content-Length: " + std::to_string(requestBody.size()) + "\r\n";
    caller.sendInBackground(requestLine + "\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\n" + length + "\r\n" + requestBody);
    Received received;
    const bool hasEnded = runUntil(fixture.m_loop, [&] {
        const std::string &bytes = caller.received();
        const std::size_t headEnd = bytes.find("\r\n\r\n");
        received.m_isClosed = caller.isClosed();
        received.m_isReset = caller.isReset();
        if (headEnd == std::string::npos) {
            return received.m_isClosed;
        }
        received.m_head = bytes.substr(0, headEnd + 2);
        received.m_body = bytes.substr(headEnd + 4);
        return received.m_isClosed || received.looksComplete();
    });
    REQUIRE(hasEnded);
    return received;
}

}
