/// @file Application of records: one of several competing changes is accepted, the same one everywhere, and no record is fatal.

#include "Examples.h"

#include <catch2/catch.hpp>

using namespace Examples;

TEST_CASE("of two changes to the same revision, the first in the log is accepted and the other is refused with the name of its author")
{
    // Two operators publish changes based on the same revision within the same second. Without the check, the later record would
    // silently undo a change that was reported to its operator as accepted.
    Control::ControlState state;
    REQUIRE(applyNext(state, makePublishRecord("r1", 0, makeTemplate("t", {account("a", '1', 1)}), "ann")).m_accepted);
    REQUIRE(applyNext(state, makePublishRecord("r2", 1, makeTemplate("t", {account("a", '2', 1)}), "bea")).m_accepted);
    const Control::RecordOutcome refused = applyNext(state, makePublishRecord("r3", 1, makeTemplate("t", {account("a", '3', 1)}), "cid"));
    REQUIRE_FALSE(refused.m_accepted);
    REQUIRE(refused.m_winner == 2);
    REQUIRE(refused.m_winnerAuthor == "bea");
    REQUIRE(state.m_templates.at("t").m_template.m_accounts.front().m_digest == std::string(64, '2'));
    REQUIRE(*Control::findOutcome(state, "r3") == refused);
}

TEST_CASE("a change based on a revision before the removal of the template is refused")
{
    // One operator removes a template while another operator, who has not seen the removal, changes a parameter. The change must
    // not bring the template back.
    Control::ControlState state;
    applyNext(state, makePublishRecord("r1", 0, makeTemplate("t", {account("a", '1', 1)})));
    REQUIRE(applyNext(state, Control::Record{"r2", "bea", Control::RemoveTemplate{"t", 1}}).m_accepted);
    const Control::RecordOutcome late = applyNext(state, makePublishRecord("r3", 1, makeTemplate("t", {account("a", '2', 1)})));
    REQUIRE_FALSE(late.m_accepted);
    REQUIRE(late.m_winnerAuthor == "bea");
    REQUIRE(state.m_templates.empty());
    REQUIRE(applyNext(state, makePublishRecord("r4", 2, makeTemplate("t", {account("a", '2', 1)}))).m_accepted);
}

TEST_CASE("a record that was appended twice takes effect once")
{
    // A writer that did not get the answer appends the record again. The copy must not count as a second change that overrides another writer's.
    Control::ControlState state;
    const Control::Record once = makePublishRecord("r1", 0, makeTemplate("t", {account("a", '1', 1)}));
    applyNext(state, once);
    const Control::RecordOutcome again = applyNext(state, once);
    REQUIRE(again.m_accepted);
    REQUIRE(again.m_offset == 1);
    REQUIRE(state.m_templates.at("t").m_revision == 1);
    REQUIRE(state.m_outcomes.size() == 1);
}

TEST_CASE("malformed and oversized records are refused and skipped")
{
    // A faulty writer appends bytes that are not a record. If readers stopped there, no later change would come into force anywhere.
    Control::ControlState state;
    REQUIRE_FALSE(Control::applyRecord(state, 1, "nonsense").m_accepted);
    REQUIRE_FALSE(Control::applyRecord(state, 2, std::string(100, '\x91')).m_accepted);
    REQUIRE_FALSE(Control::applyRecord(state, 3, "").m_accepted);
    Control::Template invalid = makeTemplate("t", {account("a", '1', 0)});
    REQUIRE_FALSE(applyNext(state, makePublishRecord("r4", 0, invalid)).m_accepted);
    invalid = makeTemplate("t", {account("a", 'x', 1)});
    REQUIRE_FALSE(applyNext(state, makePublishRecord("r5", 0, invalid)).m_accepted);
    invalid = makeTemplate("t", {account("a", '1', 1), account("a", '2', 1)});
    REQUIRE_FALSE(applyNext(state, makePublishRecord("r6", 0, invalid)).m_accepted);
    REQUIRE(state.m_applied == 6);
    REQUIRE(applyNext(state, makePublishRecord("r7", 0, makeTemplate("t", {account("a", '1', 1)}))).m_accepted);
    REQUIRE(state.m_templates.at("t").m_revision == 7);
}

TEST_CASE("of two plans made at the same time, one is accepted and its offset is the fencing number")
{
    Control::ControlState state;
    Control::Plan plan;
    plan.m_service = "drafts";
    REQUIRE(applyNext(state, Control::Record{"p1", "e1", Control::PublishPlan{0, plan}}).m_accepted);
    REQUIRE_FALSE(applyNext(state, Control::Record{"p2", "e2", Control::PublishPlan{0, plan}}).m_accepted);
    REQUIRE(state.m_plans.at("drafts").m_offset == 1);
    REQUIRE(applyNext(state, Control::Record{"p3", "e2", Control::PublishPlan{1, plan}}).m_accepted);
    REQUIRE(state.m_plans.at("drafts").m_offset == 3);
}

TEST_CASE("a state is unchanged after encoding and decoding, and the number of outcomes is bounded")
{
    Control::ControlState state;
    for (int number = 0; number < 400; ++number) {
        applyNext(state, makePublishRecord("r" + std::to_string(number), static_cast<Control::Offset>(number), makeTemplate("t", {account("a", '1', 1)})));
    }
    REQUIRE(state.m_outcomes.size() == Control::MaximumOutcomes);
    const Core::Result<Control::ControlState> decoded = Control::decodeState(Control::encodeState(state), "");
    REQUIRE(decoded);
    REQUIRE(decoded.value() == state);
    REQUIRE_FALSE(Control::decodeState("nonsense", "peer"));
}
