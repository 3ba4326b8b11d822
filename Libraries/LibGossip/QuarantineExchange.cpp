/// @file Implementation of the exchange of observations about parts of prompts between entries.

#include "LibGossip/GossipService.h"
#include "LibWire/Pack.h"

namespace Gossip {

namespace {

/// Entries, chosen at random, to which news is sent. Each passes it on once, so that it reaches a fleet of hundreds in three steps, although some are lost.
constexpr std::size_t QuarantineFanOut = 8;

}

void GossipService::setQuarantine(QuarantineAccess access)
{
    m_quarantine = std::move(access);
}

std::size_t GossipService::addQuarantine(Heartbeat &heartbeat) const
{
    if (!m_quarantine.m_sample) {
        return 0;
    }
    heartbeat.m_quarantine = m_quarantine.m_sample(m_settings.m_sampledQuarantine);
    return heartbeat.m_quarantine.m_verdicts.size() * m_settings.m_digestsPerVerdict + heartbeat.m_quarantine.m_crashes.size() * m_settings.m_digestsPerCrash
        + heartbeat.m_quarantine.m_completions.size() * m_settings.m_digestsPerCompletion;
}

void GossipService::mergeQuarantine(const Heartbeat &heartbeat)
{
    if (!m_quarantine.m_merge || heartbeat.m_sender.m_role != Role::Entry) {
        return;
    }
    if (!heartbeat.m_quarantine.isEmpty()) {
        m_quarantine.m_merge(heartbeat.m_quarantine);
    }
    const Core::Instant now = Core::Clock::now();
    const bool lacksStored = heartbeat.m_hasStoredVerdicts && !m_hasStoredVerdicts;
    const bool differs = heartbeat.m_verdictDigest != m_quarantine.m_verdictDigest();
    if ((lacksStored || differs) && now >= m_nextVerdictPull) {
        m_nextVerdictPull = now + m_settings.m_verdictPullInterval;
        pullFrom(heartbeat.m_sender.m_peers);
    }
}

void GossipService::announceQuarantine()
{
    if (std::exchange(m_isQuarantineNewsDue, true)) {
        return;
    }
    m_quarantineTimer.expires_after(m_settings.m_quarantineDelay);
    m_quarantineTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code &error) {
        if (*alive && !error) {
            m_isQuarantineNewsDue = false;
            sendQuarantineNews();
            if (m_quarantine.m_hasNews()) {
                announceQuarantine();
            }
        }
    });
}

void GossipService::sendQuarantineNews()
{
    std::vector<Member> entries = m_members.alive(Role::Entry, Core::Clock::now());
    keepRandom(entries, QuarantineFanOut, m_parts.m_random);
    Heartbeat heartbeat = makeHeartbeat(0);
    heartbeat.m_quarantine = m_quarantine.m_takeNews(m_settings.m_newsOfQuarantine);
    const std::string encoded = Wire::pack(heartbeat);
    for (const Member &entry : entries) {
        sendTo(entry.m_peers, encoded);
    }
}

}
