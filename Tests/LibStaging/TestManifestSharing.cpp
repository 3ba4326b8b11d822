/// @file Tests of manifest sharing: few agents read a manifest from the origin, and the others request it from them.

#include "../Support/LoopbackPeer.h"
#include "LibStaging/ManifestSharing.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

using TestSupport::runUntil;

namespace {

const Core::Address Origin{"127.0.0.1", 9};
const Staging::ModelVersion Version{"draft", 2};

std::vector<Gossip::Member> agents(std::size_t count)
{
    std::vector<Gossip::Member> members;
    for (std::size_t index = 0; index < count; ++index) {
        Gossip::Member member;
        member.m_id = "agent-" + std::to_string(index);
        member.m_peers = Core::Address{"10.0.0.1", static_cast<std::uint16_t>(index + 1)};
        members.push_back(member);
    }
    return members;
}

Weights::Manifest manifestOf(std::uint64_t version)
{
    return Weights::buildManifest("draft", std::to_string(version), std::string(3000, 'a'), 1024).value();
}

Core::Address freeAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return Core::Address{"127.0.0.1", socket.address().port()};
}

/// An agent with its own node. Counts its requests to the origin.
struct TestAgent
{
    Core::Address m_address = freeAddress();
    Telemetry::Metrics m_metrics;
    Wire::Node m_node;
    std::size_t m_originRequests = 0;
    bool m_isOriginUnreachable = false;
    Staging::ManifestSharing m_sharing;
    std::optional<Weights::Manifest> m_manifest;

    explicit TestAgent(Http::EventLoop &loop)
        : m_node(settings(m_address), m_metrics)
        , m_sharing(
              loop,
              m_node,
              [this, &loop](const Core::Address &, const std::string &, std::uint64_t version, const Staging::Done<Weights::Manifest> &done) {
                  ++m_originRequests;
                  boost::asio::post(loop, [this, version, done] {
                      done(m_isOriginUnreachable ? Core::makeError(Core::ErrorCode::Unavailable, "read manifest", "origin", "refused")
                                                 : Core::Result<Weights::Manifest>(manifestOf(version)));
                  });
              },
              settings())
    {
        m_sharing.registerMethod();
    }

    static Staging::ManifestSharingSettings settings()
    {
        Staging::ManifestSharingSettings settings;
        settings.m_originFetchers = 1;
        settings.m_peerTimeout = Core::Duration(50);
        settings.m_laterPeerTimeout = Core::Duration(50);
        return settings;
    }

    static Wire::NodeSettings settings(const Core::Address &listen)
    {
        Wire::NodeSettings settings;
        settings.m_listen = listen;
        return settings;
    }

    Gossip::Member member(const std::string &id) const
    {
        Gossip::Member member;
        member.m_id = id;
        member.m_peers = m_address;
        return member;
    }

    void fetch()
    {
        m_manifest.reset();
        m_sharing.fetch(Origin, Version, [this](const Core::Result<Weights::Manifest> &manifest) { m_manifest = manifest.value(); });
    }

    /// Fetches until an attempt succeeds.
    void fetchRepeatedly()
    {
        m_sharing.fetch(Origin, Version, [this](const Core::Result<Weights::Manifest> &manifest) {
            if (manifest) {
                m_manifest = manifest.value();
            } else {
                fetchRepeatedly();
            }
        });
    }
};

/// Two agents, of which only the first reads from the origin.
struct TwoAgents
{
    Http::EventLoop m_loop;
    TestAgent m_first{m_loop};
    TestAgent m_second{m_loop};

    TwoAgents()
    {
        const bool isFirst = !Staging::manifestSource("a", {m_second.member("b")}, Version, 1);
        m_first.m_sharing.setAgents(isFirst ? "a" : "b", {m_second.member(isFirst ? "b" : "a")});
        m_second.m_sharing.setAgents(isFirst ? "b" : "a", {m_first.member(isFirst ? "a" : "b")});
    }
};

}

