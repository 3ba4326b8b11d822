/// @file Decides whether a request may arrive at a further endpoint, within a limit on the sum over all entries and a window of time.
#pragma once

#include "LibCore/Clock.h"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace Placement {

/// Limit on the retries of a service. The requests of the service within a window allow retries by a ratio, and the slack allows further ones.
struct RetryBudgetSettings
{
    double m_retriesPerRequest = 0.2; ///< Retries that each request of a service allows.
    double m_slack = 100; ///< Further retries of a service within a window, summed over all entries.
    double m_safetyFactor = 0.85; ///< Part of both that is used, because retries that were sent at different times may arrive within one window.
    Core::Duration m_window{10000}; ///< Any span of this length counts.
    Core::Duration m_discovery{2000}; ///< Time in which all entries learn of one that has started.

    bool operator==(const RetryBudgetSettings &) const = default;
};

/// The entries among which the slack is divided, as one of them knows them.
struct RetrySharers
{
    std::string m_self; ///< Name of the instance.
    std::vector<std::string> m_others; ///< Names of the other instances.
    std::size_t m_reportedEntries = 0; ///< Largest number of entries that others count.
    bool m_areKnown = false; ///< The others are nearly all that there are. Until then this entry holds none of the slack.

    bool operator==(const RetrySharers &) const = default;

    /// Returns the number of entries among which the slack is divided.
    std::size_t count() const;
};

/// Part of a service's budget that one entry may use.
struct RetryShare
{
    double m_perRequest = 0; ///< Tokens that each of the entry's own requests adds.
    std::size_t m_maximumTokens = 0; ///< Tokens that are kept while they are not used.
    std::size_t m_slack = 0; ///< Retries without tokens within a window.

    bool operator==(const RetryShare &) const = default;
};

/// What one process has received and spent of a service's budget. A process starts without tokens, so that a restart allows no further retries.
struct RetryAccount
{
    double m_tokens = 0; ///< From earlier requests; at most the share's maximum.
    std::size_t m_reservedTokens = 0; ///< For retries that are not sent yet.
    std::size_t m_reservedSlack = 0; ///< Likewise.
    std::deque<Core::Instant> m_requestedAt; ///< Arrivals of requests within the window, oldest first.
    std::deque<Core::Instant> m_spentAt; ///< Retries sent within the window, oldest first.
    std::deque<Core::Instant> m_slackSpentAt; ///< Those of them that used the slack.
};

/// By what a retry is allowed.
enum class RetryGrant {
    None, ///< It is not allowed.
    Token, ///< By earlier requests.
    Slack, ///< By this entry's part of the slack.
    Lot, ///< By chance, in place of tokens that this entry may not keep.
};

/// A request that would arrive at a further endpoint: a retry, a resumed stream, a move to another endpoint, at once or out of the queue.
struct RetryQuestion
{
    bool m_isFirst = true; ///< The request has not been retried yet.
    double m_lot = 1; ///< Drawn once for the request, from 0 to below 1; 1 never wins.
    bool m_mayUseSlack = false; ///< No earlier process of this instance can have spent slack that still counts; see mayUseSlack().
};

/**
 * Returns how many retries of the slack of a service this entry holds; none if it does not know the others yet.
 *
 * The slack is divided into whole retries, since fractions of a retry cannot be limited one by one: with more entries than retries, those that rank first for
 * the service hold one each.
 */
std::size_t heldSlack(const std::string &service, const RetrySharers &sharers, const RetryBudgetSettings &settings);

/**
 * Returns the share of an entry that holds @p heldSlack retries and has received @p ownRequests of the service within the last window.
 *
 * Kept tokens are part of the slack, since their requests may lie before the window. An entry that holds too little for that uses all of it as slack, and keeps
 * a token only if its own requests cover it with the part of the ratio that the safety factor leaves unused.
 */
RetryShare retryShare(std::size_t heldSlack, std::size_t ownRequests, const RetryBudgetSettings &settings);

/// Returns whether a process that has been running for this long may use slack: what an earlier process of its instance spent does not count any more, and
/// the other entries have reduced their parts for at least a window.
bool mayUseSlack(Core::Duration runningFor, const RetryBudgetSettings &settings);

/// Forgets what lies before the window, and keeps no more tokens than the share allows.
void updateAccount(RetryAccount &account, const RetryShare &share, const RetryBudgetSettings &settings, Core::Instant now);

/// Decides on a retry, without changing the account.
RetryGrant decideRetry(const RetryAccount &account, const RetryShare &share, const RetryQuestion &question);

/// Adds what a new request allows.
void recordRequest(RetryAccount &account, const RetryShare &share, Core::Instant now);
/// Reserves what the grant uses until the retry is sent or given up.
void reserve(RetryAccount &account, RetryGrant grant);
/// Gives a reservation back.
void release(RetryAccount &account, RetryGrant grant);
/// Spends a reservation: the retry is sent.
void spend(RetryAccount &account, RetryGrant grant, Core::Instant now);

/// Returns the name of the grant in logs and metrics.
std::string_view retryGrantName(RetryGrant grant);

}
