/// @file Implementation of the quarantine.

#include "LibQuarantine/PartQuarantine.h"

#include <algorithm>

namespace Quarantine {

namespace {

Core::Instant newestCrash(const std::vector<Crash> &crashes)
{
    Core::Instant newest;
    for (const Crash &crash : crashes) {
        newest = std::max(newest, crash.m_at);
    }
    return newest;
}

bool isEarlier(const Crash &left, const Crash &right)
{
    return left.m_at < right.m_at;
}

std::uint64_t ageOf(Core::Instant at, Core::Instant now)
{
    return now > at ? static_cast<std::uint64_t>(std::chrono::duration_cast<Core::Duration>(now - at).count()) : 0;
}

/// Returns how much the crashes tell about one part. A request with many parts tells little about each of them.
double evidence(const std::vector<Crash> &crashes)
{
    double total = 0;
    for (const Crash &crash : crashes) {
        total += 1.0 / std::max(crash.m_candidates, 1U);
    }
    return total;
}

/// Returns the account of all crashes; empty if there are several, or requests without one.
std::optional<Account> commonAccount(const std::vector<Crash> &crashes)
{
    const Account first = crashes.front().m_account;
    const bool isCommon = first != 0 && std::all_of(crashes.begin(), crashes.end(), [first](const Crash &crash) { return crash.m_account == first; });
    return isCommon ? std::optional<Account>(first) : std::nullopt;
}

/// Returns the crashes of a verdict's incarnations. Those that are not among @p known are taken to be a second apart, up to now.
std::vector<Crash> crashesOf(const Verdict &verdict, const std::vector<Crash> &known, Core::Instant now)
{
    constexpr Core::Duration assumedInterval{1000};
    std::vector<Crash> crashes = known;
    Core::Instant at = now;
    for (const Incarnation incarnation : verdict.m_incarnations) {
        const bool isKnown = std::any_of(known.begin(), known.end(), [incarnation](const Crash &crash) { return crash.m_incarnation == incarnation; });
        at -= assumedInterval;
        if (!isKnown) {
            crashes.push_back(Crash{incarnation, verdict.m_account.value_or(0), true, at, 1});
        }
    }
    return crashes;
}

bool isInForce(const Verdict &verdict, Account account)
{
    return !verdict.m_isLifted && (!verdict.m_account || *verdict.m_account == account);
}

/// Keeps up to @p count elements, chosen at random.
template <typename T>
void keepRandom(std::vector<T> &values, std::size_t count, Core::Random &random)
{
    const std::size_t kept = std::min(count, values.size());
    for (std::size_t index = 0; index < kept; ++index) {
        std::swap(values[index], values[index + random.below(values.size() - index)]);
    }
    values.resize(kept);
}

}

PartQuarantine::PartQuarantine(std::uint64_t seed, QuarantineSettings settings, DecideFunction decide)
    : m_seed(seed)
    , m_settings(settings)
    , m_decide(std::move(decide))
{
}

void PartQuarantine::setProcessCount(std::size_t count)
{
    m_processCount = std::max<std::size_t>(count, 1);
}

std::uint64_t PartQuarantine::completionsSince(Core::Instant since) const
{
    const std::ptrdiff_t own = std::count_if(m_completedAt.begin(), m_completedAt.end(), [since](Core::Instant at) { return at >= since; });
    return static_cast<std::uint64_t>(own) * m_processCount;
}

const PartQuarantine::History *PartQuarantine::findHistory(const PromptPart &part) const
{
    const std::map<PromptPart, History>::const_iterator found = m_history.find(part);
    return found == m_history.end() ? nullptr : &found->second;
}

PartQuarantine::History &PartQuarantine::history(const PromptPart &part, Core::Instant now)
{
    History &history = m_history[part];
    history.m_usedAt = now;
    if (m_history.size() > m_settings.m_maximumHistory) {
        limitHistory();
    }
    return m_history[part];
}

PartQuarantine::VerdictRecord *PartQuarantine::findBlamed(const PromptPart &part)
{
    const std::map<PromptPart, VerdictRecord>::iterator found = m_verdicts.find(part);
    return found == m_verdicts.end() || found->second.m_verdict.m_isLifted ? nullptr : &found->second;
}

std::size_t PartQuarantine::blamedCount() const
{
    return static_cast<std::size_t>(std::count_if(
        m_verdicts.begin(), m_verdicts.end(), [](const std::pair<const PromptPart, VerdictRecord> &entry) { return !entry.second.m_verdict.m_isLifted; }));
}

Core::Instant PartQuarantine::holdEnd(const PromptPart &part, const SuspectRecord &record) const
{
    std::vector<Crash> unexplained = record.m_crashes;
    std::erase_if(unexplained, [this](const Crash &crash) { return m_explained.contains(crash.m_incarnation); });
    if (unexplained.empty()) {
        return {};
    }
    const std::uint64_t spread = Core::stableHash(part.m_id, m_seed) % static_cast<std::uint64_t>(m_settings.m_holdTime.count() + 1);
    Core::Instant end = newestCrash(unexplained) + m_settings.m_holdTime + Core::Duration(static_cast<std::int64_t>(spread));
    if (crashPoints(unexplained, m_settings.m_decision) >= m_settings.m_decision.m_threshold) {
        // A verdict follows unless the part is acquitted by then.
        end = std::max(end, unexplained.front().m_at + m_settings.m_decision.m_settleTime);
    }
    return std::max(end, record.m_trialEnd);
}

Treatment PartQuarantine::treat(const std::vector<PromptPart> &parts, Account account, Core::Instant now)
{
    if (m_suspects.empty() && m_verdicts.empty()) {
        return Treatment{};
    }
    for (const PromptPart &part : parts) {
        VerdictRecord *record = findBlamed(part);
        if (record && isInForce(record->m_verdict, account)) {
            record->m_usedAt = now;
            return Treatment{TreatmentKind::Refuse, part, Core::Duration(0)};
        }
    }
    Treatment treatment;
    for (const PromptPart &part : parts) {
        const std::map<PromptPart, SuspectRecord>::const_iterator found = m_suspects.find(part);
        const History *known = findHistory(part);
        const bool isPossible = found != m_suspects.end() && !(known && known->m_completedAt);
        const Core::Instant end = isPossible ? holdEnd(part, found->second) : now;
        if (end > now + treatment.m_holdTime) {
            treatment = Treatment{TreatmentKind::Hold, part, std::chrono::ceil<Core::Duration>(end - now)};
        }
    }
    return treatment;
}

bool PartQuarantine::areAcquitted(const std::vector<PromptPart> &parts) const
{
    return std::all_of(parts.begin(), parts.end(), [this](const PromptPart &part) {
        const History *known = findHistory(part);
        const std::map<PromptPart, SuspectRecord>::const_iterator suspect = m_suspects.find(part);
        const std::size_t crashes = suspect == m_suspects.end() ? 0 : suspect->second.m_crashes.size();
        return known && known->m_completedAt && crashes < m_settings.m_minimumCrashes;
    });
}

void PartQuarantine::recordArrival(const std::vector<PromptPart> &parts, Core::Instant now)
{
    m_arrivals += parts.empty() ? 0 : 1;
    for (const PromptPart &part : parts) {
        ++history(part, now).m_arrivals;
    }
}

void PartQuarantine::recordSent(const std::vector<PromptPart> &parts, Core::Instant now)
{
    for (const PromptPart &part : parts) {
        ++history(part, now).m_runs;
        const std::map<PromptPart, SuspectRecord>::iterator suspect = m_suspects.find(part);
        if (suspect != m_suspects.end()) {
            suspect->second.m_trialEnd = now + m_settings.m_trialTime;
        }
    }
}

void PartQuarantine::recordCrash(
    const std::vector<PromptPart> &parts, Incarnation incarnation, Account account, std::optional<Core::Duration> writing, Core::Instant now)
{
    const bool hadBegun = writing && *writing <= m_settings.m_beginning;
    const std::ptrdiff_t candidates = std::count_if(parts.begin(), parts.end(), [this](const PromptPart &part) {
        const History *known = findHistory(part);
        return !known || !known->m_completedAt;
    });
    for (const PromptPart &part : parts) {
        ++history(part, now).m_lostRuns;
        addCrash(part, Crash{incarnation, account, hadBegun, now, static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(candidates, 1))}, now);
    }
    decideNow(now);
}

