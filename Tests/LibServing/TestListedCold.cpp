/// @file Tests that the budget for cold endpoints follows what the list and the configuration state now, in whichever order they become known.

#include "LibServing/ListedCold.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1'000'000);
const Core::Instant LongAgo = Start - Core::Duration(60000);
constexpr Core::Duration ColdTime{3000};
constexpr Core::Duration BeforeEnd{2400}; ///< From the start of a cold time to a moment shortly before its end.
constexpr double PerSecond = 26;

/// What an entry knows of one endpoint.
class KnownFleet
{
public:
    KnownFleet()
    {
        m_budget.setEntries({}, true, LongAgo);
    }

    void configure(double perSecond)
    {
        Fleet::Service service;
        service.m_name = "s";
        service.m_coldSeconds = 3;
        service.m_coldRequestsPerSecond = perSecond;
        Fleet::Declarations declarations;
        declarations.m_configuration = Fleet::Configuration{};
        declarations.m_configuration->m_services = {service};
        declarations.m_configurationOffset = ++m_offset;
        m_state.apply(declarations);
        record();
    }

    /// Applies an entry of the list that states how long the endpoint stays cold.
    void list(std::optional<Core::Duration> coldLeft, Core::Instant now)
    {
        Fleet::Endpoint endpoint;
        endpoint.m_id = "e";
        endpoint.m_service = "s";
        endpoint.m_startedMilliseconds = 7;
        endpoint.m_isCold = !coldLeft || coldLeft->count() > 0;
        Fleet::EndpointChange change{"e", ++m_offset, endpoint};
        if (coldLeft) {
            change.m_coldMilliseconds = static_cast<std::uint64_t>(coldLeft->count());
        }
        m_state.apply(Fleet::EndpointChanges{m_offset + 1, false, {change}}, std::nullopt, now);
        record();
    }

    void suspect(Core::Instant now)
    {
        Serving::suspectCold(endpoint(), m_state, m_budget, now);
    }

    bool isCold(Core::Instant now) const
    {
        return m_budget.isCold(endpoint(), now);
    }

    /// Returns how many requests the endpoint gets at once.
    std::size_t sendAll(Core::Instant now)
    {
        constexpr std::size_t most = 1000;
        std::size_t sent = 0;
        for (; sent < most && m_budget.maySend(endpoint(), now); ++sent) {
            m_budget.recordSent(endpoint(), now);
        }
        return sent;
    }

    const std::vector<Serving::ColdStatement> &lastChanges() const
    {
        return m_lastChanges;
    }

private:
    const Fleet::Endpoint &endpoint() const
    {
        return m_state.endpoints().at("e").m_endpoint;
    }
    void record()
    {
        m_lastChanges = Serving::recordListedCold(m_state, m_budget);
    }

    Fleet::Offset m_offset = 0;
    Fleet::FleetState m_state;
    Placement::ColdBudget m_budget{Placement::LimitHolder{"self", ""}, {}, LongAgo};
    std::vector<Serving::ColdStatement> m_lastChanges;
};

}

TEST_CASE("An endpoint that the list calls cold is cold, whether the list or the configuration becomes known first")
{
    // Guards against any number of requests to cold endpoints from an entry that has read the list before the configuration.
    const bool isListFirst = GENERATE(true, false);
    CAPTURE(isListFirst);
    KnownFleet fleet;
    for (const bool isList : {isListFirst, !isListFirst}) {
        if (isList) {
            fleet.list(ColdTime, Start);
        } else {
            fleet.configure(PerSecond);
        }
    }
    CHECK(fleet.isCold(Start));
    CHECK(fleet.lastChanges().size() == 1);
}

TEST_CASE("An endpoint is cold once a configuration states what it takes, although an earlier one did not")
{
    KnownFleet fleet;
    fleet.configure(0);
    fleet.list(ColdTime, Start);
    CHECK_FALSE(fleet.isCold(Start));
    fleet.configure(PerSecond);
    CHECK(fleet.isCold(Start));
}

