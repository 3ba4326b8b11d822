/// @file Keeps requests away from endpoints if endpoints end under them or under a part of their prompts.
#pragma once

#include "LibCore/Random.h"
#include "LibQuarantine/PartHistory.h"
#include "LibQuarantine/RequestSuspects.h"
#include "LibQuarantine/VerdictTable.h"

#include <deque>
#include <unordered_map>

namespace Quarantine {

enum class TreatmentKind {
    Send,
    Hold, ///< Whether the part or the request is at fault is being found out; the request should be treated again after a while.
    Refuse, ///< Endpoints end under the part or the request.
};

/// What to do with a request.
struct Treatment
{
    TreatmentKind m_kind = TreatmentKind::Send;
    PromptPart m_part; ///< The reason, unless the request may be sent: a part, or the identity of the request.
    Core::Duration m_holdTime{0}; ///< Until the request will probably be sent.

    bool operator==(const Treatment &) const = default;
};

/// Returns the one that keeps a request from endpoints for longer.
const Treatment &stricter(const Treatment &left, const Treatment &right);

/// A request at an endpoint, as far as it concerns the quarantine.
struct RunFacts
{
    std::vector<PromptPart> m_parts;
    Account m_account = 0;
    RequestHash m_request = 0;
    std::optional<PromptPart> m_identity; ///< Of the request; empty if nothing needs it.
    Incarnation m_incarnation = 0; ///< Of the endpoint.
    std::optional<Core::Duration> m_writing; ///< Since the beginning of the endpoint's answer; empty if there was none.
    bool m_isEndStated = false; ///< The endpoint stated the end of the body, rather than closing the connection.

    bool operator==(const RunFacts &) const = default;
};

/// Numbers of observations that fit into one message.
struct SampleSize
{
    std::size_t m_verdicts = 0;
    std::size_t m_crashes = 0;
    std::size_t m_completions = 0;

