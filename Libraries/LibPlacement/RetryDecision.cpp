/// @file Implementation of the decision on retries.

#include "LibPlacement/RetryDecision.h"

#include "LibCore/Random.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

constexpr std::size_t MaximumCountedRequests = 1000; ///< Of an entry within a window; only small numbers decide anything.
constexpr std::size_t RetriesPerKeptToken = 4; ///< Of this many retries of the slack that an entry holds, one is a token that may be kept.

/// Returns the number of entries that hold parts of the slack before this one.
std::size_t slackRank(const std::string &service, const RetrySharers &sharers)
{
    const std::uint64_t own = Core::rendezvousWeight(service, sharers.m_self);
    return static_cast<std::size_t>(std::count_if(
        sharers.m_others.begin(), sharers.m_others.end(), [&service, own](const std::string &other) { return Core::rendezvousWeight(service, other) > own; }));
}

void removeBefore(std::deque<Core::Instant> &times, Core::Instant start)
{
    while (!times.empty() && times.front() <= start) {
        times.pop_front();
    }
}

}

std::size_t RetrySharers::count() const
{
    return std::max(m_others.size() + 1, m_reportedEntries);
}

std::size_t heldSlack(const std::string &service, const RetrySharers &sharers, const RetryBudgetSettings &settings)
{
    if (!sharers.m_areKnown) {
        return 0;
    }
    const std::size_t slack = static_cast<std::size_t>(std::floor(settings.m_slack * settings.m_safetyFactor));
    const std::size_t entries = sharers.count();
    // The rank is unknown if others know of entries that this one does not know.
    const bool isRankKnown = entries == sharers.m_others.size() + 1;
    const bool holdsRemainder = isRankKnown && slackRank(service, sharers) < slack % entries;
    return slack / entries + (holdsRemainder ? 1 : 0);
}

RetryShare retryShare(std::size_t heldSlack, std::size_t ownRequests, const RetryBudgetSettings &settings)
{
    RetryShare share;
    share.m_perRequest = settings.m_retriesPerRequest * settings.m_safetyFactor;
    share.m_maximumTokens = heldSlack / RetriesPerKeptToken;
    share.m_slack = heldSlack - share.m_maximumTokens;
    const double unused = settings.m_retriesPerRequest * (1 - settings.m_safetyFactor) * static_cast<double>(ownRequests);
    if (share.m_maximumTokens == 0 && unused >= 1) {
        share.m_maximumTokens = 1;
    }
    return share;
}

bool mayUseSlack(Core::Duration runningFor, const RetryBudgetSettings &settings)
{
    return runningFor >= settings.m_window + settings.m_discovery;
}

void updateAccount(RetryAccount &account, const RetryShare &share, const RetryBudgetSettings &settings, Core::Instant now)
{
    const Core::Instant start = now - settings.m_window;
    removeBefore(account.m_requestedAt, start);
    removeBefore(account.m_spentAt, start);
    removeBefore(account.m_slackSpentAt, start);
    account.m_tokens = std::min(account.m_tokens, static_cast<double>(share.m_maximumTokens));
}

RetryGrant decideRetry(const RetryAccount &account, const RetryShare &share, const RetryQuestion &question)
{
    if (account.m_tokens - static_cast<double>(account.m_reservedTokens) >= 1) {
        return RetryGrant::Token;
    }
    if (question.m_mayUseSlack && account.m_slackSpentAt.size() + account.m_reservedSlack < share.m_slack) {
        return RetryGrant::Slack;
    }
    const bool isDrawn = share.m_maximumTokens == 0 && question.m_isFirst;
    return isDrawn && question.m_lot < share.m_perRequest ? RetryGrant::Lot : RetryGrant::None;
}

void recordRequest(RetryAccount &account, const RetryShare &share, Core::Instant now)
{
    account.m_requestedAt.push_back(now);
    if (account.m_requestedAt.size() > MaximumCountedRequests) {
        account.m_requestedAt.pop_front();
    }
    account.m_tokens = std::min(account.m_tokens + share.m_perRequest, static_cast<double>(share.m_maximumTokens));
}

void reserve(RetryAccount &account, RetryGrant grant)
{
    account.m_reservedTokens += grant == RetryGrant::Token ? 1 : 0;
    account.m_reservedSlack += grant == RetryGrant::Slack ? 1 : 0;
}

void release(RetryAccount &account, RetryGrant grant)
{
    account.m_reservedTokens -= grant == RetryGrant::Token ? 1 : 0;
    account.m_reservedSlack -= grant == RetryGrant::Slack ? 1 : 0;
}

void spend(RetryAccount &account, RetryGrant grant, Core::Instant now)
{
    release(account, grant);
    account.m_spentAt.push_back(now);
    if (grant == RetryGrant::Token) {
        account.m_tokens -= 1;
    }
    if (grant == RetryGrant::Slack) {
        account.m_slackSpentAt.push_back(now);
    }
}

std::string_view retryGrantName(RetryGrant grant)
{
    switch (grant) {
    case RetryGrant::Token:
        return "token";
    case RetryGrant::Slack:
        return "slack";
    case RetryGrant::Lot:
        return "lot";
    case RetryGrant::None:
        break;
    }
    return "none";
}

}
