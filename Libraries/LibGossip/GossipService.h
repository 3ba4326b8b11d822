/// @file Heartbeats among the system's processes, and the state that they hand each other.
#pragma once

#include "LibCore/Random.h"
#include "LibGossip/DeclarationAge.h"
#include "LibGossip/Messages.h"
#include "LibGossip/ReportFanOut.h"
#include "LibHttp/EventLoop.h"
#include "LibPlacement/VersionDeadlines.h"
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
    std::vector<std::string> m_seedHosts; ///< Instances to begin with; their processes use the same port as this one. May be stale.
    Core::Duration m_interval{500}; ///< Between heartbeats.
    Core::Duration m_discoveryInterval{150}; ///< Between heartbeats while few members are known.
    /// Members of its own failure domain that an entry's heartbeat goes to, for each role: callers are told of these first, and the links are its own.
    std::size_t m_ownDomainFanOut = 2;
    std::size_t m_fleetFanOut = 1; ///< The same among all members.
    std::size_t m_sampledMembers = 6; ///< Others that a heartbeat names: with the rest, half a datagram.
    std::size_t m_sampledDigests = 40; ///< Members of which a heartbeat has a note only: what fits beside the others.
    std::size_t m_sampledForNewcomers = 11; ///< The same for a process that knows few: what fits into a datagram of 1,400 bytes.
    Core::Duration m_pullInterval{300}; ///< Least time between two requests for state.
    Core::Duration m_pullTimeout{1000};
    ReportFanOut m_reportFanOut;
    Core::Duration m_relayDelay{60}; ///< For which reports that are to be passed on are collected: a fraction of their interval.
    std::size_t m_relayBatchSize = 10; ///< Reports in one datagram: what fits into 1,400 bytes.

    bool operator==(const GossipSettings &) const = default;
};

/// Hosts of the addresses under "seeds"; their ports may belong to other interfaces.
std::vector<std::string> readSeedHosts(Settings::Reader &section);

/// Settings of a node that listens on @p peers and calls from the same host.
Wire::NodeSettings nodeSettings(const Core::Address &peers);

/// What the service works with. Everything outlives it.
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
 * Spreads membership, declared weights and engines' loads by datagrams, and fetches configuration and endpoints from a peer that has newer ones.
 *
 * Datagrams fit where a lost message is made up for by the next one; a connection that has gone silent would hide for seconds what a missing
 * heartbeat shows at once. State goes over a call, since it must come whole. Used on the loop's thread, but for the node's handlers.
 */
class GossipService
{
public:
    GossipService(GossipParts parts, GossipSettings settings, Member self);
    ~GossipService();

    GossipService(const GossipService &) = delete;
    GossipService &operator=(const GossipService &) = delete;

    /// Registers the method fleet.state; before the node is started.
    void registerMethods();
    Core::Result<void> start();

    /// Called after state from a peer has been applied.
    void onStateApplied(std::function<void(const Fleet::FleetStateUpdate &update)> callback);
    /// Called with the engine reports of a datagram that are newer than all before.
    void onEngineUpdates(std::function<void(const std::vector<EngineUpdate> &news)> callback);
    /// Called when the set of live members may have changed.
    void onMembersChanged(std::function<void()> callback);

    void setReady(bool isReady);
    /// Requests of callers per second, told with the next heartbeats.
    void setRequestRate(std::uint32_t perSecond);
    /// Replaces the instances to begin with, as changed settings say.
    void setSeedHosts(std::vector<std::string> hosts);
    /// Tells everybody at once that this process takes no new work.
    void announceLeaving();
    /// Sends this engine report with the next heartbeats, and now unless it is ReportUrgency::Regular.
    void setEngineUpdate(EngineUpdate news, ReportUrgency urgency);
    /// Sends a heartbeat to many, since the beliefs have changed.
    void announceStateChange();
    /// The same to agents alone, on news that came from a peer. Few entries read the log, and what they send reaches two in five agents; the others would
    /// begin to draw a new version up to half a second later.
    void announceStateChangeToAgents();
    /// Notes that the list of endpoints is known here as of @p asked, and tells the entries nearby, which then need not read it.
    void announceListRead(Core::Instant asked);
    /// Time since what is known here of the list was known to be its newest state; empty if it never was.
    std::optional<Core::Duration> listAge() const;
    /// Asked since when entries may have lapsed from the list as known here; empty if they have not.
    void setListUncertaintyQuery(std::function<std::optional<Core::Instant>()> doubtfulSince);
    /// Asks a live entry for what it knows, since the log is out of reach.
    void pullFromAnyEntry();

