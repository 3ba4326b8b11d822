/// @file Implementation of the gate for calls that may not be repeated.

#include "LibEndpoint/AttemptGate.h"

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
        return Admission::OtherLife;
    }
    if (const Record *known = find(tag.m_attempt)) {
        return known->m_state == State::Tombstoned ? Admission::Tombstoned : Admission::SeenBefore;
    }
    if (mayBeForgotten(tag)) {
        return Admission::TooOld;
    }
    if (!tag.m_key.empty() && m_attemptOfKey.contains(tag.m_key)) {
        return Admission::KeyTaken;
    }
    if (m_records.size() >= m_limits.m_maximumAttempts) {
        forgetOldest();
    }
    if (m_records.size() >= m_limits.m_maximumAttempts) {
        return Admission::Full;
    }
    m_records.emplace(tag.m_attempt, Record{State::Waiting, tag.m_key, tag.m_reportSequence, 0, ""});
    if (!tag.m_key.empty()) {
        m_attemptOfKey.emplace(tag.m_key, tag.m_attempt);
    }
    return Admission::Admitted;
}

bool AttemptTracker::begin(const std::string &attempt)
{
    Record *record = find(attempt);
    if (!record || record->m_state != State::Waiting) {
        return false;
    }
    record->m_state = State::Begun;
    return true;
}

void AttemptTracker::withdraw(const std::string &attempt)
{
    Record *record = find(attempt);
    if (record && (record->m_state == State::Waiting || record->m_state == State::Begun)) {
        close(attempt, *record, State::Tombstoned);
    }
}

void AttemptTracker::finish(const std::string &attempt, std::int32_t status, std::string body)
{
    Record *record = find(attempt);
    if (!record || record->m_state != State::Begun) {
        return;
    }
    if (body.size() > m_limits.m_maximumAnswer) {
        close(attempt, *record, State::Lost);
        return;
    }
    record->m_status = status;
    record->m_body = std::move(body);
    m_answerBytes += record->m_body.size();
    m_answered.push_back(attempt);
    close(attempt, *record, State::Finished);
    dropAnswers();
}

void AttemptTracker::lose(const std::string &attempt)
{
    Record *record = find(attempt);
    if (record && record->m_state == State::Begun) {
        close(attempt, *record, State::Lost);
    }
}

void AttemptTracker::cancel(const AttemptTag &tag)
{
    Record *record = find(tag.m_attempt);
    if (!record) {
        bar(tag);
        return;
    }
    if (record->m_state == State::Waiting) {
        close(tag.m_attempt, *record, State::Tombstoned);
    }
}

Protocol::OutcomeAnswer AttemptTracker::outcome(const AttemptTag &tag)
{
    if (tag.m_incarnation != m_incarnation) {
        // The attempt may have run in another life, or its entry cannot say in which. Barring it here is all that can be done.
        cancel(tag);
        return Protocol::OutcomeAnswer{Protocol::Outcome::Unknown, 0, ""};
    }
    const Record *record = find(tag.m_attempt);
    if (!record) {
        const bool forgotten = mayBeForgotten(tag);
        bar(tag);
        return Protocol::OutcomeAnswer{forgotten ? Protocol::Outcome::Unknown : Protocol::Outcome::NeverRan, 0, ""};
    }
    switch (record->m_state) {
    case State::Waiting:
    case State::Begun:
        return Protocol::OutcomeAnswer{Protocol::Outcome::Running, 0, ""};
    case State::Finished:
        return Protocol::OutcomeAnswer{Protocol::Outcome::Finished, record->m_status, record->m_body};
    case State::Tombstoned:
        return Protocol::OutcomeAnswer{Protocol::Outcome::NeverRan, 0, ""};
    case State::Lost:
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
    return m_answerBytes;
}

std::size_t AttemptTracker::openAttempts() const
{
    return m_records.size() - m_closed.size();
}

AttemptTracker::Record *AttemptTracker::find(const std::string &attempt)
{
    const std::unordered_map<std::string, Record>::iterator it = m_records.find(attempt);
    return it == m_records.end() ? nullptr : &it->second;
}

bool AttemptTracker::mayBeForgotten(const AttemptTag &tag) const
{
    return m_horizon && tag.m_reportSequence <= *m_horizon;
}

void AttemptTracker::bar(const AttemptTag &tag)
{
    if (m_records.size() >= m_limits.m_maximumAttempts) {
        forgetOldest();
    }
    if (m_records.size() >= m_limits.m_maximumAttempts) {
        // No room for a tombstone: the horizon takes its place, which bars everything that was sent on as old a report.
        m_horizon = std::max(m_horizon.value_or(0), tag.m_reportSequence);
        return;
    }
    Record &record = m_records.emplace(tag.m_attempt, Record{State::Waiting, "", tag.m_reportSequence, 0, ""}).first->second;
    close(tag.m_attempt, record, State::Tombstoned);
}

void AttemptTracker::close(const std::string &attempt, Record &record, State state)
{
    record.m_state = state;
    m_closed.push_back(attempt);
    if (state == State::Tombstoned && !record.m_key.empty()) {
        m_attemptOfKey.erase(record.m_key);
    }
}

void AttemptTracker::forgetOldest()
{
    if (m_closed.empty()) {
        return;
    }
    const std::unordered_map<std::string, Record>::iterator it = m_records.find(m_closed.front());
    const Record &record = it->second;
    m_horizon = std::max(m_horizon.value_or(0), record.m_reportSequence);
    m_answerBytes -= record.m_body.size();
    const std::unordered_map<std::string, std::string>::iterator key = m_attemptOfKey.find(record.m_key);
    if (key != m_attemptOfKey.end() && key->second == it->first) {
        m_attemptOfKey.erase(key);
    }
    m_records.erase(it);
    m_closed.pop_front();
}

void AttemptTracker::dropAnswers()
{
    while (!m_answered.empty() && (m_answerBytes > m_limits.m_maximumAnswerBytes || m_answered.size() > m_limits.m_maximumAttempts)) {
        Record *oldest = find(m_answered.front());
        m_answered.pop_front();
        if (oldest && oldest->m_state == State::Finished) {
            m_answerBytes -= oldest->m_body.size();
            oldest->m_body.clear();
            oldest->m_body.shrink_to_fit();
            oldest->m_state = State::Lost;
        }
    }
}

}