void PartQuarantine::addCrash(const PromptPart &part, const Crash &crash, Core::Instant now)
{
    const std::unordered_map<Incarnation, Core::Instant>::const_iterator alive = m_aliveAt.find(crash.m_incarnation);
    const History *known = findHistory(part);
    const bool isRefuted = (alive != m_aliveAt.end() && alive->second > crash.m_at) || (known && known->m_completedAt && *known->m_completedAt >= crash.m_at);
    if (isRefuted || now - crash.m_at > m_settings.m_crashLifetime) {
        return;
    }
    VerdictRecord *record = findBlamed(part);
    if (record) {
        addCrashToVerdict(*record, crash);
        return;
    }
    SuspectRecord &suspect = m_suspects[part];
    const std::vector<Crash>::iterator same =
        std::find_if(suspect.m_crashes.begin(), suspect.m_crashes.end(), [&crash](const Crash &other) { return other.m_incarnation == crash.m_incarnation; });
    if (same != suspect.m_crashes.end()) {
        if (crash.m_hadBegun && !same->m_hadBegun && isShared(part, suspect)) {
            m_newCrashes.emplace(part, crash.m_incarnation);
        }
        same->m_hadBegun = same->m_hadBegun || crash.m_hadBegun;
        same->m_at = std::min(same->m_at, crash.m_at);
    } else {
        // The newest ones are kept: many crashes in one moment count once, and must not keep later ones from being counted.
        const std::vector<Crash>::iterator oldest = std::min_element(suspect.m_crashes.begin(), suspect.m_crashes.end(), isEarlier);
        if (suspect.m_crashes.size() >= m_settings.m_maximumCrashes) {
            if (!isEarlier(*oldest, crash)) {
                return;
            }
            suspect.m_crashes.erase(oldest);
        }
        suspect.m_crashes.push_back(crash);
        if (isShared(part, suspect)) {
            m_newCrashes.emplace(part, crash.m_incarnation);
        }
    }
    limitSuspects();
}

