/// @file Reads one HTTP answer from a blocking connection and tells a complete body from one that was cut.
#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Error.h"

#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Network {

/**
 * Reads one answer. POCO's own HTTP streams report a chunked body that ends with its connection like a complete one, so answers whose completeness matters are
 * read with this class. All errors are Ambiguous: the request may have taken effect.
 */
class HttpAnswerReader
{
public:
    /// @p step and @p peer are named in errors.
    HttpAnswerReader(Poco::Net::StreamSocket socket, std::string step, std::string peer);
    ~HttpAnswerReader();

    HttpAnswerReader(const HttpAnswerReader &) = delete;
    HttpAnswerReader &operator=(const HttpAnswerReader &) = delete;

    /// Limits the time from now to the end of the answer. Without it only each wait is limited, by the socket, and an answer may come byte by byte for ever.
    void setTimeLimit(Core::Duration limit);
    /// Accepts a body that ends with its connection, for callers that can tell by its bytes whether it is whole.
    void acceptBodyUntilClose();
    /// Reads the head; interim answers are skipped. Must be called first, and once.
    Core::Result<void> readHead();
    int status() const;
    /// Returns the value of a field of the head; empty if there is none.
    std::string field(const std::string &name) const;
    /// Appends the next part of the body. Returns false at the end of the body; fails if it is cut, or ends with its connection and so may have been cut,
    /// unless acceptBodyUntilClose() was called.
    Core::Result<bool> readPart(std::string &body);
    /// Appends the rest of the body. Fails like readPart(), and with Corrupt if the body is longer than @p maximumBytes.
    Core::Result<void> readRest(std::string &body, std::size_t maximumBytes);

    /// Returns whether the connection may be used again. Must be called after the end of the body.
    bool keepsConnection() const;

private:
    struct State;

    Core::Error error(const std::string &detail) const;

    const std::string m_step;
    const std::string m_peer;
    bool m_acceptsBodyUntilClose = false;
    std::unique_ptr<State> m_state;
};

}
