/// @file Exchanges heartbeats and fleet state between the processes of the system.
#pragma once

#include "LibCore/Random.h"
#include "LibGossip/DeclarationAge.h"
#include "LibGossip/MemberCount.h"
#include "LibGossip/Messages.h"
#include "LibGossip/ReportFanOut.h"
#include "LibHttp/EventLoop.h"
#include "LibPlacement/VersionDeadlines.h"
#include "LibQuarantine/PartQuarantine.h"
#include "LibSettings/Reader.h"
#include "LibTelemetry/EventLog.h"
#include "LibTelemetry/Metrics.h"
#include "LibWire/Node.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace Gossip {

struct GossipSettings
{
    std::vector<std::string> m_seedHosts; ///< Hosts to contact first; their processes listen on the same port as this one. May be out of date.
    Core::Duration m_interval{500}; ///< Time between heartbeats.
    Core::Duration m_discoveryInterval{150}; ///< Time between heartbeats while few members are known.
    /// Number of members of each role in the sender's own failure domain to which each heartbeat is sent. Callers are directed to the entries of their own
    /// failure domain first, and these heartbeats stay on the domain's own links.
    std::size_t m_ownDomainFanOut = 2;
    std::size_t m_fleetFanOut = 1; ///< Number of members of each role in the whole fleet to which each heartbeat is sent.
    std::size_t m_sampledMembers = 6; ///< Members that a heartbeat describes in full; with the other fields they fill half a datagram.
    std::size_t m_sampledLimits = 6; ///< Limits of endpoints in a heartbeat between entries.
    std::size_t m_digestsPerLimit = 3; ///< Digests that a limit takes the place of, so that the datagram does not grow.
    std::size_t m_digestsPerVerdict = 13; ///< Digests that a verdict takes the place of.
    std::size_t m_digestsPerCrash = 6;
    std::size_t m_digestsPerCompletion = 4;
    Core::Duration m_quarantineDelay{80}; ///< Time for which news of the quarantine is collected before it is sent.
    Core::Duration m_requestNewsDelay{5}; ///< The same for crashes under single requests: the callers may send them again at once, to another entry.
    Core::Duration m_verdictPullInterval{1000}; ///< Minimum time between two state requests because of verdicts that differ.
    std::size_t m_sampledDigests = 40; ///< Members that a heartbeat lists as digests; as many as fit beside the full descriptions.
    std::size_t m_sampledForNewcomers = 11; ///< Members described in full to a process that knows few; as many as fit into a datagram of 1,400 bytes.
    Core::Duration m_pullInterval{300}; ///< Minimum time between two state requests.
    Core::Duration m_pullTimeout{600}; ///< Several times the round trip of a busy peer; after it another peer can still be asked in time for a change.
    std::size_t m_maximumPullsInRow = 3; ///< State requests that follow each other without a new heartbeat while they fail.
    ReportFanOut m_reportFanOut;
    Core::Duration m_relayDelay{60}; ///< Time for which engine updates are collected before they are relayed; a fraction of the interval between updates.
    std::size_t m_relayBatchSize = 10; ///< Engine updates in one datagram; as many as fit into 1,400 bytes.

    bool operator==(const GossipSettings &) const = default;
};

/// Returns the hosts of the addresses under "seeds". The ports are ignored because they may belong to other interfaces.
std::vector<std::string> readSeedHosts(Settings::Reader &section);

/// Returns the number of digests that fit beside the limits and observations of a heartbeat.
std::size_t remainingDigests(const Heartbeat &heartbeat, const GossipSettings &settings);
/// Removes observations from a heartbeat until they fit in place of digests: first crashes, which are told at once, too.
void fitObservations(Heartbeat &heartbeat, const GossipSettings &settings);

/// Returns the settings of a node that listens on @p peers and makes its calls from the same host. @p memoryBytes: limit on what it holds for its peers.
Wire::NodeSettings nodeSettings(const Core::Address &peers, std::size_t memoryBytes);

/// Access to the quarantine of an entry.
struct QuarantineAccess
{
    std::function<Quarantine::Observations(Quarantine::SampleSize size)> m_sample;
    std::function<Quarantine::Observations(Quarantine::SampleSize size)> m_takeNews;
    std::function<bool()> m_hasNews;
    std::function<Quarantine::Observations()> m_takeRequestNews;
    std::function<bool()> m_hasRequestNews;
    std::function<Quarantine::Observations()> m_state;
    std::function<std::uint64_t()> m_verdictDigest;
    std::function<void(const Quarantine::Observations &observations)> m_merge;
};

/// Objects that the service uses. All of them must outlive it.
struct GossipParts
{
    Http::EventLoop &m_loop;
    Wire::Node &m_node;
    Fleet::FleetState &m_fleetState;
    Placement::VersionDeadlines &m_versions;
    Telemetry::Metrics &m_metrics;
    Telemetry::EventLog &m_log;
    Core::Random &m_random;
};