void PartQuarantine::addCrashToVerdict(VerdictRecord &record, const Crash &crash)
{
    Verdict &verdict = record.m_verdict;
    record.m_newestCrashAt = std::max(record.m_newestCrashAt, crash.m_at);
    if (verdict.m_account && *verdict.m_account != crash.m_account) {
        verdict.m_account.reset();
        revise(verdict);
        noteChange(verdict, false, {crash}, crash.m_at);
    }
    const bool isNew = std::find(verdict.m_incarnations.begin(), verdict.m_incarnations.end(), crash.m_incarnation) == verdict.m_incarnations.end();
    if (isNew && verdict.m_incarnations.size() < m_settings.m_maximumCrashes) {
        verdict.m_incarnations.push_back(crash.m_incarnation);
        record.m_crashes.push_back(crash);
        updateExplained();
    }
}

void PartQuarantine::recordCompletion(
    const std::vector<PromptPart> &parts, Incarnation incarnation, Core::Duration writing, bool isEndStated, Core::Instant now)
{
    const bool isProof = isEndStated && writing >= m_settings.m_provingTime;
    m_completedAt.push_back(now);
    if (m_completedAt.size() > m_settings.m_decision.m_neededCompletions) {
        m_completedAt.pop_front();
    }
    for (const PromptPart &part : parts) {
        if (isProof) {
            addCompletion(part, now, now);
            continue;
        }
        m_unproved.push_back(UnprovedCompletion{part, incarnation, now});
        if (m_unproved.size() > m_settings.m_maximumUnproved) {
            m_unproved.pop_front();
        }
    }
}

void PartQuarantine::addCompletion(const PromptPart &part, Core::Instant at, Core::Instant now)
{
    History &known = history(part, now);
    known.m_completedAt = std::max(at, known.m_completedAt.value_or(at));
    const std::map<PromptPart, SuspectRecord>::iterator suspect = m_suspects.find(part);
    if (suspect != m_suspects.end()) {
        std::erase_if(suspect->second.m_crashes, [at](const Crash &crash) { return crash.m_at <= at; });
        m_completionsToShare[part] = now + m_settings.m_sharingTime;
        m_newCompletions.insert(part);
        if (suspect->second.m_crashes.empty()) {
            m_suspects.erase(suspect);
        }
    }
    VerdictRecord *record = findBlamed(part);
    if (record && at > record->m_newestCrashAt) {
        liftVerdict(*record, now);
    }
}

