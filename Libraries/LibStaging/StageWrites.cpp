/// @file Implementation of the record of unsettled writes.

#include "LibStaging/StageWrites.h"

#include <algorithm>

namespace Staging {

namespace {

bool isSettled(const UnsettledWrites &writes, Core::Instant now, Core::Duration settleTime)
{
    return writes.m_inProgress == 0 && (!writes.m_unansweredAt || now - *writes.m_unansweredAt >= settleTime);
}

}

void beginWrite(StageWrites &writes, const std::string &manifestDigest)
{
    ++writes[manifestDigest].m_inProgress;
}

void endWrite(StageWrites &writes, const std::string &manifestDigest, bool isAnswered, Core::Instant now)
{
    UnsettledWrites &version = writes[manifestDigest];
    --version.m_inProgress;
    if (!isAnswered) {
        version.m_unansweredAt = now;
    }
}

bool forgetSettledWrites(StageWrites &writes, const std::string &manifestDigest, Core::Instant now, Core::Duration settleTime)
{
    bool hasForgottenOther = false;
    std::erase_if(writes, [&hasForgottenOther, &manifestDigest, now, settleTime](const std::pair<const std::string, UnsettledWrites> &version) {
        const bool isForgotten = isSettled(version.second, now, settleTime);
        hasForgottenOther = hasForgottenOther || (isForgotten && version.first != manifestDigest);
        return isForgotten;
    });
    return hasForgottenOther;
}

bool hasOtherWrites(const StageWrites &writes, const std::string &manifestDigest)
{
    return std::any_of(writes.begin(), writes.end(), [&manifestDigest](const std::pair<const std::string, UnsettledWrites> &version) {
        return version.first != manifestDigest;
    });
}

}
