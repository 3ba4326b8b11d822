/// @file Validation of the frames of an answer.

#include "LibRouting/AnswerChecker.h"

#include "LibNetwork/HttpStatus.h"

namespace Routing {

AnswerChecker::AnswerChecker(std::string attempt, std::string version, std::string peer)
    : m_attempt(std::move(attempt))
    , m_version(std::move(version))
    , m_peer(std::move(peer))
{
}

Core::Error AnswerChecker::mismatch(const std::string &detail) const
{
    return Core::makeError(Core::ErrorCode::Corrupt, "check answer", m_peer, detail);
}

Core::Result<void> AnswerChecker::check(const Protocol::AnswerFrame &frame)
{
    if (m_complete) {
        return mismatch("a frame after the end");
    }
    if (frame.m_attempt != m_attempt) {
        return mismatch("a frame of another attempt");
    }
    if (frame.m_number != m_nextNumber) {
        return mismatch("frame " + std::to_string(frame.m_number) + " in place of " + std::to_string(m_nextNumber));
    }
    if (!m_version.empty() && frame.m_version != m_version) {
        return mismatch("version " + frame.m_version + " answered in place of " + m_version);
    }
    if (!Network::isFinalStatus(frame.m_status)) {
        return mismatch("the invalid status " + std::to_string(frame.m_status));
    }
    m_nextNumber += 1;
    if (frame.m_kind == Protocol::AnswerKind::End) {
        return checkEnd(frame);
    }
    m_bytes += frame.m_data.size();
    m_digest.update(frame.m_data);
    return Core::success();
}

Core::Result<void> AnswerChecker::checkEnd(const Protocol::AnswerFrame &frame)
{
    if (frame.m_totalBytes != m_bytes) {
        return mismatch("the answer has " + std::to_string(m_bytes) + " of " + std::to_string(frame.m_totalBytes) + " bytes");
    }
    if (frame.m_totalDigest != m_digest.finishHex()) {
        return mismatch("the answer's digest does not match");
    }
    m_complete = true;
    return Core::success();
}

}