void PartQuarantine::liftVerdict(VerdictRecord &record, Core::Instant now)
{
    record.m_verdict.m_isLifted = true;
    record.m_usedAt = now;
    record.m_crashes.clear();
    revise(record.m_verdict);
    noteChange(record.m_verdict, false, {}, now);
    updateExplained();
}

void PartQuarantine::revise(Verdict &verdict)
{
    ++verdict.m_revision;
    verdict.m_isStored = false;
    m_newVerdicts.insert(verdict.m_part);
}

void PartQuarantine::recordAlive(Incarnation incarnation, Core::Instant asOf)
{
    if (m_suspects.empty() && m_verdicts.empty() && m_unproved.empty()) {
        return;
    }
    if (m_aliveAt.size() < m_settings.m_maximumLivenessRecords || m_aliveAt.contains(incarnation)) {
        Core::Instant &aliveAt = m_aliveAt[incarnation];
        aliveAt = std::max(aliveAt, asOf);
    }
    for (std::map<PromptPart, SuspectRecord>::iterator suspect = m_suspects.begin(); suspect != m_suspects.end();) {
        std::erase_if(suspect->second.m_crashes, [incarnation, asOf](const Crash &crash) { return crash.m_incarnation == incarnation && crash.m_at < asOf; });
        suspect = suspect->second.m_crashes.empty() ? m_suspects.erase(suspect) : std::next(suspect);
    }
    for (std::pair<const PromptPart, VerdictRecord> &entry : m_verdicts) {
        refuteCrash(entry.second, incarnation, asOf);
    }
    std::vector<UnprovedCompletion> proved;
    std::erase_if(m_unproved, [&proved, incarnation, asOf](const UnprovedCompletion &completion) {
        const bool isProved = completion.m_incarnation == incarnation && completion.m_at < asOf;
        if (isProved) {
            proved.push_back(completion);
        }
        return isProved;
    });
    for (const UnprovedCompletion &completion : proved) {
        addCompletion(completion.m_part, completion.m_at, asOf);
    }
}

void PartQuarantine::refuteCrash(VerdictRecord &record, Incarnation incarnation, Core::Instant asOf)
{
    Verdict &verdict = record.m_verdict;
    const bool isRefuted = !verdict.m_isLifted && asOf > record.m_newestCrashAt && std::erase(verdict.m_incarnations, incarnation) > 0;
    if (isRefuted && verdict.m_incarnations.size() < m_settings.m_minimumCrashes) {
        liftVerdict(record, asOf);
    }
}

void PartQuarantine::merge(const Observations &observations, Core::Instant now)
{
    for (const Verdict &verdict : observations.m_verdicts) {
        mergeVerdict(verdict, now);
    }
    for (const CompletionObservation &completion : observations.m_completions) {
        m_completionsToShare.erase(completion.m_part);
        addCompletion(completion.m_part, now - Core::Duration(static_cast<std::int64_t>(completion.m_ageMilliseconds)), now);
        m_completionsToShare.erase(completion.m_part);
    }
    for (const CrashObservation &crash : observations.m_crashes) {
        const History *known = findHistory(crash.m_part);
        if (known && known->m_completedAt) {
            m_completionsToShare[crash.m_part] = now + m_settings.m_sharingTime;
        }
        const Core::Instant at = now - Core::Duration(static_cast<std::int64_t>(crash.m_ageMilliseconds));
        addCrash(crash.m_part, Crash{crash.m_incarnation, crash.m_account, crash.m_hadBegun, at, crash.m_candidates}, now);
    }
    decideNow(now);
}

