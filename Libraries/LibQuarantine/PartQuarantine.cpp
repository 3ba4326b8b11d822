/// @file Implementation of the quarantine: what is recorded, and how requests are treated.

#include "LibQuarantine/PartQuarantine.h"

#include <algorithm>

namespace Quarantine {

namespace {

/// Returns how much the crashes tell about one part. A request with many parts tells little about each of them.
double evidence(const std::vector<Crash> &crashes)
{
    double total = 0;
    for (const Crash &crash : crashes) {
        total += 1.0 / std::max(crash.m_candidates, 1U);
    }
    return total;
}

}

PartQuarantine::PartQuarantine(std::uint64_t seed, QuarantineSettings settings, DecideFunction decide)
    : m_seed(seed)
    , m_settings(settings)
    , m_decide(std::move(decide))
    , m_history(settings.m_maximumHistory)
    , m_verdicts(settings)
    , m_requests(settings.m_requests)
{
}

void PartQuarantine::setProcessCount(std::size_t count)
{
    m_processCount = std::max<std::size_t>(count, 1);
}

Core::Instant PartQuarantine::holdEnd(const PromptPart &part, const SuspectRecord &suspect) const
{
    std::vector<Crash> unexplained = suspect.m_crashes;
    std::erase_if(unexplained, [this](const Crash &crash) { return m_verdicts.explains(crash.m_incarnation); });
    if (unexplained.empty()) {
        return {};
    }
    const std::uint64_t spread = Core::stableHash(part.m_id, m_seed) % static_cast<std::uint64_t>(m_settings.m_holdTime.count() + 1);
    Core::Instant end = newestCrashAt(unexplained) + m_settings.m_holdTime + Core::Duration(static_cast<std::int64_t>(spread));
    if (crashPoints(unexplained, m_settings.m_decision) >= m_settings.m_decision.m_threshold) {
        // A verdict follows unless the part is acquitted by then.
        const Core::Instant first = std::min_element(unexplained.begin(), unexplained.end(), isEarlier)->m_at;
        end = std::max(end, first + m_settings.m_decision.m_settleTime);
    }
    return std::max(end, suspect.m_trialEnd);
}

Treatment PartQuarantine::treat(const std::vector<PromptPart> &parts, Account account, Core::Instant now)
{
    if (m_suspects.empty() && m_verdicts.isEmpty()) {
        return Treatment{};
    }
    const std::optional<PromptPart> refused = m_verdicts.findRefused(parts, account, now);
    if (refused) {
        return Treatment{TreatmentKind::Refuse, *refused, Core::Duration(0)};
    }
    Treatment treatment;
    for (const PromptPart &part : parts) {
        const std::map<PromptPart, SuspectRecord>::const_iterator found = m_suspects.find(part);
        const bool isSuspected = found != m_suspects.end() && !m_history.wasCompleted(part);
        const Core::Instant end = isSuspected ? holdEnd(part, found->second) : now;
        if (end > now + treatment.m_holdTime) {
            treatment = Treatment{TreatmentKind::Hold, part, std::chrono::ceil<Core::Duration>(end - now)};
        }
    }
    return treatment;
}

bool PartQuarantine::areAcquitted(const std::vector<PromptPart> &parts) const
{
    return std::all_of(parts.begin(), parts.end(), [this](const PromptPart &part) {
        const std::map<PromptPart, SuspectRecord>::const_iterator suspect = m_suspects.find(part);
        const std::size_t crashes = suspect == m_suspects.end() ? 0 : suspect->second.m_crashes.size();
        return m_history.wasCompleted(part) && crashes < m_settings.m_minimumCrashes;
    });
}

void PartQuarantine::recordArrival(const std::vector<PromptPart> &parts, Core::Instant now)
{
    m_arrivals += parts.empty() ? 0 : 1;
    for (const PromptPart &part : parts) {
        ++m_history.use(part, now).m_arrivals;
    }
}

void PartQuarantine::recordSent(const std::vector<PromptPart> &parts, Core::Instant now)
{
    for (const PromptPart &part : parts) {
        ++m_history.use(part, now).m_runs;
        const std::map<PromptPart, SuspectRecord>::iterator suspect = m_suspects.find(part);
        if (suspect != m_suspects.end()) {
            suspect->second.m_trialEnd = now + m_settings.m_trialTime;
        }
    }
}

void PartQuarantine::recordCrash(const RunFacts &run, Core::Instant now)
{
    const std::ptrdiff_t candidates =
        std::count_if(run.m_parts.begin(), run.m_parts.end(), [this](const PromptPart &part) { return !m_history.wasCompleted(part); });
    Crash crash;
    crash.m_incarnation = run.m_incarnation;
    crash.m_account = run.m_account;
    crash.m_hadBegun = run.m_writing && *run.m_writing <= m_settings.m_beginning;
    crash.m_at = now;
    crash.m_candidates = static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(candidates, 1));
    crash.m_request = run.m_request;
    for (const PromptPart &part : run.m_parts) {
        ++m_history.use(part, now).m_lostRuns;
        addCrash(part, crash, now);
    }
    if (run.m_identity) {
        addRequestCrash(*run.m_identity, crash, true, now);
    }
    decideNow(now);
}

