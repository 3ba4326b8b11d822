/// @file Implementation of the swarm emulator: a loop over short time steps, in which flows share links and messages arrive after a delay.

#include "LibEmulator/SwarmEmulator.h"

#include "LibTransfer/Exchange.h"
#include "LibTransfer/UploadQueue.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <memory>
#include <queue>

namespace Emulator {

namespace {

constexpr Core::Duration Step{2};
constexpr Core::Duration DecisionInterval{6}; ///< Between decisions of a replica, after which it announces the chunks that it has received.
constexpr Core::Duration HeartbeatInterval{500};
constexpr double BytesPerMegabit = 1e6 / 8;
/// Shares of an instance's link that the agent's pacing leaves to transfers.
constexpr double UploadShare = 0.9;
constexpr double DownloadShare = 0.95;
constexpr double MessageBytes = 130; ///< Of a message between replicas, with the headers of all layers.
constexpr std::uint32_t RequestOverheadBytes = 300; ///< Headers of a request to the origin and of its answer.

double bytesPerSecond(double megabits)
{
    return megabits * BytesPerMegabit;
}

/// A chunk in transit. The sender is a replica, or the origin if it is empty.
struct Flow
{
    std::optional<std::size_t> m_sender;
    std::size_t m_receiver = 0;
    Transfer::RequestId m_request = 0;
    Weights::ChunkIndex m_chunk = 0;
    double m_remainingBytes = 0;
    double m_rate = 0; ///< In bytes per second.
    bool m_isCancelled = false;
    Core::Instant m_pushedAt; ///< When the sender's pacing has passed the complete chunk to the connection, and the sender begins with the next one.
    bool m_isPushed = false;
};

struct QueuedRequest
{
    Transfer::QueuedUpload m_upload;
    std::size_t m_receiver = 0;
    Transfer::RequestId m_request = 0;
};

struct Replica
{
    Control::PlannedReplica m_planned;
    std::size_t m_region = 0;
    double m_linkBytesPerSecond = 0;
    double m_messageBytesSent = 0; ///< Not yet subtracted from the link's capacity.
    double m_messageBytesReceived = 0; ///< The same for the other direction.
    Core::Instant m_startsAt;
    bool m_isJoining = false; ///< It joins during the distribution.
    std::optional<Core::Instant> m_learnsOfJoinsAt; ///< Empty if it knows all replicas.
    std::optional<Core::Instant> m_killedAt; ///< Empty if it is not going to be killed.
    bool m_isDown = false; ///< Killed and not restarted.
    std::unique_ptr<Transfer::Exchange> m_exchange; ///< Null until the replica knows the version.
    Transfer::Pacer m_download{0, 0, Core::Instant()};
    std::vector<std::size_t> m_followers;
    std::vector<std::uint32_t> m_unannounced;
    std::vector<std::uint32_t> m_announcedFetches; ///< As of the latest update.
    std::vector<QueuedRequest> m_queue;
    std::map<std::string, Transfer::SentCounts> m_sentCounts;
    std::uint64_t m_nextSequence = 0;
    bool m_isUploading = false; ///< Its pacing passes a chunk to a connection.
    Core::Instant m_nextDecision;
    Core::Instant m_nextHeartbeat;
    std::optional<Core::Instant> m_completedAt;
};

struct Message
{
    Core::Instant m_at;
    std::uint64_t m_order = 0;
    std::function<void()> m_deliver;

    bool operator<(const Message &other) const
    {
        return std::tie(other.m_at, other.m_order) < std::tie(m_at, m_order);
    }
};

class Swarm
{
public:
    explicit Swarm(const SwarmParameters &parameters)
        : m_parameters(parameters)
        , m_random(parameters.m_seed)
        , m_manifest(makeManifest(parameters))
    {
        for (std::size_t region = 0; region < parameters.m_replicasPerRegion.size(); ++region) {
            for (std::uint32_t index = 0; index < parameters.m_replicasPerRegion[region]; ++index) {
                addReplica(region);
            }
        }
    }

