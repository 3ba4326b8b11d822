/// @file Implementation of the table of verdicts.

#include "LibQuarantine/VerdictTable.h"

#include "LibCore/StatedAge.h"

#include "LibCore/Random.h"

#include <algorithm>

namespace Quarantine {

namespace {

bool concerns(const Verdict &verdict, Account account)
{
    return !verdict.m_isLifted && (!verdict.m_account || *verdict.m_account == account);
}

/// Returns the account of all crashes; empty if there are several, or requests without one.
std::optional<Account> commonAccount(const std::vector<Crash> &crashes)
{
    const Account first = crashes.front().m_account;
    const bool isCommon = first != 0 && std::all_of(crashes.begin(), crashes.end(), [first](const Crash &crash) { return crash.m_account == first; });
    return isCommon ? std::optional<Account>(first) : std::nullopt;
}

/// Adds the crashes of the verdict's other incarnations. Their times are not known, and are taken to be a second apart, up to now.
std::vector<Crash> withUnseenCrashes(std::vector<Crash> crashes, const Verdict &verdict, Core::Instant now)
{
    constexpr Core::Duration assumedInterval{1000};
    Core::Instant at = now;
    for (const Incarnation incarnation : verdict.m_incarnations) {
        at -= assumedInterval;
        if (std::none_of(crashes.begin(), crashes.end(), [incarnation](const Crash &crash) { return crash.m_incarnation == incarnation; })) {
            crashes.push_back(Crash{incarnation, verdict.m_account.value_or(0), true, at, 1, incarnation});
        }
    }
    return crashes;
}

/// Returns the verdict that holds of two on the same part.
Verdict merged(const Verdict &own, const Verdict &other)
{
    if (own.m_revision != other.m_revision) {
        return own.m_revision > other.m_revision ? own : other;
    }
    if (own.m_isLifted != other.m_isLifted) {
        return own.m_isLifted ? other : own;
    }
    Verdict result = own;
    if (own.m_account != other.m_account) {
        result.m_account.reset();
    }
    const bool isOwnKept = result.m_account == own.m_account && own.m_isStored;
    const bool isOtherKept = result.m_account == other.m_account && other.m_isStored;
    result.m_isStored = isOwnKept || isOtherKept;
    return result;
}

}

VerdictTable::Record *VerdictTable::findInForce(const PromptPart &part)
{
    const std::map<PromptPart, Record>::iterator found = m_records.find(part);
    return found == m_records.end() || found->second.m_verdict.m_isLifted ? nullptr : &found->second;
}

std::optional<PromptPart> VerdictTable::findRefused(const std::vector<PromptPart> &parts, Account account, Core::Instant now)
{
    for (const PromptPart &part : parts) {
        Record *record = findInForce(part);
        if (record && concerns(record->m_verdict, account)) {
            // A verdict on a request ends even if the request keeps coming.
            record->m_usedAt = isRequestIdentity(part) ? record->m_usedAt : now;
            return part;
        }
    }
    return std::nullopt;
}

bool VerdictTable::isInForce(const PromptPart &part) const
{
    const std::map<PromptPart, Record>::const_iterator found = m_records.find(part);
    return found != m_records.end() && !found->second.m_verdict.m_isLifted;
}

bool VerdictTable::explains(Incarnation incarnation) const
{
    return std::any_of(m_records.begin(), m_records.end(), [incarnation](const std::pair<const PromptPart, Record> &entry) {
        const Verdict &verdict = entry.second.m_verdict;
        const std::vector<Incarnation> &ended = verdict.m_incarnations;
        const bool isOnPart = !verdict.m_isLifted && !isRequestIdentity(entry.first);
        return isOnPart && std::find(ended.begin(), ended.end(), incarnation) != ended.end();
    });
}

bool VerdictTable::hasRequest(const std::string &identityPrefix) const
{
    std::map<PromptPart, Record>::const_iterator found = m_records.lower_bound(PromptPart{"", identityPrefix});
    for (; found != m_records.end() && isRequestIdentity(found->first) && found->first.m_id.starts_with(identityPrefix); ++found) {
        if (!found->second.m_verdict.m_isLifted) {
            return true;
        }
    }
    return false;
}

std::set<Incarnation> VerdictTable::explainedByParts(const std::set<Incarnation> &ended) const
{
    std::set<Incarnation> explained;
    for (const std::pair<const PromptPart, Record> &entry : m_records) {
        const std::vector<Incarnation> &others = entry.second.m_verdict.m_incarnations;
        const bool isWithin = std::all_of(others.begin(), others.end(), [&ended](Incarnation incarnation) { return ended.contains(incarnation); });
        if (!entry.second.m_verdict.m_isLifted && !isRequestIdentity(entry.first) && !isWithin) {
            explained.insert(others.begin(), others.end());
        }
    }
    return explained;
}

void VerdictTable::liftExplainedRequests(Core::Instant now)
{
    for (std::pair<const PromptPart, Record> &entry : m_records) {
        const std::vector<Incarnation> &incarnations = entry.second.m_verdict.m_incarnations;
        if (!isRequestIdentity(entry.first) || entry.second.m_verdict.m_isLifted) {
            continue;
        }
        const std::set<Incarnation> ended(incarnations.begin(), incarnations.end());
        const std::set<Incarnation> explained = explainedByParts(ended);
        if (std::includes(explained.begin(), explained.end(), ended.begin(), ended.end())) {
            lift(entry.second, now);
        }
    }
}

void VerdictTable::blame(const PromptPart &part, const std::vector<Crash> &crashes, Core::Instant now)
{
    Record &record = m_records[part];
    record.m_verdict.m_part = part;
    record.m_verdict.m_isLifted = false;
    record.m_verdict.m_account = commonAccount(crashes);
    record.m_verdict.m_incarnations.clear();
    for (const Crash &crash : crashes) {
        record.m_verdict.m_incarnations.push_back(crash.m_incarnation);
    }
    record.m_newestCrashAt = newestCrashAt(crashes);
    record.m_crashes = crashes;
    revise(record, now);
    limitSize();
}

void VerdictTable::addCrash(const PromptPart &part, const Crash &crash, Core::Instant now)
{
    Record *record = findInForce(part);
    if (!record) {
        return;
    }
    Verdict &verdict = record->m_verdict;
    record->m_newestCrashAt = std::max(record->m_newestCrashAt, crash.m_at);
    const bool isNew = std::find(verdict.m_incarnations.begin(), verdict.m_incarnations.end(), crash.m_incarnation) == verdict.m_incarnations.end();
    if (isNew && verdict.m_incarnations.size() < m_settings.m_maximumCrashes) {
        verdict.m_incarnations.push_back(crash.m_incarnation);
        record->m_crashes.push_back(crash);
    }
    if (verdict.m_account && *verdict.m_account != crash.m_account) {
        verdict.m_account.reset();
        revise(*record, now);
    }
}

void VerdictTable::acquit(const PromptPart &part, Core::Instant completedAt, Core::Instant now)
{
    Record *record = findInForce(part);
    if (record && completedAt > record->m_newestCrashAt) {
        lift(*record, now);
    }
}

void VerdictTable::lift(const PromptPart &part, Core::Instant now)
{
    Record *record = findInForce(part);
    if (record) {
        lift(*record, now);
    }
}

void VerdictTable::lift(Record &record, Core::Instant now)
{
    record.m_verdict.m_isLifted = true;
    record.m_crashes.clear();
    revise(record, now);
}

void VerdictTable::revise(Record &record, Core::Instant now)
{
    ++record.m_verdict.m_revision;
    record.m_verdict.m_isStored = false;
    record.m_usedAt = now;
    m_news.insert(record.m_verdict.m_part);
    noteChange(record, false, now);
}

std::vector<std::pair<PromptPart, std::vector<Crash>>> VerdictTable::refute(Incarnation incarnation, Core::Instant asOf)
{
    std::vector<std::pair<PromptPart, std::vector<Crash>>> lifted;
    for (std::pair<const PromptPart, Record> &entry : m_records) {
        Record &record = entry.second;
        Verdict &verdict = record.m_verdict;
        if (verdict.m_isLifted || asOf <= record.m_newestCrashAt || std::erase(verdict.m_incarnations, incarnation) == 0) {
            continue;
        }
        std::erase_if(record.m_crashes, [incarnation](const Crash &crash) { return crash.m_incarnation == incarnation; });
        if (verdict.m_incarnations.size() < m_settings.m_minimumCrashes) {
            lifted.emplace_back(entry.first, record.m_crashes);
            lift(record, asOf);
        }
    }
    return lifted;
}

void VerdictTable::merge(const Verdict &verdict, const std::vector<Crash> &crashes, Core::Instant now)
{
    const Core::Duration idle = Core::statedAge(verdict.m_idleMilliseconds);
    // A verdict that has ended here may be told once more by a process where it has not yet.
    if (idle >= lifetimeOf(verdict.m_part) || verdict.m_incarnations.size() > m_settings.m_maximumCrashes) {
        return;
    }
    const bool isKnown = m_records.contains(verdict.m_part);
    Record &record = m_records[verdict.m_part];
    record.m_usedAt = isKnown ? std::max(record.m_usedAt, now - idle) : now - idle;
    const Verdict before = record.m_verdict;
    record.m_verdict = isKnown ? merged(before, verdict) : verdict;
    const bool isSame =
        before.m_revision == record.m_verdict.m_revision && before.m_isLifted == record.m_verdict.m_isLifted && before.m_account == record.m_verdict.m_account;
    if (isKnown && isSame) {
        return;
    }
    const std::vector<Crash> known = crashes.empty() ? record.m_crashes : crashes;
    record.m_crashes.clear();
    if (!record.m_verdict.m_isLifted) {
        record.m_crashes = withUnseenCrashes(known, record.m_verdict, now);
        record.m_newestCrashAt = known.empty() ? now : newestCrashAt(known);
    }
    m_news.insert(verdict.m_part);
    noteChange(record, true, now);
    limitSize();
}

void VerdictTable::markStored(const PromptPart &part, std::uint32_t revision)
{
    const std::map<PromptPart, Record>::iterator found = m_records.find(part);
    if (found != m_records.end() && found->second.m_verdict.m_revision == revision) {
        found->second.m_verdict.m_isStored = true;
        m_news.insert(part);
    }
}

void VerdictTable::removeEnded(Core::Instant now)
{
    std::erase_if(m_records, [this, now](const std::pair<const PromptPart, Record> &entry) {
        const bool hasEnded = now - entry.second.m_usedAt > lifetimeOf(entry.first);
        if (hasEnded && !entry.second.m_verdict.m_isLifted) {
            noteChange(entry.second, false, now);
            m_changes.back().m_hasEnded = true;
        }
        return hasEnded;
    });
}

void VerdictTable::noteChange(const Record &record, bool isFromPeer, Core::Instant now)
{
    VerdictChange change;
    change.m_verdict = record.m_verdict;
    change.m_isFromPeer = isFromPeer;
    for (const Crash &crash : isFromPeer ? std::vector<Crash>() : record.m_crashes) {
        ++change.m_crashes;
        change.m_sinceFirstCrash = std::max(change.m_sinceFirstCrash, std::chrono::duration_cast<Core::Duration>(now - crash.m_at));
    }
    if (m_changes.size() >= m_settings.m_maximumVerdicts) {
        m_changes.erase(m_changes.begin());
    }
    m_changes.push_back(std::move(change));
}

Verdict VerdictTable::verdictOf(const Record &record, Core::Instant now) const
{
    Verdict verdict = record.m_verdict;
    verdict.m_idleMilliseconds = ageMilliseconds(record.m_usedAt, now);
    return verdict;
}

std::vector<Verdict> VerdictTable::verdicts(Core::Instant now) const
{
    std::vector<Verdict> verdicts;
    for (const std::pair<const PromptPart, Record> &entry : m_records) {
        verdicts.push_back(verdictOf(entry.second, now));
    }
    return verdicts;
}

std::vector<std::pair<PromptPart, std::vector<Crash>>> VerdictTable::blamed() const
{
    std::vector<std::pair<PromptPart, std::vector<Crash>>> blamed;
    for (const std::pair<const PromptPart, Record> &entry : m_records) {
        if (!entry.second.m_verdict.m_isLifted) {
            blamed.emplace_back(entry.first, entry.second.m_crashes);
        }
    }
    return blamed;
}

std::uint64_t VerdictTable::digest() const
{
    std::uint64_t digest = 0;
    for (const std::pair<const PromptPart, Record> &entry : m_records) {
        const Verdict &verdict = entry.second.m_verdict;
        const std::uint64_t state = std::uint64_t{verdict.m_revision} << 2 | (verdict.m_isLifted ? 2 : 0) | (verdict.m_account ? 1 : 0);
        digest ^= Core::stableHash(verdict.m_part.m_service + "/" + verdict.m_part.m_id, state);
    }
    return digest;
}

std::vector<Verdict> VerdictTable::takeNews(std::size_t count, Core::Instant now)
{
    std::vector<Verdict> news;
    while (!m_news.empty() && news.size() < count) {
        const std::map<PromptPart, Record>::const_iterator found = m_records.find(*m_news.begin());
        m_news.erase(m_news.begin());
        if (found != m_records.end()) {
            news.push_back(verdictOf(found->second, now));
        }
    }
    return news;
}

std::vector<VerdictChange> VerdictTable::takeChanges()
{
    return std::exchange(m_changes, {});
}

void VerdictTable::limitSize()
{
    while (m_records.size() > m_settings.m_maximumVerdicts) {
        using Entry = std::pair<const PromptPart, Record>;
        m_records.erase(std::min_element(m_records.begin(), m_records.end(), [](const Entry &left, const Entry &right) {
            const bool isLeftLifted = left.second.m_verdict.m_isLifted;
            const bool isRightLifted = right.second.m_verdict.m_isLifted;
            return isLeftLifted != isRightLifted ? isLeftLifted : left.second.m_usedAt < right.second.m_usedAt;
        }));
    }
}

}
