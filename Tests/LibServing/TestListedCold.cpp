/// @file Tests that endpoints which the list calls cold are known to the budget, in whichever order the list and the configuration become known.

#include "LibServing/ListedCold.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1'000'000);

Fleet::Declarations configuration(double perSecond)
{
    Fleet::Service service;
    service.m_name = "s";
    service.m_coldSeconds = 3;
    service.m_coldRequestsPerSecond = perSecond;
    Fleet::Declarations declarations;
    declarations.m_configuration = Fleet::Configuration{};
    declarations.m_configuration->m_services = {service};
    declarations.m_configurationOffset = 1;
    return declarations;
}

Fleet::EndpointChanges coldEndpoint()
{
    Fleet::Endpoint endpoint;
    endpoint.m_id = "e";
    endpoint.m_service = "s";
    endpoint.m_startedMilliseconds = 7;
    endpoint.m_isCold = true;
    Fleet::EndpointChanges changes;
    changes.m_changes = {Fleet::EndpointChange{"e", 1, endpoint}};
    changes.m_end = 2;
    return changes;
}

}

TEST_CASE("An endpoint that the list calls cold is cold, whether the list or the configuration becomes known first")
{
    // Guards against any number of requests to cold endpoints from an entry that has read the list before the configuration.
    const bool isListFirst = GENERATE(true, false);
    CAPTURE(isListFirst);
    Fleet::FleetState state;
    Placement::ColdBudget budget(Placement::LimitHolder{"self", ""}, {}, Start);
    Serving::ListedCold listed;
    for (const bool isList : {isListFirst, !isListFirst}) {
        if (isList) {
            state.apply(coldEndpoint(), std::nullopt, Start);
        } else {
            state.apply(configuration(26));
        }
        listed = Serving::recordListedCold(listed, state, budget, Start);
    }
    REQUIRE(state.endpoints().contains("e"));
    CHECK(budget.isCold(state.endpoints().at("e").m_endpoint, Start));
    CHECK(listed.size() == 1);
}

TEST_CASE("An endpoint is cold once a configuration states what it takes, although an earlier one did not")
{
    Fleet::FleetState state;
    Placement::ColdBudget budget(Placement::LimitHolder{"self", ""}, {}, Start);
    state.apply(configuration(0));
    state.apply(coldEndpoint(), std::nullopt, Start);
    Serving::ListedCold listed = Serving::recordListedCold({}, state, budget, Start);
    CHECK_FALSE(budget.isCold(state.endpoints().at("e").m_endpoint, Start));
    Fleet::Declarations changed = configuration(26);
    changed.m_configurationOffset = 2;
    state.apply(changed);
    listed = Serving::recordListedCold(listed, state, budget, Start);
    CHECK(budget.isCold(state.endpoints().at("e").m_endpoint, Start));
}

TEST_CASE("An endpoint that stays on the list as cold does not become cold again")
{
    Fleet::FleetState state;
    Placement::ColdBudget budget(Placement::LimitHolder{"self", ""}, {}, Start);
    state.apply(configuration(26));
    state.apply(coldEndpoint(), std::nullopt, Start);
    Serving::ListedCold listed = Serving::recordListedCold({}, state, budget, Start);
    listed = Serving::recordListedCold(listed, state, budget, Start + Core::Duration(2000));
    CHECK_FALSE(budget.isCold(state.endpoints().at("e").m_endpoint, Start + Core::Duration(3000)));
}