/**
 * Spreads membership, declared weights and engine load by datagrams, and fetches configuration and endpoints from a peer that has newer ones.
 *
 * Heartbeats use datagrams because the next heartbeat makes up for a lost one, and because a missing heartbeat reveals a failure at once, while a silent
 * connection would hide it for seconds. State is transferred by calls because it must arrive complete. Used on the loop's thread, except for the handlers
 * that the node calls.
 */
class GossipService
{
public:
    GossipService(GossipParts parts, GossipSettings settings, Member self);
    ~GossipService();

    GossipService(const GossipService &) = delete;
    GossipService &operator=(const GossipService &) = delete;

    /// Registers the method fleet.state. Must be called before the node is started.
    void registerMethods();
    Core::Result<void> start();

    /// Sets the callback that is called after state from a peer has been applied.
    void onStateApplied(std::function<void(const Fleet::FleetStateUpdate &update)> callback);
    /// Sets the callback that receives the engine updates of a datagram that are newer than all earlier ones.
    void onEngineUpdates(std::function<void(const std::vector<EngineUpdate> &updates)> callback);
    /// Sets the function that returns up to @p count limits of endpoints to tell other entries.
    void setLimitSource(std::function<std::vector<Placement::LimitObservation>(std::size_t count)> source);
    /// Sets the callback that receives the limits that another entry tells.
    void onLimits(std::function<void(const std::vector<Placement::LimitObservation> &observations)> callback);
    /// Sets the quarantine whose observations are exchanged with other entries.
    void setQuarantine(QuarantineAccess access);
    /// Returns whether the quarantine's verdicts include those that were stored when this process started, from the store or from a peer.
    bool hasStoredVerdicts() const
    {
        return m_hasStoredVerdicts;
    }
    void setHasStoredVerdicts()
    {
        m_hasStoredVerdicts = true;
    }
    /// Sends news of the quarantine to many entries, which pass on what is news to them.
    void announceQuarantine();
    /// Sends news of crashes under single requests to all entries, which do not pass them on.
    void announceRequests();
    /// Sets the callback that is called when the set of live members may have changed.
    void onMembersChanged(std::function<void()> callback);

    void setReady(bool isReady);
    /// Sets the rate of caller requests, in requests per second, that the next heartbeats report.
    void setRequestRate(std::uint32_t perSecond);
    /// Replaces the seed hosts after the settings have been reloaded.
    void setSeedHosts(std::vector<std::string> hosts);
    /// Announces to all live members at once that this process takes no new work.
    void announceLeaving();
    /// Sends @p update with the next heartbeats, and also immediately unless @p urgency is ReportUrgency::Regular.
    void setEngineUpdate(EngineUpdate update, ReportUrgency urgency);
    /// Sends a heartbeat to many entries and agents after the fleet state has changed.
    void announceStateChange();
    /// Sends a heartbeat to agents only, after a peer has delivered a change. Few entries read the log, and their announcements reach two in five agents;
    /// without this call the others would start to download a new version up to half a second later.
    void announceStateChangeToAgents();
    /// Records that the endpoint list is up to date as of @p sentAt, and sends a heartbeat to the entries of the own failure domain, which then need not
    /// read the list.
    void announceListRead(Core::Instant sentAt);
    /// Sends a heartbeat to @p members at once.
    void sendHeartbeatsTo(const std::vector<Member> &members);
    /// Returns the time since the local endpoint list was last confirmed to be up to date; empty if it never was.
    std::optional<Core::Duration> listAge() const;
    /// Sets the query that returns since when the local endpoint list may lack live endpoints, or empty if it does not.
    void setListUncertaintyQuery(std::function<std::optional<Core::Instant>()> query);
    /// Requests the state of a live entry. Used while the log is unreachable.
    void pullFromAnyEntry();

