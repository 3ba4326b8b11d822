/// @file The part of the quarantine's implementation that keeps a request from further endpoints if endpoints have ended under it.

#include "LibQuarantine/PartQuarantine.h"

#include <algorithm>

namespace Quarantine {

const Treatment &stricter(const Treatment &left, const Treatment &right)
{
    if (left.m_kind == TreatmentKind::Refuse || right.m_kind == TreatmentKind::Refuse) {
        return left.m_kind == TreatmentKind::Refuse ? left : right;
    }
    return right.m_holdTime > left.m_holdTime ? right : left;
}

bool PartQuarantine::hasTooManyEnds(const PromptPart &identity) const
{
    return m_verdicts.isInForce(identity) || m_requests.crashes(identity).size() >= m_requests.maximumEnds(identity);
}

Treatment PartQuarantine::treatRequest(const PromptPart &identity, Core::Instant arrivedAt, Core::Instant now) const
{
    if (m_verdicts.isInForce(identity)) {
        return Treatment{TreatmentKind::Refuse, identity, Core::Duration(0)};
    }
    const std::vector<Crash> &ends = m_requests.crashes(identity);
    const std::size_t maximum = m_requests.maximumEnds(identity);
    if (ends.size() + 1 < maximum) {
        return Treatment{};
    }
    const bool isLast = ends.size() < maximum;
    const Core::Instant since = isLast ? std::max(arrivedAt, newestCrashAt(ends)) : newestCrashAt(ends);
    const Core::Instant end = since + m_settings.m_requests.m_propagationTime;
    if (end > now) {
        return Treatment{TreatmentKind::Hold, identity, std::chrono::ceil<Core::Duration>(end - now)};
    }
    return isLast ? Treatment{} : Treatment{TreatmentKind::Refuse, identity, Core::Duration(0)};
}

void PartQuarantine::addRequestCrash(const PromptPart &identity, const Crash &crash, bool isOwn, Core::Instant now)
{
    const std::unordered_map<Incarnation, Core::Instant>::const_iterator alive = m_aliveAt.find(crash.m_incarnation);
    const bool isRefuted = alive != m_aliveAt.end() && alive->second > crash.m_at;
    if (isRefuted || now - crash.m_at > m_settings.m_requests.m_lifetime) {
        return;
    }
    if (m_verdicts.isInForce(identity)) {
        m_verdicts.addCrash(identity, crash, now);
        return;
    }
    m_requests.add(identity, crash, isOwn);
    if (m_requests.crashes(identity).size() > 1 && m_requests.completedAt(identity)) {
        m_newCompletions.insert(identity);
    }
}

void PartQuarantine::addRequestCompletion(const PromptPart &identity, Core::Instant at, Core::Instant now)
{
    if (m_requests.recordCompletion(identity, at)) {
        m_newCompletions.insert(identity);
    }
    m_verdicts.acquit(identity, at, now);
}

void PartQuarantine::restoreRequest(const PromptPart &part, const std::vector<Crash> &crashes)
{
    for (const Crash &crash : isRequestIdentity(part) ? crashes : std::vector<Crash>()) {
        m_requests.add(part, crash, false);
    }
}

void PartQuarantine::decideRequests(Core::Instant now)
{
    m_verdicts.liftExplainedRequests(now);
    for (const PromptPart &identity : m_requests.withEnds(m_settings.m_requests.m_maximumEnds)) {
        const std::vector<Crash> ends = m_requests.crashes(identity);
        // Until then, further ends may show that the last one has a common cause, and other entries may tell of a completed answer.
        const bool hasSettled = now - newestCrashAt(ends) > m_settings.m_requests.m_propagationTime;
        if (ends.size() >= m_requests.maximumEnds(identity) && hasSettled) {
            m_verdicts.blame(identity, ends, now);
            m_requests.remove(identity);
        }
    }
}

Observations PartQuarantine::takeRequestNews(Core::Instant now)
{
    Observations observations;
    for (const std::pair<PromptPart, Crash> &end : m_requests.takeNews(RequestNewsSize)) {
        observations.m_crashes.push_back(observationOf(end.first, end.second, now));
    }
    return observations;
}

Observations PartQuarantine::state(Core::Instant now) const
{
    std::vector<std::pair<PromptPart, Crash>> ends = m_requests.ends(1);
    const auto isNewer = [](const std::pair<PromptPart, Crash> &left, const std::pair<PromptPart, Crash> &right) {
        return isEarlier(right.second, left.second);
    };
    std::sort(ends.begin(), ends.end(), isNewer);
    ends.resize(std::min(ends.size(), MaximumStateCrashes));
    Observations observations;
    for (const std::pair<PromptPart, Crash> &end : ends) {
        observations.m_crashes.push_back(observationOf(end.first, end.second, now));
    }
    observations.m_verdicts = m_verdicts.verdicts(now);
    return observations;
}

}
