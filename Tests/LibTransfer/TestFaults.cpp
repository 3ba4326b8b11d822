/// @file Tests of bursts between transfer managers with faults: each burst ends, and incomplete or foreign versions are never returned.

#include "LibTransfer/Messages.h"
#include "LibWire/Pack.h"
#include "ReplicaCluster.h"

#include <catch2/catch.hpp>

namespace {

constexpr std::uint32_t ChunkSize = 4096;
constexpr std::uint64_t WeightBytes = 24 * ChunkSize + 100;

StandIn::OriginSettings originSettings()
{
    StandIn::OriginSettings settings;
    settings.m_chunkBytes = ChunkSize;
    settings.m_objects.push_back(StandIn::ObjectRecipe{"drafts", "1", WeightBytes, 7, 0, 100});
    settings.m_objects.push_back(StandIn::ObjectRecipe{"drafts", "2", WeightBytes, 8, 7, 25});
    return settings;
}

Transfer::TransferSettings quickSettings()
{
    Transfer::TransferSettings settings;
    settings.m_stallLimit = Core::Duration(200);
    return settings;
}

/// A replica that announces every chunk of a version and answers requests as the test specifies.
class MisbehavingPeer
{
public:
    using Answer = std::function<void(const Transfer::ChunkRequest &, const std::string &chunk, const Wire::Responder &)>;

    MisbehavingPeer(const Core::Address &address, const Weights::Manifest &manifest, const std::string &content, const Answer &answer)
    {
        Wire::NodeSettings settings;
        settings.m_listen = address;
        m_node = std::make_unique<Wire::Node>(settings, m_metrics);
        const std::string encoded = Weights::encodeManifest(manifest);
        m_node->handle("transfer.manifest", [encoded](const Wire::IncomingCall &call) { call.m_responder.reply(encoded); });
        m_node->handle("transfer.have", [this, manifest](const Wire::IncomingCall &call) {
            Transfer::HaveUpdate update;
            update.m_participates = true;
            update.m_isSnapshot = true;
            update.m_bitmap = Transfer::encodeBitmap(std::vector<bool>(manifest.chunkCount(), true));
            call.m_responder.send(Wire::pack(update));
            m_followers.push_back(call.m_responder);
        });
        m_node->handle("transfer.chunk", [this, manifest, content, answer](const Wire::IncomingCall &call) {
            const Transfer::ChunkRequest request = Wire::unpack<Transfer::ChunkRequest>(call.m_body, call.m_peer).value();
            ++m_requestCount;
            answer(request, content.substr(manifest.chunkOffset(request.m_chunk), manifest.chunkLength(request.m_chunk)), call.m_responder);
        });
        m_node->start().value();
    }

    ~MisbehavingPeer()
    {
        m_node->stop();
    }

    int requestCount() const
    {
        return m_requestCount;
    }

private:
    Telemetry::Metrics m_metrics;
    std::vector<Wire::Responder> m_followers; ///< Keeps the streams open. Used on the node's thread only.
    std::atomic<int> m_requestCount = 0;
    std::unique_ptr<Wire::Node> m_node;
};

/// Two correct replicas, and a misbehaving peer that runs in place of a third planned replica.
struct MisbehavingPeerFixture
{
    TransferTest::ReplicaCluster m_replicas{originSettings()};
    Control::Deployment m_deployment;
    std::unique_ptr<MisbehavingPeer> m_peer;

    explicit MisbehavingPeerFixture(const MisbehavingPeer::Answer &answer)
    {
        for (int index = 0; index < 3; ++index) {
            m_replicas.addReplica("hcm");
        }
        m_deployment = m_replicas.deployment("drafts", "1");
        const std::shared_ptr<const StandIn::StoredObject> stored = m_replicas.origin().manifest("drafts", "1").m_object;
        m_peer = std::make_unique<MisbehavingPeer>(m_replicas.at(2).m_planned.m_wire, stored->m_manifest, stored->m_content, answer);
        m_replicas.start(0, quickSettings());
        m_replicas.start(1, quickSettings());
        m_replicas.setTargets({m_deployment});
    }