void PartQuarantine::mergeVerdict(const Verdict &verdict, Core::Instant now)
{
    const Core::Duration idle(static_cast<std::int64_t>(verdict.m_idleMilliseconds));
    // A verdict that has ended here may be told once more by a process where it has not yet.
    if (idle >= m_settings.m_verdictLifetime || verdict.m_incarnations.size() > m_settings.m_maximumCrashes) {
        return;
    }
    const std::map<PromptPart, VerdictRecord>::iterator known = m_verdicts.find(verdict.m_part);
    if (known != m_verdicts.end()) {
        known->second.m_usedAt = std::max(known->second.m_usedAt, now - idle);
        const Verdict &own = known->second.m_verdict;
        const bool isNewer = verdict.m_revision > own.m_revision;
        const bool isStronger = verdict.m_revision == own.m_revision && !verdict.m_isLifted && (own.m_isLifted || (own.m_account && !verdict.m_account));
        const bool isWider = verdict.m_revision == own.m_revision && !verdict.m_isLifted && !own.m_isLifted && own.m_account && verdict.m_account
            && *own.m_account != *verdict.m_account;
        if (verdict.m_revision == own.m_revision && verdict.m_isStored) {
            known->second.m_verdict.m_isStored = true;
        }
        if (!isNewer && !isStronger && !isWider) {
            return;
        }
        Verdict merged = verdict;
        if (isWider) {
            merged.m_account.reset();
            merged.m_isStored = false;
        }
        known->second.m_verdict = merged;
    } else {
        m_verdicts[verdict.m_part].m_verdict = verdict;
        m_verdicts[verdict.m_part].m_usedAt = now - idle;
    }
    VerdictRecord &record = m_verdicts[verdict.m_part];
    if (!record.m_verdict.m_isLifted) {
        const std::map<PromptPart, SuspectRecord>::const_iterator suspect = m_suspects.find(verdict.m_part);
        const std::vector<Crash> known = suspect == m_suspects.end() ? record.m_crashes : suspect->second.m_crashes;
        record.m_crashes = crashesOf(record.m_verdict, known, now);
        record.m_newestCrashAt = known.empty() ? now : newestCrash(known);
        m_suspects.erase(verdict.m_part);
    }
    updateExplained();
    m_newVerdicts.insert(verdict.m_part);
    noteChange(record.m_verdict, true, {}, now);
    limitVerdicts();
}

void PartQuarantine::updateExplained()
{
    m_explained.clear();
    for (const std::pair<const PromptPart, VerdictRecord> &entry : m_verdicts) {
        const Verdict &verdict = entry.second.m_verdict;
        if (!verdict.m_isLifted) {
            m_explained.insert(verdict.m_incarnations.begin(), verdict.m_incarnations.end());
        }
    }
}

Suspect PartQuarantine::describe(const PromptPart &part, const SuspectRecord &record) const
{
    const History *known = findHistory(part);
    Suspect suspect;
    suspect.m_part = part;
    suspect.m_crashes = record.m_crashes;
    suspect.m_wasCompleted = known && known->m_completedAt;
    suspect.m_arrivals = known ? known->m_arrivals : 0;
    suspect.m_share = static_cast<double>(suspect.m_arrivals) / static_cast<double>(std::max<std::uint64_t>(m_arrivals, 1));
    suspect.m_runs = known ? known->m_runs : 0;
    suspect.m_lostRuns = known ? known->m_lostRuns : 0;
    for (const Crash &crash : record.m_crashes) {
        suspect.m_completionsSince = std::max(suspect.m_completionsSince, completionsSince(crash.m_at));
    }
    return suspect;
}

Suspect PartQuarantine::describe(const VerdictRecord &record) const
{
    Suspect suspect = describe(record.m_verdict.m_part, SuspectRecord{record.m_crashes, {}});
    suspect.m_isBlamed = true;
    return suspect;
}

void PartQuarantine::decideNow(Core::Instant now)
{
    if (m_suspects.empty()) {
        return;
    }
    std::vector<Suspect> suspects;
    for (const std::pair<const PromptPart, SuspectRecord> &entry : m_suspects) {
        suspects.push_back(describe(entry.first, entry.second));
    }
    for (const std::pair<const PromptPart, VerdictRecord> &entry : m_verdicts) {
        if (!entry.second.m_verdict.m_isLifted) {
            suspects.push_back(describe(entry.second));
        }
    }
    for (const PromptPart &part : m_decide(std::move(suspects), now, m_settings.m_decision)) {
        blame(part, std::vector<Crash>(m_suspects.at(part).m_crashes), now);
    }
}

