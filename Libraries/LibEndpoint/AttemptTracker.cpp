/// @file Implementation of AttemptTracker.

#include "LibEndpoint/AttemptTracker.h"

#include <algorithm>

namespace Endpoint {

AttemptTracker::AttemptTracker(std::string incarnation, AttemptTrackerLimits limits)
    : m_incarnation(std::move(incarnation))
    , m_limits(limits)
{
}

Admission AttemptTracker::admit(const AttemptTag &tag)
{
    if (!tag.m_incarnation.empty() && tag.m_incarnation != m_incarnation) {
        return Admission::OtherIncarnation;
    }
    if (const Record *record = find(tag.m_attempt)) {
        return record->m_state == State::Tombstoned ? Admission::Tombstoned : Admission::Duplicate;
    }
    if (isPossiblyForgotten(tag)) {
        return Admission::PossiblyForgotten;
    }
    if (!tag.m_key.empty() && m_attemptByKey.contains(tag.m_key)) {
        return Admission::KeyInUse;
    }
    if (m_records.size() >= m_limits.m_maximumAttempts) {
        evictOldest();
    }
    if (m_records.size() >= m_limits.m_maximumAttempts) {
        return Admission::Full;
    }
    m_records.emplace(tag.m_attempt, Record{State::Waiting, tag.m_key, tag.m_reportSequence, 0, ""});
    if (!tag.m_key.empty()) {
        m_attemptByKey.emplace(tag.m_key, tag.m_attempt);
    }
    return Admission::Admitted;
}

bool AttemptTracker::tryBegin(const std::string &attempt)
{
    Record *record = find(attempt);
    if (!record || record->m_state != State::Waiting) {
        return false;
    }
    record->m_state = State::Begun;
    return true;
}

void AttemptTracker::recordNotRun(const std::string &attempt)
{
    Record *record = find(attempt);
    if (record && (record->m_state == State::Waiting || record->m_state == State::Begun)) {
        close(attempt, *record, State::Tombstoned);
    }
}

void AttemptTracker::recordAnswer(const std::string &attempt, std::int32_t status, std::string body)
{
    Record *record = find(attempt);
    if (!record || record->m_state != State::Begun) {
        return;
    }
    if (body.size() > m_limits.m_maximumBytesPerAnswer) {
        close(attempt, *record, State::AnswerLost);
        return;
    }
    record->m_status = status;
    record->m_body = std::move(body);
    m_storedAnswerBytes += record->m_body.size();
    m_attemptsWithAnswer.push_back(attempt);
    close(attempt, *record, State::Finished);
    evictAnswers();
}

void AttemptTracker::recordLostAnswer(const std::string &attempt)
{
    Record *record = find(attempt);
    if (record && record->m_state == State::Begun) {
        close(attempt, *record, State::AnswerLost);
    }
}

void AttemptTracker::cancel(const AttemptTag &tag)
{
    Record *record = find(tag.m_attempt);
    if (!record) {
        addTombstone(tag);
        return;
    }
    if (record->m_state == State::Waiting) {
        close(tag.m_attempt, *record, State::Tombstoned);
    }
}

Protocol::OutcomeAnswer AttemptTracker::outcome(const AttemptTag &tag)
{
    if (tag.m_incarnation != m_incarnation) {
        // The attempt may have run in another incarnation, or the entry does not know which one. It can only be prevented from running here.
        cancel(tag);
        return Protocol::OutcomeAnswer{Protocol::Outcome::Unknown, 0, ""};
    }
    const Record *record = find(tag.m_attempt);
    if (!record) {
        const bool mayHaveRun = isPossiblyForgotten(tag);
        addTombstone(tag);
        return Protocol::OutcomeAnswer{mayHaveRun ? Protocol::Outcome::Unknown : Protocol::Outcome::NeverRan, 0, ""};
    }
    switch (record->m_state) {
    case State::Waiting:
    case State::Begun:
        return Protocol::OutcomeAnswer{Protocol::Outcome::Running, 0, ""};
    case State::Finished:
        return Protocol::OutcomeAnswer{Protocol::Outcome::Finished, record->m_status, record->m_body};
    case State::Tombstoned:
        return Protocol::OutcomeAnswer{Protocol::Outcome::NeverRan, 0, ""};
    case State::AnswerLost:
        break;
    }
    return Protocol::OutcomeAnswer{Protocol::Outcome::Unknown, 0, ""};
}

std::size_t AttemptTracker::rememberedAttempts() const
{
    return m_records.size();
}

std::size_t AttemptTracker::storedAnswerBytes() const
{
    return m_storedAnswerBytes;
}

std::size_t AttemptTracker::openAttempts() const
{
    return m_records.size() - m_closedAttempts.size();
}

AttemptTracker::Record *AttemptTracker::find(const std::string &attempt)
{
    const std::unordered_map<std::string, Record>::iterator it = m_records.find(attempt);
    return it == m_records.end() ? nullptr : &it->second;
}

bool AttemptTracker::isPossiblyForgotten(const AttemptTag &tag) const
{
    return m_horizon && tag.m_reportSequence <= *m_horizon;
}

void AttemptTracker::addTombstone(const AttemptTag &tag)
{
    if (m_records.size() >= m_limits.m_maximumAttempts) {
        evictOldest();
    }
    if (m_records.size() >= m_limits.m_maximumAttempts) {
        // No record is free for a tombstone. Raising the horizon blocks every attempt that was sent with this report or an older one instead.
        m_horizon = std::max(m_horizon.value_or(0), tag.m_reportSequence);
        return;
    }
    Record &record = m_records.emplace(tag.m_attempt, Record{State::Waiting, "", tag.m_reportSequence, 0, ""}).first->second;
    close(tag.m_attempt, record, State::Tombstoned);
}

void AttemptTracker::close(const std::string &attempt, Record &record, State state)
{
    record.m_state = state;
    m_closedAttempts.push_back(attempt);
    if (state == State::Tombstoned && !record.m_key.empty()) {
        m_attemptByKey.erase(record.m_key);
    }
}

void AttemptTracker::evictOldest()
{
    if (m_closedAttempts.empty()) {
        return;
    }
    const std::unordered_map<std::string, Record>::iterator it = m_records.find(m_closedAttempts.front());
    const Record &record = it->second;
    m_horizon = std::max(m_horizon.value_or(0), record.m_reportSequence);
    m_storedAnswerBytes -= record.m_body.size();
    const std::unordered_map<std::string, std::string>::iterator key = m_attemptByKey.find(record.m_key);
    if (key != m_attemptByKey.end() && key->second == it->first) {
        m_attemptByKey.erase(key);
    }
    m_records.erase(it);
    m_closedAttempts.pop_front();
}

void AttemptTracker::evictAnswers()
{
    while (!m_attemptsWithAnswer.empty()
           && (m_storedAnswerBytes > m_limits.m_maximumStoredAnswerBytes || m_attemptsWithAnswer.size() > m_limits.m_maximumAttempts)) {
        Record *oldest = find(m_attemptsWithAnswer.front());
        m_attemptsWithAnswer.pop_front();
        if (oldest && oldest->m_state == State::Finished) {
            m_storedAnswerBytes -= oldest->m_body.size();
            oldest->m_body.clear();
            oldest->m_body.shrink_to_fit();
            oldest->m_state = State::AnswerLost;
        }
    }
}

}
