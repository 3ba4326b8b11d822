/// @file The part of the quarantine's implementation that exchanges observations with other entries.

#include "LibCore/StatedAge.h"
#include "LibQuarantine/PartQuarantine.h"

namespace Quarantine {

void PartQuarantine::merge(const Observations &observations, Core::Instant now)
{
    for (const Verdict &verdict : observations.m_verdicts) {
        mergeVerdict(verdict, now);
    }
    for (const CompletionObservation &completion : observations.m_completions) {
        addCompletion(completion.m_part, now - Core::statedAge(completion.m_ageMilliseconds), now);
        m_completionsToShare.erase(completion.m_part); // Others tell it already.
    }
    for (const CrashObservation &observed : observations.m_crashes) {
        if (m_history.wasCompleted(observed.m_part)) {
            m_completionsToShare[observed.m_part] = now + m_settings.m_sharingTime;
        }
        const Core::Instant at = now - Core::statedAge(observed.m_ageMilliseconds);
        const Crash crash{observed.m_incarnation, observed.m_account, observed.m_hadBegun, at, observed.m_candidates, observed.m_request};
        if (isRequestIdentity(observed.m_part)) {
            addRequestCrash(observed.m_part, crash, false, now);
        } else {
            addCrash(observed.m_part, crash, now);
        }
    }
    decideNow(now);
}

void PartQuarantine::mergeVerdict(const Verdict &verdict, Core::Instant now)
{
    const std::map<PromptPart, SuspectRecord>::const_iterator suspect = m_suspects.find(verdict.m_part);
    m_verdicts.merge(verdict, suspect == m_suspects.end() ? std::vector<Crash>() : suspect->second.m_crashes, now);
    if (m_verdicts.isInForce(verdict.m_part)) {
        m_suspects.erase(verdict.m_part);
        m_requests.remove(verdict.m_part);
    }
}

bool PartQuarantine::isShared(const PromptPart &part, const SuspectRecord &suspect) const
{
    // Parts with completed answers are suspects after every crash, until the next answer.
    return !m_history.wasCompleted(part) || suspect.m_crashes.size() > 1;
}

CrashObservation PartQuarantine::observationOf(const PromptPart &part, const Crash &crash, Core::Instant now) const
{
    return CrashObservation{
        part, crash.m_incarnation, crash.m_account, crash.m_hadBegun, crash.m_candidates, crash.m_request, ageMilliseconds(crash.m_at, now)};
}

std::optional<Core::Instant> PartQuarantine::completedAt(const PromptPart &part) const
{
    return isRequestIdentity(part) ? m_requests.completedAt(part) : m_history.find(part).m_completedAt;
}

CompletionObservation PartQuarantine::completionOf(const PromptPart &part, Core::Instant now) const
{
    return CompletionObservation{part, ageMilliseconds(*completedAt(part), now)};
}

Observations PartQuarantine::sample(SampleSize size, Core::Instant now, Core::Random &random) const
{
    Observations observations;
    for (const std::pair<const PromptPart, SuspectRecord> &entry : m_suspects) {
        for (const Crash &crash : entry.second.m_crashes) {
            if (isShared(entry.first, entry.second)) {
                observations.m_crashes.push_back(observationOf(entry.first, crash, now));
            }
        }
    }
    constexpr std::size_t sampledEnds = 2; // After one end the request may be sent in any case.
    for (const std::pair<PromptPart, Crash> &end : m_requests.ends(sampledEnds)) {
        observations.m_crashes.push_back(observationOf(end.first, end.second, now));
    }
    Core::keepRandom(observations.m_crashes, size.m_crashes, random);
    for (const std::pair<const PromptPart, Core::Instant> &entry : m_completionsToShare) {
        if (completedAt(entry.first)) {
            observations.m_completions.push_back(completionOf(entry.first, now));
        }
    }
    Core::keepRandom(observations.m_completions, size.m_completions, random);
    observations.m_verdicts = m_verdicts.verdicts(now);
    Core::keepRandom(observations.m_verdicts, size.m_verdicts, random);
    return observations;
}

Observations PartQuarantine::takeNews(SampleSize size, Core::Instant now)
{
    Observations observations;
    observations.m_verdicts = m_verdicts.takeNews(size.m_verdicts, now);
    while (!m_newCompletions.empty() && observations.m_completions.size() < size.m_completions) {
        if (completedAt(*m_newCompletions.begin())) {
            observations.m_completions.push_back(completionOf(*m_newCompletions.begin(), now));
        }
        m_newCompletions.erase(m_newCompletions.begin());
    }
    while (!m_newCrashes.empty() && observations.m_crashes.size() < size.m_crashes) {
        const std::pair<PromptPart, Incarnation> news = *m_newCrashes.begin();
        m_newCrashes.erase(m_newCrashes.begin());
        const std::map<PromptPart, SuspectRecord>::const_iterator suspect = m_suspects.find(news.first);
        for (const Crash &crash : suspect == m_suspects.end() ? std::vector<Crash>() : suspect->second.m_crashes) {
            if (crash.m_incarnation == news.second) {
                observations.m_crashes.push_back(observationOf(news.first, crash, now));
            }
        }
    }
    return observations;
}

}
