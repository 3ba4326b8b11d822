/// @file Beliefs only move towards newer records, whatever order they come in.

#include "LibFleet/FleetState.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);

Fleet::Declarations configurationAt(Fleet::Offset offset, std::uint64_t version)
{
    Fleet::Declarations declarations;
    declarations.m_end = offset + 1;
    declarations.m_configuration = Fleet::Configuration{};
    declarations.m_configuration->m_version = version;
    declarations.m_configurationOffset = offset;
    return declarations;
}

Fleet::Endpoint endpoint(const std::string &id, std::uint64_t started = 1)
{
    Fleet::Endpoint made;
    made.m_id = id;
    made.m_startedMilliseconds = started;
    made.m_address = Core::Address{"127.0.0.1", 1};
    made.m_service = "drafts";
    made.m_slots = 16;
    return made;
}

Fleet::EndpointChanges entry(const Fleet::Endpoint &endpoint, Fleet::Offset offset)
{
    return Fleet::EndpointChanges{offset + 1, false, {Fleet::EndpointChange{endpoint.m_id, offset, endpoint}}};
}

Fleet::EndpointChanges removal(const std::string &id, Fleet::Offset offset)
{
    return Fleet::EndpointChanges{offset + 1, false, {Fleet::EndpointChange{id, offset, std::nullopt}}};
}

}

TEST_CASE("the first record of a log counts as a configuration")
{
    // A log numbers its records from 0. A process that took mark 0 for "none known" told nobody of a configuration at offset 0, so processes beside
    // engines never learned what to load and joining engines stayed empty.
    Fleet::FleetState beliefs;
    CHECK(beliefs.declarations().configurationRevisionOffset() == 0);
    CHECK(beliefs.apply(configurationAt(0, 3)).m_configuration);
    CHECK(beliefs.declarations().configurationRevisionOffset() == 1);
}

TEST_CASE("an older configuration never replaces a newer one")
{
    // A peer that was cut off comes back and hands out what it knew. Callers would see a revoked key work again.
    Fleet::FleetState beliefs;
    beliefs.apply(configurationAt(7, 30));
    CHECK_FALSE(beliefs.apply(configurationAt(5, 20)).any());
    CHECK(beliefs.configuration()->configuration().m_version == 30);
    CHECK(beliefs.apply(configurationAt(9, 40)).m_configuration);
}

TEST_CASE("declared weights only rise")
{
    Fleet::FleetState beliefs;
    Fleet::Declarations declarations;
    declarations.m_weights = {Fleet::DeclaredWeights{"draft", 3, 9}};
    CHECK(beliefs.apply(declarations).m_weights);
    declarations.m_weights = {Fleet::DeclaredWeights{"draft", 2, 8}};
    CHECK_FALSE(beliefs.apply(declarations).any());
    CHECK(beliefs.declaredWeights("draft")->m_version == 3);
    CHECK(beliefs.declaredWeights("other") == nullptr);
}

TEST_CASE("an endpoint that leaves stays leaving for its incarnation")
{
    // A heartbeat that was under way when the endpoint announced its leaving arrives later. New requests would go to an endpoint that exits.
    Fleet::FleetState beliefs;
    Fleet::Endpoint leaving = endpoint("a");
    leaving.m_isLeaving = true;
    beliefs.apply(entry(leaving, 4), std::nullopt, Start);
    beliefs.apply(entry(endpoint("a"), 5), std::nullopt, Start);
    CHECK(beliefs.endpoints().at("a").m_endpoint.m_isLeaving);

    beliefs.apply(entry(endpoint("a", 2), 6), std::nullopt, Start);
    CHECK_FALSE(beliefs.endpoints().at("a").m_endpoint.m_isLeaving);
}

TEST_CASE("a record of an earlier incarnation is ignored")
{
    Fleet::FleetState beliefs;
    beliefs.apply(entry(endpoint("a", 9), 4), std::nullopt, Start);
    CHECK_FALSE(beliefs.apply(entry(endpoint("a", 8), 5), std::nullopt, Start).any());
    CHECK(beliefs.endpoints().at("a").m_endpoint.m_startedMilliseconds == 9);
}

TEST_CASE("an entry that lapses while the list is away is kept until it is still missing after its return")
{
    // While the log is down engines cannot renew their entries, which lapse together. Taken for dead, the whole fleet would be refused to callers
    // at the moment at which the log comes back.
    Fleet::FleetState beliefs;
    beliefs.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    beliefs.apply(entry(endpoint("b"), 2), std::nullopt, Start);
    beliefs.apply(removal("a", 3), Start, Start);
    beliefs.apply(removal("b", 4), Start, Start);
    CHECK(beliefs.endpoints().size() == 2);

    beliefs.apply(entry(endpoint("a"), 5), std::nullopt, Start + Core::Duration(1500));
    beliefs.removeMissing(Core::Duration(2500), Start + Core::Duration(2600));
    CHECK(beliefs.endpoints().contains("a"));
    CHECK_FALSE(beliefs.endpoints().contains("b"));
}