void PartQuarantine::blame(const PromptPart &part, const std::vector<Crash> &crashes, Core::Instant now)
{
    m_suspects.erase(part);
    VerdictRecord &record = m_verdicts[part];
    Verdict &verdict = record.m_verdict;
    verdict.m_part = part;
    verdict.m_isLifted = false;
    revise(verdict);
    verdict.m_account = commonAccount(crashes);
    verdict.m_incarnations.clear();
    for (const Crash &crash : crashes) {
        verdict.m_incarnations.push_back(crash.m_incarnation);
    }
    record.m_usedAt = now;
    record.m_newestCrashAt = newestCrash(crashes);
    record.m_crashes = crashes;
    noteChange(verdict, false, crashes, now);
    updateExplained();
    limitVerdicts();
}

void PartQuarantine::noteChange(const Verdict &verdict, bool isFromPeer, const std::vector<Crash> &crashes, Core::Instant now)
{
    VerdictChange change;
    change.m_verdict = verdict;
    change.m_isFromPeer = isFromPeer;
    change.m_crashes = crashes.size();
    const History *known = findHistory(verdict.m_part);
    change.m_runs = known ? known->m_runs : 0;
    for (const Crash &crash : crashes) {
        change.m_sinceFirstCrash = std::max(change.m_sinceFirstCrash, std::chrono::duration_cast<Core::Duration>(now - crash.m_at));
    }
    if (m_changes.size() < m_settings.m_maximumVerdicts) {
        m_changes.push_back(std::move(change));
    }
}

bool PartQuarantine::isShared(const PromptPart &part, const SuspectRecord &record) const
{
    const History *known = findHistory(part);
    const bool wasCompleted = known && known->m_completedAt;
    // Parts with completed answers are suspects after every crash, until the next answer.
    return !wasCompleted || record.m_crashes.size() > 1;
}

CrashObservation PartQuarantine::observationOf(const PromptPart &part, const Crash &crash, Core::Instant now) const
{
    return CrashObservation{part, crash.m_incarnation, crash.m_account, crash.m_hadBegun, crash.m_candidates, ageOf(crash.m_at, now)};
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
    keepRandom(observations.m_crashes, size.m_crashes, random);
    for (const std::pair<const PromptPart, Core::Instant> &entry : m_completionsToShare) {
        const History *known = findHistory(entry.first);
        if (known && known->m_completedAt && now < entry.second) {
            observations.m_completions.push_back(CompletionObservation{entry.first, ageOf(*known->m_completedAt, now)});
        }
    }
    keepRandom(observations.m_completions, size.m_completions, random);
    observations.m_verdicts = verdicts(now);
    keepRandom(observations.m_verdicts, size.m_verdicts, random);
    return observations;
}