bool PartQuarantine::isRefuted(const PromptPart &part, const Crash &crash) const
{
    const std::unordered_map<Incarnation, Core::Instant>::const_iterator alive = m_aliveAt.find(crash.m_incarnation);
    const PartRecord &known = m_history.find(part);
    return (alive != m_aliveAt.end() && alive->second > crash.m_at) || (known.m_completedAt && *known.m_completedAt >= crash.m_at);
}

void PartQuarantine::addCrash(const PromptPart &part, const Crash &crash, Core::Instant now)
{
    if (isRefuted(part, crash) || now - crash.m_at > m_settings.m_crashLifetime) {
        return;
    }
    if (m_verdicts.isInForce(part)) {
        m_verdicts.addCrash(part, crash, now);
        return;
    }
    addCrash(m_suspects[part], part, crash);
    limitSuspects();
}

void PartQuarantine::addCrash(SuspectRecord &suspect, const PromptPart &part, const Crash &crash)
{
    std::vector<Crash> &crashes = suspect.m_crashes;
    const std::vector<Crash>::iterator same =
        std::find_if(crashes.begin(), crashes.end(), [&crash](const Crash &other) { return other.m_incarnation == crash.m_incarnation; });
    if (same != crashes.end()) {
        const bool tellsMore = crash.m_hadBegun && !same->m_hadBegun;
        same->m_hadBegun = same->m_hadBegun || crash.m_hadBegun;
        same->m_at = std::min(same->m_at, crash.m_at);
        if (!tellsMore) {
            return;
        }
    } else if (crashes.size() < m_settings.m_maximumCrashes) {
        crashes.push_back(crash);
    } else {
        // The newest ones are kept: many crashes in one moment count once, and must not keep later ones from being counted.
        Crash &oldest = *std::min_element(crashes.begin(), crashes.end(), isEarlier);
        if (!isEarlier(oldest, crash)) {
            return;
        }
        oldest = crash;
    }
    if (isShared(part, suspect)) {
        m_newCrashes.emplace(part, crash.m_incarnation);
    }
}

void PartQuarantine::recordCompletion(const RunFacts &run, Core::Instant now)
{
    if (!run.m_parts.empty()) {
        m_recentCompletions.push_back(now);
    }
    if (m_recentCompletions.size() > m_settings.m_decision.m_neededCompletions) {
        m_recentCompletions.pop_front();
    }
    const bool isProof = run.m_isEndStated && run.m_writing && *run.m_writing >= m_settings.m_provingTime;
    for (const PromptPart &part : run.m_parts) {
        recordCompletion(part, run.m_incarnation, isProof, now);
    }
    if (run.m_identity && run.m_isEndStated) {
        m_requests.recordAnswer(*run.m_identity, now);
    }
    if (run.m_identity && knowsRequests(run.m_identity->m_id)) {
        // An endpoint that ends after a whole answer to the request does not end under it: the answer was not lost.
        recordCompletion(*run.m_identity, run.m_incarnation, run.m_isEndStated, now);
    }
}

void PartQuarantine::recordCompletion(const PromptPart &part, Incarnation incarnation, bool isProof, Core::Instant now)
{
    if (isProof) {
        addCompletion(part, now, now);
        return;
    }
    m_unproved.push_back(UnprovedCompletion{part, incarnation, now});
    if (m_unproved.size() > m_settings.m_maximumUnproved) {
        m_unproved.pop_front();
    }
}

void PartQuarantine::addCompletion(const PromptPart &part, Core::Instant at, Core::Instant now)
{
    if (isRequestIdentity(part)) {
        addRequestCompletion(part, at, now);
        return;
    }
    PartRecord &known = m_history.use(part, now);
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
    m_verdicts.acquit(part, at, now);
}

