/// @file Implementation of the exchange of observations about parts of prompts between entries.

#include "LibGossip/GossipService.h"
#include "LibWire/Pack.h"

namespace Gossip {

namespace {

/// Entries, chosen at random, to which news is sent. Each passes it on once, so that it reaches a fleet of hundreds in three steps, although some are lost.
constexpr std::size_t QuarantineFanOut = 8;

/// Returns the number of digests that the limits and observations of a heartbeat take the place of.
std::size_t replacedDigests(const Heartbeat &heartbeat, const GossipSettings &settings)
{
    const Quarantine::Observations &observations = heartbeat.m_quarantine;
    return heartbeat.m_limits.size() * settings.m_digestsPerLimit + observations.m_verdicts.size() * settings.m_digestsPerVerdict
        + observations.m_crashes.size() * settings.m_digestsPerCrash + observations.m_completions.size() * settings.m_digestsPerCompletion;
}

}

std::size_t remainingDigests(const Heartbeat &heartbeat, const GossipSettings &settings)
{
    return settings.m_sampledDigests - std::min(settings.m_sampledDigests, replacedDigests(heartbeat, settings));
}

void fitObservations(Heartbeat &heartbeat, const GossipSettings &settings)
{
    Quarantine::Observations &observations = heartbeat.m_quarantine;
    while (replacedDigests(heartbeat, settings) > settings.m_sampledDigests && !observations.isEmpty()) {
        if (!observations.m_crashes.empty()) {
            observations.m_crashes.pop_back();
        } else if (!observations.m_completions.empty()) {
            observations.m_completions.pop_back();
        } else {
            observations.m_verdicts.pop_back();
        }
    }
}

void GossipService::setQuarantine(QuarantineAccess access)
{
    m_quarantine = std::move(access);
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
    Core::keepRandom(entries, QuarantineFanOut, m_parts.m_random);
    Heartbeat heartbeat = makeHeartbeat(0);
    heartbeat.m_quarantine = m_quarantine.m_takeNews(Quarantine::NewsSample);
    const std::string encoded = Wire::pack(heartbeat);
    for (const Member &entry : entries) {
        sendTo(entry.m_peers, encoded);
    }
}

void GossipService::announceRequests()
{
    if (std::exchange(m_isRequestNewsDue, true)) {
        return;
    }
    m_requestNewsTimer.expires_after(m_settings.m_requestNewsDelay);
    m_requestNewsTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code &error) {
        if (*alive && !error) {
            m_isRequestNewsDue = false;
            sendRequestNews();
        }
    });
}

void GossipService::sendRequestNews()
{
    const std::vector<Member> entries = m_members.alive(Role::Entry, Core::Clock::now());
    while (m_quarantine.m_hasRequestNews()) {
        Heartbeat heartbeat = makeHeartbeat(0);
        heartbeat.m_quarantine = m_quarantine.m_takeRequestNews();
        const std::string encoded = Wire::pack(heartbeat);
        for (const Member &entry : entries) {
            sendTo(entry.m_peers, encoded);
        }
    }
}

}