    bool completes()
    {
        return TransferTest::waitFor([this] { return m_replicas.countHolders(m_deployment.m_digest) == 2; });
    }

    bool isComplete(std::size_t index)
    {
        return m_replicas.at(index).m_manager->heldVersion(m_deployment.m_digest)->fullContent() == m_replicas.content("drafts", "1");
    }
};

void startAll(TransferTest::ReplicaCluster &replicas, std::size_t count, const Transfer::TransferSettings &settings = quickSettings())
{
    for (std::size_t index = 0; index < count; ++index) {
        replicas.addReplica(index % 2 == 0 ? "hcm" : "hanoi");
        replicas.start(index, settings);
    }
}

bool completesEverywhere(TransferTest::ReplicaCluster &replicas, const Control::Deployment &deployment)
{
    return TransferTest::waitFor([&] { return replicas.countHolders(deployment.m_digest) == replicas.size(); });
}

}

TEST_CASE("Damaged chunks from one peer never become part of a version")
{
    // A peer with faulty memory damages the first chunk, the last one, or all chunks that it sends. An engine that loaded them would serve weights that nobody
    // published.
    const Weights::ChunkIndex damaged = GENERATE(Weights::ChunkIndex{0}, Weights::ChunkIndex{24}, ~Weights::ChunkIndex{0});
    MisbehavingPeerFixture fixture([damaged](const Transfer::ChunkRequest &request, std::string chunk, const Wire::Responder &responder) {
        if (damaged == request.m_chunk || damaged == ~Weights::ChunkIndex{0}) {
            chunk[chunk.size() / 2] ^= 1;
        }
        responder.reply(chunk);
    });
    REQUIRE(fixture.completes());
    REQUIRE(fixture.isComplete(0));
    REQUIRE(fixture.isComplete(1));
    if (damaged == ~Weights::ChunkIndex{0}) {
        REQUIRE(fixture.m_replicas.counterTotal("transfer_chunks_bad_total") > 0);
        // Each correct replica excludes the peer immediately. Only requests that were already sent still reach it.
        REQUIRE(fixture.m_peer->requestCount() <= 8);
    }
}

TEST_CASE("Chunks that are too short or too long are rejected")
{
    const bool isShort = GENERATE(true, false);
    MisbehavingPeerFixture fixture([isShort](const Transfer::ChunkRequest &, const std::string &chunk, const Wire::Responder &responder) {
        responder.reply(isShort ? chunk.substr(0, chunk.size() / 2) : chunk + chunk);
    });
    REQUIRE(fixture.completes());
    REQUIRE(fixture.isComplete(0));
    REQUIRE(fixture.isComplete(1));
}

TEST_CASE("A peer that never answers does not delay the burst")
{
    // The peer is frozen. Its connection stays open, so the fault shows only as missing progress.
    MisbehavingPeerFixture fixture(
        [keptResponders = std::make_shared<std::vector<Wire::Responder>>()](
            const Transfer::ChunkRequest &, const std::string &, const Wire::Responder &responder) { keptResponders->push_back(responder); });
    REQUIRE(fixture.completes());
    REQUIRE(fixture.isComplete(0));
    REQUIRE(fixture.isComplete(1));
}

TEST_CASE("A version that was replaced under the same name is never returned")
{
    // The origin's object is replaced after the version was published. Its chunks are consistent, but they are not the published ones.
    TransferTest::ReplicaCluster replicas(originSettings());
    startAll(replicas, 4);
    const Control::Deployment published = replicas.deployment("drafts", "1");
    const std::string content = replicas.content("drafts", "1");
    replicas.origin().setFaults(R"({"swap":{"model":"drafts","version":"1","seed":99}})").value();
    replicas.setTargets({published});
    // The replicas have received and rejected the foreign manifest more than once.
    REQUIRE(TransferTest::waitFor([&] { return replicas.counterTotal("transfer_manifests_bad_total") >= 2; }));
    REQUIRE(replicas.countHolders(published.m_digest) == 0);
}

