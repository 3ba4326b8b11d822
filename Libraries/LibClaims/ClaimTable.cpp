/// @file The fold over the claims stream.

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
    // Offsets run anew from here, so the dates of older entries no longer tell when they may go: they age from the restart on.
    m_position = first - 1;
    m_coveredFrom = first;
    for (Dated &date : m_winnerDates) {
        date.m_offset = first;
    }
    for (Dated &date : m_barDates) {
        date.m_offset = first;
    }
}

Epoch ClaimTable::epoch() const
{
    return Epoch{m_generation, m_position};
}

const Claim *ClaimTable::winner(const std::string &key) const
{
    const std::unordered_map<std::string, Claim>::const_iterator it = m_winners.find(key);
    return it == m_winners.end() ? nullptr : &it->second;
}

FoldedBatch ClaimTable::fold(Offset offset, std::string_view body)
{
    m_position = offset;
    const Core::Result<ClaimBatch> decoded = Wire::unpack<ClaimBatch>(body, "claims record " + std::to_string(offset));
    if (!decoded || decoded.value().m_claims.size() > MaximumBatch) {
        return FoldedBatch();
    }
    const ClaimBatch &batch = decoded.value();
    FoldedBatch folded{batch.m_id, {}};
    if (batch.m_generation > m_generation) {
        m_generation = batch.m_generation;
        m_generationStart = offset;
    }
    const bool outdated = batch.m_generation < m_generation;
    if (!outdated) {
        for (const AttemptBar &bar : batch.m_bars) {
            foldBar(offset, bar);
        }
    }
    for (const Claim &claim : batch.m_claims) {
        folded.m_results.push_back(outdated ? ClaimResult{claim.m_attempt, Verdict::Expired, {}} : foldClaim(offset, claim));
    }
    forgetOld(offset);
    return folded;
}

bool ClaimTable::isExpired(const Epoch &epoch, Offset offset) const
{
    if (epoch.m_generation != m_generation || epoch.m_offset < m_generationStart) {
        return true;
    }
    const bool neverHandedOut = epoch.m_offset >= offset;
    const bool outsideWindow = epoch.m_offset + m_window < offset;
    const bool notCovered = epoch.m_offset + 1 < m_coveredFrom;
    return neverHandedOut || outsideWindow || notCovered;
}

ClaimResult ClaimTable::foldClaim(Offset offset, const Claim &claim)
{
    if (isExpired(claim.m_key.m_epoch, offset)) {
        return ClaimResult{claim.m_attempt, Verdict::Expired, {}};
    }
    if (m_barred.contains(claim.m_attempt)) {
        return ClaimResult{claim.m_attempt, Verdict::Barred, {}};
    }
    const std::unordered_map<std::string, Claim>::const_iterator it = m_winners.find(claim.m_key.m_text);
    if (it == m_winners.end()) {
        m_winners.emplace(claim.m_key.m_text, claim);
        m_winnerDates.push_back(Dated{offset, claim.m_key.m_text});
        return ClaimResult{claim.m_attempt, Verdict::Won, {}};
    }
    if (it->second.m_attempt == claim.m_attempt) {
        return ClaimResult{claim.m_attempt, Verdict::Won, {}};
    }
    return ClaimResult{claim.m_attempt, Verdict::Lost, it->second};
}

void ClaimTable::foldBar(Offset offset, const AttemptBar &bar)
{
    if (!m_barred.emplace(bar.m_attempt, offset).second) {
        return;
    }
    m_barDates.push_back(Dated{offset, bar.m_attempt});
    const std::unordered_map<std::string, Claim>::const_iterator it = m_winners.find(bar.m_key);
    if (it != m_winners.end() && it->second.m_attempt == bar.m_attempt) {
        m_winners.erase(it);
    }
}

void ClaimTable::forgetOld(Offset offset)
{
    // A key claimed at offset O has an epoch below O, so it is expired once O + window is behind, and its claim can go.
    while (!m_winnerDates.empty() && m_winnerDates.front().m_offset + m_window < offset) {
        const std::string &key = m_winnerDates.front().m_text;
        m_winners.erase(key);
        m_winnerDates.pop_front();
    }
    while (!m_barDates.empty() && m_barDates.front().m_offset + m_window < offset) {
        m_barred.erase(m_barDates.front().m_text);
        m_barDates.pop_front();
    }
}

}
