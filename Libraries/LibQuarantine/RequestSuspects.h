/// @file Counts the endpoints that have ended under single requests, whichever entries have sent them.
#pragma once

#include "LibQuarantine/QuarantineSettings.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace Quarantine {

/**
 * Requests under which endpoints have ended, by their identities.
 *
 * Ends that a common cause explains, ends of endpoints that turn out to live and those before a completed answer to the request do not count. Used by one
 * thread.
 */
class RequestSuspects
{
public:
    explicit RequestSuspects(RequestSettings settings)
        : m_settings(settings)
    {
    }

    bool isEmpty() const
    {
        return m_records.empty();
    }
    std::size_t size() const
    {
        return m_records.size();
    }
    /// Returns whether there is a suspect whose identity begins like this.
    bool hasPrefix(const std::string &prefix) const;
    /// Returns the ends that count against the request, one for each incarnation, in any order.
    const std::vector<Crash> &crashes(const PromptPart &identity) const;
    /// Returns the requests under which @p count endpoints or more have ended.
    std::vector<PromptPart> withEnds(std::size_t count) const;
    /// Returns when the last answer to the request was completed that is known here.
    std::optional<Core::Instant> completedAt(const PromptPart &identity) const;

    /// Records that an endpoint ended under the request. @p isOwn: this process has seen it, and tells the others.
    void add(const PromptPart &identity, const Crash &crash, bool isOwn);
    /// Records that this process has returned a complete answer to the request, whether it is suspect or not.
    void recordAnswer(const PromptPart &identity, Core::Instant at);
    /// Records that an answer to the request was completed, if it is suspect. Returns whether that was news.
    bool recordCompletion(const PromptPart &identity, Core::Instant at);
    /// Returns how many endpoints may end under the request.
    std::size_t maximumEnds(const PromptPart &identity) const
    {
        return completedAt(identity) ? m_settings.m_maximumProvenEnds : m_settings.m_maximumEnds;
    }
    /// Records that the incarnation was alive at @p asOf, so that it has not ended before.
    void recordAlive(Incarnation incarnation, Core::Instant asOf);
    /// Forgets the request, because a verdict accounts for it.
    void remove(const PromptPart &identity);
    /// Forgets what is old.
    void update(Core::Instant now);

    bool hasNews() const
    {
        return !m_news.empty();
    }
    /// Returns up to @p count own observations that have not been returned here yet.
    std::vector<std::pair<PromptPart, Crash>> takeNews(std::size_t count);
    /// Returns the ends under requests under which @p minimum endpoints or more have ended.
    std::vector<std::pair<PromptPart, Crash>> ends(std::size_t minimum) const;

private:
    struct Record
    {
        std::vector<Crash> m_crashes; ///< After m_completedAt.
        std::optional<Core::Instant> m_completedAt; ///< Last completed answer, before the crashes. What others tell of earlier ones may arrive after it.
        Core::Instant m_changedAt;
    };

    /// Records the end. If so many endpoints ended at its time that a common cause is likely, removes their ends from all requests and returns true.
    bool recordEnd(const Crash &crash);
    /// Returns the incarnations that ended at about that time, as far as it is remembered.
    std::vector<Incarnation> endsAround(Core::Instant at) const;
    void removeCrashes(Incarnation incarnation, const std::function<bool(const Crash &crash)> &isWrong);
    /// Returns when this process has last returned a complete answer to the request, as far as it is remembered.
    std::optional<Core::Instant> answeredAt(const PromptPart &identity) const;
    void limitSize();

    const RequestSettings m_settings;
    std::map<PromptPart, Record> m_records;
    std::unordered_map<Incarnation, std::set<PromptPart>> m_byIncarnation; ///< Requests against which its end counts.
    std::deque<std::pair<Core::Instant, Incarnation>> m_ends; ///< Of the last seconds, in the order in which they were learnt.
    std::set<std::pair<PromptPart, Incarnation>> m_news;
    std::vector<std::pair<std::uint64_t, Core::Instant>> m_answered; ///< Hashes of the identities answered most recently, each once, with the time.
    std::size_t m_oldestAnswered = 0; ///< Index of the one to be replaced, once all places are taken.
};

}