Observations PartQuarantine::takeNews(SampleSize size, Core::Instant now)
{
    Observations observations;
    while (!m_newVerdicts.empty() && observations.m_verdicts.size() < size.m_verdicts) {
        const std::map<PromptPart, VerdictRecord>::const_iterator found = m_verdicts.find(*m_newVerdicts.begin());
        m_newVerdicts.erase(m_newVerdicts.begin());
        if (found != m_verdicts.end()) {
            observations.m_verdicts.push_back(verdictOf(found->second, now));
        }
    }
    while (!m_newCompletions.empty() && observations.m_completions.size() < size.m_completions) {
        const History *known = findHistory(*m_newCompletions.begin());
        if (known && known->m_completedAt) {
            observations.m_completions.push_back(CompletionObservation{*m_newCompletions.begin(), ageOf(*known->m_completedAt, now)});
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

Verdict PartQuarantine::verdictOf(const VerdictRecord &record, Core::Instant now) const
{
    Verdict verdict = record.m_verdict;
    verdict.m_idleMilliseconds = ageOf(record.m_usedAt, now);
    return verdict;
}

std::vector<Verdict> PartQuarantine::verdicts(Core::Instant now) const
{
    std::vector<Verdict> verdicts;
    for (const std::pair<const PromptPart, VerdictRecord> &entry : m_verdicts) {
        verdicts.push_back(verdictOf(entry.second, now));
    }
    return verdicts;
}

std::uint64_t PartQuarantine::verdictDigest() const
{
    std::uint64_t digest = 0;
    for (const std::pair<const PromptPart, VerdictRecord> &entry : m_verdicts) {
        const Verdict &verdict = entry.second.m_verdict;
        const std::uint64_t state = std::uint64_t{verdict.m_revision} << 2 | (verdict.m_isLifted ? 2 : 0) | (verdict.m_account ? 1 : 0);
        digest ^= Core::stableHash(verdict.m_part.m_service + "/" + verdict.m_part.m_id, state);
    }
    return digest;
}

std::vector<VerdictChange> PartQuarantine::takeChanges()
{
    return std::exchange(m_changes, {});
}

void PartQuarantine::markStored(const PromptPart &part, std::uint32_t revision)
{
    const std::map<PromptPart, VerdictRecord>::iterator found = m_verdicts.find(part);
    if (found != m_verdicts.end() && found->second.m_verdict.m_revision == revision) {
        found->second.m_verdict.m_isStored = true;
        m_newVerdicts.insert(part);
    }
}

void PartQuarantine::lift(const PromptPart &part, Core::Instant now)
{
    VerdictRecord *record = findBlamed(part);
    if (record) {
        liftVerdict(*record, now);
    }
}

void PartQuarantine::update(Core::Instant now)
{
    for (std::map<PromptPart, SuspectRecord>::iterator suspect = m_suspects.begin(); suspect != m_suspects.end();) {
        std::erase_if(suspect->second.m_crashes, [this, now](const Crash &crash) { return now - crash.m_at > m_settings.m_crashLifetime; });
        suspect = suspect->second.m_crashes.empty() ? m_suspects.erase(suspect) : std::next(suspect);
    }
    std::erase_if(m_verdicts,
                  [this, now](const std::pair<const PromptPart, VerdictRecord> &entry) { return now - entry.second.m_usedAt > m_settings.m_verdictLifetime; });
    std::erase_if(m_aliveAt,
                  [this, now](const std::pair<const Incarnation, Core::Instant> &entry) { return now - entry.second > m_settings.m_livenessLifetime; });
    std::erase_if(m_completionsToShare, [now](const std::pair<const PromptPart, Core::Instant> &entry) { return now >= entry.second; });
    while (!m_unproved.empty() && now - m_unproved.front().m_at > m_settings.m_livenessLifetime) {
        m_unproved.pop_front();
    }
    decideNow(now);
}

void PartQuarantine::limitSuspects()
{
    while (m_newCrashes.size() > m_settings.m_maximumSuspects) {
        m_newCrashes.erase(m_newCrashes.begin());
    }
    while (m_suspects.size() > m_settings.m_maximumSuspects) {
        using Entry = std::pair<const PromptPart, SuspectRecord>;
        // What is least suspect goes first: a caller who sends many parts cannot hide one of them.
        m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [](const Entry &left, const Entry &right) {
            const double leftEvidence = evidence(left.second.m_crashes);
            const double rightEvidence = evidence(right.second.m_crashes);
            return leftEvidence != rightEvidence ? leftEvidence < rightEvidence : newestCrash(left.second.m_crashes) < newestCrash(right.second.m_crashes);
        }));
    }
}

void PartQuarantine::limitVerdicts()
{
    while (m_verdicts.size() > m_settings.m_maximumVerdicts) {
        using Entry = std::pair<const PromptPart, VerdictRecord>;
        m_verdicts.erase(std::min_element(m_verdicts.begin(), m_verdicts.end(), [](const Entry &left, const Entry &right) {
            const bool isLeftLifted = left.second.m_verdict.m_isLifted;
            const bool isRightLifted = right.second.m_verdict.m_isLifted;
            return isLeftLifted != isRightLifted ? isLeftLifted : left.second.m_usedAt < right.second.m_usedAt;
        }));
    }
}

void PartQuarantine::limitHistory()
{
    // Removes an eighth at once, so that the cost of a new part stays small while callers send many.
    std::vector<Core::Instant> times;
    for (const std::pair<const PromptPart, History> &entry : m_history) {
        times.push_back(entry.second.m_usedAt);
    }
    const std::vector<Core::Instant>::iterator eighth = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 8);
    std::nth_element(times.begin(), eighth, times.end());
    const Core::Instant oldest = *eighth;
    std::erase_if(m_history, [oldest](const std::pair<const PromptPart, History> &entry) { return entry.second.m_usedAt <= oldest; });
}

}
