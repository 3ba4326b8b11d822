/// @file Implementation of heartbeats and engine updates.

#include "LibGossip/GossipService.h"

#include "LibGossip/Discovery.h"
#include "LibWire/Pack.h"

namespace Gossip {

namespace Asio = boost::asio;

namespace {

constexpr std::size_t MinimumKnownMembers = 3; ///< With fewer live members, a process is still discovering the fleet.
/// Heartbeats list all versions declared within this time. It is a few times the time after which no request may start on an older version.
constexpr Core::Duration RecentVersionWindow{30000};
constexpr Core::Duration NewcomerAnswerInterval{200}; ///< Minimum time between large samples sent to one newcomer.
/// Number of members of each role, chosen at random, to which a process announces new declarations. Together the announcements of all entries reach each member
/// several times.
constexpr std::size_t AnnouncementFanOut = 8;
constexpr std::size_t DiscoveryFanOut = 4; ///< Hosts of engines, chosen at random, that a heartbeat goes to beside the seeds while too few members are known.

}

std::vector<std::string> readSeedHosts(Settings::Reader &section)
{
    std::vector<std::string> hosts;
    for (const Core::Address &seed : section.addresses("seeds")) {
        hosts.push_back(seed.m_host);
    }
    return hosts;
}

Wire::NodeSettings nodeSettings(const Core::Address &peers, std::size_t memoryBytes)
{
    Wire::NodeSettings settings;
    settings.m_listen = peers;
    settings.m_network.m_bindHost = peers.m_host;
    settings.m_memoryBytes = memoryBytes;
    return settings;
}

GossipService::GossipService(GossipParts parts, GossipSettings settings, Member self)
    : m_parts(parts)
    , m_settings(std::move(settings))
    , m_self(std::move(self))
    , m_members(m_self.m_id)
    , m_socket(parts.m_loop)
    , m_timer(parts.m_loop)
    , m_relayTimer(parts.m_loop)
    , m_quarantineTimer(parts.m_loop)
    , m_requestNewsTimer(parts.m_loop)
    , m_datagramsSent(parts.m_metrics.counter("gossip_datagrams_sent_total"))
    , m_datagramsBad(parts.m_metrics.counter("gossip_datagrams_bad_total"))
    , m_pulls(parts.m_metrics.counter("gossip_state_requests_total"))
    , m_pullsFailed(parts.m_metrics.counter("gossip_state_requests_failed_total"))
    , m_isAlive(std::make_shared<bool>(true))
{
}

GossipService::~GossipService()
{
    *m_isAlive = false;
}

Core::Result<void> GossipService::start()
{
    m_startedAt = Core::Clock::now();
    m_memberGrowth.m_grownAt = m_startedAt;
    try {
        const Asio::ip::udp::endpoint endpoint(Asio::ip::make_address_v4(m_self.m_peers.m_host), m_self.m_peers.m_port);
        m_socket.open(endpoint.protocol());
        m_socket.bind(endpoint);
        m_socket.non_blocking(true);
    } catch (const boost::system::system_error &error) {
        return Core::makeError(Core::ErrorCode::Unavailable, "bind datagram socket", m_self.m_peers.toString(), error.what());
    }
    receive();
    tick();
    return Core::success();
}

void GossipService::onEngineUpdates(std::function<void(const std::vector<EngineUpdate> &)> callback)
{
    m_onEngineUpdates = std::move(callback);
}

void GossipService::setLimitSource(std::function<std::vector<Placement::LimitObservation>(std::size_t)> source)
{
    m_limitSource = std::move(source);
}

void GossipService::onLimits(std::function<void(const std::vector<Placement::LimitObservation> &)> callback)
{
    m_onLimits = std::move(callback);
}

void GossipService::onMembersChanged(std::function<void()> callback)
{
    m_onMembersChanged = std::move(callback);
}

void GossipService::receive()
{
    m_socket.async_receive_from(Asio::buffer(m_buffer), m_datagramSender, [this, alive = m_isAlive](const boost::system::error_code &error, std::size_t size) {
        if (!*alive || error == Asio::error::operation_aborted) {
            return;
        }
        // An error here reports that an earlier datagram found no listener; the next receive may succeed.
        if (!error) {
            handleDatagram(std::string_view(m_buffer.data(), size));
        }
        receive();
    });
}

void GossipService::handleDatagram(std::string_view bytes)
{
    const Core::Result<Heartbeat> heartbeat = Wire::unpack<Heartbeat>(bytes, m_datagramSender.address().to_string());
    if (!heartbeat) {
        m_datagramsBad.add();
        return;
    }
    handleHeartbeat(heartbeat.value());
}

void GossipService::handleHeartbeat(const Heartbeat &heartbeat)
{
    const Core::Instant now = Core::Clock::now();
    bool isChanged = m_members.merge(heartbeat.m_sender, true, now);
    if (isChanged) {
        Telemetry::LogLine line("member");
        line.text("id", heartbeat.m_sender.m_id).flag("ready", heartbeat.m_sender.m_isReady).flag("leaving", heartbeat.m_sender.m_isLeaving);
        m_parts.m_log.write(line);
    }
    for (const Member &member : heartbeat.m_members) {
        isChanged = m_members.merge(member, false, now) || isChanged;
    }
    if (heartbeat.m_sender.m_role == Role::Entry) {
        m_lastEntryHeartbeatAt = now;
        m_reportedEntryCount = addReport(m_reportedEntryCount, heartbeat.m_entryCount, now);
    }
    m_reportedMemberCount = addReport(m_reportedMemberCount, heartbeat.m_knownMemberCount, now);
    applyDeclarations(heartbeat.m_weights, heartbeat.m_evacuations);
    requestMembers(m_members.mergeDigests(heartbeat.m_digests, now), heartbeat.m_sender);
    sendMembers(heartbeat.m_requestedMembers, heartbeat.m_sender);
    handleEngineUpdates(heartbeat);
    if (m_onLimits && !heartbeat.m_limits.empty()) {
        m_onLimits(heartbeat.m_limits);
    }
    mergeQuarantine(heartbeat);
    pullOrConfirmState(heartbeat);
    answerNewcomer(heartbeat);
    if (isChanged && m_onMembersChanged) {
        m_memberGrowth = addKnownCount(m_memberGrowth, m_members.countAlive(now), now);
        m_onMembersChanged();
    }
}

bool GossipService::knowsMostMembers() const
{
    const Core::Instant now = Core::Clock::now();
    return Gossip::knowsMostMembers(m_members.countAlive(now), m_reportedMemberCount, std::chrono::duration_cast<Core::Duration>(now - m_startedAt));
}

bool GossipService::mayDivideByMembers() const
{
    return isGrowthOver(m_memberGrowth, Core::Clock::now()) && knowsMostMembers();
}

void GossipService::setEntryCount(std::size_t count)
{
    m_entryCount = static_cast<std::uint32_t>(count);
}

bool GossipService::hasOtherSeeds() const
{
    return std::any_of(m_settings.m_seedHosts.begin(), m_settings.m_seedHosts.end(), [this](const std::string &host) { return host != m_self.m_peers.m_host; });
}

/// Requests full descriptions of members that are known only by a digest. In a large fleet, random samples alone take a minute to cover all members.
void GossipService::requestMembers(std::vector<std::uint32_t> incarnations, const Member &source)
{
    std::erase(incarnations, m_self.m_incarnation);
    if (incarnations.empty()) {
        return;
    }
    incarnations.resize(std::min(incarnations.size(), m_settings.m_sampledForNewcomers));
    Heartbeat request = makeHeartbeat(0);
    request.m_requestedMembers = std::move(incarnations);
    sendTo(source.m_peers, Wire::pack(request));
}

void GossipService::sendMembers(std::vector<std::uint32_t> incarnations, const Member &requester)
{
    incarnations.resize(std::min(incarnations.size(), m_settings.m_sampledForNewcomers));
    if (incarnations.empty()) {
        return;
    }
    Heartbeat answer = makeHeartbeat(0);
    answer.m_members = m_members.find(incarnations);
    sendTo(requester.m_peers, Wire::pack(answer));
}

void GossipService::handleEngineUpdates(const Heartbeat &heartbeat)
{
    const bool isDirect = heartbeat.m_sender.m_role == Role::Agent;
    const Core::Instant now = Core::Clock::now();
    std::vector<EngineUpdate> newer;
    for (const EngineUpdate &update : heartbeat.m_engineUpdates) {
        if (!recordIfNewer(update)) {
            continue;
        }
        m_members.markAlive(update.m_agentIncarnation, now);
        newer.push_back(update);
        if (isDirect && m_self.m_role == Role::Entry) {
            queueForRelay(update);
        }
    }
    if (!newer.empty() && m_onEngineUpdates) {
        m_onEngineUpdates(newer);
    }
}

bool GossipService::recordIfNewer(const EngineUpdate &update)
{
    std::uint64_t &newest = m_receivedSequenceNumbers[update.m_agentIncarnation]; // Sequence numbers start at 1.
    if (update.m_sequenceNumber <= newest) {
        return false;
    }
    newest = update.m_sequenceNumber;
    return true;
}

std::vector<Member> GossipService::membersInOwnDomain(Role role) const
{
    std::vector<Member> members = m_members.alive(role, Core::Clock::now());
    std::erase_if(members, [this](const Member &member) { return member.m_failureDomain != m_self.m_failureDomain; });
    return members;
}

void GossipService::queueForRelay(const EngineUpdate &update)
{
    m_relayQueue.push_back(update);
    if (m_relayQueue.size() > 1) {
        return; // The timer is already running.
    }
    m_relayTimer.expires_after(m_settings.m_relayDelay);
    m_relayTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code &error) {
        if (*alive && !error) {
            relayQueued();
        }
    });
}