TEST_CASE("In a large service few agents read from the origin, and the other agents are distributed evenly among them")
{
    // Guards against agents whose manifest requests use up all connections of the origin, so that no chunk can be downloaded.
    const Staging::ManifestSharingSettings settings;
    const std::vector<Gossip::Member> all = agents(156);
    std::size_t originFetchers = 0;
    std::map<Core::Address, std::size_t> requestsByPeer;
    for (const Gossip::Member &agent : all) {
        std::vector<Gossip::Member> others = all;
        std::erase(others, agent);
        const std::optional<Core::Address> source = Staging::manifestSource(agent.m_id, others, Version, settings.m_originFetchers);
        originFetchers += source ? 0 : 1;
        if (source) {
            ++requestsByPeer[*source];
        }
    }
    CHECK(originFetchers == settings.m_originFetchers);
    CHECK(requestsByPeer.size() == settings.m_originFetchers);
    for (const std::pair<const Core::Address, std::size_t> &peer : requestsByPeer) {
        CHECK(peer.second <= all.size() / settings.m_originFetchers + 1);
    }
}

TEST_CASE("In a small service every agent reads from the origin")
{
    const std::vector<Gossip::Member> all = agents(Staging::ManifestSharingSettings{}.m_originFetchers);
    for (const Gossip::Member &agent : all) {
        std::vector<Gossip::Member> others = all;
        std::erase(others, agent);
        CHECK_FALSE(Staging::manifestSource(agent.m_id, others, Version, Staging::ManifestSharingSettings{}.m_originFetchers));
    }
}

TEST_CASE("An agent gets the manifest from the agent that reads from the origin, even if that agent starts later")
{
    TwoAgents fixture;
    REQUIRE(fixture.m_first.m_node.start());
    REQUIRE(fixture.m_second.m_node.start());
    fixture.m_second.fetch();
    fixture.m_first.fetch();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_first.m_manifest && fixture.m_second.m_manifest; }));
    CHECK(*fixture.m_second.m_manifest == manifestOf(Version.m_version));
    CHECK(fixture.m_first.m_originRequests == 1);
    CHECK(fixture.m_second.m_originRequests == 0);
}

TEST_CASE("An agent whose peer is unreachable reads from the origin")
{
    // Guards against agents that wait for a manifest from a dead agent.
    TwoAgents fixture;
    REQUIRE(fixture.m_second.m_node.start());
    fixture.m_second.fetch();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_second.m_manifest.has_value(); }));
    CHECK(fixture.m_second.m_originRequests == 1);
}

TEST_CASE("A manifest that is requested again is read from the origin")
{
    // Guards against an agent that gets a corrupt manifest from the same peer on every attempt.
    TwoAgents fixture;
    REQUIRE(fixture.m_first.m_node.start());
    REQUIRE(fixture.m_second.m_node.start());
    fixture.m_first.fetch();
    fixture.m_second.fetch();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_second.m_manifest.has_value(); }));
    fixture.m_second.fetch();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_second.m_manifest.has_value(); }));
    CHECK(fixture.m_second.m_originRequests == 1);
}

TEST_CASE("While the origin is unreachable, most agents wait for the manifest at another agent")
{
    // Guards against a fleet whose agents all request the manifest when the origin recovers. The manifests would delay the chunks by most of a second.
    TwoAgents fixture;
    REQUIRE(fixture.m_first.m_node.start());
    REQUIRE(fixture.m_second.m_node.start());
    fixture.m_first.m_isOriginUnreachable = true;
    fixture.m_second.m_isOriginUnreachable = true;
    fixture.m_second.fetchRepeatedly();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_second.m_originRequests == 2; }));
    fixture.m_first.m_isOriginUnreachable = false;
    fixture.m_first.fetch();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_second.m_manifest.has_value(); }));
    CHECK(fixture.m_second.m_originRequests == 2);
}

TEST_CASE("Each further request for a manifest goes to another agent")
{
    // Guards against an agent that keeps asking a dead one.
    const std::vector<Gossip::Member> all = agents(60);
    std::set<Core::Address> sources;
    constexpr std::size_t originFetchers = 16;
    for (const Gossip::Member &agent : all) {
        std::vector<Gossip::Member> others = all;
        std::erase(others, agent);
        if (!Staging::manifestSource(agent.m_id, others, Version, originFetchers)) {
            continue;
        }
        sources.clear();
        for (std::size_t attempt = 0; attempt < originFetchers; ++attempt) {
            sources.insert(*Staging::manifestSource(agent.m_id, others, Version, originFetchers, attempt));
        }
        CHECK(sources.size() == originFetchers);
    }
}