TEST_CASE("A version whose object is replaced during the download is never mixed with the replacement, and completes once the origin has it again")
{
    TransferTest::ReplicaCluster replicas(originSettings());
    Transfer::TransferSettings settings = quickSettings();
    settings.m_originBytesPerSecond = 100'000;
    startAll(replicas, 4, settings);
    const Control::Deployment published = replicas.deployment("drafts", "1");
    const std::string content = replicas.content("drafts", "1");
    replicas.setTargets({published});
    REQUIRE(TransferTest::waitFor([&] { return replicas.counterTotal("transfer_bytes_from_origin_total") > 4 * ChunkSize; }));
    replicas.origin().setFaults(R"({"swap":{"model":"drafts","version":"1","seed":99}})").value();
    REQUIRE(TransferTest::waitFor([&] { return replicas.counterTotal("transfer_chunks_bad_total") > 0; }));
    REQUIRE(replicas.countHolders(published.m_digest) == 0);
    replicas.origin().setFaults(R"({"swap":{"model":"drafts","version":"1","seed":7}})").value();
    REQUIRE(completesEverywhere(replicas, published));
    REQUIRE(replicas.at(0).m_manager->heldVersion(published.m_digest)->fullContent() == content);
}

TEST_CASE("After one copy has left the origin, the burst completes without it, and a replaced replica is served by its peers")
{
    // The origin goes down for a long time during a burst. Together the replicas hold every chunk.
    TransferTest::ReplicaCluster replicas(originSettings());
    startAll(replicas, 6);
    const Control::Deployment deployment = replicas.deployment("drafts", "1");
    replicas.origin().setFaults(R"({"down_after_copies":1.0})").value();
    replicas.setTargets({deployment});
    REQUIRE(completesEverywhere(replicas, deployment));
    replicas.start(3, quickSettings());
    REQUIRE(replicas.at(3).m_manager->heldVersion(deployment.m_digest) == nullptr);
    replicas.at(3).m_manager->setTargets({deployment});
    REQUIRE(completesEverywhere(replicas, deployment));
    REQUIRE(replicas.at(3).m_metrics->counter("transfer_bytes_from_origin_total").value() == 0);
}

TEST_CASE("A burst waits for an origin that is down and completes after its recovery")
{
    TransferTest::ReplicaCluster replicas(originSettings());
    startAll(replicas, 4);
    const Control::Deployment deployment = replicas.deployment("drafts", "1");
    replicas.origin().setFaults(R"({"down":true})").value();
    replicas.setTargets({deployment});
    REQUIRE(TransferTest::waitFor([&] { return replicas.origin().journalJson().find("\"manifest_requests\":0") == std::string::npos; }));
    REQUIRE(replicas.countHolders(deployment.m_digest) == 0);
    replicas.origin().setFaults(R"({"down":false,"slow_ms":20,"truncate_percent":20})").value();
    REQUIRE(completesEverywhere(replicas, deployment));
}

TEST_CASE("A burst completes on the other replicas if some die during it")
{
    // The dead replicas include downloaders and importers of chunks that no other replica holds yet.
    TransferTest::ReplicaCluster replicas(originSettings());
    Transfer::TransferSettings settings = quickSettings();
    settings.m_originBytesPerSecond = 100'000;
    startAll(replicas, 8, settings);
    const Control::Deployment deployment = replicas.deployment("drafts", "1");
    replicas.setTargets({deployment});
    REQUIRE(TransferTest::waitFor([&] { return replicas.counterTotal("transfer_bytes_from_origin_total") > 4 * ChunkSize; }));
    for (const std::size_t dead : {std::size_t{1}, std::size_t{2}}) {
        replicas.at(dead).stop();
        replicas.at(dead).m_manager.reset();
    }
    REQUIRE(TransferTest::waitFor([&] { return replicas.countHolders(deployment.m_digest) == 6; }));
    REQUIRE(replicas.at(0).m_manager->heldVersion(deployment.m_digest)->fullContent() == replicas.content("drafts", "1"));
}

