/// @file Implementation of reading afresh and of joining histories.

#include "LibControl/Recovery.h"
#include "LibControl/ApplyRecord.h"
#include "LibCore/Digest.h"

#include <algorithm>

namespace Control {

namespace {

constexpr std::size_t PageRecords = 256;

bool coversTemplates(const ControlState &newer, const ControlState &older)
{
    for (const std::pair<const std::string, AcceptedTemplate> &entry : older.m_templates) {
        const Offset revision = templateRevision(newer, entry.first);
        if (revision < entry.second.m_revision) {
            return false;
        }
        const std::map<std::string, AcceptedTemplate>::const_iterator same = newer.m_templates.find(entry.first);
        const bool differs = revision == entry.second.m_revision && (same == newer.m_templates.end() || same->second != entry.second);
        if (differs) {
            return false;
        }
    }
    return true;
}

bool coversRemovals(const ControlState &newer, const ControlState &older)
{
    const bool hasForgotten = newer.m_removals.size() >= MaximumRemovals;
    for (const std::pair<const std::string, Removal> &entry : older.m_removals) {
        const Offset revision = templateRevision(newer, entry.first);
        const bool isForgotten = revision == 0 && hasForgotten;
        if (revision < entry.second.m_revision && !isForgotten) {
            return false;
        }
        const bool isBack = revision == entry.second.m_revision && newer.m_templates.contains(entry.first);
        if (isBack) {
            return false;
        }
    }
    return true;
}

bool coversPlans(const ControlState &newer, const ControlState &older)
{
    for (const std::pair<const std::string, Plan> &entry : older.m_plans) {
        const std::map<std::string, Plan>::const_iterator found = newer.m_plans.find(entry.first);
        if (found == newer.m_plans.end() || found->second.m_offset < entry.second.m_offset) {
            return false;
        }
        if (found->second.m_offset == entry.second.m_offset && found->second != entry.second) {
            return false;
        }
    }
    return true;
}

/// Whether both states hold the same under the name.
bool agreeOn(const ControlState &left, const ControlState &right, const std::string &name)
{
    const std::map<std::string, AcceptedTemplate>::const_iterator leftTemplate = left.m_templates.find(name);
    const std::map<std::string, AcceptedTemplate>::const_iterator rightTemplate = right.m_templates.find(name);
    const bool isInLeft = leftTemplate != left.m_templates.end();
    const bool isInRight = rightTemplate != right.m_templates.end();
    if (isInLeft != isInRight) {
        return false;
    }
    return !isInLeft || leftTemplate->second == rightTemplate->second;
}

/**
 * Revision that something kept gets in the joined state; 0 if the joined state has something newer.
 *
 * Where two histories gave one revision to different things, both were in force somewhere. One has to yield, and its
 * readers must be able to tell: so the other gets the revision of the join, as if it had been published once more.
 */
Offset joinedRevision(Offset kept, Offset onLog, bool agree, Offset joinRevision)
{
    if (kept < onLog) {
        return 0;
    }
    return kept > onLog || agree ? kept : joinRevision;
}

void joinTemplates(ControlState &joined, const ControlState &base, const ControlState &kept)
{
    for (const std::pair<const std::string, AcceptedTemplate> &entry : kept.m_templates) {
        const bool agree = agreeOn(base, kept, entry.first);
        const Offset revision = joinedRevision(entry.second.m_revision, templateRevision(base, entry.first), agree, joined.m_applied);
        if (revision > 0) {
            joined.m_removals.erase(entry.first);
            joined.m_templates[entry.first] = entry.second;
            joined.m_templates[entry.first].m_revision = revision;
        }
    }
    for (const std::pair<const std::string, Removal> &entry : kept.m_removals) {
        const bool agree = agreeOn(base, kept, entry.first);
        const Offset revision = joinedRevision(entry.second.m_revision, templateRevision(base, entry.first), agree, joined.m_applied);
        if (revision > 0) {
            joined.m_templates.erase(entry.first);
            joined.m_removals[entry.first] = entry.second;
            joined.m_removals[entry.first].m_revision = revision;
        }
    }
    while (joined.m_removals.size() > MaximumRemovals) {
        joined.m_removals.erase(joined.m_removals.begin());
    }
}

void joinPlans(ControlState &joined, const ControlState &kept)
{
    for (const std::pair<const std::string, Plan> &entry : kept.m_plans) {
        const std::map<std::string, Plan>::const_iterator found = joined.m_plans.find(entry.first);
        const Offset onLog = found == joined.m_plans.end() ? 0 : found->second.m_offset;
        const bool agree = found != joined.m_plans.end() && found->second == entry.second;
        const Offset offset = joinedRevision(entry.second.m_offset, onLog, agree, joined.m_applied);
        if (offset > 0) {
            joined.m_plans[entry.first] = entry.second;
            joined.m_plans[entry.first].m_offset = offset;
        }
    }
}

void joinOutcomes(ControlState &joined, const ControlState &kept)
{
    for (const RecordOutcome &outcome : kept.m_outcomes) {
        if (!findOutcome(joined, outcome.m_record)) {
            joined.m_outcomes.push_back(outcome);
        }
    }
    std::stable_sort(joined.m_outcomes.begin(), joined.m_outcomes.end(), [](const RecordOutcome &left, const RecordOutcome &right) {
        return left.m_offset < right.m_offset;
    });
    while (joined.m_outcomes.size() > MaximumOutcomes) {
        joined.m_outcomes.pop_front();
    }
}

/// Digests of the records that a fresh reader has seen so far, the first of them at m_first.
struct SeenRecords
{
    Platform::Offset m_first = 1;
    std::vector<std::string> m_digests;

