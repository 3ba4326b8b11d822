/// @file Table of the processes of the system that are alive according to heartbeats. It does no input or output.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Random.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Gossip {

enum class Role {
    Entry = 0, ///< Answers callers.
    Agent = 1, ///< Runs beside an engine.
};

/// Description that a process gives of itself, with a heartbeat count that grows while the process is alive.
struct Member
{
    std::string m_id; ///< Name of the instance.
    std::uint32_t m_incarnation = 0; ///< Random for each start of the process.
    std::uint64_t m_heartbeatCount = 0; ///< Grows with each heartbeat of an incarnation.
    std::uint32_t m_revision = 0; ///< Grows with each change of the fields below, except for the request rate.
    Role m_role = Role::Entry;
    std::string m_region;
    std::string m_failureDomain;
    std::string m_service; ///< Of the engine beside an agent; empty for entries.
    Core::Address m_peers; ///< Where it receives datagrams and calls of other processes.
    Core::Address m_callers; ///< Where it receives requests of callers; empty for agents.
    std::uint32_t m_requestsPerSecond = 0; ///< Recent rate of caller requests; changes continuously.
    bool m_isReady = false; ///< An entry answers callers with an accepted configuration; an agent is up.
    bool m_isLeaving = false; ///< It takes no new work. Once true, stays true for the incarnation.

    bool operator==(const Member &) const = default;

    MSGPACK_DEFINE_ARRAY(m_id,
                         m_incarnation,
                         m_heartbeatCount,
                         m_revision,
                         m_role,
                         m_region,
                         m_failureDomain,
                         m_service,
                         m_peers.m_host,
                         m_peers.m_port,
                         m_callers.m_host,
                         m_callers.m_port,
                         m_requestsPerSecond,
                         m_isReady,
                         m_isLeaving);
};

/// The fields of a member that change continuously, for receivers that already know the member.
struct HeartbeatDigest
{
    std::uint32_t m_incarnation = 0; ///< Random for each start of a process, so it also identifies the member.
    std::uint64_t m_heartbeatCount = 0;
    std::uint32_t m_revision = 0;
    std::uint32_t m_requestsPerSecond = 0;

    bool operator==(const HeartbeatDigest &) const = default;

    MSGPACK_DEFINE_ARRAY(m_incarnation, m_heartbeatCount, m_revision, m_requestsPerSecond);
};

/// Times without a heartbeat after which a member is replaced, counted as dead or removed.
struct MembershipSettings
{
    /// A member silent for this long counts as dead. Eight heartbeat intervals, because some heartbeats are lost or arrive only through others.
    Core::Duration m_heartbeatTimeout{4000};
    /**
     * Multiplied by the number of members of the role; used if the product exceeds m_heartbeatTimeout. A heartbeat carries digests of 40 members, and an
     * entry receives six heartbeats a second: with 150 entries it hears of each one 1.6 times a second, and misses one for 10 s in one of ten million
     * windows of that length.
     */
    Core::Duration m_heartbeatTimeoutPerMember{70};
    Core::Duration m_removalTimeout{20000}; ///< A member silent for this long is removed from the table.
    Core::Duration m_replacementTimeout{1500}; ///< An incarnation silent for this long may be replaced by a different one that others report.

    bool operator==(const MembershipSettings &) const = default;
};

/// Used by one thread.
class Membership
{
public:
    explicit Membership(std::string self, MembershipSettings settings = {});

    /// Merges a received description. @p isDirect: it came from the member itself. Returns whether the member is new, or has changed in more than its
    /// heartbeat count and request rate.
    bool merge(const Member &member, bool isDirect, Core::Instant now);
    /// Merges digests received from other members. Returns the incarnations that are unknown or known only with an older revision.
    std::vector<std::uint32_t> mergeDigests(const std::vector<HeartbeatDigest> &digests, Core::Instant now);
    /// Records that an incarnation is alive, from a message other than a heartbeat.
    void markAlive(std::uint32_t incarnation, Core::Instant now);
    bool contains(std::uint32_t incarnation) const;
    /// Returns the members with the given incarnations; unknown ones are skipped.
    std::vector<Member> find(const std::vector<std::uint32_t> &incarnations) const;
    /// Returns every other member that is not dead, in order of id.
    std::vector<Member> alive(Core::Instant now) const;
    std::vector<Member> alive(Role role, Core::Instant now) const;
    /// Returns the members of the role that are in the table, alive or not. Different processes agree on them better than on which ones are alive.
    std::vector<Member> known(Role role) const;
    std::size_t countAlive(Core::Instant now) const;
    /// Returns the number of other members in the table, including dead ones that have not been removed yet.
    std::size_t countKnown() const
    {
        return m_knownMembers.size();
    }
    /// Returns digests of up to @p count live members, chosen at random; only of @p role if it is given.
    std::vector<HeartbeatDigest> sampleDigests(std::size_t count, std::optional<Role> role, Core::Instant now, Core::Random &random) const;
    /// Returns up to @p count live members, chosen at random.
    std::vector<Member> sample(std::size_t count, Core::Instant now, Core::Random &random) const;
    /// Removes members that have been silent for longer than the removal timeout.
    void removeExpired(Core::Instant now);

private:
    struct KnownMember
    {
        Member m_member;
        Core::Instant m_lastHeardAt; ///< When its heartbeat count last grew or it was marked alive.
    };

    void insertOrReplace(const Member &member, Core::Instant now);
    /// Returns null if no member has this incarnation.
    KnownMember *find(std::uint32_t incarnation);
    std::vector<const Member *> liveMembers(Core::Instant now) const;
    /// Times without a heartbeat after which members of each role count as dead.
    struct HeartbeatTimeouts
    {
        Core::Duration m_entry;
        Core::Duration m_agent;
    };

    HeartbeatTimeouts heartbeatTimeouts() const;

    const std::string m_self;
    const MembershipSettings m_settings;
    std::map<std::string, KnownMember> m_knownMembers; ///< By id; never contains this process.
    std::unordered_map<std::uint32_t, KnownMember *> m_byIncarnation; ///< Exactly one for each entry of m_knownMembers, to which it points.
};

}

MSGPACK_ADD_ENUM(Gossip::Role);
