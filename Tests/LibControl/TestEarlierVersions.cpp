/// @file The state keeps the versions that an account ran before, so that its requests can be served throughout a rollout.

#include "LibControl/ApplyRecord.h"
#include "LibControl/Records.h"

#include <catch2/catch.hpp>

namespace {

Control::Template templateWith(const std::string &digest)
{
    Control::Template wanted;
    wanted.m_name = "drafts";
    wanted.m_service = "models";
    Control::AccountParameters account;
    account.m_account = "retail";
    account.m_model = "moodboard";
    account.m_version = digest.substr(0, 1);
    account.m_digest = digest;
    wanted.m_accounts = {account};
    return wanted;
}

}

TEST_CASE("the state keeps earlier versions of an account when newer ones were superseded before they served")
{
    // An operator publishes a new version and, before any replica has it, a newer one. An entry that has just been replaced has
    // only the control state. If the state did not name the version that still serves, callers would be refused until the newest
    // version is loaded.
    Control::ControlState state;
    Control::Offset revision = 0;
    for (const char letter : {'a', 'b', 'c', 'd', 'e'}) {
        Control::PublishTemplate change;
        change.m_template = templateWith(std::string(64, letter));
        change.m_basedOn = revision;
        const Control::Record record{std::string(1, letter), "technician", change};
        const Control::RecordOutcome outcome = Control::applyRecord(state, revision + 1, Control::encodeRecord(record));
        REQUIRE(outcome.m_accepted);
        revision = outcome.m_offset;
    }
    const std::vector<Control::EarlierVersion> &earlier = state.m_templates.at("drafts").m_earlier;
    REQUIRE(earlier.size() == Control::MaximumEarlierVersions);
    REQUIRE(earlier[0].m_version == "d");
    REQUIRE(earlier[2].m_version == "b");
}