    SwarmResult run()
    {
        while (m_now < m_start + m_parameters.m_limit && m_completed < m_replicas.size()) {
            m_now += Step;
            deliverMessages();
            for (std::size_t index = 0; index < m_replicas.size(); ++index) {
                step(index);
            }
            advanceFlows();
        }
        return makeResult();
    }

private:
    static Weights::Manifest makeManifest(const SwarmParameters &parameters)
    {
        Weights::Manifest manifest;
        manifest.m_model = "model";
        manifest.m_version = "2";
        manifest.m_chunkBytes = parameters.m_chunkBytes;
        manifest.m_totalBytes = std::uint64_t{parameters.m_chunkBytes} * parameters.m_chunkCount;
        manifest.m_chunkDigests.resize(parameters.m_chunkCount);
        return manifest;
    }

    void addReplica(std::size_t region)
    {
        constexpr std::uint16_t port = 7000;
        constexpr std::size_t hosts = 250;
        const std::size_t number = m_replicas.size() + 1;
        Replica replica;
        const std::string host = "127.0." + std::to_string(number / hosts) + "." + std::to_string(1 + number % hosts);
        const std::string regionName = "region-" + std::to_string(region);
        replica.m_planned = Control::PlannedReplica{"instance-" + std::to_string(number), regionName, regionName, Core::Address{host, port}};
        replica.m_region = region;
        const bool isSlow = isInShare(number, m_parameters.m_slowShare);
        replica.m_linkBytesPerSecond = bytesPerSecond(m_parameters.m_instanceRate) * (isSlow ? m_parameters.m_slowFactor : 1);
        replica.m_startsAt = m_start + randomStartDelay();
        planJoins(replica, number);
        if (isInShare(number, m_parameters.m_restartingShare)) {
            replica.m_killedAt = m_start + m_parameters.m_killDelay + randomStartDelay();
        }
        m_indices[replica.m_planned.m_wire] = m_replicas.size();
        m_replicas.push_back(std::move(replica));
    }

    Core::Duration randomStartDelay()
    {
        return Core::Duration(static_cast<std::int64_t>(m_random.unit() * static_cast<double>(m_parameters.m_startSpread.count())));
    }

    void planJoins(Replica &replica, std::size_t number)
    {
        if (m_parameters.m_joiningShare == 0) {
            return;
        }
        replica.m_isJoining = isInShare(number, m_parameters.m_joiningShare);
        if (replica.m_isJoining) {
            replica.m_startsAt += m_parameters.m_joinDelay;
        } else {
            replica.m_learnsOfJoinsAt = m_start + m_parameters.m_joinDelay + randomStartDelay();
        }
    }

    /// Returns whether the replica belongs to a share that is spread evenly over the fleet.
    static bool isInShare(std::size_t number, double share)
    {
        const auto countBefore = [share](std::size_t count) { return static_cast<std::size_t>(static_cast<double>(count) * share); };
        return countBefore(number) > countBefore(number - 1);
    }

    /// Returns the replicas that a replica knows.
    std::vector<Control::PlannedReplica> knownReplicas(const Replica &replica) const
    {
        std::vector<Control::PlannedReplica> known;
        for (const Replica &other : m_replicas) {
            if (!replica.m_learnsOfJoinsAt || !other.m_isJoining) {
                known.push_back(other.m_planned);
            }
        }
        return known;
    }

    void send(std::function<void()> deliver)
    {
        m_messages.push(Message{m_now + m_parameters.m_delay, m_nextOrder++, std::move(deliver)});
    }

    void deliverMessages()
    {
        while (!m_messages.empty() && m_messages.top().m_at <= m_now) {
            const std::function<void()> deliver = m_messages.top().m_deliver;
            m_messages.pop();
            deliver();
        }
    }

    bool isOriginReachable() const
    {
        const std::optional<Span> &outage = m_parameters.m_originOutage;
        return !outage || m_now < m_start + outage->m_from || m_now >= m_start + outage->m_to;
    }

