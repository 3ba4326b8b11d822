/// @file The member table: announcements take precedence over the list, which lags behind, and ended incarnations do not return.

#include "Examples.h"
#include "LibControl/MemberTable.h"

#include <catch2/catch.hpp>

using namespace Examples;

namespace {

const Core::Instant Start = Core::Instant() + std::chrono::hours(1);

Protocol::Member listed(Protocol::Member member)
{
    member.m_incarnation.clear();
    member.m_leaving = false;
    return member;
}

}

TEST_CASE("an outdated list does not make a leaving instance live again")
{
    // An instance announces that it is leaving, and the list shows it as live for some seconds more. New work sent there would be cut off.
    Control::MemberTable table;
    Protocol::Member member = agent(1, "hcm-a");
    table.announce(member, Start);
    member.m_leaving = true;
    REQUIRE(table.announce(member, Start));
    REQUIRE_FALSE(table.applyList(std::vector<Protocol::Member>{listed(member)}, Start));
    REQUIRE(table.members().front().m_leaving);
    Protocol::Member early = member;
    early.m_leaving = false;
    table.merge(Control::MembershipSnapshot{{early}, {}}, Start);
    REQUIRE(table.members().front().m_leaving);
}

TEST_CASE("a replaced incarnation does not return from another entry's table")
{
    // An instance is replaced under the same name. Another entry, which does not know of the replacement yet, sends the old incarnation.
    Control::MemberTable table;
    const Protocol::Member old = agent(1, "hcm-a");
    Protocol::Member replacement = old;
    replacement.m_incarnation = "second life";
    table.announce(old, Start);
    table.announce(replacement, Start);
    table.merge(Control::MembershipSnapshot{{old}, {}}, Start);
    REQUIRE(table.members() == std::vector<Protocol::Member>{replacement});
    REQUIRE_FALSE(table.announce(old, Start));

    Control::MemberTable other;
    other.announce(old, Start);
    REQUIRE(other.merge(table.snapshot(), Start));
    REQUIRE(other.members() == std::vector<Protocol::Member>{replacement});
}

TEST_CASE("an instance that the list no longer shows is removed, and one that it does not show yet is kept for a while")
{
    Control::MemberTable table;
    table.applyList(std::vector<Protocol::Member>{listed(agent(1, "hcm-a"))}, Start);
    table.announce(agent(1, "hcm-a"), Start);
    table.announce(agent(2, "hcm-a"), Start);
    table.applyList({}, Start);
    REQUIRE(table.members() == std::vector<Protocol::Member>{agent(2, "hcm-a")});
    table.merge(Control::MembershipSnapshot{{agent(1, "hcm-a")}, {}}, Start);
    REQUIRE(table.members().size() == 1);
    table.applyList({}, Start + Control::UnlistedTimeout);
    REQUIRE(table.members().empty());
}

TEST_CASE("an instance that the list never shows is kept while it announces itself, here and where it is known from others")
{
    // The list omits a live instance, or lags behind for a long time. If the instance were removed, it would be idle although it could serve.
    Control::MemberTable table;
    Control::MemberTable other;
    table.announce(agent(1, "hcm-a"), Start);
    other.merge(table.snapshot(), Start);
    const Core::Instant later = Start + Control::UnlistedTimeout;
    REQUIRE_FALSE(table.announce(agent(1, "hcm-a"), later));
    REQUIRE_FALSE(table.applyList({}, later));
    REQUIRE_FALSE(other.applyList({}, later));
    // Once it stops announcing itself, the entry where it announced itself reports its end to the others.
    REQUIRE(table.applyList({}, later + Control::UnlistedTimeout));
    REQUIRE(other.merge(table.snapshot(), later + Control::UnlistedTimeout));
    REQUIRE(other.members().empty());
}