void PartQuarantine::recordAlive(Incarnation incarnation, Core::Instant asOf)
{
    if (m_suspects.empty() && m_requests.isEmpty() && m_verdicts.isEmpty() && m_unproved.empty()) {
        return;
    }
    if (m_aliveAt.size() < m_settings.m_maximumLivenessRecords || m_aliveAt.contains(incarnation)) {
        Core::Instant &aliveAt = m_aliveAt[incarnation];
        aliveAt = std::max(aliveAt, asOf);
    }
    eraseCrashes([incarnation, asOf](const Crash &crash) { return crash.m_incarnation == incarnation && crash.m_at < asOf; });
    m_requests.recordAlive(incarnation, asOf);
    for (const std::pair<PromptPart, std::vector<Crash>> &lifted : m_verdicts.refute(incarnation, asOf)) {
        restoreRequest(lifted.first, lifted.second);
    }
    const std::function<bool(const UnprovedCompletion &)> isProved = [incarnation, asOf](const UnprovedCompletion &completion) {
        return completion.m_incarnation == incarnation && completion.m_at < asOf;
    };
    for (const UnprovedCompletion &completion : std::deque<UnprovedCompletion>(m_unproved)) {
        if (isProved(completion)) {
            addCompletion(completion.m_part, completion.m_at, asOf);
        }
    }
    std::erase_if(m_unproved, isProved);
}

void PartQuarantine::eraseCrashes(const std::function<bool(const Crash &)> &isWrong)
{
    for (std::map<PromptPart, SuspectRecord>::iterator suspect = m_suspects.begin(); suspect != m_suspects.end();) {
        std::erase_if(suspect->second.m_crashes, isWrong);
        suspect = suspect->second.m_crashes.empty() ? m_suspects.erase(suspect) : std::next(suspect);
    }
}

std::uint64_t PartQuarantine::completionsSince(Core::Instant since) const
{
    const std::ptrdiff_t own = std::count_if(m_recentCompletions.begin(), m_recentCompletions.end(), [since](Core::Instant at) { return at >= since; });
    return static_cast<std::uint64_t>(own) * m_processCount;
}

Suspect PartQuarantine::describe(const PromptPart &part, const std::vector<Crash> &crashes) const
{
    const PartRecord &known = m_history.find(part);
    Suspect suspect;
    suspect.m_part = part;
    suspect.m_crashes = crashes;
    suspect.m_wasCompleted = known.m_completedAt.has_value();
    suspect.m_isBlamed = m_verdicts.isInForce(part);
    suspect.m_arrivals = known.m_arrivals;
    suspect.m_share = static_cast<double>(known.m_arrivals) / static_cast<double>(std::max<std::uint64_t>(m_arrivals, 1));
    suspect.m_runs = known.m_runs;
    suspect.m_lostRuns = known.m_lostRuns;
    for (const Crash &crash : crashes) {
        suspect.m_completionsSince = std::max(suspect.m_completionsSince, completionsSince(crash.m_at));
    }
    return suspect;
}

void PartQuarantine::decideNow(Core::Instant now)
{
    if (m_suspects.empty()) {
        return;
    }
    std::vector<Suspect> suspects;
    for (const std::pair<const PromptPart, SuspectRecord> &entry : m_suspects) {
        suspects.push_back(describe(entry.first, entry.second.m_crashes));
    }
    for (const std::pair<PromptPart, std::vector<Crash>> &entry : m_verdicts.blamed()) {
        // A request that was refused accounts for no crash here: a part under which endpoints end would be found later.
        if (!isRequestIdentity(entry.first)) {
            suspects.push_back(describe(entry.first, entry.second));
        }
    }
    for (const PromptPart &part : m_decide(std::move(suspects), now, m_settings.m_decision)) {
        m_verdicts.blame(part, m_suspects.at(part).m_crashes, now);
        m_suspects.erase(part);
    }
}

void PartQuarantine::update(Core::Instant now)
{
    eraseCrashes([this, now](const Crash &crash) { return now - crash.m_at > m_settings.m_crashLifetime; });
    m_verdicts.removeEnded(now);
    std::erase_if(m_aliveAt,
                  [this, now](const std::pair<const Incarnation, Core::Instant> &entry) { return now - entry.second > m_settings.m_livenessLifetime; });
    std::erase_if(m_completionsToShare, [now](const std::pair<const PromptPart, Core::Instant> &entry) { return now >= entry.second; });
    std::erase_if(m_unproved, [this, now](const UnprovedCompletion &completion) { return now - completion.m_at > m_settings.m_livenessLifetime; });
    m_requests.update(now);
    decideNow(now);
    decideRequests(now);
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
            return leftEvidence != rightEvidence ? leftEvidence < rightEvidence : newestCrashAt(left.second.m_crashes) < newestCrashAt(right.second.m_crashes);
        }));
    }
}

}