    /// Settings as agents derive them from an instance's link. An instance does not know that its link is slow.
    Transfer::TransferSettings settings() const
    {
        const double link = bytesPerSecond(m_parameters.m_instanceRate);
        Transfer::TransferSettings settings;
        settings.m_uploadBytesPerSecond = static_cast<std::uint64_t>(link * UploadShare);
        settings.m_downloadBytesPerSecond = static_cast<std::uint64_t>(link * DownloadShare);
        settings.m_concurrentPeerRequests = m_parameters.m_concurrentPeerRequests;
        settings.m_uploadQueueTime = m_parameters.m_uploadQueueTime;
        if (m_parameters.m_isOriginRateKnown) {
            settings.m_originBytesPerSecond = static_cast<std::uint64_t>(bytesPerSecond(m_parameters.m_originRate));
        }
        return settings;
    }

    void startReplica(Replica &replica)
    {
        const Transfer::TransferSettings transferSettings = settings();
        const Transfer::Exchange::Identity identity{"digest", replica.m_planned.m_instance, replica.m_planned.m_region, m_random.next()};
        replica.m_exchange = std::make_unique<Transfer::Exchange>(transferSettings, identity, m_manifest, m_now);
        replica.m_exchange->setReplicas(knownReplicas(replica), 1);
        replica.m_isDown = false;
        replica.m_download = Transfer::Pacer(transferSettings.m_downloadBytesPerSecond, transferSettings.m_downloadBytesPerSecond / 2, m_now);
        for (const std::size_t follower : replica.m_followers) {
            sendSnapshot(replica, follower);
        }
    }

    void step(std::size_t index)
    {
        Replica &replica = m_replicas[index];
        if (replica.m_killedAt && m_now >= *replica.m_killedAt) {
            kill(index);
        }
        if (m_now < replica.m_startsAt) {
            return;
        }
        if (!replica.m_exchange) {
            startReplica(replica);
        }
        if (replica.m_learnsOfJoinsAt && m_now >= *replica.m_learnsOfJoinsAt) {
            replica.m_learnsOfJoinsAt.reset();
            replica.m_exchange->setReplicas(knownReplicas(replica), 1);
        }
        if (m_now < replica.m_nextDecision) {
            return;
        }
        replica.m_nextDecision = m_now + DecisionInterval;
        for (const Transfer::Action &action : replica.m_exchange->decide(replica.m_download, m_now)) {
            perform(index, action);
        }
        announce(replica);
        if (replica.m_exchange->isComplete() && !replica.m_completedAt) {
            replica.m_completedAt = m_now;
            ++m_completed;
        }
    }

    /// Ends a replica's process: its connections break, and it loses all chunks.
    void kill(std::size_t index)
    {
        Replica &replica = m_replicas[index];
        for (const std::size_t follower : replica.m_followers) {
            endFollow(follower, replica.m_planned.m_wire);
        }
        for (const QueuedRequest &queued : replica.m_queue) {
            failRequest(queued.m_receiver, queued.m_request, Transfer::Failure::Unavailable);
        }
        for (Flow &flow : m_flows) {
            if (flow.m_sender == index) {
                failRequest(flow.m_receiver, flow.m_request, Transfer::Failure::Unavailable);
            }
            flow.m_isCancelled = flow.m_isCancelled || flow.m_sender == index || flow.m_receiver == index;
        }
        for (Replica &other : m_replicas) {
            std::erase(other.m_followers, index);
        }
        m_completed -= replica.m_completedAt ? 1 : 0;
        replica.m_completedAt.reset();
        replica.m_exchange.reset();
        replica.m_followers.clear();
        replica.m_queue.clear();
        replica.m_unannounced.clear();
        replica.m_announcedFetches.clear();
        replica.m_sentCounts.clear();
        replica.m_killedAt.reset();
        replica.m_isDown = true;
        replica.m_startsAt = m_now + m_parameters.m_restartDelay;
    }

