/// @file Tests that the fleet state applies only newer records, in whatever order they arrive.

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

/// Returns an entry of an endpoint that stays cold for @p left.
Fleet::EndpointChanges coldEntry(const std::string &id, std::optional<Core::Duration> left, Fleet::Offset offset, std::uint64_t started = 1)
{
    Fleet::Endpoint cold = endpoint(id, started);
    cold.m_isCold = true;
    Fleet::EndpointChanges changes = entry(cold, offset);
    if (left) {
        changes.m_changes.front().m_coldMilliseconds = static_cast<std::uint64_t>(left->count());
    }
    return changes;
}

Fleet::EndpointChanges removal(const std::string &id, Fleet::Offset offset)
{
    return Fleet::EndpointChanges{offset + 1, false, {Fleet::EndpointChange{id, offset, std::nullopt}}};
}

}

TEST_CASE("a configuration in the first record of a log is recognized")
{
    // Guards against treating offset 0, which the first record of a log has, as "no configuration". Such a configuration would not be passed on to agents,
    // so they would never learn which weights to load and joining engines would stay empty.
    Fleet::FleetState state;
    CHECK(state.declarations().configurationRevisionOffset() == 0);
    CHECK(state.apply(configurationAt(0, 3)).m_configuration);
    CHECK(state.declarations().configurationRevisionOffset() == 1);
}

TEST_CASE("an older configuration never replaces a newer one")
{
    // Guards against a peer that was partitioned and then sends its outdated configuration. Revoked keys would work again.
    Fleet::FleetState state;
    state.apply(configurationAt(7, 30));
    CHECK_FALSE(state.apply(configurationAt(5, 20)).any());
    CHECK(state.configuration()->configuration().m_version == 30);
    CHECK(state.apply(configurationAt(9, 40)).m_configuration);
}

TEST_CASE("an older declared version never replaces a newer one")
{
    Fleet::FleetState state;
    Fleet::Declarations declarations;
    declarations.m_weights = {Fleet::DeclaredWeights{"draft", 3, 9}};
    CHECK(state.apply(declarations).m_weights);
    declarations.m_weights = {Fleet::DeclaredWeights{"draft", 2, 8}};
    CHECK_FALSE(state.apply(declarations).any());
    CHECK(state.declaredWeights("draft")->m_version == 3);
    CHECK(state.declaredWeights("other") == nullptr);
}

TEST_CASE("a leaving endpoint stays leaving for the rest of its incarnation")
{
    // Guards against a heartbeat that was sent before the endpoint began to leave and arrives later. New requests would go to an endpoint that exits.
    Fleet::FleetState state;
    Fleet::Endpoint leaving = endpoint("a");
    leaving.m_isLeaving = true;
    state.apply(entry(leaving, 4), std::nullopt, Start);
    state.apply(entry(endpoint("a"), 5), std::nullopt, Start);
    CHECK(state.endpoints().at("a").m_endpoint.m_isLeaving);

    state.apply(entry(endpoint("a", 2), 6), std::nullopt, Start);
    CHECK_FALSE(state.endpoints().at("a").m_endpoint.m_isLeaving);
}

TEST_CASE("a record of an earlier incarnation is ignored")
{
    Fleet::FleetState state;
    state.apply(entry(endpoint("a", 9), 4), std::nullopt, Start);
    CHECK_FALSE(state.apply(entry(endpoint("a", 8), 5), std::nullopt, Start).any());
    CHECK(state.endpoints().at("a").m_endpoint.m_startedMilliseconds == 9);
}

TEST_CASE("an endpoint that starts again after its clock was set back is known by its second record, and is seen to leave")
{
    // Guards against an engine whose records are ignored until it ends because its start seems to be earlier than the one before.
    Fleet::FleetState state;
    state.apply(entry(endpoint("a", 100), 1), std::nullopt, Start);
    state.apply(entry(endpoint("a", 60), 2), std::nullopt, Start);
    CHECK(state.endpoints().at("a").m_endpoint.m_startedMilliseconds == 100);
    CHECK(state.apply(entry(endpoint("a", 60), 3), std::nullopt, Start).m_endpoints);
    CHECK(state.endpoints().at("a").m_endpoint.m_startedMilliseconds == 60);

    Fleet::Endpoint leaving = endpoint("a", 60);
    leaving.m_isLeaving = true;
    CHECK(state.apply(entry(leaving, 4), std::nullopt, Start).m_endpoints);
    CHECK(state.endpoints().at("a").m_endpoint.m_isLeaving);
}

