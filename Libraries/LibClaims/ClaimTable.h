/// @file Who holds which key: a pure fold over the claims stream.
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

enum class Verdict {
    Won = 0, ///< The attempt may be dispatched, once.
    Lost = 1, ///< Another attempt holds the key.
    Expired = 2, ///< The key is older than the claims that are kept, or its epoch was never handed out: whether it was claimed cannot be told.
    Tombstoned = 3, ///< The attempt was barred before its claim arrived.
};

/// What became of one claim.
struct ClaimResult
{
    std::string m_attempt;
    Verdict m_verdict = Verdict::Expired;
    Claim m_holder; ///< If Lost.

    bool operator==(const ClaimResult &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("attempt", m_attempt), MSGPACK_NVP("verdict", m_verdict), MSGPACK_NVP("winner", m_holder));
};

/// What became of one record.
struct AppliedBatch
{
    std::string m_id; ///< Empty if the record was malformed.
    std::vector<ClaimResult> m_results; ///< In the order of the batch's claims.

    bool operator==(const AppliedBatch &) const = default;
};

/**
 * The keys claimed within a window of the stream.
 *
 * The first claim in offset order wins, the same for every reader. The window is counted in records, so that it is no clock's matter: a key
 * whose epoch lies more than the window behind is refused, because a claim on it might have been forgotten. A reader that started in the
 * middle of the stream refuses keys that are older than its start for the same reason. The window must be smaller than the log's retention.
 */
class ClaimTable
{
public:
    explicit ClaimTable(Offset window);

    /// Starts at the oldest record that the log holds. Keys from before cannot be told.
    void startAt(Offset first);
    /// Folds the record at @p offset, which must be position() + 1. Malformed records are passed over.
    AppliedBatch apply(Offset offset, std::string_view body);

    /**
     * Starts reading again at @p first of a log that lost records.
     *
     * What was claimed stays claimed here. Keys handed out before count as expired from the next generation on, since claims on them that
     * nobody here has read may be lost.
     */
    void restartAt(Offset first);

    Offset position() const
    {
        return m_position;
    }
    std::uint64_t generation() const
    {
        return m_generation;
    }
    /// What to hand out for new keys.
    Epoch epoch() const;
    /// Number of keys held.
    std::size_t size() const
    {
        return m_holders.size();
    }
    /// The holder of a key, or null.
    const Claim *findHolder(const std::string &key) const;

private:
    struct ExpiryEntry
    {
        Offset m_offset = 0;
        std::string m_text;
    };

    bool isExpired(const Epoch &epoch, Offset offset) const;
    ClaimResult applyClaim(Offset offset, const Claim &claim);
    void applyTombstone(Offset offset, const AttemptTombstone &bar);
    void removeExpired(Offset offset);

    Offset m_window;
    Offset m_coveredFrom = 1; ///< Every record from here to m_position was folded.
    Offset m_position = 0;
    std::uint64_t m_generation = 0; ///< Never falls.
    Offset m_generationStart = 0; ///< Record that started m_generation; epochs before it are expired.
    std::unordered_map<std::string, Claim> m_holders; ///< By key.
    std::deque<ExpiryEntry> m_holderExpiry; ///< Keys by rising offset of their claim; may name released ones.
    std::unordered_map<std::string, Offset> m_tombstones; ///< Attempts, with the offset of the bar.
    std::deque<ExpiryEntry> m_tombstoneExpiry;
};

}

MSGPACK_ADD_ENUM(Claims::Verdict);