    const Member &self() const
    {
        return m_self;
    }
    const Membership &members() const
    {
        return m_members;
    }
    /// Time since any entry was heard; empty if none ever was.
    std::optional<Core::Duration> timeSinceEntryHeartbeat() const;

private:
    void receive();
    void handleDatagram(std::string_view bytes);
    void handleHeartbeat(const Heartbeat &heartbeat);
    void applyWeights(const std::vector<AgedWeights> &weights);
    void requestMembers(std::vector<std::uint32_t> incarnations, const Member &knower);
    void sendMembers(std::vector<std::uint32_t> incarnations, const Member &asker);
    void pullOrConfirmState(const Heartbeat &heartbeat);
    void confirmList(Core::Instant at);
    void recordAge(const AgedWeights &aged, Core::Instant now);
    void handleEngineUpdates(const Heartbeat &heartbeat);
    /// Whether a report is newer than all that were heard of its engine's agent.
    bool recordIfNewer(const EngineUpdate &news);
    void queueForRelay(const EngineUpdate &news);
    void relayQueued();
    void tick();
    void sendHeartbeats(ReportUrgency urgency);
    /// With @p sampled members in full and without notes.
    Heartbeat makeHeartbeat(std::size_t sampled);
    void sendTo(const Core::Address &peer, const std::string &encoded);
    void sendHeartbeatTo(Heartbeat heartbeat, const std::vector<Core::Address> &targets);
    void sendEntryHeartbeats();
    void sendAgentHeartbeats(ReportUrgency urgency);
    /// The seeds, if this process still has to find the others.
    std::vector<Core::Address> seedTargets() const;
    /// Some members of a role, near ones above all.
    std::vector<Core::Address> sampleTargets(Role role);
    std::vector<Member> membersInOwnDomain(Role role) const;
    void pullFrom(const Core::Address &peer);
    void handleStateAnswer(Core::Result<StateAnswer> answer);
    StateAnswer makeStateAnswer(const StateRequest &request) const;
    void answerNewcomer(const Heartbeat &heartbeat);

    const GossipParts m_parts;
    GossipSettings m_settings;
    Member m_self;
    Membership m_members;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_datagramSender;
    std::array<char, 2048> m_buffer; ///< Larger than any datagram of ours.
    Http::Timer m_timer;
    std::optional<EngineUpdate> m_engineUpdate;
    std::uint64_t m_ownSequenceNumber = 0; ///< Of the newest report of this agent.
    std::unordered_map<std::uint32_t, std::uint64_t> m_receivedSequenceNumbers; ///< Number of the newest report, by incarnation of the agent.
    std::vector<EngineUpdate> m_relayQueue;
    Http::Timer m_relayTimer;
    std::optional<Core::Instant> m_lastEntryHeartbeatAt;
    Core::Instant m_nextPull;
    std::map<std::string, Core::Instant> m_newcomerAnswerTimes; ///< When a newcomer was last sent a large sample; pruned with each heartbeat.
    bool m_isPulling = false;
    std::function<void(const Fleet::FleetStateUpdate &)> m_onStateApplied;
    LogSyncState m_logSyncState; ///< When what is known of the list was known to be its newest state.
    std::function<std::optional<Core::Instant>()> m_listUncertainSince;
    std::function<void(const std::vector<EngineUpdate> &)> m_onEngineUpdates;
    std::function<void()> m_onMembersChanged;
    Telemetry::Counter &m_datagramsSent;
    Telemetry::Counter &m_datagramsBad;
    Telemetry::Counter &m_pulls;
    Telemetry::Counter &m_pullsFailed;
    std::shared_ptr<bool> m_isAlive; ///< False once the service is gone; callbacks of the node and the loop can outlive it.
};

}