    /// Delivers a message to a replica's exchange, unless the replica is down by then.
    void sendToExchange(std::size_t index, std::function<void(Transfer::Exchange &)> deliver)
    {
        send([this, index, deliver = std::move(deliver)] {
            if (m_replicas[index].m_exchange) {
                deliver(*m_replicas[index].m_exchange);
            }
        });
    }

    void endFollow(std::size_t follower, const Core::Address &peer)
    {
        sendToExchange(follower, [this, peer](Transfer::Exchange &exchange) { exchange.onFollowEnded(peer, m_now); });
    }

    void failRequest(std::size_t receiver, Transfer::RequestId request, Transfer::Failure failure)
    {
        sendToExchange(receiver, [this, request, failure](Transfer::Exchange &exchange) { exchange.onRequestFailed(request, failure, m_now); });
    }

    void perform(std::size_t index, const Transfer::Action &action)
    {
        switch (action.m_kind) {
        case Transfer::ActionKind::Follow:
            send([this, index, peer = m_indices.at(action.m_peer)] { acceptFollower(index, peer); });
            break;
        case Transfer::ActionKind::Unfollow:
            std::erase(m_replicas[m_indices.at(action.m_peer)].m_followers, index);
            break;
        case Transfer::ActionKind::RequestFromPeer:
            send([this, index, action] { acceptRequest(index, m_indices.at(action.m_peer), action); });
            break;
        case Transfer::ActionKind::RequestFromOrigin:
            requestFromOrigin(index, action);
            break;
        case Transfer::ActionKind::ProbeOrigin:
            ++m_probes;
            sendToExchange(index, [this](Transfer::Exchange &exchange) { exchange.onOriginProbed(isOriginReachable(), m_now); });
            break;
        case Transfer::ActionKind::Cancel:
            cancel(index, action.m_request);
            break;
        }
    }

    void acceptFollower(std::size_t follower, std::size_t peer)
    {
        if (m_replicas[peer].m_isDown) {
            endFollow(follower, m_replicas[peer].m_planned.m_wire);
            return;
        }
        m_replicas[peer].m_followers.push_back(follower);
        if (m_replicas[peer].m_exchange) {
            sendSnapshot(m_replicas[peer], follower);
            return;
        }
        sendToExchange(follower, [this, address = m_replicas[peer].m_planned.m_wire](Transfer::Exchange &exchange) { exchange.onUpdate(address, {}, m_now); });
    }

    Transfer::HaveUpdate makeUpdate(const Replica &replica) const
    {
        Transfer::HaveUpdate update;
        update.m_participates = true;
        update.m_canDownloadFromOrigin = replica.m_exchange->canDownloadFromOrigin();
        update.m_queuedUploads = static_cast<std::uint32_t>(replica.m_queue.size()) + (replica.m_isUploading ? 1 : 0);
        update.m_fetching = replica.m_exchange->fetchedChunks();
        return update;
    }

    void sendSnapshot(Replica &replica, std::size_t follower)
    {
        Transfer::HaveUpdate update = makeUpdate(replica);
        update.m_isSnapshot = true;
        update.m_bitmap = Transfer::encodeBitmap(replica.m_exchange->heldChunks());
        sendUpdate(replica, follower, update);
    }

    void sendUpdate(Replica &replica, std::size_t follower, const Transfer::HaveUpdate &update)
    {
        replica.m_messageBytesSent += MessageBytes;
        m_replicas[follower].m_messageBytesReceived += MessageBytes;
        sendToExchange(follower,
                       [this, update, address = replica.m_planned.m_wire](Transfer::Exchange &exchange) { exchange.onUpdate(address, update, m_now); });
    }