TEST_CASE("A superseded version stops immediately, and chunks that the new version shares are not fetched again")
{
    // Operators publish a correction during a burst. Continuing with the old version would take bandwidth from the new one.
    TransferTest::ReplicaCluster replicas(originSettings());
    Transfer::TransferSettings settings = quickSettings();
    settings.m_originBytesPerSecond = 100'000;
    startAll(replicas, 4, settings);
    const Control::Deployment first = replicas.deployment("drafts", "1");
    const Control::Deployment second = replicas.deployment("drafts", "2");
    replicas.setTargets({first});
    REQUIRE(TransferTest::waitFor([&] { return replicas.counterTotal("transfer_bytes_from_origin_total") > 4 * ChunkSize; }));
    replicas.setTargets({second});
    REQUIRE(completesEverywhere(replicas, second));
    REQUIRE(replicas.countHolders(first.m_digest) == 0);
    for (std::size_t index = 0; index < replicas.size(); ++index) {
        REQUIRE(replicas.at(index).m_manager->progress().size() == 1);
    }
}

TEST_CASE("A rollback to a held version transfers no bytes")
{
    TransferTest::ReplicaCluster replicas(originSettings());
    startAll(replicas, 4);
    const Control::Deployment first = replicas.deployment("drafts", "1");
    const Control::Deployment second = replicas.deployment("drafts", "2");
    replicas.setTargets({first});
    REQUIRE(completesEverywhere(replicas, first));
    replicas.setTargets({second});
    REQUIRE(completesEverywhere(replicas, second));
    // A quarter of the chunks differ. The others are reused from the version that was held.
    REQUIRE(replicas.counterTotal("transfer_bytes_reused_total") >= 4 * 17 * ChunkSize);
    const std::uint64_t moved = replicas.counterTotal("transfer_bytes_from_origin_total") + replicas.counterTotal("transfer_bytes_from_peers_total");
    replicas.setTargets({first});
    REQUIRE(replicas.countHolders(first.m_digest) == replicas.size());
    REQUIRE(replicas.counterTotal("transfer_bytes_from_origin_total") + replicas.counterTotal("transfer_bytes_from_peers_total") == moved);
    replicas.at(0).m_manager->release(second.m_digest);
    REQUIRE(TransferTest::waitFor([&] { return replicas.at(0).m_manager->heldVersion(second.m_digest) == nullptr; }));
    REQUIRE(replicas.at(0).m_manager->heldVersion(first.m_digest)->fullContent() == replicas.content("drafts", "1"));
}

TEST_CASE("A version that exceeds the memory limit waits until another version is released")
{
    TransferTest::ReplicaCluster replicas([] {
        StandIn::OriginSettings settings;
        settings.m_objects.push_back(StandIn::ObjectRecipe{"drafts", "1", 700 << 10, 7, 0, 100});
        settings.m_objects.push_back(StandIn::ObjectRecipe{"drafts", "2", 700 << 10, 8, 0, 100});
        return settings;
    }());
    Transfer::TransferSettings settings = quickSettings();
    settings.m_memoryMebibytes = 1;
    startAll(replicas, 1, settings);
    const Control::Deployment first = replicas.deployment("drafts", "1");
    const Control::Deployment second = replicas.deployment("drafts", "2");
    replicas.setTargets({first});
    REQUIRE(completesEverywhere(replicas, first));
    replicas.setTargets({second});
    REQUIRE(TransferTest::waitFor([&] {
        const Poco::JSON::Object::Ptr dump = replicas.at(0).m_manager->dump();
        return dump->has(second.m_digest) && dump->getObject(second.m_digest)->getValue<bool>("awaits_memory");
    }));
    replicas.at(0).m_manager->release(first.m_digest);
    REQUIRE(completesEverywhere(replicas, second));
}