    bool operator==(const SampleSize &) const = default;
};

inline constexpr SampleSize RegularSample{1, 3, 2}; ///< Fits into a heartbeat in place of some members.
inline constexpr SampleSize NewsSample{1, 8, 4}; ///< Fits into a datagram without members.
inline constexpr std::size_t MaximumStateCrashes = 256; ///< Under requests, told to an entry that starts: some 20 KB.
inline constexpr std::size_t RequestNewsSize = 8; ///< Crashes under requests that fit into a datagram without members.

/**
 * Finds out, together with the other entries, under which requests and under which parts of prompts endpoints end.
 *
 * Each entry sees only some of the crashes, and only its own requests among those that an endpoint had. Entries exchange crashes as a set and decide alike.
 * A completed answer acquits the request and all parts of its prompt of the crashes before it, and lifts a verdict. Used by one thread.
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
    /// Returns whether something is known of requests whose identities begin like this, so that the whole identity is needed.
    bool knowsRequests(const std::string &identityPrefix) const
    {
        return m_requests.hasPrefix(identityPrefix) || m_verdicts.hasRequest(identityPrefix);
    }
    /// Returns whether something is known of any request.
    bool knowsRequests() const
    {
        return !m_requests.isEmpty() || m_verdicts.hasRequest("");
    }
    /// Returns how to treat a request with this identity that arrived at @p arrivedAt, whatever its parts.
    Treatment treatRequest(const PromptPart &identity, Core::Instant arrivedAt, Core::Instant now) const;
    /// Returns whether so many endpoints have ended under the request that an attempt which was at the last of them goes to no other.
    bool hasTooManyEnds(const PromptPart &identity) const;
    /// Returns whether answers to requests with each of these parts have been completed, with few crashes under it since.
    bool areAcquitted(const std::vector<PromptPart> &parts) const;

    /// Records that a request with these parts was received from a caller.
    void recordArrival(const std::vector<PromptPart> &parts, Core::Instant now);
    /// Records that a request with these parts was sent to an endpoint.
    void recordSent(const std::vector<PromptPart> &parts, Core::Instant now);
    /// Records that the connection to the endpoint was lost while the request was there.
    void recordCrash(const RunFacts &run, Core::Instant now);
    /// Records that the endpoint completed the answer.
    void recordCompletion(const RunFacts &run, Core::Instant now);
    /// Records that the incarnation was alive at @p asOf.
    void recordAlive(Incarnation incarnation, Core::Instant asOf);

    /// Applies what another entry tells.
    void merge(const Observations &observations, Core::Instant now);
    /// Returns a random selection of observations to tell other entries now and then.
    Observations sample(SampleSize size, Core::Instant now, Core::Random &random) const;
    /// Returns observations that other entries have not been told, as many as fit. The others are returned by the next call.
    Observations takeNews(SampleSize size, Core::Instant now);
    /// Returns whether takeNews() would return anything.
    bool hasNews() const
    {
        return !m_newCrashes.empty() || !m_newCompletions.empty() || m_verdicts.hasNews();
    }

    /// Returns whether takeRequestNews() would return anything.
    bool hasRequestNews() const
    {
        return m_requests.hasNews();
    }
    /// Returns crashes under requests that this process has seen and other entries have not been told, as many as fit. They are told to all at once: a caller
    /// may send the request again at once, to any entry.
    Observations takeRequestNews(Core::Instant now);

    /// Returns what an entry that starts needs to treat requests like this one: all verdicts, and the newest crashes under requests without a verdict.
    Observations state(Core::Instant now) const;

    VerdictTable &verdicts()
    {
        return m_verdicts;
    }
    const VerdictTable &verdicts() const
    {
        return m_verdicts;
    }
    /// Decides as time passes, and forgets what is old.
    void update(Core::Instant now);
    /// Returns what is known of a part that requests of this process have.
    const PartRecord &record(const PromptPart &part) const
    {
        return m_history.find(part);
    }
    std::size_t suspectCount() const
    {
        return m_suspects.size();
    }
    std::size_t suspectRequestCount() const
    {
        return m_requests.size();
    }
    std::size_t historyCount() const
    {
        return m_history.size();
    }

private:
    struct SuspectRecord
    {
        std::vector<Crash> m_crashes; ///< Never empty. Also those for which a verdict accounts, since it may be lifted.
        Core::Instant m_trialEnd;
    };

    struct UnprovedCompletion
    {
        PromptPart m_part;
        Incarnation m_incarnation = 0;
        Core::Instant m_at;
    };

    void addCrash(const PromptPart &part, const Crash &crash, Core::Instant now);
    void addRequestCrash(const PromptPart &identity, const Crash &crash, bool isOwn, Core::Instant now);
    void addRequestCompletion(const PromptPart &identity, Core::Instant at, Core::Instant now);
    /// Makes the request suspect again after its verdict was lifted, if it is one: the other endpoints have ended under it.
    void restoreRequest(const PromptPart &part, const std::vector<Crash> &crashes);
    /// Decides which requests endpoints end under.
    void decideRequests(Core::Instant now);
    void addCrash(SuspectRecord &suspect, const PromptPart &part, const Crash &crash);
    /// @p isProof: the completed answer shows that the incarnation has not ended under the part. If not, the incarnation must turn out to live on.
    void recordCompletion(const PromptPart &part, Incarnation incarnation, bool isProof, Core::Instant now);
    void addCompletion(const PromptPart &part, Core::Instant at, Core::Instant now);
    void mergeVerdict(const Verdict &verdict, Core::Instant now);
    /// Removes the crashes for which @p isWrong returns true, and suspects without crashes.
    void eraseCrashes(const std::function<bool(const Crash &crash)> &isWrong);
    /// Returns whether the crash is known not to have happened, or not under the part.
    bool isRefuted(const PromptPart &part, const Crash &crash) const;
    /// Returns whether other entries are told of the suspect.
    bool isShared(const PromptPart &part, const SuspectRecord &suspect) const;
    /// Returns the estimated number of answers that all processes have completed since then.
    std::uint64_t completionsSince(Core::Instant since) const;
    Suspect describe(const PromptPart &part, const std::vector<Crash> &crashes) const;
    void decideNow(Core::Instant now);
    /// Returns until when requests with the part wait; in the past if they do not.
    Core::Instant holdEnd(const PromptPart &part, const SuspectRecord &suspect) const;
    CrashObservation observationOf(const PromptPart &part, const Crash &crash, Core::Instant now) const;
    /// Returns when the last answer to a request with the part, or to the request, was completed, as far as it is known.
    std::optional<Core::Instant> completedAt(const PromptPart &part) const;
    CompletionObservation completionOf(const PromptPart &part, Core::Instant now) const;
    void limitSuspects();

    const std::uint64_t m_seed;
    const QuarantineSettings m_settings;
    const DecideFunction m_decide;
    PartHistory m_history;
    VerdictTable m_verdicts;
    RequestSuspects m_requests; ///< Without requests whose verdict is in force.
    std::map<PromptPart, SuspectRecord> m_suspects; ///< Without parts whose verdict is in force.
    std::uint64_t m_arrivals = 0; ///< Requests with parts that this process has received.
    std::size_t m_processCount = 1;
    std::deque<Core::Instant> m_recentCompletions; ///< Of this process, oldest first; as many as a decision needs.
    std::deque<UnprovedCompletion> m_unproved; ///< Oldest first.
    std::unordered_map<Incarnation, Core::Instant> m_aliveAt; ///< When incarnations were last known to be alive.
    std::map<PromptPart, Core::Instant> m_completionsToShare; ///< Parts that another entry suspects, with the time until which it is told otherwise.
    std::set<std::pair<PromptPart, Incarnation>> m_newCrashes; ///< That takeNews() has not returned.
    std::set<PromptPart> m_newCompletions; ///< Suspect parts that were acquitted, which takeNews() has not returned.
};

}
