/// @file Implementation of AnswerFramer.

#include "LibEndpoint/AnswerFramer.h"

namespace Endpoint {

AnswerFramer::AnswerFramer(std::string attempt, std::string version, std::int32_t status)
    : m_attempt(std::move(attempt))
    , m_version(std::move(version))
    , m_status(status)
{
}

Protocol::AnswerFrame AnswerFramer::dataFrame(std::string data, const Protocol::EndpointLoad &load)
{
    Protocol::AnswerFrame frame = nextFrame(load);
    m_totalBytes += data.size();
    m_digest.update(data);
    frame.m_data = std::move(data);
    return frame;
}

Protocol::AnswerFrame AnswerFramer::endFrame(const Protocol::EndpointLoad &load)
{
    Protocol::AnswerFrame frame = nextFrame(load);
    frame.m_kind = Protocol::AnswerKind::End;
    frame.m_totalBytes = m_totalBytes;
    frame.m_totalDigest = m_digest.finishHex();
    return frame;
}

Protocol::AnswerFrame AnswerFramer::nextFrame(const Protocol::EndpointLoad &load)
{
    Protocol::AnswerFrame frame;
    frame.m_attempt = m_attempt;
    frame.m_number = m_nextNumber++;
    frame.m_status = m_status;
    frame.m_version = m_version;
    frame.m_running = load.m_running + load.m_queued;
    frame.m_capacity = load.m_capacity;
    return frame;
}

}
