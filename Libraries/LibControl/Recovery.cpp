/// @file Implementation of recovery from the log and of merging histories.

#include "LibControl/Recovery.h"
#include "LibControl/ApplyRecord.h"
#include "LibCore/Digest.h"

#include <algorithm>

namespace Control {

namespace {

constexpr std::size_t RecordsPerPage = 256;

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
    const bool mayHaveEvicted = newer.m_removals.size() >= MaximumRemovals;
    for (const std::pair<const std::string, Removal> &entry : older.m_removals) {
        const Offset revision = templateRevision(newer, entry.first);
        const bool isEvicted = revision == 0 && mayHaveEvicted;
        if (revision < entry.second.m_revision && !isEvicted) {
            return false;
        }
        const bool isPresentAgain = revision == entry.second.m_revision && newer.m_templates.contains(entry.first);
        if (isPresentAgain) {
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

/// Returns whether both states have the same template, or both none, under the name.
bool haveEqualTemplates(const ControlState &left, const ControlState &right, const std::string &name)
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
 * Returns the revision that a kept template, removal or plan gets in the merged state; 0 if the log has something newer.
 *
 * If two histories assigned the same revision to different contents, each of these contents was in force on some process. One has to be replaced, and
 * the processes that have it must be able to notice. Therefore the content that is kept gets the revision of the merge, as if it had been published
 * again.
 */
Offset mergedRevision(Offset kept, Offset onLog, bool agree, Offset mergeRevision)
{
    if (kept < onLog) {
        return 0;
    }
    return kept > onLog || agree ? kept : mergeRevision;
}

void mergeTemplates(ControlState &merged, const ControlState &base, const ControlState &kept)
{
    for (const std::pair<const std::string, AcceptedTemplate> &entry : kept.m_templates) {
        const bool agree = haveEqualTemplates(base, kept, entry.first);
        const Offset revision = mergedRevision(entry.second.m_revision, templateRevision(base, entry.first), agree, merged.m_applied);
        if (revision > 0) {
            merged.m_removals.erase(entry.first);
            merged.m_templates[entry.first] = entry.second;
            merged.m_templates[entry.first].m_revision = revision;
        }
    }
    for (const std::pair<const std::string, Removal> &entry : kept.m_removals) {
        const bool agree = haveEqualTemplates(base, kept, entry.first);
        const Offset revision = mergedRevision(entry.second.m_revision, templateRevision(base, entry.first), agree, merged.m_applied);
        if (revision > 0) {
            merged.m_templates.erase(entry.first);
            merged.m_removals[entry.first] = entry.second;
            merged.m_removals[entry.first].m_revision = revision;
        }
    }
    while (merged.m_removals.size() > MaximumRemovals) {
        merged.m_removals.erase(merged.m_removals.begin());
    }
}

void mergePlans(ControlState &merged, const ControlState &kept)
{
    for (const std::pair<const std::string, Plan> &entry : kept.m_plans) {
        const std::map<std::string, Plan>::const_iterator found = merged.m_plans.find(entry.first);
        const Offset onLog = found == merged.m_plans.end() ? 0 : found->second.m_offset;
        const bool agree = found != merged.m_plans.end() && found->second == entry.second;
        const Offset offset = mergedRevision(entry.second.m_offset, onLog, agree, merged.m_applied);
        if (offset > 0) {
            merged.m_plans[entry.first] = entry.second;
            merged.m_plans[entry.first].m_offset = offset;
        }
    }
}

void mergeOutcomes(ControlState &merged, const ControlState &kept)
{
    for (const RecordOutcome &outcome : kept.m_outcomes) {
        if (!findOutcome(merged, outcome.m_record)) {
            merged.m_outcomes.push_back(outcome);
        }
    }
    std::stable_sort(merged.m_outcomes.begin(), merged.m_outcomes.end(), [](const RecordOutcome &left, const RecordOutcome &right) {
        return left.m_offset < right.m_offset;
    });
    while (merged.m_outcomes.size() > MaximumOutcomes) {
        merged.m_outcomes.pop_front();
    }
}

/// Digests of the records read so far, the first of them at m_firstOffset.
struct RecordDigests
{
    Platform::Offset m_firstOffset = 1;
    std::vector<std::string> m_digests;

    bool contains(Platform::Offset offset, const std::string &digest) const
    {
        return offset >= m_firstOffset && offset - m_firstOffset < m_digests.size() && m_digests[offset - m_firstOffset] == digest;
    }
};

/// Returns the state that a checkpoint or restore record contains, if a new reader may start from it.
std::optional<ControlState> extractUsableState(const Protocol::LogRecord &entry, const RecordDigests &digests)
{
    const Core::Result<Record> record = decodeRecord(entry.m_body);
    if (!record) {
        return std::nullopt;
    }
    if (const Checkpoint *checkpoint = std::get_if<Checkpoint>(&record.value().m_change)) {
        if (checkpoint->m_position < digests.m_firstOffset || Core::sha256Hex(checkpoint->m_state) != checkpoint->m_digest) {
            return std::nullopt;
        }
        Core::Result<ControlState> state = decodeState(checkpoint->m_state, "");
        const bool belongsToHistory =
            state && state.value().m_position == checkpoint->m_position && digests.contains(checkpoint->m_position, state.value().m_lastDigest);
        return belongsToHistory ? std::optional<ControlState>(std::move(state.value())) : std::nullopt;
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

bool isNewerStart(const ControlState &candidate, const std::optional<ControlState> &best)
{
    if (!best) {
        return true;
    }
    return std::pair(candidate.m_generation, candidate.m_position) > std::pair(best->m_generation, best->m_position);
}

/// Number of attempts to read the complete log. Between two reads of a page, a busy log expires a few of several hundred records,
/// so that the second attempt usually succeeds.
constexpr int MaximumReadAttempts = 5;

Core::Error makeRecordExpiredError(Platform::Offset from)
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
    ControlState merged = base;
    merged.m_applied = std::max(base.m_applied, kept.m_applied) + 1;
    mergeTemplates(merged, base, kept);
    mergePlans(merged, kept);
    mergeOutcomes(merged, kept);
    merged.m_generation = std::max(base.m_generation, kept.m_generation) + 1;
    return merged;
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
        const Platform::LogPage page = BOOST_OUTCOME_TRYX(log.read(stream, from, Platform::ReadOptions{RecordsPerPage, Core::Duration(0)}));
        if (page.m_first > from) {
            return makeRecordExpiredError(from);
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

/// Reads the complete log once. Fails with NotFound if a record expires before it is read.
Core::Result<RecoveredState> tryRecoverFromLog(Platform::Log &log, const std::string &stream)
{
    RecoveredState recovered;
    std::optional<ControlState> start;
    Platform::LogPage page = BOOST_OUTCOME_TRYX(log.read(stream, 1, Platform::ReadOptions{RecordsPerPage, Core::Duration(0)}));
    recovered.m_firstOffset = page.m_first;
    Platform::Offset from = page.m_first;
    RecordDigests digests{page.m_first, {}};
    while (true) {
        page = BOOST_OUTCOME_TRYX(log.read(stream, from, Platform::ReadOptions{RecordsPerPage, Core::Duration(0)}));
        if (page.m_first > from) {
            return makeRecordExpiredError(from);
        }
        for (const Protocol::LogRecord &record : page.m_records) {
            std::optional<ControlState> candidate = extractUsableState(record, digests);
            digests.m_digests.push_back(Core::sha256Hex(record.m_body));
            if (candidate && isNewerStart(*candidate, start)) {
                start = std::move(candidate);
            }
        }
        from += page.m_records.size();
        recovered.m_nextOffset = page.m_next;
        if (page.m_records.empty() || from >= page.m_next) {
            break;
        }
    }
    if (!start && recovered.m_firstOffset > 1) {
        return recovered;
    }
    ControlState state = start ? std::move(*start) : ControlState();
    const Platform::Offset following = state.m_position + 1;
    recovered.m_state = BOOST_OUTCOME_TRYX(replayRetainedRecords(log, stream, std::move(state), following));
    recovered.m_nextOffset = recovered.m_state->m_position + 1;
    return recovered;
}

}

Core::Result<RecoveredState> recoverFromLog(Platform::Log &log, const std::string &stream)
{
    Core::Result<RecoveredState> recovered = tryRecoverFromLog(log, stream);
    // The oldest record can expire between the read that finds the start of the log and the read from there. The log works, and
    // the next attempt starts at a later offset.
    for (int attempt = 1; !recovered && recovered.error().m_code == Core::ErrorCode::NotFound && attempt < MaximumReadAttempts; ++attempt) {
        recovered = tryRecoverFromLog(log, stream);
    }
    if (!recovered && recovered.error().m_code == Core::ErrorCode::NotFound) {
        return Core::makeError(Core::ErrorCode::Unavailable, recovered.error().m_step, recovered.error().m_peer, recovered.error().m_detail);
    }
    return recovered;
}

}