TEST_CASE("an entry that is removed shortly after an outage has no more time to come back than those that lapsed in it")
{
    // Guards against requests to an engine that left without a notice once the list was back: entries that live are back two seconds after that.
    Fleet::FleetState beliefs;
    beliefs.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    const Core::Instant removedAt = Start + Core::Duration(2000);
    beliefs.apply(removal("a", 2), Start, removedAt);
    beliefs.removeMissing(Core::Duration(2500), Start + Core::Duration(2400));
    CHECK(beliefs.endpoints().contains("a"));
    beliefs.removeMissing(Core::Duration(2500), Start + Core::Duration(2600));
    CHECK_FALSE(beliefs.endpoints().contains("a"));
}

TEST_CASE("an entry that is removed while the list is well is gone at once")
{
    Fleet::FleetState beliefs;
    beliefs.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    CHECK(beliefs.apply(removal("a", 2), std::nullopt, Start).m_endpoints);
    CHECK(beliefs.endpoints().empty());
}

TEST_CASE("a snapshot drops what it does not name, but nothing that is newer")
{
    Fleet::FleetState beliefs;
    beliefs.apply(entry(endpoint("old"), 1), std::nullopt, Start);
    Fleet::EndpointChanges snapshot = entry(endpoint("kept"), 5);
    snapshot.m_isSnapshot = true;
    beliefs.apply(snapshot, std::nullopt, Start);
    CHECK_FALSE(beliefs.endpoints().contains("old"));
    CHECK(beliefs.endpoints().contains("kept"));

    beliefs.apply(entry(endpoint("new"), 9), std::nullopt, Start);
    Fleet::EndpointChanges late = entry(endpoint("kept"), 5);
    late.m_isSnapshot = true;
    beliefs.apply(late, std::nullopt, Start);
    CHECK(beliefs.endpoints().contains("new"));
}

TEST_CASE("a peer's snapshot does not bring an endpoint back that has gone")
{
    Fleet::FleetState source;
    source.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    const Fleet::EndpointChanges told = source.endpointSnapshot();

    Fleet::FleetState beliefs;
    beliefs.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    beliefs.apply(removal("a", 2), std::nullopt, Start);
    beliefs.apply(told, std::nullopt, Start);
    CHECK(beliefs.endpoints().empty());
}

TEST_CASE("the mark of the list grows with what matters, and equally for everybody")
{
    // The list grows by a record for each sign of life. If a peer's further reading counted as news, everybody would ask everybody for it all the time.
    Fleet::FleetState reader;
    reader.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    CHECK(reader.endpointsRevisionOffset() == 2);
    reader.apply(entry(endpoint("a"), 5), std::nullopt, Start);
    CHECK(reader.endpointsRevisionOffset() == 2);
    Fleet::Endpoint leaving = endpoint("a");
    leaving.m_isLeaving = true;
    reader.apply(entry(leaving, 7), std::nullopt, Start);
    CHECK(reader.endpointsRevisionOffset() == 8);

    Fleet::FleetState peer;
    peer.apply(reader.endpointSnapshot(), std::nullopt, Start);
    CHECK(peer.endpointsRevisionOffset() == reader.endpointsRevisionOffset());
    CHECK(peer.endpoints().at("a").m_endpoint.m_isLeaving);
}

TEST_CASE("a peer hands on that an endpoint is missing from the list")
{
    // An engine leaves without a notice while the log is away. An entry that has its list from a peer must pass it over just as the peer does.
    Fleet::FleetState reader;
    Fleet::FleetState peer;
    reader.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    reader.apply(entry(endpoint("b"), 2), std::nullopt, Start);
    peer.apply(reader.endpointSnapshot(), std::nullopt, Start);
    CHECK(reader.apply(removal("a", 3), Start, Start).m_endpoints);
    CHECK(peer.apply(reader.endpointSnapshot(), std::nullopt, Start).m_endpoints);
    CHECK(peer.endpoints().at("a").m_missingSince);
    CHECK_FALSE(peer.endpoints().at("b").m_missingSince);
    CHECK(peer.endpointsRevisionOffset() == reader.endpointsRevisionOffset());
}

TEST_CASE("an engine that started again at its address replaces the one before, whichever entry is read first")
{
    // All machines lose power. The engines are back under new ids within a second, but their old entries stand until they lapse; many requests went
    // to engines that are no more and were refused.
    Fleet::FleetState beliefs;
    beliefs.apply(entry(endpoint("old", 100), 1), std::nullopt, Start);
    beliefs.apply(entry(endpoint("new", 200), 2), std::nullopt, Start);
    CHECK_FALSE(beliefs.endpoints().contains("old"));
    CHECK(beliefs.endpoints().contains("new"));
    // A late sign of life of the old one, and a list that names it last.
    beliefs.apply(entry(endpoint("old", 100), 3), std::nullopt, Start);
    CHECK_FALSE(beliefs.endpoints().contains("old"));

    // Another service may get the address of an engine that has gone; the two are told apart by their ids.
    Fleet::Endpoint other = endpoint("other", 300);
    other.m_service = "portal";
    beliefs.apply(entry(other, 4), std::nullopt, Start);
    CHECK(beliefs.endpoints().contains("new"));
}

TEST_CASE("endpoints that state no time of their start replace nobody")
{
    Fleet::FleetState beliefs;
    beliefs.apply(entry(endpoint("a", 0), 1), std::nullopt, Start);
    beliefs.apply(entry(endpoint("b", 0), 2), std::nullopt, Start);
    CHECK(beliefs.endpoints().size() == 2);
}
