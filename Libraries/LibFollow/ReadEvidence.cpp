/// @file Implementation of the decision about a read under way.

#include "LibFollow/ReadEvidence.h"

#include <algorithm>

namespace Follow {

namespace {

/// Returns whether the path to the log was lost after the read was sent and has carried a later call since.
bool wasPathRestored(const ReadEvidence &evidence)
{
    const bool wasLost = evidence.m_lastLossAt && *evidence.m_lastLossAt >= evidence.m_sentAt;
    return wasLost && evidence.m_lastAnsweredCallSentAt && *evidence.m_lastAnsweredCallSentAt >= *evidence.m_lastLossAt;
}

}

ReadVerdict judgeRead(const ReadEvidence &evidence, const ReadLimits &limits, Core::Duration patience, Core::Instant now)
{
    const bool isOverdue = evidence.m_overdueSince && now - std::max(*evidence.m_overdueSince, evidence.m_sentAt) >= limits.m_deliveryTime;
    if (isOverdue || wasPathRestored(evidence)) {
        return ReadVerdict::Dead;
    }
    const bool isConfirmed = evidence.m_confirmedAsOf && now - *evidence.m_confirmedAsOf < limits.m_confirmationLimit + patience;
    return isConfirmed ? ReadVerdict::Sound : ReadVerdict::Unconfirmed;
}

}