TEST_CASE("While an endpoint is listed as cold, the rate of a changed configuration is in force")
{
    KnownFleet fleet;
    fleet.configure(PerSecond);
    fleet.list(ColdTime, Start);
    fleet.configure(5);
    CHECK(fleet.sendAll(Start) == 4); // Four fifths of the rate.
    fleet.configure(0);
    CHECK_FALSE(fleet.isCold(Start));
}

TEST_CASE("An endpoint whose cold time runs down on the list stays cold no longer than it and the delay of a statement")
{
    KnownFleet fleet;
    fleet.configure(PerSecond);
    fleet.list(ColdTime, Start);
    fleet.list(ColdTime - BeforeEnd, Start + BeforeEnd);
    CHECK(fleet.lastChanges().empty());
    CHECK(fleet.isCold(Start + ColdTime));
    CHECK_FALSE(fleet.isCold(Start + ColdTime + Serving::ColdStatementDelay));
}

TEST_CASE("An endpoint that the list calls warm gets its full rate at once")
{
    KnownFleet fleet;
    fleet.configure(PerSecond);
    fleet.list(ColdTime, Start);
    fleet.list(Core::Duration(0), Start + BeforeEnd);
    CHECK_FALSE(fleet.isCold(Start + BeforeEnd));
    CHECK(fleet.lastChanges() == std::vector<Serving::ColdStatement>{{"e", false, std::nullopt}});
}

TEST_CASE("An endpoint that becomes cold again while it is listed as cold keeps its limit for the whole time")
{
    // Guards against the full rate to an endpoint whose first cold time is over, but not its second.
    const std::size_t times = GENERATE(1U, 2U, 5U);
    CAPTURE(times);
    KnownFleet fleet;
    fleet.configure(PerSecond);
    fleet.list(ColdTime, Start);
    Core::Instant now = Start;
    for (std::size_t time = 0; time < times; ++time) {
        now += BeforeEnd;
        fleet.list(ColdTime, now);
        CHECK(fleet.lastChanges().size() == 1);
    }
    for (Core::Duration since{0}; since < ColdTime; since += Core::Duration(100)) {
        CHECK(fleet.isCold(now + since));
    }
    fleet.list(Core::Duration(0), now + ColdTime);
    CHECK_FALSE(fleet.isCold(now + ColdTime));
}

TEST_CASE("An endpoint that becomes cold again before the list has called it warm keeps its limit meanwhile")
{
    // Guards against the full rate between the end of a cold time and the statement of the next one.
    KnownFleet fleet;
    fleet.configure(PerSecond);
    fleet.list(ColdTime, Start);
    const Core::Instant coldAgainAt = Start + ColdTime + Core::Duration(150);
    const Core::Instant readAt = coldAgainAt + Core::Duration(2200); // A heartbeat and a read later.
    CHECK(fleet.isCold(readAt - Core::Duration(1)));
    fleet.list(ColdTime - Core::Duration(2200), readAt);
    CHECK(fleet.isCold(coldAgainAt + ColdTime - Core::Duration(1)));
}

TEST_CASE("An endpoint that the list calls cold for an unknown time is cold until the list calls it warm")
{
    // Guards against the full rate to cold endpoints that are known only from a peer that does not pass on how long they stay cold.
    KnownFleet fleet;
    fleet.configure(PerSecond);
    fleet.list(std::nullopt, Start);
    CHECK(fleet.isCold(Start + Core::Duration(60000)));
    fleet.list(Core::Duration(0), Start + Core::Duration(60000));
    CHECK_FALSE(fleet.isCold(Start + Core::Duration(60000)));
}

TEST_CASE("An endpoint that may have become cold unseen is cold for the whole cold time of its service, whatever the list states")
{
    KnownFleet fleet;
    fleet.configure(PerSecond);
    fleet.list(Core::Duration(0), Start);
    fleet.suspect(Start);
    fleet.list(Core::Duration(0), Start + BeforeEnd);
    CHECK(fleet.isCold(Start + ColdTime - Core::Duration(1)));
    CHECK_FALSE(fleet.isCold(Start + ColdTime));
}
