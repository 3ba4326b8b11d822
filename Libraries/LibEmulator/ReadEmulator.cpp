/// @file Implementation of the emulator of entries that follow the log.

#include "LibEmulator/ReadEmulator.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace Emulator {

namespace {

constexpr Core::Duration ObservationInterval{20};
constexpr Core::Duration RoundTrip{5}; ///< Of a call to the log or of a state request.
constexpr Core::Duration ListInterval{900};
constexpr Core::Duration ConnectTimeout{500};
constexpr Core::Duration AnswerTimeout{1200};
constexpr Core::Duration MinimumRetryDelay{600};
constexpr Core::Duration RetryDelaySpread{600};
constexpr Core::Duration HeartbeatInterval{500};
constexpr Core::Duration MaximumListAge{1300};
constexpr Core::Duration MaximumDeclarationsAge{4500};
constexpr Core::Duration ReadCheckInterval{200};
constexpr Core::Duration MaximumPatience{600};
constexpr Core::Duration ShortWait{2000};
constexpr Core::Duration KeepAliveDetection{3000}; ///< One second of idleness and two probes a second apart.
constexpr std::size_t ReadersPerDomain = 2;
constexpr std::size_t OwnDomainFanOut = 2;
constexpr std::size_t AnnouncementFanOut = 8;
constexpr double HeartbeatBytes = 180; ///< Without descriptions of members.

/// A waiting read.
struct Waiting
{
    Core::Instant m_sentAt;
    Core::Duration m_waitLimit{0};
    std::uint64_t m_from = 0; ///< Changes known when it was sent.
    std::optional<Core::Instant> m_silentSince; ///< Set if its connection is silent.
};

struct EntryState
{
    std::size_t m_domain = 0;
    bool m_isReader = false;
    std::uint64_t m_known = 0; ///< Changes that it has applied.
    std::optional<Core::Instant> m_confirmedAsOf;
    std::optional<Core::Instant> m_listAsOf;
    std::optional<Waiting> m_waiting;
    bool m_isUnsure = false;
    bool m_isRetrying = false; ///< A read of the declarations has failed and is due again.
    bool m_isProbing = false;
    bool m_isListReachable = true;
    std::optional<Core::Instant> m_lastLossAt;
    std::optional<Core::Instant> m_lastAnsweredCallSentAt;
    std::optional<Core::Instant> m_overdueSince;
    Core::Duration m_patience{0};
    double m_confirmationBytes = 0;
};

class Emulation
{
public:
    explicit Emulation(const ReadExperiment &experiment)
        : m_experiment(experiment)
        , m_random(experiment.m_seed)
        , m_entries(experiment.m_entries)
    {
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            m_entries[index].m_domain = index % m_experiment.m_failureDomains;
            m_entries[index].m_isReader = index < m_experiment.m_failureDomains * ReadersPerDomain;
            m_byDomain[m_entries[index].m_domain].push_back(index);
        }
    }

    ReadOutcome run()
    {
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            after(randomTime(ListInterval), [this, index] { readList(index); });
            after(randomTime(HeartbeatInterval), [this, index] { sendHeartbeats(index); });
            after(randomTime(ListInterval), [this, index] { readDeclarations(index); });
            after(randomTime(ReadCheckInterval), [this, index] { checkRead(index); });
        }
        scheduleFault();
        observe();
        while (m_now < Core::Instant() + m_experiment.m_duration) {
            const std::multimap<Core::Instant, std::function<void()>>::iterator next = m_events.begin();
            m_now = next->first;
            const std::function<void()> action = std::move(next->second);
            m_events.erase(next);
            action();
        }
        ReadOutcome outcome;
        const double seconds = Core::secondsBetween(Core::Instant(), m_now);
        outcome.m_callsPerSecond = static_cast<double>(m_calls) / seconds;
        for (const EntryState &entry : m_entries) {
            outcome.m_heartbeatBytesPerSecond = std::max(outcome.m_heartbeatBytesPerSecond, entry.m_confirmationBytes / seconds);
        }
        outcome.m_recovery = m_recovery;
        outcome.m_largestAge = m_largestAge;
        return outcome;
    }

