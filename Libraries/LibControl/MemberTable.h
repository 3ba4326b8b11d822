/// @file Who belongs to the system: what processes said of themselves, merged with the platform's lagging list.
#pragma once

#include "LibCore/Clock.h"
#include "LibProtocol/Member.h"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Control {

/// What one source knows, as processes pass it on to each other.
struct MembershipSnapshot
{
    std::vector<Protocol::Member> m_members; ///< Sorted by id.
    std::vector<std::string> m_endedIncarnations; ///< Incarnations that have ended; the newest ones.

    bool operator==(const MembershipSnapshot &) const = default;
};

/**
 * The merged table. A plain value; time is passed in.
 *
 * The list lags: it may still call an instance live that has said it is leaving, or that has been replaced under the same
 * name. Taken at its word it would send new work there again. So an incarnation that is leaving stays leaving, one that
 * has ended never comes back, and the list only adds and removes instances.
 */
class MemberTable
{
public:
    /// A process announced itself, again if it did before. It supersedes any other incarnation under its id.
    bool announce(const Protocol::Member &member, Core::Instant now);
    /// Another process passed on what it knows.
    bool merge(const MembershipSnapshot &knowledge, Core::Instant now);
    /// An entry told an agent all that it needs to know. The agent has no other source, so this replaces what it had.
    bool replace(std::span<const Protocol::Member> members, Core::Instant now);
    /// The platform's list, whole.
    bool applyList(std::span<const Protocol::Member> listed, Core::Instant now);

    MembershipSnapshot snapshot() const;
    std::vector<Protocol::Member> members() const;

private:
    struct Row
    {
        Protocol::Member m_member;
        bool m_wasListed = false;
        bool m_isAnnouncedHere = false; ///< The process announced itself here, and is expected to do so again and again.
        Core::Instant m_lastHeard; ///< From the process itself or from others that know it.

        bool operator==(const Row &) const = default;
    };

    bool isEnded(const std::string &incarnation) const;
    void markEnded(const std::string &incarnation);
    bool upsert(const Protocol::Member &member, Core::Instant now);
    static bool hasExpired(const Row &row, Core::Instant now);

    std::map<std::string, Row> m_rows; ///< By id.
    std::deque<std::string> m_endedIncarnations; ///< At most MaximumGone; none of them is in m_rows.
};

/// Incarnations that a table remembers as ended.
inline constexpr std::size_t MaximumEndedIncarnations = 1024;
/// How long an instance that the list does not show may be silent before it counts as gone, where it announces itself.
inline constexpr Core::Duration UnlistedTimeout{30000};
/// The same where it is only known from others, who would say that it is gone.
inline constexpr Core::Duration IndirectTimeout{600000};

}
