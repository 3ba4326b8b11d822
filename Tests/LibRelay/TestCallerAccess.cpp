/// @file Tests which callers the configuration lets in.

#include "../Support/RelayFixture.h"

using namespace TestSupport;

namespace {

/// Replaces the configuration by one without accounts.
void removeAccounts(RelayFixture &fixture, bool needsKeys)
{
    Fleet::Declarations declarations;
    declarations.m_end = 2;
    declarations.m_configurationOffset = 1;
    declarations.m_configuration = fixture.m_fleetState.configuration()->configuration();
    declarations.m_configuration->m_version = 1;
    declarations.m_configuration->m_accounts.clear();
    declarations.m_configuration->m_needsKeys = needsKeys;
    declarations.m_configuration->m_routes[1].m_isPublic = true;
    fixture.m_fleetState.apply(declarations);
}

}

TEST_CASE("Without accounts nobody has a key, and only public routes are open")
{
    // Guards against a service that is open to everybody once its last account is removed.
    RelayFixture fixture;
    fixture.addEndpoint(answering(Good));
    fixture.configure();
    CHECK(fixture.statusOf("/read/x") == "200");
    removeAccounts(fixture, true);
    CHECK(fixture.statusOf("/read/x") == "401");
    CHECK(fixture.statusOf("/read/x", "Key: never\r\n") == "401");
    CHECK(fixture.statusOf("/read/x", "") == "401");
    CHECK(fixture.statusOf("/book/x", "") == "200");
    CHECK(fixture.m_requests.size() == 2);
}

TEST_CASE("If the configuration has no list of accounts, callers need no key")
{
    RelayFixture fixture;
    fixture.addEndpoint(answering(Good));
    fixture.configure();
    removeAccounts(fixture, false);
    CHECK(fixture.statusOf("/read/x", "") == "200");
}

TEST_CASE("Homes that could not be read refuse a request instead of serving it anywhere")
{
    // Guards against requests that leave their homes because the list of homes could not be read.
    RelayFixture fixture;
    fixture.addEndpoint(answering(Good));
    fixture.configure();
    Fleet::Declarations declarations;
    declarations.m_end = 2;
    declarations.m_configurationOffset = 1;
    declarations.m_configuration = fixture.m_fleetState.configuration()->configuration();
    declarations.m_configuration->m_version = 1;
    declarations.m_configuration->m_routes[0].m_homeRegions = std::vector<std::string>();
    fixture.m_fleetState.apply(declarations);
    CHECK(fixture.statusOf("/read/x") == "503");
    CHECK(fixture.m_requests.empty());
}
