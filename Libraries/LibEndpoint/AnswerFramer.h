/// @file Numbers the frames of an answer and ends it with a frame of totals. Pure.
#pragma once

#include "LibCore/Digest.h"
#include "LibProtocol/Live.h"
#include "LibProtocol/Report.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Endpoint {

/**
 * Builds the frames of one attempt's answer.
 *
 * Frames can be delayed, belong to another attempt, or be truncated. To let the receiver detect this, each frame carries its attempt and
 * sequence number, and the end frame carries the length and digest of all data before it.
 */
class AnswerFramer
{
public:
    AnswerFramer(std::string attempt, std::string version, std::int32_t status);

    Protocol::AnswerFrame dataFrame(std::string data, const Protocol::EndpointLoad &load);
    Protocol::AnswerFrame endFrame(const Protocol::EndpointLoad &load);

private:
    Protocol::AnswerFrame nextFrame(const Protocol::EndpointLoad &load);

    const std::string m_attempt;
    const std::string m_version;
    const std::int32_t m_status;
    std::uint64_t m_nextNumber = 0;
    std::uint64_t m_totalBytes = 0;
    Core::Sha256 m_digest; ///< Digest of the data of all frames built so far.
};

}
