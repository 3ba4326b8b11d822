/// @file Checks that an answer is complete, in order, and belongs to the attempt.
#pragma once

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibProtocol/Live.h"

#include <cstdint>
#include <string>

namespace Routing {

/**
 * Validates each frame of one attempt's answer before any of it is sent to the caller.
 *
 * Frames can arrive late from an earlier attempt, belong to another attempt, be duplicated, or be missing after a broken connection. A caller
 * could then receive another caller's text, repeated words, or a truncated answer that looks complete. A frame must therefore name this
 * attempt, have the next number and come from the expected version. The answer is complete only after an end frame whose length and digest match.
 */
class AnswerChecker
{
public:
    /// @p version is the digest of the expected version; empty for plain services. @p peer names the agent in errors.
    AnswerChecker(std::string attempt, std::string version, std::string peer);

    /// Fails with Corrupt on an invalid frame; the rest of the answer must then be discarded.
    Core::Result<void> check(const Protocol::AnswerFrame &frame);
    /// True once a valid end frame has been checked.
    bool isComplete() const
    {
        return m_complete;
    }
    std::uint64_t bytes() const
    {
        return m_bytes;
    }

private:
    Core::Error mismatch(const std::string &detail) const;
    Core::Result<void> checkEnd(const Protocol::AnswerFrame &frame);

    const std::string m_attempt;
    const std::string m_version;
    const std::string m_peer;
    std::uint64_t m_nextNumber = 0;
    std::uint64_t m_bytes = 0;
    Core::Sha256 m_digest; ///< Over the data of all frames so far.
    bool m_complete = false;
};

}