TEST_CASE("late records of an incarnation that has ended change nothing, whatever its clock showed")
{
    Fleet::FleetState state;
    state.apply(entry(endpoint("a", 100), 1), std::nullopt, Start);
    state.apply(entry(endpoint("a", 60), 2), std::nullopt, Start);
    state.apply(entry(endpoint("a", 60), 3), std::nullopt, Start);
    CHECK_FALSE(state.apply(entry(endpoint("a", 100), 4), std::nullopt, Start).any());
    CHECK_FALSE(state.apply(entry(endpoint("a", 60), 5), std::nullopt, Start).any());
    CHECK_FALSE(state.apply(entry(endpoint("a", 100), 6), std::nullopt, Start).any());
    CHECK(state.endpoints().at("a").m_endpoint.m_startedMilliseconds == 60);

    // The same record read twice is one record.
    Fleet::FleetState other;
    other.apply(entry(endpoint("a", 9), 1), std::nullopt, Start);
    other.apply(entry(endpoint("a", 8), 2), std::nullopt, Start);
    CHECK_FALSE(other.apply(entry(endpoint("a", 8), 2), std::nullopt, Start).any());
}

TEST_CASE("an engine that starts at the address of an earlier one replaces it although its clock was set back")
{
    Fleet::FleetState state;
    state.apply(entry(endpoint("old", 100), 1), std::nullopt, Start);
    state.apply(entry(endpoint("new", 60), 2), std::nullopt, Start);
    CHECK(state.endpoints().contains("old"));
    state.apply(entry(endpoint("new", 60), 3), std::nullopt, Start);
    CHECK_FALSE(state.endpoints().contains("old"));
    CHECK(state.endpoints().contains("new"));
    state.apply(entry(endpoint("old", 100), 4), std::nullopt, Start);
    CHECK(state.endpoints().contains("new"));
}

TEST_CASE("a peer's list settles which incarnation is the later one")
{
    Fleet::FleetState reader;
    reader.apply(entry(endpoint("a", 100), 1), std::nullopt, Start);
    Fleet::FleetState other;
    other.apply(reader.endpointSnapshot(Start), std::nullopt, Start);
    reader.apply(entry(endpoint("a", 60), 2), std::nullopt, Start);
    other.apply(reader.endpointSnapshot(Start), std::nullopt, Start);
    CHECK(other.endpoints().at("a").m_endpoint.m_startedMilliseconds == 100);
    reader.apply(entry(endpoint("a", 60), 3), std::nullopt, Start);
    other.apply(reader.endpointSnapshot(Start), std::nullopt, Start);
    CHECK(other.endpoints().at("a").m_endpoint.m_startedMilliseconds == 60);
}

TEST_CASE("an endpoint whose entry expires during a log outage is removed only if the entry is still missing after the grace period")
{
    // While the log is down engines cannot renew their entries, so all entries expire together. If the endpoints were removed at once, all requests would be
    // refused when the log becomes reachable again.
    Fleet::FleetState state;
    state.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    state.apply(entry(endpoint("b"), 2), std::nullopt, Start);
    state.apply(removal("a", 3), Start, Start);
    state.apply(removal("b", 4), Start, Start);
    CHECK(state.endpoints().size() == 2);

    state.apply(entry(endpoint("a"), 5), std::nullopt, Start + Core::Duration(1500));
    state.removeMissing(Core::Duration(2500), Start + Core::Duration(2600));
    CHECK(state.endpoints().contains("a"));
    CHECK_FALSE(state.endpoints().contains("b"));
}

TEST_CASE("the grace period of an entry that is removed shortly after an outage counts from the end of the outage")
{
    // Guards against requests to an engine that left without notice after the outage. Entries of live engines are back two seconds after its end.
    Fleet::FleetState state;
    state.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    const Core::Instant removedAt = Start + Core::Duration(2000);
    state.apply(removal("a", 2), Start, removedAt);
    state.removeMissing(Core::Duration(2500), Start + Core::Duration(2400));
    CHECK(state.endpoints().contains("a"));
    state.removeMissing(Core::Duration(2500), Start + Core::Duration(2600));
    CHECK_FALSE(state.endpoints().contains("a"));
}

TEST_CASE("an endpoint whose entry is removed without an outage is removed at once")
{
    Fleet::FleetState state;
    state.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    CHECK(state.apply(removal("a", 2), std::nullopt, Start).m_endpoints);
    CHECK(state.endpoints().empty());
}

TEST_CASE("a snapshot removes the endpoints that it does not name unless they are newer")
{
    Fleet::FleetState state;
    state.apply(entry(endpoint("old"), 1), std::nullopt, Start);
    Fleet::EndpointChanges snapshot = entry(endpoint("kept"), 5);
    snapshot.m_isSnapshot = true;
    state.apply(snapshot, std::nullopt, Start);
    CHECK_FALSE(state.endpoints().contains("old"));
    CHECK(state.endpoints().contains("kept"));

    state.apply(entry(endpoint("new"), 9), std::nullopt, Start);
    Fleet::EndpointChanges late = entry(endpoint("kept"), 5);
    late.m_isSnapshot = true;
    state.apply(late, std::nullopt, Start);
    CHECK(state.endpoints().contains("new"));
}

