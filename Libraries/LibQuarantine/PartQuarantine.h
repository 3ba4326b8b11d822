/// @file Keeps requests away from endpoints if endpoints end under a part of their prompts.
#pragma once

#include "LibCore/Random.h"
#include "LibQuarantine/Decision.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace Quarantine {

struct QuarantineSettings
{
    DecisionSettings m_decision;
    /// After a crash under a part, requests with it wait for this time, in which other entries tell what they have seen, and for up to as long again, so that
    /// the entries do not send them all at once.
    Core::Duration m_holdTime{700};
    /// Once a request with a suspect part was sent, others of this process with the part wait for this time or until it has ended well.
    Core::Duration m_trialTime{1000};
    /// An endpoint that ends under a request does so soon after the beginning of the answer. One that has been writing for longer is not suspected as much.
    Core::Duration m_beginning{1000};
    /// An answer that took at least this long from its beginning to its stated end shows that its endpoint does not end under it.
    Core::Duration m_provingTime{300};
    Core::Duration m_crashLifetime{1800000}; ///< Older crashes are forgotten.
    Core::Duration m_verdictLifetime{3600000}; ///< A verdict ends if no request with the part has come for this time.
    Core::Duration m_livenessLifetime{60000}; ///< For this time it is remembered that an endpoint lived on after it was suspected to have ended.
    Core::Duration m_sharingTime{2000}; ///< For this time an entry that asked is told about completed answers.
    std::size_t m_minimumCrashes = 3; ///< A verdict with fewer is lifted, after it has turned out that some endpoints had not ended.
    std::size_t m_maximumSuspects = 512;
    std::size_t m_maximumVerdicts = 256;
    std::size_t m_maximumHistory = 4096; ///< Parts whose completed answers are remembered.
    std::size_t m_maximumCrashes = 12; ///< Remembered for a part; enough for any threshold.
    std::size_t m_maximumUnproved = 1024; ///< Completed answers of which it is not known yet whether the endpoint lived on.
    std::size_t m_maximumLivenessRecords = 4096;

    bool operator==(const QuarantineSettings &) const = default;
};

enum class TreatmentKind {
    Send,
    Hold, ///< Whether the part is at fault is being found out; the request should be treated again after a while.
    Refuse, ///< Endpoints end under the part.
};

/// What to do with a request.
struct Treatment
{
    TreatmentKind m_kind = TreatmentKind::Send;
    PromptPart m_part; ///< The reason, unless the request may be sent.
    Core::Duration m_holdTime{0}; ///< Until the request will probably be sent.

    bool operator==(const Treatment &) const = default;
};

/// A verdict that has changed, for the log.
struct VerdictChange
{
    Verdict m_verdict;
    bool m_isFromPeer = false;
    std::size_t m_crashes = 0; ///< Known to this process.
    std::uint64_t m_runs = 0; ///< Requests with the part that this process has sent.
    Core::Duration m_sinceFirstCrash{0};

    bool operator==(const VerdictChange &) const = default;
};

/// Numbers of observations that fit into one message.
struct SampleSize
{
    std::size_t m_verdicts = 2;
    std::size_t m_crashes = 5;
    std::size_t m_completions = 3;

    bool operator==(const SampleSize &) const = default;
};

/**
 * Finds out, together with the other entries, under which parts of prompts endpoints end.
 *
 * Each entry sees only some of the crashes, and only its own requests among those that an endpoint had. Entries exchange crashes as a set and decide alike.
 * A completed answer acquits all parts of its prompt of the crashes before it, and lifts a verdict. Used by one thread.
 */
class PartQuarantine
{
public:
    /// @p seed: differs between processes, so that they do not send what they have held at the same time.
    explicit PartQuarantine(std::uint64_t seed = 0, QuarantineSettings settings = {}, DecideFunction decide = Quarantine::decide);

    /// Sets the number of processes that have about as many requests as this one, including itself; by it completed answers of the others are estimated.
    void setProcessCount(std::size_t count);
    /// Returns how to treat a request of the account with these parts.
    Treatment treat(const std::vector<PromptPart> &parts, Account account, Core::Instant now);
    /// Returns whether answers to requests with each of these parts have been completed, with few crashes under it since.
    bool areAcquitted(const std::vector<PromptPart> &parts) const;

    void recordArrival(const std::vector<PromptPart> &parts, Core::Instant now);
    void recordSent(const std::vector<PromptPart> &parts, Core::Instant now);
    /// Records that the connection was lost to an endpoint at which a request was. @p writing: since the beginning of its answer; empty if there was none.
    void recordCrash(const std::vector<PromptPart> &parts, Incarnation incarnation, Account account, std::optional<Core::Duration> writing, Core::Instant now);
    /// Records a completed answer. @p isEndStated: the endpoint stated the end of the body, rather than closing the connection.
    void recordCompletion(const std::vector<PromptPart> &parts, Incarnation incarnation, Core::Duration writing, bool isEndStated, Core::Instant now);
    /// Records that the incarnation was alive at @p asOf.
    void recordAlive(Incarnation incarnation, Core::Instant asOf);

