/// @file The members of the system: announcements of the processes, merged with the platform's instance list, which lags behind.
#pragma once

#include "LibCore/Clock.h"
#include "LibProtocol/Member.h"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Control {

/// The members known to one process, as processes exchange them.
struct MembershipSnapshot
{
    std::vector<Protocol::Member> m_members; ///< Sorted by id.
    std::vector<std::string> m_endedIncarnations; ///< The newest incarnations that have ended.

    bool operator==(const MembershipSnapshot &) const = default;
};

/**
 * The merged table of members. It is a plain value; callers pass the time.
 *
 * The instance list lags behind: it may still show an instance as live that has announced that it is leaving, or that has
 * been replaced under the same name. If it were trusted, new work would be sent there. Therefore an incarnation that is
 * leaving stays leaving, one that has ended never comes back, and the list only adds and removes instances.
 */
class MemberTable
{
public:
    /// Handles the first or a repeated announcement of a process. It supersedes any other incarnation with the same id.
    bool announce(const Protocol::Member &member, Core::Instant now);
    /// Merges the members known to another process.
    bool merge(const MembershipSnapshot &other, Core::Instant now);
    /// Replaces all members by those that an entry sent to an agent. The agent has no other source.
    bool replace(std::span<const Protocol::Member> members, Core::Instant now);
    /// Applies the platform's complete list.
    bool applyList(std::span<const Protocol::Member> listed, Core::Instant now);

    MembershipSnapshot snapshot() const;
    std::vector<Protocol::Member> members() const;

private:
    struct Row
    {
        Protocol::Member m_member;
        bool m_wasListed = false;
        bool m_isAnnouncedHere = false; ///< The process announced itself here and is expected to repeat the announcement.
        Core::Instant m_lastHeard; ///< Last report by the process itself or by others that know it.

        bool operator==(const Row &) const = default;
    };

    bool isEnded(const std::string &incarnation) const;
    void markEnded(const std::string &incarnation);
    bool upsert(const Protocol::Member &member, Core::Instant now);
    static bool hasExpired(const Row &row, Core::Instant now);

    std::map<std::string, Row> m_rows; ///< By id.
    std::deque<std::string> m_endedIncarnations; ///< At most MaximumEndedIncarnations; none of them is in m_rows.
};

/// Number of ended incarnations that a table keeps.
inline constexpr std::size_t MaximumEndedIncarnations = 1024;
/// An instance that announced itself to this process, and that the list does not show yet, is removed after this time without an announcement.
inline constexpr Core::Duration UnlistedTimeout{30000};
/// The same limit for an instance that this process knows only from other processes. Those processes would report its end.
inline constexpr Core::Duration IndirectTimeout{600000};

}