void GossipService::relayQueued()
{
    const std::vector<Member> entries = membersInOwnDomain(Role::Entry);
    const bool isRelay = relaysReports(entries.size() + 1, m_settings.m_reportFanOut);
    for (std::size_t first = 0; isRelay && first < m_relayQueue.size(); first += m_settings.m_relayBatchSize) {
        const std::size_t end = std::min(m_relayQueue.size(), first + m_settings.m_relayBatchSize);
        Heartbeat heartbeat = makeHeartbeat(0);
        heartbeat.m_engineUpdates.assign(m_relayQueue.begin() + static_cast<std::ptrdiff_t>(first), m_relayQueue.begin() + static_cast<std::ptrdiff_t>(end));
        const std::string encoded = Wire::pack(heartbeat);
        for (const Member &entry : entries) {
            sendTo(entry.m_peers, encoded);
        }
    }
    m_relayQueue.clear();
}

void GossipService::answerNewcomer(const Heartbeat &heartbeat)
{
    constexpr double newcomerRatio = 0.7; // A process that knows a smaller share of the local member count is a newcomer.
    const std::function<bool(std::size_t)> knowsFarFewer = [&heartbeat](std::size_t known) {
        return static_cast<double>(heartbeat.m_knownMemberCount) < static_cast<double>(known) * newcomerRatio;
    };
    const Core::Instant now = Core::Clock::now();
    // An entry may know all agents and no other entry. It counts itself.
    const bool knowsNoEntry = heartbeat.m_sender.m_role == Role::Entry && heartbeat.m_entryCount <= 1;
    // countAlive() visits every member, and nearly every datagram comes from a process that knows about as many members as this one. The cheaper check is
    // therefore first.
    const bool isNewcomer = knowsFarFewer(m_members.countKnown()) && knowsFarFewer(m_members.countAlive(now));
    if (!isNewcomer && !(knowsNoEntry && m_members.alive(Role::Entry, now).size() > 1)) {
        return;
    }
    Core::Instant &lastAnswerAt = m_newcomerAnswerTimes[heartbeat.m_sender.m_id];
    if (now - lastAnswerAt < NewcomerAnswerInterval) {
        return;
    }
    lastAnswerAt = now;
    sendTo(heartbeat.m_sender.m_peers, Wire::pack(makeHeartbeat(m_settings.m_sampledForNewcomers)));
}

