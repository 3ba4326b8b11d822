/// @file Template documents: how they are read, and that all mistakes are reported at once.

#include "LibControl/ApplyRecord.h"
#include "LibControl/TemplateDocument.h"

#include <catch2/catch.hpp>

namespace {

Settings::Problems read(const std::string &content, Control::Template &document)
{
    return Settings::readDocument(content, "t.yaml", [&document](Settings::Reader &reader) { document = Control::readTemplateDocument(reader); });
}

}

TEST_CASE("a document is read as a template with its accounts")
{
    Control::Template document;
    REQUIRE(read(R"(
name: drafts
service: drafting-models
policy: time
origin_copies: 3
accounts:
  - {account: garments, model: moodboard, version: "7", replicas: 4, places: [hcm-a, hanoi-a], weight: 2}
  - {account: retail, model: moodboard, version: "7", replicas: 1}
)",
                 document)
                .empty());
    REQUIRE(document.m_policy == Control::BurstPolicy::Time);
    REQUIRE(document.m_originCopies == 3);
    REQUIRE(document.m_accounts.size() == 2);
    REQUIRE(document.m_accounts.front().m_failureDomains == std::vector<std::string>{"hcm-a", "hanoi-a"});
    REQUIRE(document.m_accounts.front().m_weight == 2);
    REQUIRE(document.m_accounts.back().m_weight == 1);
    REQUIRE_FALSE(Control::templateProblem(document).empty());
}

TEST_CASE("all mistakes of a document are reported at once")
{
    Control::Template document;
    const Settings::Problems problems = read(R"(
name: drafts
kind: engine
origin_copies: 0
accounts:
  - {account: a, model: m, version: "1", replicas: 0}
  - {account: a, model: m, version: "1", replicas: 1, place: hcm-a}
)",
                                             document);
    REQUIRE(problems.size() == 6);
}

TEST_CASE("a list of places that names none is a mistake, not a permission to use all")
{
    // Guards against replicas in every failure domain after the last place was taken out of the list.
    Control::Template document;
    const std::string head = "name: drafts\nservice: s\naccounts: [{account: a, model: m, version: \"1\", replicas: 1";
    CHECK(read(head + "}]\n", document).empty());
    CHECK(read(head + ", places: [hcm-a]}]\n", document).empty());
    for (const std::string places : {"[]", "", "hcm-a", "{}", "[[hcm-a]]"}) {
        CAPTURE(places);
        CHECK(read(head + ", places: " + places + "}]\n", document).size() == 1);
    }
}

TEST_CASE("accounts of a plain service must not name a model")
{
    Control::Template document;
    REQUIRE(read("name: bookings\nservice: booking-desk\nkind: plain\naccounts: [{account: a}]\n", document).empty());
    REQUIRE(Control::templateProblem(document).empty());
    REQUIRE(read("name: bookings\nservice: booking-desk\nkind: plain\naccounts: [{account: a, model: m}]\n", document).size() == 1);
}
