/// @file A cluster of transfer managers in one process, each with its own node and address, and an origin.
#pragma once

#include "LibOriginStandIn/OriginServer.h"
#include "LibTransfer/TransferManager.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace TransferTest {

/// Waits for a condition. Returns false if it is not met in time.
inline bool waitFor(const std::function<bool()> &condition, std::chrono::seconds timeout = std::chrono::seconds(60))
{
    const Core::Instant end = Core::Clock::now() + timeout;
    while (!condition()) {
        if (Core::Clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

struct Replica
{
    Control::PlannedReplica m_planned;
    std::unique_ptr<Telemetry::Metrics> m_metrics;
    std::unique_ptr<Wire::Node> m_node;
    std::unique_ptr<Transfer::TransferManager> m_manager;

    ~Replica()
    {
        stop();
    }

    /// Stops the replica as a crash would: all connections are closed.
    void stop()
    {
        if (m_node) {
            m_node->stop();
        }
        if (m_manager) {
            m_manager->stop();
        }
    }
};

class ReplicaCluster
{
public:
    explicit ReplicaCluster(StandIn::OriginSettings origin)
    {
        origin.m_listen = Core::Address{host(0), OriginPort};
        m_store = std::make_unique<StandIn::OriginStore>(std::move(origin));
        m_store->generate().value();
        m_server = std::make_unique<StandIn::OriginServer>(*m_store);
        m_server->start().value();
    }

    /// Adds a replica to the plan without starting it.
    void addReplica(const std::string &region)
    {
        const std::size_t number = m_replicas.size() + 1;
        m_replicas.push_back(std::make_unique<Replica>());
        m_replicas.back()->m_planned =
            Control::PlannedReplica{"instance-" + std::to_string(number), region, region + "-a", Core::Address{host(number), WirePort}};
    }

    /// Starts a planned replica, or restarts it without any held chunks.
    void start(std::size_t index, const Transfer::TransferSettings &settings)
    {
        Replica &replica = *m_replicas[index];
        replica.stop();
        replica.m_manager.reset();
        replica.m_node.reset();
        replica.m_metrics = std::make_unique<Telemetry::Metrics>();
        Wire::NodeSettings nodeSettings;
        nodeSettings.m_listen = replica.m_planned.m_wire;
        nodeSettings.m_network.m_bindHost = replica.m_planned.m_wire.m_host;
        replica.m_node = std::make_unique<Wire::Node>(nodeSettings, *replica.m_metrics);
        Transfer::TransferParts parts;
        parts.m_settings = settings;
        parts.m_self.m_id = replica.m_planned.m_instance;
        parts.m_self.m_region = replica.m_planned.m_region;
        parts.m_self.m_incarnation = Core::randomIdentifier();
        parts.m_node = replica.m_node.get();
        parts.m_network = nodeSettings.m_network;
        parts.m_origin = m_store->settings().m_listen;
        parts.m_metrics = replica.m_metrics.get();
        replica.m_manager = std::make_unique<Transfer::TransferManager>(std::move(parts));
        replica.m_manager->start();
        replica.m_node->start().value();
    }

    /// Returns the deployment of a stored version to every planned replica.
    Control::Deployment deployment(const std::string &model, const std::string &version)
    {
        Control::Deployment deployment;
        deployment.m_model = model;
        deployment.m_version = version;
        deployment.m_digest = Weights::manifestDigest(m_store->manifest(model, version).m_object->m_encodedManifest);
        for (const std::unique_ptr<Replica> &replica : m_replicas) {
            deployment.m_replicas.push_back(replica->m_planned);
        }
        return deployment;
    }

    void setTargets(const std::vector<Control::Deployment> &wanted)
    {
        for (const std::unique_ptr<Replica> &replica : m_replicas) {
            if (replica->m_manager) {
                replica->m_manager->setTargets(wanted);
            }
        }
    }

    std::size_t countHolders(const std::string &digest) const
    {
        std::size_t count = 0;
        for (const std::unique_ptr<Replica> &replica : m_replicas) {
            count += replica->m_manager && replica->m_manager->heldVersion(digest) ? 1 : 0;
        }
        return count;
    }

    /// Returns the sum of a counter over all replicas.
    std::uint64_t counterTotal(const std::string &counter) const
    {
        std::uint64_t sum = 0;
        for (const std::unique_ptr<Replica> &replica : m_replicas) {
            sum += replica->m_metrics ? replica->m_metrics->counter(counter).value() : 0;
        }
        return sum;
    }

    /// Returns the content that the origin has now.
    std::string content(const std::string &model, const std::string &version)
    {
        return m_store->manifest(model, version).m_object->m_content;
    }

    std::size_t size() const
    {
        return m_replicas.size();
    }
    Replica &at(std::size_t index)
    {
        return *m_replicas[index];
    }
    StandIn::OriginStore &origin()
    {
        return *m_store;
    }

private:
    static constexpr std::uint16_t OriginPort = 7400;
    static constexpr std::uint16_t WirePort = 7000;

    /// Returns a loopback address that no other running test uses.
    static std::string host(std::size_t number)
    {
        constexpr int firstSlot = 64;
        constexpr int slots = 150;
        constexpr int blocks = 250;
        constexpr std::size_t hosts = 250;
        const int process = ::getpid();
        const std::size_t third = static_cast<std::size_t>(process / slots % blocks) + number / hosts;
        return "127." + std::to_string(firstSlot + process % slots) + "." + std::to_string(third) + "." + std::to_string(1 + number % hosts);
    }

    std::unique_ptr<StandIn::OriginStore> m_store;
    std::unique_ptr<StandIn::OriginServer> m_server;
    std::vector<std::unique_ptr<Replica>> m_replicas;
};

}
