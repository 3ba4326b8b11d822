/// @file Implementation of the division of limits.

#include "LibPlacement/RequestLimits.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

std::optional<double> boundedLimit(std::optional<double> perSecond, const RequestLimitSettings &settings)
{
    if (!perSecond || *perSecond > settings.m_maximum) {
        return std::nullopt;
    }
    return *perSecond > settings.m_minimum ? *perSecond : settings.m_minimum; // Also if it is not a number.
}

Core::Clock::duration interval(double perSecond)
{
    return std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double>(1 / perSecond));
}

}

bool ranksBefore(const LimitHolder &left, const LimitHolder &right, const Fleet::Endpoint &endpoint)
{
    const bool isLeftNear = left.m_failureDomain == endpoint.m_failureDomain;
    const bool isRightNear = right.m_failureDomain == endpoint.m_failureDomain;
    if (isLeftNear != isRightNear) {
        return isLeftNear;
    }
    return Core::rendezvousWeight(endpoint.m_id, left.m_id) > Core::rendezvousWeight(endpoint.m_id, right.m_id);
}

std::size_t holderRank(const Fleet::Endpoint &endpoint, const LimitHolder &self, const std::vector<LimitHolder> &others)
{
    return static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(), [&self, &endpoint](const LimitHolder &other) { return ranksBefore(other, self, endpoint); }));
}

double ownShare(
    const Fleet::Endpoint &endpoint, double perSecond, const LimitHolder &self, const std::vector<LimitHolder> &others, const RequestLimitSettings &settings)
{
    const std::size_t wanted = settings.m_minimumHolders + static_cast<std::size_t>(std::floor(perSecond));
    const std::size_t holders = std::min(wanted, others.size() + 1);
    return holderRank(endpoint, self, others) < holders ? perSecond / static_cast<double>(holders) : 0;
}

