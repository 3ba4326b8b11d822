/// @file The check that an answer is whole, in order, and this attempt's own.
#pragma once

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibProtocol/Live.h"

#include <cstdint>
#include <string>

namespace Routing {

/**
 * Checks each frame of one attempt's answer before any of it goes to the caller.
 *
 * Frames can come late from an earlier attempt, crossed with those of another, twice, or not at all after a cut. A caller would then see
 * somebody else's text, a word twice, or a draft that stops in the middle and looks complete. So a frame must name this attempt, continue the
 * numbering and come from the wanted version, and the answer is whole only after an end frame whose length and digest match.
 */
class AnswerChecker
{
public:
    /// @p version is the digest that must answer; empty for plain services.
    AnswerChecker(std::string attempt, std::string version, std::string peer);

    /// Fails with Corrupt, after which nothing more of the answer may be used.
    Core::Result<void> check(const Protocol::AnswerFrame &frame);
    /// True once a correct end frame came.
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