    const Member &self() const
    {
        return m_self;
    }
    const Membership &members() const
    {
        return m_members;
    }
    /// Returns the time since the last heartbeat of any entry; empty if none was ever received.
    std::optional<Core::Duration> timeSinceEntryHeartbeat() const;
    /// Returns whether this process knows nearly as many members as others report, or has been running for a while. A process that has just joined a large
    /// fleet needs a second or two to learn of all its members.
    bool knowsMostMembers() const;
    /// Returns whether this process may divide limits on what all members do by the number that it knows. Other than knowsMostMembers(), this is false for a
    /// while if all members have started together.
    bool mayDivideByMembers() const;
    /// Sets the number of entries in this entry's roster, itself included, which the next heartbeats report.
    void setEntryCount(std::size_t count);
    /// Returns the largest number of entries that another entry has reported recently; 0 if none has.
    std::size_t reportedEntryCount() const
    {
        return m_reportedEntryCount.m_count;
    }
    /// Returns whether the settings name hosts of other processes.
    bool hasOtherSeeds() const;

private:
    void receive();
    void handleDatagram(std::string_view bytes);
    void handleHeartbeat(const Heartbeat &heartbeat);
    void applyDeclarations(const std::vector<AgedWeights> &weights, const std::vector<Fleet::Evacuation> &evacuations);
    void requestMembers(std::vector<std::uint32_t> incarnations, const Member &source);
    void sendMembers(std::vector<std::uint32_t> incarnations, const Member &requester);
    void pullOrConfirmState(const Heartbeat &heartbeat);
    void confirmList(Core::Instant confirmedAt);
    void recordAge(const AgedWeights &aged, Core::Instant now);
    void handleEngineUpdates(const Heartbeat &heartbeat);
    /// Records the sequence number of @p update if it is newer than all earlier ones of the same agent. Returns whether it is.
    bool recordIfNewer(const EngineUpdate &update);
    void queueForRelay(const EngineUpdate &update);
    void relayQueued();
    void mergeQuarantine(const Heartbeat &heartbeat);
    void sendQuarantineNews();
    void sendRequestNews();
    void tick();
    void sendHeartbeats(ReportUrgency urgency);
    /// Builds a heartbeat with @p sampledMembers members described in full and without digests.
    Heartbeat makeHeartbeat(std::size_t sampledMembers);
    void sendTo(const Core::Address &peer, const std::string &encoded);
    void sendHeartbeatTo(Heartbeat heartbeat, const std::vector<Core::Address> &targets);
    void sendEntryHeartbeats();
    void sendAgentHeartbeats(ReportUrgency urgency);
    /// Returns the seeds if this process knows few members or no entry; otherwise empty.
    std::vector<Core::Address> seedTargets() const;
    /// Returns some members of a role, chosen at random from the own failure domain and from the whole fleet.
    std::vector<Core::Address> sampleTargets(Role role);
    std::vector<Member> membersInOwnDomain(Role role) const;
    void confirmDeclarations(const Heartbeat &heartbeat);
    void pullFrom(const Core::Address &peer);
    void startPull(const Core::Address &peer);
    void handleStateAnswer(Core::Result<StateAnswer> answer);
    /// Requests the state again after a failure, from another peer that has newer state if one is known.
    void pullAgain();
    void logPull(const std::optional<Core::Error> &error, std::size_t bytes);
    StateAnswer makeStateAnswer(const StateRequest &request) const;
    void answerNewcomer(const Heartbeat &heartbeat);

    const GossipParts m_parts;
    GossipSettings m_settings;
    Member m_self;
    Membership m_members;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_datagramSender;
    std::array<char, 2048> m_buffer; ///< Larger than any datagram that this system sends.
    Http::Timer m_timer;
    std::optional<EngineUpdate> m_engineUpdate;
    std::uint64_t m_ownSequenceNumber = 0; ///< Of the newest engine update of this agent.
    std::unordered_map<std::uint32_t, std::uint64_t> m_receivedSequenceNumbers; ///< Of the newest engine update, by incarnation of the agent.
    std::vector<EngineUpdate> m_relayQueue;
    Http::Timer m_relayTimer;
    std::optional<Core::Instant> m_lastEntryHeartbeatAt;
    Core::Instant m_startedAt; ///< When start() was called.
    ReportedMemberCount m_reportedMemberCount;
    ReportedMemberCount m_reportedEntryCount;
    MemberGrowth m_memberGrowth;
    std::uint32_t m_entryCount = 0; ///< In this entry's roster, itself included.
    Core::Instant m_nextPull;
    std::map<std::string, Core::Instant> m_newcomerAnswerTimes; ///< When each newcomer was last sent a large sample; pruned with each heartbeat.
    bool m_isPulling = false;
    Core::Address m_pullPeer; ///< Of the newest state request.
    Core::Instant m_pullSentAt;
    std::size_t m_failedPullsInRow = 0;
    std::optional<Core::Address> m_otherPullPeer; ///< Another peer whose heartbeat showed newer state while a request was under way.
    std::function<void(const Fleet::FleetStateUpdate &)> m_onStateApplied;
    LogSyncState m_logSyncState; ///< When the local endpoint list was known to be up to date.
    std::function<std::optional<Core::Instant>()> m_listUncertainSince;
    std::function<void(const std::vector<EngineUpdate> &)> m_onEngineUpdates;
    std::function<void()> m_onMembersChanged;
    std::function<std::vector<Placement::LimitObservation>(std::size_t)> m_limitSource;
    std::function<void(const std::vector<Placement::LimitObservation> &)> m_onLimits;
    QuarantineAccess m_quarantine; ///< Empty functions unless this is an entry.
    Http::Timer m_quarantineTimer;
    bool m_isQuarantineNewsDue = false; ///< The timer is running.
    Http::Timer m_requestNewsTimer;
    bool m_isRequestNewsDue = false; ///< The timer is running.
    Core::Instant m_nextVerdictPull;
    bool m_hasStoredVerdicts = false;
    Telemetry::Counter &m_datagramsSent;
    Telemetry::Counter &m_datagramsBad;
    Telemetry::Counter &m_pulls;
    Telemetry::Counter &m_pullsFailed;
    std::shared_ptr<bool> m_isAlive; ///< False once the service is destroyed; callbacks of the node and the loop can outlive it.
};

}
