/// @file Numbers the frames of one answer and closes it with its totals. Pure.
#pragma once

#include "LibCore/Digest.h"
#include "LibProtocol/Live.h"
#include "LibProtocol/Report.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Endpoint {

/**
 * Makes the frames of one attempt's answer.
 *
 * Answers can come late, crossed or cut. The receiver can tell only if each frame names its attempt and place, and the last
 * one the length and digest of everything before it.
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
    Core::Sha256 m_digest; ///< Over the data of every frame made so far.
};

}