RequestLimits::RequestLimits(LimitHolder self, RequestLimitSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

void RequestLimits::setEntries(std::vector<LimitHolder> others, bool isComplete, Core::Instant now)
{
    if (others == m_others && isComplete == m_isComplete) {
        return;
    }
    m_others = std::move(others);
    m_isComplete = isComplete;
    for (std::pair<const std::string, Limit> &known : m_limits) {
        updateShare(known.second, now);
    }
}

void RequestLimits::updateShare(Limit &limit, Core::Instant now) const
{
    const double previous = limit.m_share;
    limit.m_share = limit.m_perSecond && m_isComplete ? ownShare(limit.m_endpoint, *limit.m_perSecond, m_self, m_others, m_settings) : 0;
    if (previous == 0 && limit.m_share > 0) {
        // Requests that were sent before this process held a share, by itself or by an earlier holder, count to the endpoint's limit too.
        limit.m_nextSendAt = std::max(limit.m_nextSendAt, now + interval(limit.m_share));
    }
}

bool RequestLimits::record(const Fleet::Endpoint &endpoint, std::optional<double> perSecond, Core::Instant observedAt, Core::Instant now)
{
    const std::map<std::string, Limit>::iterator found = m_limits.find(endpoint.m_id);
    const bool isKnown = found != m_limits.end() && found->second.m_endpoint.m_startedMilliseconds == endpoint.m_startedMilliseconds;
    if (isKnown ? observedAt <= found->second.m_observedAt : !perSecond) {
        return false;
    }
    if (!isKnown) {
        m_limits.insert_or_assign(endpoint.m_id, Limit{endpoint, std::nullopt, {}, 0, {}});
    }
    Limit &limit = m_limits.at(endpoint.m_id);
    const bool isChanged = limit.m_perSecond.has_value() != perSecond.has_value();
    limit.m_perSecond = perSecond;
    limit.m_observedAt = observedAt;
    updateShare(limit, now);
    return isChanged;
}

bool RequestLimits::recordAnswer(const Fleet::Endpoint &endpoint, std::optional<double> perSecond, Core::Instant sentAt, Core::Instant now)
{
    const std::optional<double> bounded = boundedLimit(perSecond, m_settings);
    return record(endpoint, bounded, bounded ? now : sentAt, now);
}

bool RequestLimits::recordObservation(const Fleet::Endpoint &endpoint, const LimitObservation &observation, Core::Instant now)
{
    const bool isOtherIncarnation = observation.m_endpoint != endpoint.m_id || observation.m_startedMilliseconds != endpoint.m_startedMilliseconds;
    if (isOtherIncarnation || observation.m_ageMilliseconds > static_cast<std::uint64_t>(m_settings.m_reportedAge.count())) {
        return false;
    }
    const Core::Instant observedAt = now - Core::Duration(static_cast<std::int64_t>(observation.m_ageMilliseconds));
    return record(endpoint, boundedLimit(observation.m_perSecond, m_settings), observedAt, now);
}

void RequestLimits::addAge(Core::Duration suspended)
{
    for (std::pair<const std::string, Limit> &known : m_limits) {
        known.second.m_observedAt -= suspended;
    }
}

std::vector<LimitObservation> RequestLimits::sample(std::size_t count, Core::Instant now, Core::Random &random) const
{
    std::vector<LimitObservation> observations;
    for (const std::pair<const std::string, Limit> &known : m_limits) {
        const Core::Duration age = std::chrono::duration_cast<Core::Duration>(now - known.second.m_observedAt);
        if (age <= m_settings.m_reportedAge) {
            observations.push_back(LimitObservation{
                known.first, known.second.m_endpoint.m_startedMilliseconds, known.second.m_perSecond, static_cast<std::uint64_t>(age.count())});
        }
    }
    Core::keepRandom(observations, count, random);
    return observations;
}

const RequestLimits::Limit *RequestLimits::findLimited(const Fleet::Endpoint &endpoint) const
{
    const std::map<std::string, Limit>::const_iterator found = m_limits.find(endpoint.m_id);
    const bool isCurrent = found != m_limits.end() && found->second.m_endpoint.m_startedMilliseconds == endpoint.m_startedMilliseconds;
    return isCurrent && found->second.m_perSecond ? &found->second : nullptr;
}

bool RequestLimits::maySend(const Fleet::Endpoint &endpoint, Core::Instant now) const
{
    const Limit *limit = findLimited(endpoint);
    return !limit || (limit->m_share > 0 && now >= limit->m_nextSendAt);
}

void RequestLimits::recordSent(const Fleet::Endpoint &endpoint, Core::Instant now)
{
    const std::map<std::string, Limit>::iterator found = m_limits.find(endpoint.m_id);
    if (found != m_limits.end() && found->second.m_share > 0) {
        found->second.m_nextSendAt = now + interval(found->second.m_share);
    }
}

std::optional<double> RequestLimits::limit(const Fleet::Endpoint &endpoint) const
{
    const Limit *limit = findLimited(endpoint);
    return limit ? limit->m_perSecond : std::nullopt;
}

double RequestLimits::share(const Fleet::Endpoint &endpoint) const
{
    const Limit *limit = findLimited(endpoint);
    return limit ? limit->m_share : 0;
}

std::size_t RequestLimits::limitedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_limits.begin(), m_limits.end(), [](const std::pair<const std::string, Limit> &known) { return known.second.m_perSecond.has_value(); }));
}

void RequestLimits::retainKnown(const std::map<std::string, Fleet::KnownEndpoint> &known, Core::Instant now)
{
    std::erase_if(m_limits, [this, &known, now](const std::pair<const std::string, Limit> &limit) {
        const bool hasEndedLongAgo = !limit.second.m_perSecond && now - limit.second.m_observedAt > m_settings.m_liftedLifetime;
        return hasEndedLongAgo || !known.contains(limit.first);
    });
}

}
