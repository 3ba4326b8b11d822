/// @file Tests of the lookup of routes and accounts, and of the derived service properties.

#include "LibFleet/Configuration.h"

#include <catch2/catch.hpp>

namespace {

Fleet::Route route(const std::string &name, const std::string &prefix, Fleet::RequestKind kind = Fleet::RequestKind::Idempotent)
{
    Fleet::Route made;
    made.m_name = name;
    made.m_host = "plans.example";
    made.m_pathPrefix = prefix;
    made.m_kind = kind;
    made.m_services = {Fleet::ServiceShare{"plans", 1}};
    return made;
}

}

TEST_CASE("the route with the longest matching prefix of the host is chosen")
{
    Fleet::Configuration configuration;
    configuration.m_routes = {route("short", "/a/"), route("long", "/a/b/")};
    const Fleet::ConfigurationIndex index(configuration);
    CHECK(index.route("plans.example", "/a/b/c")->m_name == "long");
    CHECK(index.route("plans.example", "/a/x")->m_name == "short");
    CHECK(index.route("plans.example", "/a") == nullptr);
    CHECK(index.route("other.example", "/a/x") == nullptr);
}

TEST_CASE("a key is found only for the account that holds it")
{
    Fleet::Configuration configuration;
    configuration.m_accounts = {Fleet::ClientAccount{"one", {"k1", "k2"}, 0}, Fleet::ClientAccount{"two", {"k3"}, std::nullopt}};
    const Fleet::ConfigurationIndex index(configuration);
    CHECK(index.accountOfKey("k2")->m_name == "one");
    CHECK(index.accountOfKey("k3")->m_name == "two");
    CHECK(index.accountOfKey("k4") == nullptr);
}