Heartbeat GossipService::makeHeartbeat(std::size_t sampledMembers)
{
    const Core::Instant now = Core::Clock::now();
    ++m_self.m_heartbeatCount;
    Heartbeat heartbeat;
    heartbeat.m_sender = m_self;
    heartbeat.m_knownMemberCount = static_cast<std::uint32_t>(m_members.countAlive(now));
    heartbeat.m_entryCount = m_entryCount;
    heartbeat.m_configurationRevisionOffset = m_parts.m_fleetState.declarations().configurationRevisionOffset();
    heartbeat.m_endpointsRevisionOffset = m_parts.m_fleetState.endpointsRevisionOffset();
    const std::optional<Core::Duration> age = listAge();
    heartbeat.m_listAgeMilliseconds = age ? std::optional<std::uint64_t>(age->count()) : std::nullopt;
    for (const Fleet::DeclaredWeights &declared : m_parts.m_fleetState.declarations().m_weights) {
        // A process that has just started finds only the newest version in the log, although the deadline of the previous one may be near.
        for (const std::pair<std::uint64_t, Core::Duration> &recent : m_parts.m_versions.recentVersions(declared.m_model, RecentVersionWindow, now)) {
            if (recent.first != declared.m_version) {
                const Fleet::DeclaredWeights older{declared.m_model, recent.first, 0};
                heartbeat.m_weights.push_back(AgedWeights{older, static_cast<std::uint64_t>(recent.second.count())});
            }
        }
        const std::optional<Core::Duration> knownAge = m_parts.m_versions.knownAge(declared.m_model, declared.m_version, now);
        const std::optional<std::uint64_t> milliseconds = knownAge ? std::optional<std::uint64_t>(knownAge->count()) : std::nullopt;
        heartbeat.m_weights.push_back(AgedWeights{declared, milliseconds});
    }
    heartbeat.m_evacuations = m_parts.m_fleetState.declarations().m_evacuations;
    const std::optional<Core::Instant> &confirmed = m_parts.m_fleetState.declarationsConfirmedAsOf();
    if (confirmed) {
        heartbeat.m_declarationsAgeMilliseconds = static_cast<std::uint64_t>(std::chrono::duration_cast<Core::Duration>(now - *confirmed).count());
    }
    heartbeat.m_verdictDigest = m_quarantine.m_verdictDigest ? m_quarantine.m_verdictDigest() : 0;
    heartbeat.m_hasStoredVerdicts = m_hasStoredVerdicts;
    heartbeat.m_members = m_members.sample(sampledMembers, now, m_parts.m_random);
    return heartbeat;
}

