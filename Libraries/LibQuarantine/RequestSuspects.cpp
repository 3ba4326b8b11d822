/// @file Implementation of the table of requests under which endpoints have ended.

#include "LibQuarantine/RequestSuspects.h"

#include "LibCore/Random.h"

#include <algorithm>

namespace Quarantine {

namespace {

constexpr Core::Duration EndLifetime{5000}; ///< For which ends are compared; longer than news takes.

Core::Duration distance(Core::Instant left, Core::Instant right)
{
    return std::chrono::duration_cast<Core::Duration>(left > right ? left - right : right - left);
}

}

bool RequestSuspects::hasPrefix(const std::string &prefix) const
{
    const std::map<PromptPart, Record>::const_iterator found = m_records.lower_bound(PromptPart{"", prefix});
    return found != m_records.end() && found->first.m_id.starts_with(prefix);
}

const std::vector<Crash> &RequestSuspects::crashes(const PromptPart &identity) const
{
    static const std::vector<Crash> none;
    const std::map<PromptPart, Record>::const_iterator found = m_records.find(identity);
    return found == m_records.end() ? none : found->second.m_crashes;
}

std::vector<PromptPart> RequestSuspects::withEnds(std::size_t count) const
{
    std::vector<PromptPart> identities;
    for (const std::pair<const PromptPart, Record> &entry : m_records) {
        if (entry.second.m_crashes.size() >= count) {
            identities.push_back(entry.first);
        }
    }
    return identities;
}

std::optional<Core::Instant> RequestSuspects::completedAt(const PromptPart &identity) const
{
    const std::map<PromptPart, Record>::const_iterator found = m_records.find(identity);
    return found == m_records.end() ? std::nullopt : found->second.m_completedAt;
}

std::vector<Incarnation> RequestSuspects::endsAround(Core::Instant at) const
{
    std::vector<Incarnation> together;
    for (const std::pair<Core::Instant, Incarnation> &end : m_ends) {
        if (distance(end.first, at) <= m_settings.m_commonCauseWindow) {
            together.push_back(end.second);
        }
    }
    return together;
}

bool RequestSuspects::recordEnd(const Crash &crash)
{
    const auto isSame = [&crash](const std::pair<Core::Instant, Incarnation> &end) { return end.second == crash.m_incarnation; };
    const std::deque<std::pair<Core::Instant, Incarnation>>::const_iterator known = std::find_if(m_ends.begin(), m_ends.end(), isSame);
    const Core::Instant at = known == m_ends.end() ? crash.m_at : known->first;
    if (known == m_ends.end()) {
        m_ends.emplace_back(crash.m_at, crash.m_incarnation);
    }
    if (m_ends.size() > m_settings.m_recentEnds) {
        m_ends.pop_front();
    }
    const std::vector<Incarnation> together = endsAround(at);
    if (together.size() < m_settings.m_commonCauseEnds) {
        return false;
    }
    for (const Incarnation incarnation : together) {
        removeCrashes(incarnation, [](const Crash &) { return true; });
    }
    return true;
}

void RequestSuspects::add(const PromptPart &identity, const Crash &crash, bool isOwn)
{
    const bool hasCommonCause = recordEnd(crash);
    const std::map<PromptPart, Record>::const_iterator known = m_records.find(identity);
    const bool isBeforeCompletion = known != m_records.end() && known->second.m_completedAt && *known->second.m_completedAt >= crash.m_at;
    if (hasCommonCause || isBeforeCompletion) {
        return;
    }
    if (known == m_records.end()) {
        m_records[identity].m_completedAt = answeredAt(identity);
    }
    Record &record = m_records[identity];
    const auto isSame = [&crash](const Crash &other) { return other.m_incarnation == crash.m_incarnation; };
    if (record.m_crashes.size() >= m_settings.m_rememberedEnds || std::any_of(record.m_crashes.begin(), record.m_crashes.end(), isSame)) {
        return;
    }
    record.m_crashes.push_back(crash);
    record.m_changedAt = std::max(record.m_changedAt, crash.m_at);
    m_byIncarnation[crash.m_incarnation].insert(identity);
    if (isOwn) {
        m_news.emplace(identity, crash.m_incarnation);
    }
    limitSize();
}

void RequestSuspects::recordAnswer(const PromptPart &identity, Core::Instant at)
{
    const std::pair<std::uint64_t, Core::Instant> answer(Core::stableHash(identity.m_id), at);
    const auto isSame = [&answer](const std::pair<std::uint64_t, Core::Instant> &other) { return other.first == answer.first; };
    const std::vector<std::pair<std::uint64_t, Core::Instant>>::iterator same = std::find_if(m_answered.begin(), m_answered.end(), isSame);
    if (same != m_answered.end()) {
        same->second = at;
    } else if (m_answered.size() < m_settings.m_rememberedCompletions) {
        m_answered.push_back(answer);
    } else {
        m_answered[m_oldestAnswered] = answer;
        m_oldestAnswered = (m_oldestAnswered + 1) % m_answered.size();
    }
}

std::optional<Core::Instant> RequestSuspects::answeredAt(const PromptPart &identity) const
{
    const std::uint64_t hash = Core::stableHash(identity.m_id);
    for (const std::pair<std::uint64_t, Core::Instant> &answer : m_answered) {
        if (answer.first == hash) {
            return answer.second;
        }
    }
    return std::nullopt;
}

bool RequestSuspects::recordCompletion(const PromptPart &identity, Core::Instant at)
{
    const std::map<PromptPart, Record>::iterator found = m_records.find(identity);
    if (found == m_records.end()) {
        return false;
    }
    Record &record = found->second;
    const std::size_t crashes = record.m_crashes.size();
    const bool wasProven = record.m_completedAt.has_value();
    record.m_completedAt = std::max(at, record.m_completedAt.value_or(at));
    record.m_changedAt = std::max(record.m_changedAt, at);
    for (const Crash &crash : record.m_crashes) {
        if (crash.m_at <= at) {
            m_byIncarnation[crash.m_incarnation].erase(identity);
        }
    }
    std::erase_if(record.m_crashes, [at](const Crash &crash) { return crash.m_at <= at; });
    return !wasProven || record.m_crashes.size() < crashes;
}

void RequestSuspects::removeCrashes(Incarnation incarnation, const std::function<bool(const Crash &)> &isWrong)
{
    const std::unordered_map<Incarnation, std::set<PromptPart>>::iterator found = m_byIncarnation.find(incarnation);
    if (found == m_byIncarnation.end()) {
        return;
    }
    std::erase_if(found->second, [this, incarnation, &isWrong](const PromptPart &identity) {
        const std::map<PromptPart, Record>::iterator record = m_records.find(identity);
        if (record == m_records.end()) {
            return true;
        }
        const std::size_t erased = std::erase_if(record->second.m_crashes,
                                                 [incarnation, &isWrong](const Crash &crash) { return crash.m_incarnation == incarnation && isWrong(crash); });
        if (erased > 0 && record->second.m_crashes.empty() && !record->second.m_completedAt) {
            m_records.erase(record);
        }
        return erased > 0;
    });
    if (found->second.empty()) {
        m_byIncarnation.erase(found);
    }
}

void RequestSuspects::recordAlive(Incarnation incarnation, Core::Instant asOf)
{
    removeCrashes(incarnation, [asOf](const Crash &crash) { return crash.m_at < asOf; });
}

void RequestSuspects::remove(const PromptPart &identity)
{
    const std::map<PromptPart, Record>::iterator found = m_records.find(identity);
    if (found == m_records.end()) {
        return;
    }
    for (const Crash &crash : found->second.m_crashes) {
        m_byIncarnation[crash.m_incarnation].erase(identity);
    }
    m_records.erase(found);
}

void RequestSuspects::update(Core::Instant now)
{
    std::erase_if(m_records, [this, now](const std::pair<const PromptPart, Record> &entry) { return now - entry.second.m_changedAt > m_settings.m_lifetime; });
    std::erase_if(m_ends, [now](const std::pair<Core::Instant, Incarnation> &end) { return now - end.first > EndLifetime; });
    std::erase_if(m_byIncarnation, [this](const std::pair<const Incarnation, std::set<PromptPart>> &entry) {
        return std::none_of(entry.second.begin(), entry.second.end(), [this](const PromptPart &identity) { return m_records.contains(identity); });
    });
}

std::vector<std::pair<PromptPart, Crash>> RequestSuspects::takeNews(std::size_t count)
{
    std::vector<std::pair<PromptPart, Crash>> news;
    while (!m_news.empty() && news.size() < count) {
        const std::pair<PromptPart, Incarnation> next = *m_news.begin();
        m_news.erase(m_news.begin());
        for (const Crash &crash : crashes(next.first)) {
            if (crash.m_incarnation == next.second) {
                news.emplace_back(next.first, crash);
            }
        }
    }
    return news;
}

std::vector<std::pair<PromptPart, Crash>> RequestSuspects::ends(std::size_t minimum) const
{
    std::vector<std::pair<PromptPart, Crash>> ends;
    for (const std::pair<const PromptPart, Record> &entry : m_records) {
        for (const Crash &crash : entry.second.m_crashes) {
            if (entry.second.m_crashes.size() >= minimum) {
                ends.emplace_back(entry.first, crash);
            }
        }
    }
    return ends;
}

void RequestSuspects::limitSize()
{
    while (m_records.size() > m_settings.m_maximumSuspects) {
        using Entry = std::pair<const PromptPart, Record>;
        // Requests under which few endpoints have ended go first, so that a caller with many requests hides none of them.
        remove(std::min_element(m_records.begin(), m_records.end(), [](const Entry &left, const Entry &right) {
                   const std::size_t leftCount = left.second.m_crashes.size();
                   const std::size_t rightCount = right.second.m_crashes.size();
                   return leftCount != rightCount ? leftCount < rightCount : left.second.m_changedAt < right.second.m_changedAt;
               })->first);
    }
}

}