TEST_CASE("a peer's snapshot does not restore an endpoint that was removed")
{
    Fleet::FleetState source;
    source.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    const Fleet::EndpointChanges snapshot = source.endpointSnapshot(Start);

    Fleet::FleetState state;
    state.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    state.apply(removal("a", 2), std::nullopt, Start);
    state.apply(snapshot, std::nullopt, Start);
    CHECK(state.endpoints().empty());
}

TEST_CASE("the revision offset of the list ignores heartbeats and is the same at every peer")
{
    // Each heartbeat adds a record to the list. If these records counted as updates, all processes would constantly request the list from each other.
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
    peer.apply(reader.endpointSnapshot(Start), std::nullopt, Start);
    CHECK(peer.endpointsRevisionOffset() == reader.endpointsRevisionOffset());
    CHECK(peer.endpoints().at("a").m_endpoint.m_isLeaving);
}

TEST_CASE("a snapshot from a peer says which endpoints are missing from the list")
{
    // An engine leaves without notice while the log is down. An entry that receives the list from a peer must avoid the engine as the peer does.
    Fleet::FleetState reader;
    Fleet::FleetState peer;
    reader.apply(entry(endpoint("a"), 1), std::nullopt, Start);
    reader.apply(entry(endpoint("b"), 2), std::nullopt, Start);
    peer.apply(reader.endpointSnapshot(Start), std::nullopt, Start);
    CHECK(reader.apply(removal("a", 3), Start, Start).m_endpoints);
    CHECK(peer.apply(reader.endpointSnapshot(Start), std::nullopt, Start).m_endpoints);
    CHECK(peer.endpoints().at("a").m_missingSince);
    CHECK_FALSE(peer.endpoints().at("b").m_missingSince);
    CHECK(peer.endpointsRevisionOffset() == reader.endpointsRevisionOffset());
}

TEST_CASE("an engine that restarts at its address replaces the earlier one, whichever record is read first")
{
    // After a power loss of all instances the engines return under new ids within a second, while their old entries exist until they expire. Guards against
    // sending requests to the old ids, which would be refused.
    Fleet::FleetState state;
    state.apply(entry(endpoint("old", 100), 1), std::nullopt, Start);
    state.apply(entry(endpoint("new", 200), 2), std::nullopt, Start);
    CHECK_FALSE(state.endpoints().contains("old"));
    CHECK(state.endpoints().contains("new"));
    // A late heartbeat of the old engine, as in a list that names it last.
    state.apply(entry(endpoint("old", 100), 3), std::nullopt, Start);
    CHECK_FALSE(state.endpoints().contains("old"));

    // An endpoint of another service may get the address of an engine that has ended; their ids distinguish them.
    Fleet::Endpoint other = endpoint("other", 300);
    other.m_service = "portal";
    state.apply(entry(other, 4), std::nullopt, Start);
    CHECK(state.endpoints().contains("new"));
}

TEST_CASE("endpoints without a start time do not replace others")
{
    Fleet::FleetState state;
    state.apply(entry(endpoint("a", 0), 1), std::nullopt, Start);
    state.apply(entry(endpoint("b", 0), 2), std::nullopt, Start);
    CHECK(state.endpoints().size() == 2);
}

namespace {

Fleet::Declarations evacuationAt(Fleet::Offset offset, const std::string &domain, bool isInForce)
{
    Fleet::Declarations declarations;
    declarations.m_end = offset + 1;
    declarations.m_evacuations = {Fleet::Evacuation{domain, offset, isInForce}};
    return declarations;
}

}

TEST_CASE("an evacuation holds until a newer record withdraws it, in whatever order records arrive")
{
    // Guards against a peer that was cut off and revives an evacuation that was taken back, or the other way round.
    Fleet::FleetState state;
    CHECK(state.apply(evacuationAt(4, "a", true)).m_evacuations);
    CHECK(state.evacuatedDomains() == std::set<std::string>{"a"});
    CHECK_FALSE(state.apply(evacuationAt(4, "a", true)).m_evacuations);
    CHECK(state.apply(evacuationAt(6, "b", true)).m_evacuations);
    CHECK(state.apply(evacuationAt(7, "a", false)).m_evacuations);
    CHECK_FALSE(state.apply(evacuationAt(4, "a", true)).any());
    CHECK(state.evacuatedDomains() == std::set<std::string>{"b"});
}