void GossipService::sendTo(const Core::Address &peer, const std::string &encoded)
{
    boost::system::error_code error;
    const Asio::ip::address_v4 host = Asio::ip::make_address_v4(peer.m_host, error);
    if (!error) {
        m_socket.send_to(Asio::buffer(encoded), Asio::ip::udp::endpoint(host, peer.m_port), 0, error);
    }
    // A failed send is treated like a lost datagram: the next heartbeat makes up for it.
    m_datagramsSent.add(error ? 0 : 1);
}

std::vector<Core::Address> GossipService::sampleTargets(Role role)
{
    std::vector<Member> chosen = membersInOwnDomain(role);
    Core::keepRandom(chosen, m_settings.m_ownDomainFanOut, m_parts.m_random);
    std::vector<Member> others = m_members.alive(role, Core::Clock::now());
    Core::keepRandom(others, m_settings.m_fleetFanOut, m_parts.m_random);
    chosen.insert(chosen.end(), others.begin(), others.end());
    std::vector<Core::Address> targets;
    for (const Member &member : chosen) {
        targets.push_back(member.m_peers);
    }
    return targets;
}

std::vector<Core::Address> GossipService::seedTargets() const
{
    const Core::Instant now = Core::Clock::now();
    std::vector<Core::Address> targets;
    if (m_members.countAlive(now) >= MinimumKnownMembers && !m_members.alive(Role::Entry, now).empty()) {
        return targets;
    }
    std::vector<std::string> hosts = agentHosts(m_parts.m_fleetState);
    Core::keepRandom(hosts, DiscoveryFanOut, m_parts.m_random);
    hosts.insert(hosts.end(), m_settings.m_seedHosts.begin(), m_settings.m_seedHosts.end());
    for (const std::string &host : hosts) {
        if (host != m_self.m_peers.m_host) {
            targets.push_back(Core::Address{host, m_self.m_peers.m_port});
        }
    }
    return targets;
}

void GossipService::sendHeartbeatTo(Heartbeat heartbeat, const std::vector<Core::Address> &targets)
{
    const std::string encoded = Wire::pack(heartbeat);
    for (const Core::Address &target : targets) {
        sendTo(target, encoded);
    }
}

void GossipService::sendEntryHeartbeats()
{
    const Core::Instant now = Core::Clock::now();
    Heartbeat heartbeat = makeHeartbeat(m_settings.m_sampledMembers);
    if (m_limitSource) {
        heartbeat.m_limits = m_limitSource(m_settings.m_sampledLimits);
    }
    if (m_quarantine.m_sample) {
        heartbeat.m_quarantine = m_quarantine.m_sample(Quarantine::RegularSample);
        fitObservations(heartbeat, m_settings);
    }
    // Entries already learn of live agents from their engine updates.
    heartbeat.m_digests = m_members.sampleDigests(remainingDigests(heartbeat, m_settings), Role::Entry, now, m_parts.m_random);
    sendHeartbeatTo(heartbeat, sampleTargets(Role::Entry));
    heartbeat.m_limits.clear(); // Agents send no requests.
    heartbeat.m_quarantine = {};
    heartbeat.m_digests = m_members.sampleDigests(m_settings.m_sampledDigests, std::nullopt, now, m_parts.m_random);
    sendHeartbeatTo(heartbeat, sampleTargets(Role::Agent));
    sendHeartbeatTo(std::move(heartbeat), seedTargets());
}

