/// @file Table of the holders of keys, computed only from the records of the claims stream.
#pragma once

#include "LibClaims/ClaimRecord.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Claims {

/// Decision on one claim.
enum class Verdict {
    Won = 0, ///< The attempt holds the key and may be dispatched once.
    Lost = 1, ///< Another attempt holds the key.
    Expired = 2, ///< The key is older than the claims kept, or its epoch was never issued, so it is not known whether the key was claimed before.
    Tombstoned = 3, ///< A tombstone for the attempt precedes its claim.
};

/// Result of one claim.
struct ClaimResult
{
    std::string m_attempt;
    Verdict m_verdict = Verdict::Expired;
    Claim m_holder; ///< Claim of the holder; set if the verdict is Lost.

    bool operator==(const ClaimResult &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("attempt", m_attempt), MSGPACK_NVP("verdict", m_verdict), MSGPACK_NVP("winner", m_holder));
};

/// Result of applying one record.
struct AppliedBatch
{
    std::string m_id; ///< Empty if the record was malformed.
    std::vector<ClaimResult> m_results; ///< In the order of the batch's claims.

    bool operator==(const AppliedBatch &) const = default;
};

/**
 * The keys claimed within a window of the claims stream.
 *
 * The first claim in offset order wins, so that all readers agree. The window is counted in records and thus independent of clocks. A key whose
 * epoch is older than the window is refused, because a claim on it may have been removed. For the same reason a reader that started in the middle
 * of the stream refuses keys older than its start. The window must be smaller than the log's retention.
 */
class ClaimTable
{
public:
    /// @p window is a number of records.
    explicit ClaimTable(Offset window);

    /// Starts at the oldest record that the log holds. Keys issued before it are refused.
    void startAt(Offset first);
    /// Applies the record at @p offset, which must be position() + 1. Malformed records are skipped.
    AppliedBatch apply(Offset offset, std::string_view body);

    /**
     * Restarts at offset @p first of a log that has lost records.
     *
     * Existing claims are kept. Keys issued before the restart expire when the next generation starts, since claims on them that were never read may be lost.
     */
    void restartAt(Offset first);

    /// Offset of the last record applied.
    Offset position() const
    {
        return m_position;
    }
    std::uint64_t generation() const
    {
        return m_generation;
    }
    /// Returns the epoch for new keys.
    Epoch epoch() const;
    /// Number of keys held.
    std::size_t size() const
    {
        return m_holders.size();
    }
    /// Returns the claim that holds the key, or null.
    const Claim *findHolder(const std::string &key) const;

private:
    struct ExpiryEntry
    {
        Offset m_offset = 0;
        std::string m_text;
    };

    bool isExpired(const Epoch &epoch, Offset offset) const;
    ClaimResult applyClaim(Offset offset, const Claim &claim);
    void applyTombstone(Offset offset, const AttemptTombstone &tombstone);
    void removeExpired(Offset offset);

    Offset m_window;
    Offset m_coveredFrom = 1; ///< Every record from here to m_position was applied.
    Offset m_position = 0;
    std::uint64_t m_generation = 0; ///< Never decreases.
    Offset m_generationStart = 0; ///< Offset of the record that started m_generation; epochs before it have expired.
    std::unordered_map<std::string, Claim> m_holders; ///< Claim that holds the key, by key.
    std::deque<ExpiryEntry> m_holderExpiry; ///< Keys in ascending order of the offset of their claim; may contain keys that were released.
    std::unordered_map<std::string, Offset> m_tombstones; ///< Offset of the tombstone, by attempt.
    std::deque<ExpiryEntry> m_tombstoneExpiry; ///< Attempts in ascending order of the offset of their tombstone.
};

}

MSGPACK_ADD_ENUM(Claims::Verdict);