TEST_CASE("a full read withdraws the evacuations that it does not name, and keeps those that peers know from later records")
{
    // Guards against an evacuation that stays for ever because the withdrawal was dropped from the log before it was read.
    Fleet::FleetState state;
    state.apply(evacuationAt(4, "a", true));
    state.apply(evacuationAt(12, "b", true));
    Fleet::Declarations snapshot;
    snapshot.m_end = 10;
    snapshot.m_isSnapshot = true;
    CHECK(state.apply(snapshot).m_evacuations);
    CHECK(state.evacuatedDomains() == std::set<std::string>{"b"});
    CHECK_FALSE(state.apply(evacuationAt(4, "a", true)).any());
}

TEST_CASE("the list counts as unchanged while the cold time of an endpoint only runs down")
{
    // Guards against work and messages of all processes for each heartbeat of a cold endpoint.
    constexpr Core::Duration coldTime{3000};
    Fleet::FleetState state;
    state.apply(coldEntry("a", coldTime, 1), std::nullopt, Start);
    const std::int64_t lateness = GENERATE(0, 250, 900);
    for (const std::int64_t elapsed : {1200, 2400}) {
        const Core::Duration since(elapsed);
        CHECK_FALSE(state.apply(coldEntry("a", coldTime - since, 1 + elapsed), std::nullopt, Start + since + Core::Duration(lateness)).any());
    }
    CHECK(state.endpointsRevisionOffset() == 2);
    CHECK(state.endpoints().at("a").m_coldUntil == Start + coldTime);
}

TEST_CASE("an endpoint that becomes cold again while it is listed as cold is a change of the list, and its new end is handed on")
{
    // Guards against the full rate to an endpoint that is cold for a second time.
    constexpr Core::Duration coldTime{3000};
    constexpr Core::Duration again{2400};
    Fleet::FleetState reader;
    Fleet::FleetState peer;
    reader.apply(coldEntry("a", coldTime, 1), std::nullopt, Start);
    peer.apply(reader.endpointSnapshot(Start), std::nullopt, Start);
    CHECK(peer.endpoints().at("a").m_coldUntil == Start + coldTime);
    CHECK(reader.apply(coldEntry("a", coldTime, 3), std::nullopt, Start + again).m_endpoints);
    const Core::Instant handedOnAt = Start + again + Core::Duration(700);
    CHECK(peer.apply(reader.endpointSnapshot(handedOnAt), std::nullopt, handedOnAt).m_endpoints);
    CHECK(peer.endpoints().at("a").m_coldUntil == Start + again + coldTime);
}

TEST_CASE("an endpoint that becomes cold again and again at short intervals is never known with an end much before the stated one")
{
    constexpr Core::Duration coldTime{3000};
    Fleet::FleetState state;
    Core::Instant now = Start;
    for (Fleet::Offset offset = 1; offset < 20; ++offset, now += Core::Duration(300)) {
        state.apply(coldEntry("a", coldTime, offset), std::nullopt, now);
        CHECK(*state.endpoints().at("a").m_coldUntil >= now + coldTime - Fleet::ColdEndTolerance);
    }
}

TEST_CASE("the cold time belongs to an incarnation, and a warm endpoint has none")
{
    Fleet::FleetState state;
    state.apply(coldEntry("a", Core::Duration(3000), 1), std::nullopt, Start);
    state.apply(coldEntry("a", Core::Duration(500), 2, 2), std::nullopt, Start);
    CHECK(state.endpoints().at("a").m_coldUntil == Start + Core::Duration(500));
    CHECK(state.apply(entry(endpoint("a", 2), 3), std::nullopt, Start).m_endpoints);
    CHECK_FALSE(state.endpoints().at("a").m_coldUntil);
}

TEST_CASE("a change of a peer that does not pass on the cold time leaves the end unknown")
{
    // Guards against taking a time that is absent for one that is over.
    const Fleet::EndpointChange change = coldEntry("a", Core::Duration(3000), 1).m_changes.front();
    msgpack::sbuffer whole;
    msgpack::pack(whole, change);
    CHECK(msgpack::unpack(whole.data(), whole.size()).get().as<Fleet::EndpointChange>() == change);
    msgpack::sbuffer shortened;
    msgpack::packer<msgpack::sbuffer> packer(shortened);
    packer.pack_array(4);
    packer.pack(change.m_id);
    packer.pack(change.m_offset);
    packer.pack(change.m_endpoint);
    packer.pack(change.m_isMissing);
    const Fleet::EndpointChange received = msgpack::unpack(shortened.data(), shortened.size()).get().as<Fleet::EndpointChange>();
    CHECK(received.m_endpoint == change.m_endpoint);
    CHECK_FALSE(received.m_coldMilliseconds);
}