    void announce(Replica &replica)
    {
        const bool isHeartbeat = m_now >= replica.m_nextHeartbeat;
        Transfer::HaveUpdate update = makeUpdate(replica);
        if (replica.m_unannounced.empty() && update.m_fetching == replica.m_announcedFetches && !isHeartbeat) {
            return;
        }
        replica.m_nextHeartbeat = isHeartbeat ? m_now + HeartbeatInterval : replica.m_nextHeartbeat;
        replica.m_announcedFetches = update.m_fetching;
        update.m_added.swap(replica.m_unannounced);
        for (const std::size_t follower : replica.m_followers) {
            sendUpdate(replica, follower, update);
        }
    }

    void acceptRequest(std::size_t receiver, std::size_t sender, const Transfer::Action &action)
    {
        Replica &replica = m_replicas[sender];
        if (!replica.m_exchange) {
            failRequest(receiver, action.m_request, Transfer::Failure::Unavailable);
            return;
        }
        std::vector<Transfer::QueuedUpload> waiting;
        for (const QueuedRequest &queued : replica.m_queue) {
            waiting.push_back(queued.m_upload);
        }
        Transfer::UploadLimits limits;
        const Transfer::TransferSettings transferSettings = settings();
        limits.m_waiting = Transfer::queuedUploadLimit(
            m_parameters.m_chunkBytes, transferSettings.m_uploadBytesPerSecond, transferSettings.m_uploadQueueTime, transferSettings.m_queuedUploads);
        if (!Transfer::canQueueUpload(waiting, action.m_forRegion, limits)) {
            failRequest(receiver, action.m_request, Transfer::Failure::Busy);
            return;
        }
        const Transfer::QueuedUpload upload{replica.m_nextSequence++, "digest", action.m_chunk, action.m_forRegion};
        replica.m_queue.push_back(QueuedRequest{upload, receiver, action.m_request});
        startNextUpload(sender);
    }

    /// Returns the time in which the sender's pacing passes a chunk to a connection.
    Core::Clock::duration pushTime() const
    {
        const std::chrono::duration<double> seconds(m_parameters.m_chunkBytes / (bytesPerSecond(m_parameters.m_instanceRate) * UploadShare));
        return std::chrono::duration_cast<Core::Clock::duration>(seconds);
    }

    void startNextUpload(std::size_t sender)
    {
        Replica &replica = m_replicas[sender];
        std::erase_if(replica.m_queue, [this](const QueuedRequest &queued) {
            const std::unique_ptr<Transfer::Exchange> &receiver = m_replicas[queued.m_receiver].m_exchange;
            return !receiver || !receiver->hasRequest(queued.m_request);
        });
        if (replica.m_isUploading || replica.m_queue.empty()) {
            return;
        }
        std::vector<Transfer::QueuedUpload> waiting;
        for (const QueuedRequest &queued : replica.m_queue) {
            waiting.push_back(queued.m_upload);
        }
        const std::size_t next = *Transfer::selectNextUpload(waiting, replica.m_sentCounts);
        const QueuedRequest request = replica.m_queue[next];
        replica.m_queue.erase(replica.m_queue.begin() + static_cast<std::ptrdiff_t>(next));
        ++replica.m_sentCounts["digest"][request.m_upload.m_chunk];
        replica.m_isUploading = true;
        m_flows.push_back(Flow{sender,
                               request.m_receiver,
                               request.m_request,
                               request.m_upload.m_chunk,
                               static_cast<double>(m_parameters.m_chunkBytes),
                               0,
                               false,
                               m_now + pushTime(),
                               false});
    }

    void requestFromOrigin(std::size_t receiver, const Transfer::Action &action)
    {
        if (!isOriginReachable()) {
            failRequest(receiver, action.m_request, Transfer::Failure::Unavailable);
            return;
        }
        const double bytes = m_parameters.m_chunkBytes + RequestOverheadBytes;
        m_flows.push_back(Flow{std::nullopt, receiver, action.m_request, action.m_chunk, bytes, 0, false, m_now, true});
    }

    void cancel(std::size_t receiver, Transfer::RequestId request)
    {
        for (Flow &flow : m_flows) {
            if (flow.m_receiver == receiver && flow.m_request == request) {
                flow.m_isCancelled = true;
            }
        }
    }

