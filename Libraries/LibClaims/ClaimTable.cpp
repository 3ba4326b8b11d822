/// @file Application of the records of the claims stream.

#include "LibClaims/ClaimTable.h"
#include "LibWire/Pack.h"

namespace Claims {

ClaimTable::ClaimTable(Offset window)
    : m_window(window)
{
}

void ClaimTable::startAt(Offset first)
{
    m_coveredFrom = first;
    m_position = first - 1;
}

void ClaimTable::restartAt(Offset first)
{
    // Offsets are assigned again from here, so the old offsets no longer determine when entries expire. They expire one window after the restart.
    m_position = first - 1;
    m_coveredFrom = first;
    for (ExpiryEntry &entry : m_holderExpiry) {
        entry.m_offset = first;
    }
    for (ExpiryEntry &entry : m_tombstoneExpiry) {
        entry.m_offset = first;
    }
}

Epoch ClaimTable::epoch() const
{
    return Epoch{m_generation, m_position};
}

const Claim *ClaimTable::findHolder(const std::string &key) const
{
    const std::unordered_map<std::string, Claim>::const_iterator it = m_holders.find(key);
    return it == m_holders.end() ? nullptr : &it->second;
}

AppliedBatch ClaimTable::apply(Offset offset, std::string_view body)
{
    m_position = offset;
    const Core::Result<ClaimBatch> decoded = Wire::unpack<ClaimBatch>(body, "claims record " + std::to_string(offset));
    if (!decoded || decoded.value().m_claims.size() > MaximumBatch) {
        return AppliedBatch();
    }
    const ClaimBatch &batch = decoded.value();
    AppliedBatch applied{batch.m_id, {}};
    if (batch.m_generation > m_generation) {
        m_generation = batch.m_generation;
        m_generationStart = offset;
    }
    const bool outdated = batch.m_generation < m_generation;
    if (!outdated) {
        for (const AttemptTombstone &tombstone : batch.m_tombstones) {
            applyTombstone(offset, tombstone);
        }
    }
    for (const Claim &claim : batch.m_claims) {
        applied.m_results.push_back(outdated ? ClaimResult{claim.m_attempt, Verdict::Expired, {}} : applyClaim(offset, claim));
    }
    removeExpired(offset);
    return applied;
}

bool ClaimTable::isExpired(const Epoch &epoch, Offset offset) const
{
    if (epoch.m_generation != m_generation || epoch.m_offset < m_generationStart) {
        return true;
    }
    const bool neverIssued = epoch.m_offset >= offset;
    const bool outsideWindow = epoch.m_offset + m_window < offset;
    const bool notCovered = epoch.m_offset + 1 < m_coveredFrom;
    return neverIssued || outsideWindow || notCovered;
}

ClaimResult ClaimTable::applyClaim(Offset offset, const Claim &claim)
{
    if (isExpired(claim.m_key.m_epoch, offset)) {
        return ClaimResult{claim.m_attempt, Verdict::Expired, {}};
    }
    if (m_tombstones.contains(claim.m_attempt)) {
        return ClaimResult{claim.m_attempt, Verdict::Tombstoned, {}};
    }
    const std::unordered_map<std::string, Claim>::const_iterator it = m_holders.find(claim.m_key.m_text);
    if (it == m_holders.end()) {
        m_holders.emplace(claim.m_key.m_text, claim);
        m_holderExpiry.push_back(ExpiryEntry{offset, claim.m_key.m_text});
        return ClaimResult{claim.m_attempt, Verdict::Won, {}};
    }
    if (it->second.m_attempt == claim.m_attempt) {
        return ClaimResult{claim.m_attempt, Verdict::Won, {}};
    }
    return ClaimResult{claim.m_attempt, Verdict::Lost, it->second};
}

void ClaimTable::applyTombstone(Offset offset, const AttemptTombstone &tombstone)
{
    if (!m_tombstones.emplace(tombstone.m_attempt, offset).second) {
        return;
    }
    m_tombstoneExpiry.push_back(ExpiryEntry{offset, tombstone.m_attempt});
    const std::unordered_map<std::string, Claim>::const_iterator it = m_holders.find(tombstone.m_key);
    if (it != m_holders.end() && it->second.m_attempt == tombstone.m_attempt) {
        m_holders.erase(it);
    }
}

void ClaimTable::removeExpired(Offset offset)
{
    // A key claimed at offset O has an epoch below O. It has expired once O + window has been passed, and its claim can be removed.
    while (!m_holderExpiry.empty() && m_holderExpiry.front().m_offset + m_window < offset) {
        const std::string &key = m_holderExpiry.front().m_text;
        m_holders.erase(key);
        m_holderExpiry.pop_front();
    }
    while (!m_tombstoneExpiry.empty() && m_tombstoneExpiry.front().m_offset + m_window < offset) {
        m_tombstones.erase(m_tombstoneExpiry.front().m_text);
        m_tombstoneExpiry.pop_front();
    }
}

}
