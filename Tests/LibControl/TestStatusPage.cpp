/// @file The pages of several entries are combined to what is in force, and an entry that is behind does not mislead operators.

#include "LibControl/StatusPage.h"

#include <catch2/catch.hpp>

namespace {

Control::StatusPage parse(const std::string &text)
{
    const Core::Result<Control::StatusPage> page = Control::parseStatusPage(text, "entry");
    REQUIRE(page);
    return page.value();
}

const std::string First = R"({"entry":"e1","applied":9,
 "members":[{"id":"a1","role":"agent","failure_domain":"hcm-a","leaving":false,"applied":9},
            {"id":"a2","role":"agent","failure_domain":"hanoi-a","leaving":false,"applied":0},
            {"id":"a3","role":"agent","failure_domain":"hanoi-a","leaving":true,"applied":0}],
 "services":[{"service":"drafts","plan":8,"deployments":[{"model":"m","version":"2","digest":"d2","wanted":2,"serving":1,"unwatched":1,
              "serving_instances":["a1"],"waiting_instances":[]}]}],
 "transfers":[]})";

const std::string Second = R"({"entry":"e2","applied":7,
 "members":[{"id":"a1","role":"agent","failure_domain":"hcm-a","leaving":false,"applied":0},
            {"id":"a2","role":"agent","failure_domain":"hanoi-a","leaving":false,"applied":8}],
 "services":[{"service":"drafts","plan":5,"deployments":[{"model":"m","version":"1","digest":"d1","wanted":2,"serving":2,"unwatched":0,
              "serving_instances":["a1","a2"],"waiting_instances":[]}]}],
 "transfers":[{"instance":"a2","digest":"d2","held":3,"total":4}]})";

}

TEST_CASE("combined pages have the newest status of any page, and omit deployments of an older plan")
{
    // An operator asks two entries, and one of them is behind. The combined page must not show the old version as still wanted.
    const std::vector<Control::StatusPage> pages = {parse(First), parse(Second)};
    const Control::StatusPage page = Control::combineStatusPages(pages);
    REQUIRE(page.m_applied == 9);
    REQUIRE(page.m_deployments.size() == 1);
    REQUIRE(page.m_deployments.front().m_digest == "d2");
    REQUIRE(page.m_deployments.front().m_serving == std::set<std::string>{"a1"});
    REQUIRE(Control::instancesBehind(page, 9) == std::vector<std::string>{"a2"});
    REQUIRE(Control::instancesBehind(page, 8).empty());
    REQUIRE(Control::statusByFailureDomain(page, page.m_deployments.front()).at("hcm-a") == Control::FailureDomainStatus{1, 1});
}

TEST_CASE("progress includes the weights that waiting instances already hold")
{
    Control::StatusPage page = parse(First);
    page.m_deployments.front().m_waiting.insert("a2");
    page.m_transfers = parse(Second).m_transfers;
    REQUIRE(Control::deploymentProgress(page, page.m_deployments.front()) == Approx(0.875));
    REQUIRE_FALSE(Control::parseStatusPage(R"({"entry":"e1","applied":"x"})", "entry"));
    REQUIRE_FALSE(Control::parseStatusPage("", "entry"));
}