    /// Indices of the links that a flow uses.
    std::vector<std::size_t> linksOf(const Flow &flow) const
    {
        const std::size_t replicas = m_replicas.size();
        const std::size_t regions = m_parameters.m_replicasPerRegion.size();
        const std::size_t firstDownlink = 1 + replicas;
        const std::size_t firstPair = firstDownlink + replicas;
        std::vector<std::size_t> links{flow.m_sender ? 1 + *flow.m_sender : 0, firstDownlink + flow.m_receiver};
        const std::size_t to = m_replicas[flow.m_receiver].m_region;
        const std::size_t from = flow.m_sender ? m_replicas[*flow.m_sender].m_region : to;
        if (from != to) {
            links.push_back(firstPair + from * regions + to);
        }
        return links;
    }

    /// Returns the rates that messages leave to chunks on all links, in bytes per second and in the order of linksOf().
    std::vector<double> linkRates()
    {
        const auto takeMessages = [](double rate, double &bytes) {
            const double capacity = rate * std::chrono::duration<double>(Step).count();
            const double taken = std::min(bytes, capacity);
            bytes -= taken;
            return rate * (1 - taken / capacity);
        };
        std::vector<double> rates{bytesPerSecond(m_parameters.m_originRate)};
        for (Replica &replica : m_replicas) {
            rates.push_back(takeMessages(replica.m_linkBytesPerSecond, replica.m_messageBytesSent));
        }
        for (Replica &replica : m_replicas) {
            rates.push_back(takeMessages(replica.m_linkBytesPerSecond, replica.m_messageBytesReceived));
        }
        const std::size_t regions = m_parameters.m_replicasPerRegion.size();
        rates.insert(rates.end(), regions * regions, bytesPerSecond(m_parameters.m_regionPairRate));
        return rates;
    }

    /// Shares the links fairly: a flow that is limited by one link leaves the rest of its shares of the others to their other flows.
    void computeRates()
    {
        std::vector<double> remaining = linkRates();
        std::vector<std::vector<std::size_t>> flowsOfLink(remaining.size());
        std::vector<std::vector<std::size_t>> linksOfFlow;
        std::vector<std::size_t> openFlows(remaining.size(), 0);
        for (std::size_t index = 0; index < m_flows.size(); ++index) {
            linksOfFlow.push_back(linksOf(m_flows[index]));
            for (const std::size_t link : linksOfFlow.back()) {
                flowsOfLink[link].push_back(index);
                ++openFlows[link];
            }
        }
        std::vector<bool> isFixed(m_flows.size(), false);
        for (std::size_t fixed = 0; fixed < m_flows.size();) {
            std::size_t bottleneck = 0;
            double lowest = std::numeric_limits<double>::infinity();
            for (std::size_t link = 0; link < remaining.size(); ++link) {
                const double share = openFlows[link] > 0 ? remaining[link] / static_cast<double>(openFlows[link]) : lowest;
                if (share < lowest) {
                    lowest = share;
                    bottleneck = link;
                }
            }
            for (const std::size_t index : flowsOfLink[bottleneck]) {
                if (isFixed[index]) {
                    continue;
                }
                isFixed[index] = true;
                ++fixed;
                m_flows[index].m_rate = lowest;
                for (const std::size_t link : linksOfFlow[index]) {
                    remaining[link] = std::max(0.0, remaining[link] - lowest);
                    --openFlows[link];
                }
            }
        }
    }

    void releaseUploadSlots()
    {
        const std::size_t count = m_flows.size(); // The flows that start meanwhile release their slots later.
        for (std::size_t index = 0; index < count; ++index) {
            Flow &flow = m_flows[index];
            if (!flow.m_sender || flow.m_isPushed || m_now < flow.m_pushedAt) {
                continue;
            }
            flow.m_isPushed = true;
            const std::size_t sender = *flow.m_sender;
            m_replicas[sender].m_isUploading = false;
            startNextUpload(sender);
        }
    }