    bool holds(Platform::Offset offset, const std::string &digest) const
    {
        return offset >= m_first && offset - m_first < m_digests.size() && m_digests[offset - m_first] == digest;
    }
};

/// The encoded state that a record carries for fresh readers, if it may be used.
std::optional<ControlState> usableState(const Protocol::LogRecord &entry, const SeenRecords &seen)
{
    const Core::Result<Record> record = decodeRecord(entry.m_body);
    if (!record) {
        return std::nullopt;
    }
    if (const Checkpoint *checkpoint = std::get_if<Checkpoint>(&record.value().m_change)) {
        if (checkpoint->m_position < seen.m_first || Core::sha256Hex(checkpoint->m_state) != checkpoint->m_digest) {
            return std::nullopt;
        }
        Core::Result<ControlState> state = decodeState(checkpoint->m_state, "");
        const bool isOfThisHistory =
            state && state.value().m_position == checkpoint->m_position && seen.holds(checkpoint->m_position, state.value().m_lastDigest);
        return isOfThisHistory ? std::optional<ControlState>(std::move(state.value())) : std::nullopt;
    }
    if (const Restore *restore = std::get_if<Restore>(&record.value().m_change)) {
        if (restore->m_position + 1 != entry.m_offset) {
            return std::nullopt;
        }
        ControlState state;
        state.m_position = restore->m_position;
        const RecordOutcome outcome = applyRecord(state, entry.m_offset, entry.m_body);
        return outcome.m_accepted ? std::optional<ControlState>(std::move(state)) : std::nullopt;
    }
    return std::nullopt;
}

bool isBetterStart(const ControlState &candidate, const std::optional<ControlState> &best)
{
    if (!best) {
        return true;
    }
    return std::pair(candidate.m_generation, candidate.m_position) > std::pair(best->m_generation, best->m_position);
}

/// Readings of a whole log before it is given up. Between two looks at a page a busy log expires a few records of some hundred, so the second mostly holds.
constexpr int WholeReadings = 5;

Core::Error trimmed(Platform::Offset from)
{
    return Core::makeError(Core::ErrorCode::NotFound, "read log afresh", "", "record " + std::to_string(from) + " expired while the log was read");
}

}

bool covers(const ControlState &newer, const ControlState &older)
{
    return newer.m_applied >= older.m_applied && coversTemplates(newer, older) && coversRemovals(newer, older) && coversPlans(newer, older);
}

ControlState mergeStates(const ControlState &base, const ControlState &kept)
{
    ControlState joined = base;
    joined.m_applied = std::max(base.m_applied, kept.m_applied) + 1;
    joinTemplates(joined, base, kept);
    joinPlans(joined, kept);
    joinOutcomes(joined, kept);
    joined.m_generation = std::max(base.m_generation, kept.m_generation) + 1;
    return joined;
}

Record makeRestore(const ControlState &state, const std::string &author, const std::string &id)
{
    std::string encoded = encodeState(state);
    std::string digest = Core::sha256Hex(encoded);
    return Record{id, author, Restore{state.m_position, std::move(digest), std::move(encoded)}};
}

Core::Result<ControlState> replayRetainedRecords(Platform::Log &log, const std::string &stream, ControlState state, Platform::Offset first)
{
    Platform::Offset from = first;
    while (true) {
        const Platform::LogPage page = BOOST_OUTCOME_TRYX(log.read(stream, from, Platform::ReadOptions{PageRecords, Core::Duration(0)}));
        if (page.m_first > from) {
            return trimmed(from);
        }
        for (const Protocol::LogRecord &record : page.m_records) {
            applyRecord(state, record.m_offset, record.m_body);
        }
        from += page.m_records.size();
        if (page.m_records.empty() || from >= page.m_next) {
            state.m_position = from - 1;
            return state;
        }
    }
}

namespace {

/// Fails with NotFound if a record expires before it is read.
Core::Result<RecoveredState> readWholeOnce(Platform::Log &log, const std::string &stream)
{
    RecoveredState fresh;
    std::optional<ControlState> start;
    Platform::LogPage page = BOOST_OUTCOME_TRYX(log.read(stream, 1, Platform::ReadOptions{PageRecords, Core::Duration(0)}));
    fresh.m_firstOffset = page.m_first;
    Platform::Offset from = page.m_first;
    SeenRecords seen{page.m_first, {}};
    while (true) {
        page = BOOST_OUTCOME_TRYX(log.read(stream, from, Platform::ReadOptions{PageRecords, Core::Duration(0)}));
        if (page.m_first > from) {
            return trimmed(from);
        }
        for (const Protocol::LogRecord &record : page.m_records) {
            std::optional<ControlState> candidate = usableState(record, seen);
            seen.m_digests.push_back(Core::sha256Hex(record.m_body));
            if (candidate && isBetterStart(*candidate, start)) {
                start = std::move(candidate);
            }
        }
        from += page.m_records.size();
        fresh.m_nextOffset = page.m_next;
        if (page.m_records.empty() || from >= page.m_next) {
            break;
        }
    }
    if (!start && fresh.m_firstOffset > 1) {
        return fresh;
    }
    ControlState state = start ? std::move(*start) : ControlState();
    const Platform::Offset following = state.m_position + 1;
    fresh.m_state = BOOST_OUTCOME_TRYX(replayRetainedRecords(log, stream, std::move(state), following));
    fresh.m_nextOffset = fresh.m_state->m_position + 1;
    return fresh;
}

}

Core::Result<RecoveredState> recoverFromLog(Platform::Log &log, const std::string &stream)
{
    Core::Result<RecoveredState> fresh = readWholeOnce(log, stream);
    // The oldest record can expire between the look at where the log begins and the reading from there. The log is well, and the next reading begins later.
    for (int reading = 1; !fresh && fresh.error().m_code == Core::ErrorCode::NotFound && reading < WholeReadings; ++reading) {
        fresh = readWholeOnce(log, stream);
    }
    if (!fresh && fresh.error().m_code == Core::ErrorCode::NotFound) {
        return Core::makeError(Core::ErrorCode::Unavailable, fresh.error().m_step, fresh.error().m_peer, fresh.error().m_detail);
    }
    return fresh;
}

}