private:
    void after(Core::Duration delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    Core::Duration randomTime(Core::Duration maximum)
    {
        return Core::Duration(static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(maximum.count()) + 1)));
    }

    bool isConcerned(const EntryState &entry) const
    {
        return !m_experiment.m_isLocal || entry.m_domain == 0;
    }

    bool isCut(const EntryState &entry) const
    {
        return m_isCut && isConcerned(entry);
    }

    /// Time after which a call fails that is sent while the path is cut.
    Core::Duration failureTime() const
    {
        return m_experiment.m_fault == PathFault::Silence ? AnswerTimeout : ConnectTimeout;
    }

    void scheduleFault()
    {
        if (m_experiment.m_fault == PathFault::None) {
            return;
        }
        after(m_experiment.m_cutAt, [this] {
            m_isFaultOver = m_experiment.m_fault == PathFault::OpenConnections;
            m_hasFaultBegun = true;
            m_isCut = !m_isFaultOver;
            for (std::size_t index = 0; index < m_entries.size(); ++index) {
                strike(index);
            }
            if (m_isFaultOver) {
                declare();
            }
        });
        if (m_experiment.m_fault != PathFault::OpenConnections) {
            after(m_experiment.m_cutAt + m_experiment.m_cutLength, [this] {
                declare();
                m_isCut = false;
                m_isFaultOver = true;
            });
        }
    }

    void strike(std::size_t index)
    {
        EntryState &entry = m_entries[index];
        if (!entry.m_waiting || !isConcerned(entry)) {
            return;
        }
        if (m_experiment.m_fault == PathFault::CutWithReset) {
            entry.m_waiting.reset();
            failDeclarations(index);
            return;
        }
        entry.m_waiting->m_silentSince = m_now;
    }

    void declare()
    {
        ++m_declared;
        m_declaredAt = m_now;
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            EntryState &entry = m_entries[index];
            if (entry.m_waiting && !entry.m_waiting->m_silentSince && !isCut(entry)) {
                finishRead(index, entry.m_waiting->m_sentAt, true);
            }
        }
    }

    bool reliesOnPeers(const EntryState &entry) const
    {
        const bool isListFresh = entry.m_listAsOf && m_now - *entry.m_listAsOf < MaximumListAge;
        const bool knowsAge = m_experiment.m_detection == ReadDetection::Confirmations;
        const bool isConfirmed = !knowsAge || (entry.m_confirmedAsOf && m_now - *entry.m_confirmedAsOf < MaximumDeclarationsAge);
        return !entry.m_isReader && isListFresh && isConfirmed;
    }

    void readList(std::size_t index)
    {
        EntryState &entry = m_entries[index];
        if (reliesOnPeers(entry)) {
            after(ReadCheckInterval, [this, index] { readList(index); });
            return;
        }
        ++m_calls;
        const Core::Instant sentAt = m_now;
        if (isCut(entry)) {
            after(failureTime(), [this, index] {
                EntryState &failed = m_entries[index];
                failed.m_lastLossAt = m_now;
                failed.m_isListReachable = false;
                after(MinimumRetryDelay + randomTime(RetryDelaySpread), [this, index] { readList(index); });
            });
            return;
        }
        after(RoundTrip, [this, index, sentAt] {
            EntryState &answered = m_entries[index];
            answered.m_isListReachable = true;
            answered.m_listAsOf = sentAt;
            answered.m_lastAnsweredCallSentAt = sentAt;
            for (const std::size_t peer : m_byDomain.at(answered.m_domain)) {
                tell(index, peer);
            }
            if (answered.m_isRetrying && usesEvidence()) {
                readDeclarations(index);
            }
            after(ListInterval, [this, index] { readList(index); });
        });
    }

    bool usesEvidence() const
    {
        return m_experiment.m_detection == ReadDetection::OtherCalls || m_experiment.m_detection == ReadDetection::Confirmations;
    }

    Core::Duration waitLimit(const EntryState &entry) const
    {
        if (m_experiment.m_detection == ReadDetection::ShortWait || (m_experiment.m_detection == ReadDetection::ShortWaitAfterLoss && entry.m_isUnsure)) {
            return ShortWait;
        }
        return usesEvidence() && entry.m_isUnsure ? Core::Duration(0) : m_experiment.m_waitLimit;
    }

    void readDeclarations(std::size_t index)
    {
        EntryState &entry = m_entries[index];
        if (entry.m_waiting) {
            return;
        }
        if (reliesOnPeers(entry)) {
            after(ReadCheckInterval, [this, index] { readDeclarations(index); });
            return;
        }
        ++m_calls;
        entry.m_isRetrying = false;
        entry.m_overdueSince.reset();
        entry.m_patience = randomTime(MaximumPatience);
        const Core::Instant sentAt = m_now;
        if (isCut(entry) && (m_experiment.m_fault != PathFault::Silence || waitLimit(entry).count() == 0)) {
            after(failureTime(), [this, index] { failDeclarations(index); });
            return;
        }
        if (isCut(entry)) {
            entry.m_waiting = Waiting{sentAt, waitLimit(entry), entry.m_known, m_now};
            after(entry.m_waiting->m_waitLimit + AnswerTimeout, [this, index, sentAt] { giveUp(index, sentAt, true); });
            return;
        }
        if (entry.m_known < m_declared || waitLimit(entry).count() == 0 || !entry.m_confirmedAsOf) {
            after(RoundTrip, [this, index, sentAt] { finishRead(index, sentAt, false); });
            return;
        }
        entry.m_waiting = Waiting{sentAt, waitLimit(entry), entry.m_known, std::nullopt};
        after(entry.m_waiting->m_waitLimit, [this, index, sentAt] {
            EntryState &waited = m_entries[index];
            if (waited.m_waiting && waited.m_waiting->m_sentAt == sentAt && !waited.m_waiting->m_silentSince && !isCut(waited)) {
                finishRead(index, sentAt + waited.m_waiting->m_waitLimit, true);
            }
        });
        after(entry.m_waiting->m_waitLimit + AnswerTimeout, [this, index, sentAt] { giveUp(index, sentAt, true); });
    }

    void failDeclarations(std::size_t index)
    {
        EntryState &entry = m_entries[index];
        entry.m_lastLossAt = m_now;
        entry.m_isUnsure = true;
        entry.m_isRetrying = true;
        after(MinimumRetryDelay + randomTime(RetryDelaySpread), [this, index] {
            if (m_entries[index].m_isRetrying) {
                readDeclarations(index);
            }
        });
    }

    void giveUp(std::size_t index, Core::Instant sentAt, bool isFailure)
    {
        EntryState &entry = m_entries[index];
        if (!entry.m_waiting || entry.m_waiting->m_sentAt != sentAt) {
            return;
        }
        entry.m_waiting.reset();
        if (isFailure) {
            failDeclarations(index);
            return;
        }
        entry.m_isUnsure = true;
        readDeclarations(index);
    }

    /// Ends a read that was answered and begins the next one. @p asOf: the answer holds all changes accepted before.
    void finishRead(std::size_t index, Core::Instant asOf, bool wasWaiting)
    {
        EntryState &entry = m_entries[index];
        if (wasWaiting) {
            entry.m_waiting.reset();
        }
        entry.m_isUnsure = false;
        learn(index, asOf);
        readDeclarations(index);
    }

    /// Applies the answer of the log.
    void learn(std::size_t index, Core::Instant asOf)
    {
        EntryState &entry = m_entries[index];
        entry.m_lastAnsweredCallSentAt = std::max(entry.m_lastAnsweredCallSentAt.value_or(asOf), asOf);
        entry.m_confirmedAsOf = std::max(entry.m_confirmedAsOf.value_or(asOf), asOf);
        const bool isNews = entry.m_known < m_declared;
        entry.m_known = m_declared;
        if (isNews) {
            for (const std::size_t peer : m_byDomain.at(entry.m_domain)) {
                tell(index, peer);
            }
            for (std::size_t count = 0; count < AnnouncementFanOut; ++count) {
                tell(index, m_random.below(m_entries.size()));
            }
        }
        if (m_experiment.m_detection == ReadDetection::Confirmations) {
            for (std::size_t reader = 0; reader < m_experiment.m_failureDomains * ReadersPerDomain; ++reader) {
                tell(index, reader);
                entry.m_confirmationBytes += HeartbeatBytes;
            }
        }
    }

    /// Sends a heartbeat, which also carries the ages of the sender's list and declarations.
    void tell(std::size_t from, std::size_t to)
    {
        if (from == to || m_random.unit() < m_experiment.m_lossShare) {
            return;
        }
        const EntryState sender = m_entries[from];
        after(RoundTrip, [this, sender, to] {
            EntryState &receiver = m_entries[to];
            if (sender.m_known > receiver.m_known) {
                after(RoundTrip, [this, known = sender.m_known, to] { m_entries[to].m_known = std::max(m_entries[to].m_known, known); });
                return;
            }
            if (sender.m_confirmedAsOf) {
                receiver.m_confirmedAsOf = std::max(receiver.m_confirmedAsOf.value_or(*sender.m_confirmedAsOf), *sender.m_confirmedAsOf);
            }
            if (sender.m_listAsOf) {
                receiver.m_listAsOf = std::max(receiver.m_listAsOf.value_or(*sender.m_listAsOf), *sender.m_listAsOf);
            }
        });
    }

    void sendHeartbeats(std::size_t index)
    {
        const std::vector<std::size_t> &domain = m_byDomain.at(m_entries[index].m_domain);
        for (std::size_t count = 0; count < OwnDomainFanOut; ++count) {
            tell(index, domain[m_random.below(domain.size())]);
        }
        tell(index, m_random.below(m_entries.size()));
        after(HeartbeatInterval, [this, index] { sendHeartbeats(index); });
    }

    void checkRead(std::size_t index)
    {
        after(ReadCheckInterval, [this, index] { checkRead(index); });
        EntryState &entry = m_entries[index];
        if (!entry.m_waiting) {
            return;
        }
        const Core::Instant sentAt = entry.m_waiting->m_sentAt;
        if (m_experiment.m_detection == ReadDetection::KeepAlive) {
            const std::optional<Core::Instant> silentSince = entry.m_waiting->m_silentSince;
            if (silentSince && m_now - *silentSince >= KeepAliveDetection) {
                giveUp(index, sentAt, true);
            }
            return;
        }
        if (!usesEvidence()) {
            return;
        }
        if (entry.m_known > entry.m_waiting->m_from && !entry.m_overdueSince) {
            entry.m_overdueSince = m_now;
        }
        Follow::ReadEvidence evidence{sentAt, entry.m_lastLossAt, entry.m_lastAnsweredCallSentAt, entry.m_overdueSince, entry.m_confirmedAsOf};
        if (m_experiment.m_detection == ReadDetection::OtherCalls) {
            evidence.m_confirmedAsOf = m_now;
        }
        const Follow::ReadVerdict verdict = Follow::judgeRead(evidence, Follow::ReadLimits{}, entry.m_patience, m_now);
        if (verdict == Follow::ReadVerdict::Dead) {
            giveUp(index, sentAt, false);
        } else if (verdict == Follow::ReadVerdict::Unconfirmed && entry.m_isListReachable && !entry.m_isProbing) {
            probe(index);
        }
    }

    void probe(std::size_t index)
    {
        EntryState &entry = m_entries[index];
        ++m_calls;
        entry.m_isProbing = true;
        const Core::Instant sentAt = m_now;
        if (isCut(entry)) {
            after(failureTime(), [this, index] {
                m_entries[index].m_lastLossAt = m_now;
                after(MinimumRetryDelay, [this, index] { m_entries[index].m_isProbing = false; });
            });
            return;
        }
        after(RoundTrip, [this, index, sentAt] {
            m_entries[index].m_isProbing = false;
            m_entries[index].m_patience = randomTime(MaximumPatience);
            learn(index, sentAt);
        });
    }

    void observe()
    {
        after(ObservationInterval, [this] { observe(); });
        constexpr Core::Duration startupTime{5000};
        const bool isStarting = m_now < Core::Instant() + startupTime;
        for (const EntryState &entry : m_entries) {
            if (!m_hasFaultBegun && !isStarting && entry.m_confirmedAsOf) {
                m_largestAge = std::max(m_largestAge, std::chrono::duration_cast<Core::Duration>(m_now - *entry.m_confirmedAsOf));
            }
            if (m_isFaultOver && entry.m_known < m_declared) {
                m_recovery = std::chrono::duration_cast<Core::Duration>(m_now - m_declaredAt);
            }
        }
    }

    const ReadExperiment m_experiment;
    Core::Random m_random;
    std::vector<EntryState> m_entries;
    std::map<std::size_t, std::vector<std::size_t>> m_byDomain;
    std::multimap<Core::Instant, std::function<void()>> m_events;
    Core::Instant m_now;
    std::uint64_t m_declared = 0;
    Core::Instant m_declaredAt;
    std::uint64_t m_calls = 0;
    bool m_isCut = false;
    bool m_hasFaultBegun = false;
    bool m_isFaultOver = false;
    Core::Duration m_recovery{0};
    Core::Duration m_largestAge{0};
};

}

ReadOutcome play(const ReadExperiment &experiment)
{
    return Emulation(experiment).run();
}

}
