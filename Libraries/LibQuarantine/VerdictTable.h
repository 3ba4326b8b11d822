/// @file The verdicts that a process knows, its own and those of other entries.
#pragma once

#include "LibQuarantine/QuarantineSettings.h"
#include "LibQuarantine/RequestIdentity.h"

#include <map>
#include <set>

namespace Quarantine {

/// A verdict that has changed, for the log.
struct VerdictChange
{
    Verdict m_verdict;
    bool m_isFromPeer = false;
    bool m_hasEnded = false; ///< No request with the part has come for the lifetime of a verdict.
    std::size_t m_crashes = 0; ///< Known to this process when it decided.
    Core::Duration m_sinceFirstCrash{0};

    bool operator==(const VerdictChange &) const = default;
};

/**
 * Verdicts by part or by the identity of a request, merged with those of other entries.
 *
 * Each change of a verdict starts a new revision, and the highest revision holds, so that entries agree whatever the order in which they are told. Lifted
 * verdicts stay until their lifetime is over, since an entry that was cut off could otherwise revive them. Used by one thread.
 */
class VerdictTable
{
public:
    explicit VerdictTable(QuarantineSettings settings)
        : m_settings(settings)
    {
    }

    /// Returns the first of the parts whose requests are refused to the account; empty if none is.
    std::optional<PromptPart> findRefused(const std::vector<PromptPart> &parts, Account account, Core::Instant now);
    bool isInForce(const PromptPart &part) const;
    /// Returns whether a verdict in force on a part accounts for the end of this incarnation.
    bool explains(Incarnation incarnation) const;
    /// Returns whether there is a verdict in force on a request whose identity begins like this.
    bool hasRequest(const std::string &identityPrefix) const;
    /// Lifts verdicts on requests if verdicts on parts account for all of their crashes. Verdicts on other requests do not: several requests under which
    /// endpoints end may have been at the same endpoints.
    void liftExplainedRequests(Core::Instant now);

    void blame(const PromptPart &part, const std::vector<Crash> &crashes, Core::Instant now);
    /// Adds a crash under a part whose verdict is in force. A crash for another account extends the verdict to all accounts.
    void addCrash(const PromptPart &part, const Crash &crash, Core::Instant now);
    /// Lifts the verdict on the part if it is in force and all of its crashes were before @p completedAt.
    void acquit(const PromptPart &part, Core::Instant completedAt, Core::Instant now);
    /// Lifts the verdict on the part if it is in force.
    void lift(const PromptPart &part, Core::Instant now);
    /// Removes crashes of the incarnation from verdicts, because it was alive at @p asOf, and lifts those that are left with too few. Returns the lifted ones
    /// with the crashes that are left.
    std::vector<std::pair<PromptPart, std::vector<Crash>>> refute(Incarnation incarnation, Core::Instant asOf);
    /// Applies a verdict that another entry or the store tells. @p crashes: those under its part that this process knows.
    void merge(const Verdict &verdict, const std::vector<Crash> &crashes, Core::Instant now);
    /// Records that this revision of the verdict on the part outlasts the loss of all processes.
    void markStored(const PromptPart &part, std::uint32_t revision);
    /// Removes verdicts whose lifetime is over.
    void removeEnded(Core::Instant now);

    /// Returns all verdicts, also lifted ones.
    std::vector<Verdict> verdicts(Core::Instant now) const;
    /// Returns the parts whose verdicts are in force with their crashes, for decisions about other parts.
    std::vector<std::pair<PromptPart, std::vector<Crash>>> blamed() const;
    /// Returns a number that differs between processes with different verdicts.
    std::uint64_t digest() const;
    bool isEmpty() const
    {
        return m_records.empty();
    }
    bool hasNews() const
    {
        return !m_news.empty();
    }
    /// Returns up to @p count verdicts that have changed since they were last returned here.
    std::vector<Verdict> takeNews(std::size_t count, Core::Instant now);
    /// Returns the changes since the last call.
    std::vector<VerdictChange> takeChanges();

private:
    struct Record
    {
        Verdict m_verdict;
        Core::Instant m_usedAt; ///< Last request with the part, or last change.
        Core::Instant m_newestCrashAt; ///< When the verdict was told, if this process knows none of its crashes.
        std::vector<Crash> m_crashes; ///< Of the verdict's incarnations. Those that only other entries have seen have made-up times.
    };

    Record *findInForce(const PromptPart &part);
    /// Returns the incarnations for which verdicts in force on parts account, but for those that have no other crash than @p ended.
    std::set<Incarnation> explainedByParts(const std::set<Incarnation> &ended) const;
    Core::Duration lifetimeOf(const PromptPart &part) const
    {
        return isRequestIdentity(part) ? m_settings.m_requests.m_verdictLifetime : m_settings.m_verdictLifetime;
    }
    void lift(Record &record, Core::Instant now);
    /// Starts a new revision of a verdict that has been changed.
    void revise(Record &record, Core::Instant now);
    void noteChange(const Record &record, bool isFromPeer, Core::Instant now);
    Verdict verdictOf(const Record &record, Core::Instant now) const;
    void limitSize();

    const QuarantineSettings m_settings;
    std::map<PromptPart, Record> m_records;
    std::set<PromptPart> m_news; ///< Parts whose verdicts have changed since takeNews() returned them.
    std::vector<VerdictChange> m_changes;
};

}
