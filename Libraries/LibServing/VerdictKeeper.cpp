/// @file Implementation of the keeper of verdicts.

#include "LibServing/VerdictKeeper.h"

#include <algorithm>

namespace Serving {

std::size_t storeRank(const Quarantine::PromptPart &part, const std::string &self, const std::vector<Gossip::Member> &others)
{
    const std::string key = part.m_service + "/" + part.m_id;
    const std::uint64_t own = Core::rendezvousWeight(key, self);
    return static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(), [&key, own](const Gossip::Member &other) { return Core::rendezvousWeight(key, other.m_id) > own; }));
}

VerdictKeeper::VerdictKeeper(VerdictKeeperParts parts, VerdictKeeperSettings settings, ReaderSelectionSettings readers, Quarantine::VerdictSource source)
    : m_parts(parts)
    , m_settings(settings)
    , m_readers(readers)
    , m_source(std::move(source))
    , m_retryDelay(settings.m_initialRetryDelay)
{
}

VerdictKeeper::~VerdictKeeper()
{
    *m_isAlive = false;
}

void VerdictKeeper::check(Core::Instant now)
{
    m_startedAt = m_startedAt.value_or(now);
    if (m_isCalling || now < m_nextCall) {
        return;
    }
    const std::vector<Gossip::Member> entries = m_parts.m_gossip.members().alive(Gossip::Role::Entry, now);
    readIfDue(entries, now);
    std::map<Quarantine::PromptPart, PendingVerdict> pending;
    for (const Quarantine::Verdict &verdict : m_parts.m_quarantine.verdicts().verdicts(now)) {
        if (verdict.m_isStored) {
            continue;
        }
        const std::map<Quarantine::PromptPart, PendingVerdict>::const_iterator known = m_pending.find(verdict.m_part);
        const bool isKnown = known != m_pending.end() && known->second.m_revision == verdict.m_revision;
        pending[verdict.m_part] = isKnown ? known->second : PendingVerdict{verdict.m_revision, now};
    }
    m_pending = std::move(pending);
    for (const Quarantine::Verdict &verdict : m_parts.m_quarantine.verdicts().verdicts(now)) {
        storeIfDue(verdict, entries, now);
    }
}

void VerdictKeeper::readIfDue(const std::vector<Gossip::Member> &entries, Core::Instant now)
{
    const bool reads = isReader(m_parts.m_gossip.self(), entries, m_readers);
    const Core::Duration delay = reads ? m_settings.m_readDelay : m_settings.m_readDelayOfOthers;
    if (m_parts.m_gossip.hasStoredVerdicts() || now - *m_startedAt < delay) {
        return;
    }
    m_isCalling = true;
    m_source.m_readAll([this, alive = m_isAlive](Core::Result<std::vector<Quarantine::Verdict>> verdicts) {
        if (!*alive) {
            return;
        }
        m_isCalling = false;
        if (!verdicts) {
            handleFailure(verdicts.error(), "read");
            return;
        }
        m_retryDelay = m_settings.m_initialRetryDelay;
        m_parts.m_gossip.setHasStoredVerdicts();
        m_parts.m_quarantine.merge(Quarantine::Observations{{}, {}, std::move(verdicts.value())}, Core::Clock::now());
    });
}

void VerdictKeeper::storeIfDue(const Quarantine::Verdict &verdict, const std::vector<Gossip::Member> &entries, Core::Instant now)
{
    const std::map<Quarantine::PromptPart, PendingVerdict>::const_iterator pending = m_pending.find(verdict.m_part);
    if (m_isCalling || pending == m_pending.end()) {
        return;
    }
    const std::size_t rank = storeRank(verdict.m_part, m_parts.m_gossip.self().m_id, entries);
    if (now - pending->second.m_since < m_settings.m_storeDelay * static_cast<std::int64_t>(rank)) {
        return;
    }
    m_isCalling = true;
    m_source.m_store(verdict, [this, alive = m_isAlive, part = verdict.m_part, revision = verdict.m_revision](const Core::Result<void> &stored) {
        if (!*alive) {
            return;
        }
        m_isCalling = false;
        if (!stored) {
            handleFailure(stored.error(), "store");
            return;
        }
        m_retryDelay = m_settings.m_initialRetryDelay;
        m_parts.m_quarantine.verdicts().markStored(part, revision);
    });
}

void VerdictKeeper::handleFailure(const Core::Error &error, const char *what)
{
    m_nextCall = Core::Clock::now() + m_retryDelay;
    m_retryDelay = std::min(m_settings.m_maximumRetryDelay, m_retryDelay * 2);
    m_parts.m_log.write(Telemetry::LogLine("verdicts_unreachable").text("call", what).text("error", error.message()));
}

}