    void advanceFlows()
    {
        computeRates();
        const double seconds = std::chrono::duration<double>(Step).count();
        std::vector<Flow> ended;
        releaseUploadSlots();
        for (Flow &flow : m_flows) {
            const double bytes = std::min(flow.m_remainingBytes, flow.m_rate * seconds);
            flow.m_remainingBytes -= bytes;
            m_originBytes += flow.m_sender ? 0 : bytes;
            const bool isBroken = !flow.m_sender && !isOriginReachable();
            if (flow.m_remainingBytes <= 0 || flow.m_isCancelled || isBroken) {
                ended.push_back(flow);
            } else {
                reportProgress(flow);
            }
        }
        std::erase_if(m_flows,
                      [this](const Flow &flow) { return flow.m_remainingBytes <= 0 || flow.m_isCancelled || (!flow.m_sender && !isOriginReachable()); });
        for (const Flow &flow : ended) {
            endFlow(flow);
        }
    }

    void reportProgress(const Flow &flow)
    {
        const double received = m_parameters.m_chunkBytes - flow.m_remainingBytes;
        if (flow.m_sender && received > 0 && !flow.m_isCancelled) {
            m_replicas[flow.m_receiver].m_exchange->onRequestProgress(flow.m_request, static_cast<std::uint64_t>(received), m_now);
        }
    }

    void endFlow(const Flow &flow)
    {
        if (flow.m_sender && !flow.m_isPushed) {
            m_replicas[*flow.m_sender].m_isUploading = false;
            startNextUpload(*flow.m_sender);
        }
        if (flow.m_isCancelled) {
            return;
        }
        Replica &receiver = m_replicas[flow.m_receiver];
        Transfer::Exchange &exchange = *receiver.m_exchange;
        if (flow.m_remainingBytes > 0) {
            exchange.onRequestFailed(flow.m_request, Transfer::Failure::Unavailable, m_now);
            return;
        }
        if (!flow.m_sender && m_random.unit() < m_parameters.m_corruptShare) {
            exchange.onRequestFailed(flow.m_request, Transfer::Failure::Corrupt, m_now);
            return;
        }
        exchange.onRequestSucceeded(flow.m_request, m_now);
        if (exchange.heldChunks()[flow.m_chunk]) {
            return;
        }
        for (const Transfer::Action &action : exchange.onChunkHeld(flow.m_chunk, m_now)) {
            cancel(flow.m_receiver, action.m_request);
        }
        receiver.m_unannounced.push_back(flow.m_chunk);
    }

    SwarmResult makeResult() const
    {
        SwarmResult result;
        for (const Replica &replica : m_replicas) {
            if (replica.m_completedAt) {
                result.m_completedAfter.push_back(std::chrono::duration_cast<Core::Duration>(*replica.m_completedAt - m_start));
            }
        }
        std::sort(result.m_completedAfter.begin(), result.m_completedAfter.end());
        result.m_originCopies = m_originBytes / static_cast<double>(m_manifest.m_totalBytes);
        result.m_probes = m_probes;
        return result;
    }

    const SwarmParameters m_parameters;
    Core::Random m_random;
    const Weights::Manifest m_manifest;
    const Core::Instant m_start = Core::Instant() + std::chrono::hours(1); ///< Not the clock's epoch, which unset times have.
    Core::Instant m_now = m_start;
    std::vector<Replica> m_replicas;
    std::map<Core::Address, std::size_t> m_indices; ///< Indices of the replicas by address.
    std::vector<Flow> m_flows;
    std::priority_queue<Message> m_messages;
    std::uint64_t m_nextOrder = 0;
    std::size_t m_completed = 0;
    double m_originBytes = 0;
    std::uint64_t m_probes = 0;
};

}

SwarmResult emulateSwarm(const SwarmParameters &parameters)
{
    return Swarm(parameters).run();
}

}
