/// @file Reports of agents, whole and of the load alone.

#include "LibProtocol/Report.h"
#include "LibWire/Pack.h"

#include <catch2/catch.hpp>

namespace {

Protocol::AgentReport wholeReport(std::uint64_t sequence, const std::string &digest)
{
    Protocol::AgentReport report;
    report.m_member.m_id = "models-1";
    report.m_sequence = sequence;
    report.m_attestations = {Protocol::Attestation{digest, 1}};
    return report;
}

}

TEST_CASE("a load report changes the load and nothing else")
{
    Protocol::AgentReport held;
    REQUIRE(Protocol::applyWatchFrame(Wire::pack(wholeReport(5, "old")), "agent", held));
    REQUIRE(Protocol::applyWatchFrame(Wire::pack(Protocol::LoadReport{true, 6, 5, {3, 1, 8}}), "agent", held));
    Protocol::AgentReport expected = wholeReport(6, "old");
    expected.m_load = Protocol::EndpointLoad{3, 1, 8};
    REQUIRE(held == expected);
}

TEST_CASE("a load report that builds on a missed whole report is not taken for a sign of life")
{
    // An entry fell behind and missed the report in which an engine gave a version up. Were the loads that follow applied to the old report, the entry
    // would go on sending requests for a version that is not there; ignored, the old report expires until the next whole one.
    Protocol::AgentReport held = wholeReport(5, "old");
    const Core::Result<void> applied = Protocol::applyWatchFrame(Wire::pack(Protocol::LoadReport{true, 8, 7, {}}), "agent", held);
    REQUIRE(applied.error().m_code == Core::ErrorCode::Conflict);
    REQUIRE(held == wholeReport(5, "old"));
    REQUIRE(Protocol::applyWatchFrame("noise", "agent", held).error().m_code == Core::ErrorCode::Corrupt);
}