void GossipService::sendAgentHeartbeats(ReportUrgency urgency)
{
    Heartbeat heartbeat = makeHeartbeat(0);
    std::vector<Core::Address> targets = seedTargets();
    std::vector<Core::Address> entries;
    if (m_engineUpdate) {
        heartbeat.m_engineUpdates = {*m_engineUpdate};
        entries = reportTargets(m_members.alive(Role::Entry, Core::Clock::now()), m_self.m_failureDomain, urgency, m_settings.m_reportFanOut, m_parts.m_random);
    } else {
        entries = sampleTargets(Role::Entry);
    }
    targets.insert(targets.end(), entries.begin(), entries.end());
    sendHeartbeatTo(std::move(heartbeat), targets);
}

void GossipService::sendHeartbeats(ReportUrgency urgency)
{
    if (m_self.m_role == Role::Entry) {
        sendEntryHeartbeats();
    } else {
        sendAgentHeartbeats(urgency);
    }
}

void GossipService::tick()
{
    const Core::Instant now = Core::Clock::now();
    m_members.removeExpired(now);
    std::erase_if(m_receivedSequenceNumbers, [this](const std::pair<const std::uint32_t, std::uint64_t> &newest) { return !m_members.contains(newest.first); });
    std::erase_if(m_newcomerAnswerTimes,
                  [now](const std::pair<const std::string, Core::Instant> &entry) { return now - entry.second > NewcomerAnswerInterval; });
    m_memberGrowth = addKnownCount(m_memberGrowth, m_members.countAlive(now), now);
    sendHeartbeats(ReportUrgency::Regular);
    if (m_onMembersChanged) {
        m_onMembersChanged();
    }
    const bool isDiscovering = m_members.countAlive(now) < MinimumKnownMembers;
    m_timer.expires_after(isDiscovering ? m_settings.m_discoveryInterval : m_settings.m_interval);
    m_timer.async_wait([this, alive = m_isAlive](const boost::system::error_code &error) {
        if (*alive && !error) {
            tick();
        }
    });
}

void GossipService::setReady(bool isReady)
{
    if (m_self.m_isReady != isReady) {
        m_self.m_isReady = isReady;
        ++m_self.m_revision;
        sendHeartbeats(ReportUrgency::Regular);
    }
}

void GossipService::setRequestRate(std::uint32_t perSecond)
{
    m_self.m_requestsPerSecond = perSecond;
}

void GossipService::setSeedHosts(std::vector<std::string> hosts)
{
    m_settings.m_seedHosts = std::move(hosts);
}

void GossipService::announceLeaving()
{
    m_self.m_isLeaving = true;
    m_self.m_isReady = false;
    ++m_self.m_revision;
    const std::string encoded = Wire::pack(makeHeartbeat(0));
    for (const Member &member : m_members.alive(Core::Clock::now())) {
        sendTo(member.m_peers, encoded);
    }
}

void GossipService::setEngineUpdate(EngineUpdate update, ReportUrgency urgency)
{
    update.m_agentIncarnation = m_self.m_incarnation;
    update.m_sequenceNumber = ++m_ownSequenceNumber;
    m_engineUpdate = std::move(update);
    if (urgency != ReportUrgency::Regular) {
        sendHeartbeats(urgency);
    }
}

void GossipService::sendHeartbeatsTo(const std::vector<Member> &members)
{
    if (members.empty()) {
        return;
    }
    const std::string encoded = Wire::pack(makeHeartbeat(0));
    for (const Member &member : members) {
        sendTo(member.m_peers, encoded);
    }
}

void GossipService::announceStateChange()
{
    const Core::Instant now = Core::Clock::now();
    std::vector<Member> targets = membersInOwnDomain(Role::Entry);
    for (const Role role : {Role::Entry, Role::Agent}) {
        std::vector<Member> others = m_members.alive(role, now);
        Core::keepRandom(others, AnnouncementFanOut, m_parts.m_random);
        targets.insert(targets.end(), others.begin(), others.end());
    }
    sendHeartbeatsTo(targets);
}

void GossipService::announceStateChangeToAgents()
{
    std::vector<Member> agents = m_members.alive(Role::Agent, Core::Clock::now());
    Core::keepRandom(agents, AnnouncementFanOut, m_parts.m_random);
    sendHeartbeatsTo(agents);
}

std::optional<Core::Duration> GossipService::timeSinceEntryHeartbeat() const
{
    if (!m_lastEntryHeartbeatAt) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - *m_lastEntryHeartbeatAt);
}

}