    /// Applies what another entry tells.
    void merge(const Observations &observations, Core::Instant now);
    /// Returns a random selection of observations to tell other entries now and then.
    Observations sample(SampleSize size, Core::Instant now, Core::Random &random) const;
    /// Returns observations that other entries have not been told, as many as fit. The others are returned by the next call.
    Observations takeNews(SampleSize size, Core::Instant now);
    /// Returns all verdicts, also lifted ones.
    std::vector<Verdict> verdicts(Core::Instant now) const;
    /// Returns a number that differs between processes with different verdicts.
    std::uint64_t verdictDigest() const;
    /// Returns whether takeNews() would return anything.
    bool hasNews() const
    {
        return !m_newCrashes.empty() || !m_newCompletions.empty() || !m_newVerdicts.empty();
    }
    /// Returns the changes of verdicts since the last call.
    std::vector<VerdictChange> takeChanges();

    /// Records that this revision of the verdict on the part outlasts the loss of all processes.
    void markStored(const PromptPart &part, std::uint32_t revision);
    /// Lifts the verdict on a part, if there is one, at the request of an operator.
    void lift(const PromptPart &part, Core::Instant now);
    /// Decides as time passes, and forgets what is old.
    void update(Core::Instant now);

    std::size_t suspectCount() const
    {
        return m_suspects.size();
    }
    std::size_t blamedCount() const;
    std::size_t historyCount() const
    {
        return m_history.size();
    }

private:
    /// What is known of a part that requests of this process have.
    struct History
    {
        std::uint64_t m_arrivals = 0;
        std::uint64_t m_runs = 0;
        std::uint64_t m_lostRuns = 0; ///< That were lost with their endpoints.
        std::optional<Core::Instant> m_completedAt; ///< Last completed answer, also of other entries.
        Core::Instant m_usedAt;
    };

    struct SuspectRecord
    {
        std::vector<Crash> m_crashes; ///< Never empty. Also those for which a verdict accounts, since it may be lifted.
        Core::Instant m_trialEnd;
    };

    struct VerdictRecord
    {
        Verdict m_verdict;
        Core::Instant m_usedAt; ///< Last request with the part, or last change.
        Core::Instant m_newestCrashAt;
        std::vector<Crash> m_crashes; ///< Of the verdict's incarnations. Those that only other entries have seen have made-up times.
    };

    struct UnprovedCompletion
    {
        PromptPart m_part;
        Incarnation m_incarnation = 0;
        Core::Instant m_at;
    };

    const History *findHistory(const PromptPart &part) const;
    History &history(const PromptPart &part, Core::Instant now);
    VerdictRecord *findBlamed(const PromptPart &part);
    void addCrash(const PromptPart &part, const Crash &crash, Core::Instant now);
    void addCrashToVerdict(VerdictRecord &record, const Crash &crash);
    void addCompletion(const PromptPart &part, Core::Instant at, Core::Instant now);
    void mergeVerdict(const Verdict &verdict, Core::Instant now);
    /// Collects the incarnations for whose ends verdicts in force account.
    void updateExplained();
    void decideNow(Core::Instant now);
    void blame(const PromptPart &part, const std::vector<Crash> &crashes, Core::Instant now);
    /// Removes a crash from those of a verdict, because the incarnation lives, and lifts the verdict if too few are left.
    void refuteCrash(VerdictRecord &record, Incarnation incarnation, Core::Instant asOf);
    /// Starts a new revision of a verdict that has been changed.
    void revise(Verdict &verdict);
    void liftVerdict(VerdictRecord &record, Core::Instant now);
    void noteChange(const Verdict &verdict, bool isFromPeer, const std::vector<Crash> &crashes, Core::Instant now);
    bool isShared(const PromptPart &part, const SuspectRecord &record) const;
    /// Returns the estimated number of answers that all processes have completed since then.
    std::uint64_t completionsSince(Core::Instant since) const;
    Suspect describe(const PromptPart &part, const SuspectRecord &record) const;
    Suspect describe(const VerdictRecord &record) const;
    /// Returns until when requests with the part wait; in the past if they do not.
    Core::Instant holdEnd(const PromptPart &part, const SuspectRecord &record) const;
    Verdict verdictOf(const VerdictRecord &record, Core::Instant now) const;
    CrashObservation observationOf(const PromptPart &part, const Crash &crash, Core::Instant now) const;
    void limitSuspects();
    void limitVerdicts();
    void limitHistory();

    const std::uint64_t m_seed;
    const QuarantineSettings m_settings;
    const DecideFunction m_decide;
    std::map<PromptPart, History> m_history;
    std::map<PromptPart, SuspectRecord> m_suspects; ///< Without parts whose verdict is in force.
    std::map<PromptPart, VerdictRecord> m_verdicts;
    std::uint64_t m_arrivals = 0; ///< Requests with parts that this process has received.
    std::size_t m_processCount = 1;
    std::deque<Core::Instant> m_completedAt; ///< The last answers that this process has seen completed; up to as many as a decision needs.
    std::set<Incarnation> m_explained; ///< Incarnations for whose ends the verdicts in force account.
    std::deque<UnprovedCompletion> m_unproved; ///< Oldest first.
    std::unordered_map<Incarnation, Core::Instant> m_aliveAt; ///< When incarnations were last known to be alive.
    std::map<PromptPart, Core::Instant> m_completionsToShare; ///< With the time until which they are shared.
    std::vector<VerdictChange> m_changes;
    std::set<std::pair<PromptPart, Incarnation>> m_newCrashes; ///< That other entries have not been told at once.
    std::set<PromptPart> m_newCompletions; ///< Suspect parts that were acquitted since then.
    std::set<PromptPart> m_newVerdicts; ///< Whose verdicts have changed since other entries were told at once.
};

}
