/// @file Which processes of the system are alive, as heartbeats tell: a pure table.
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
    Agent = 1, ///< Stands beside an engine.
};

/// One process as it describes itself, with a count that grows while it lives.
struct Member
{
    std::string m_id; ///< Name of the instance.
    std::uint32_t m_incarnation = 0; ///< Random for each start of the process.
    std::uint64_t m_heartbeatCount = 0; ///< Grows with each heartbeat of an incarnation.
    std::uint32_t m_revision = 0; ///< Grows with each change of what follows, but for the rate of requests.
    Role m_role = Role::Entry;
    std::string m_region;
    std::string m_failureDomain;
    std::string m_service; ///< Of the engine beside an agent; empty for entries.
    Core::Address m_peers; ///< Where it answers other processes, by datagrams and by calls.
    Core::Address m_callers; ///< Where it answers callers; empty for agents.
    std::uint32_t m_requestsPerSecond = 0; ///< Of callers, lately; changes all the time.
    bool m_isReady = false; ///< It answers callers with an accepted configuration; or, for an agent, it is up.
    bool m_isLeaving = false; ///< It takes no new work. Stays true for an incarnation.

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

/// What changes all the time of a member, for those who know the member already.
struct HeartbeatDigest
{
    std::uint32_t m_incarnation = 0; ///< Random for each start of a process, so it names the member too.
    std::uint64_t m_heartbeatCount = 0;
    std::uint32_t m_revision = 0;
    std::uint32_t m_requestsPerSecond = 0;

    bool operator==(const HeartbeatDigest &) const = default;

    MSGPACK_DEFINE_ARRAY(m_incarnation, m_heartbeatCount, m_revision, m_requestsPerSecond);
};

/// How long a member may be silent.
struct MembershipSettings
{
    Core::Duration m_heartbeatTimeout{4000}; ///< After it a member counts as dead: eight heartbeats, of which some get lost or come by others.
    /**
     * The same for each member of its role, if that is more. A heartbeat notes 40 members, and an entry hears six a second: with 150 entries each is
     * heard of 1.6 times a second, and in one window of 10 s in ten millions not at all.
     */
    Core::Duration m_heartbeatTimeoutPerMember{70};
    Core::Duration m_removalTimeout{20000}; ///< After it the member is dropped from the table.
    Core::Duration m_replacementTimeout{1500}; ///< Hearsay of a new incarnation replaces one that was silent for so long.

    bool operator==(const MembershipSettings &) const = default;
};

/// Used by one thread.
class Membership
{
public:
    explicit Membership(std::string self, MembershipSettings settings = {});

    /// Takes what was heard. @p isFirstHand: from the member itself. True if the member is new or has changed in more than its count.
    bool merge(const Member &member, bool isFirstHand, Core::Instant now);
    /// Takes notes that were heard from others. Returns the incarnations that are unknown here, or known by an older revision.
    std::vector<std::uint32_t> mergeDigests(const std::vector<HeartbeatDigest> &beats, Core::Instant now);
    /// Takes a sign of life of an incarnation other than its count.
    void markAlive(std::uint32_t incarnation, Core::Instant now);
    bool contains(std::uint32_t incarnation) const;
    /// Those of the incarnations that are known here.
    std::vector<Member> find(const std::vector<std::uint32_t> &incarnations) const;
    /// Every other member that is not dead, in order of id.
    std::vector<Member> alive(Core::Instant now) const;
    std::vector<Member> alive(Role role, Core::Instant now) const;
    std::size_t countAlive(Core::Instant now) const;
    /// Every other member that is known, also those that are dead and not yet forgotten.
    std::size_t countKnown() const
    {
        return m_knownMembers.size();
    }
    /// Notes of up to @p count live members, chosen at random; of one role only if it is given.
    std::vector<HeartbeatDigest> sampleDigests(std::size_t count, std::optional<Role> role, Core::Instant now, Core::Random &random) const;
    /// Up to @p count live members, chosen at random.
    std::vector<Member> sample(std::size_t count, Core::Instant now, Core::Random &random) const;
    /// Drops members that have been silent for long.
    void removeExpired(Core::Instant now);

private:
    struct KnownMember
    {
        Member m_member;
        Core::Instant m_lastHeardAt; ///< When the count last grew.
    };

    void insertOrReplace(const Member &member, Core::Instant now);
    /// Null if no member has this incarnation.
    KnownMember *find(std::uint32_t incarnation);
    std::vector<const Member *> liveMembers(Core::Instant now) const;
    /// Silence after which members are dead.
    struct HeartbeatTimeouts
    {
        Core::Duration m_entry;
        Core::Duration m_agent;
    };

    HeartbeatTimeouts heartbeatTimeouts() const;

    const std::string m_self;
    const MembershipSettings m_settings;
    std::map<std::string, KnownMember> m_knownMembers; ///< By id; never holds this process.
    std::unordered_map<std::uint32_t, KnownMember *> m_byIncarnation; ///< Exactly one for each entry of m_known, to which it points.
};

/// Moves a random choice of @p count elements to the front and cuts the rest off.
template <typename T>
void keepRandom(std::vector<T> &items, std::size_t count, Core::Random &random)
{
    const std::size_t kept = std::min(count, items.size());
    for (std::size_t index = 0; index < kept; ++index) {
        std::swap(items[index], items[index + random.below(items.size() - index)]);
    }
    items.resize(kept);
}

}

MSGPACK_ADD_ENUM(Gossip::Role);
