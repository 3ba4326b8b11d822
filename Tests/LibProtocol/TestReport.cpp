/// @file Full and load-only reports of agents.

#include "LibProtocol/Report.h"
#include "LibWire/Pack.h"

#include <catch2/catch.hpp>

namespace {

Protocol::AgentReport makeFullReport(std::uint64_t sequence, const std::string &digest)
{
    Protocol::AgentReport report;
    report.m_member.m_id = "models-1";
    report.m_sequence = sequence;
    report.m_attestations = {Protocol::Attestation{digest, 1}};
    return report;
}

}

TEST_CASE("A load report changes only the load and the sequence")
{
    Protocol::AgentReport held;
    REQUIRE(Protocol::applyWatchFrame(Wire::pack(makeFullReport(5, "old")), "agent", held));
    REQUIRE(Protocol::applyWatchFrame(Wire::pack(Protocol::LoadReport{true, 6, 5, {3, 1, 8}}), "agent", held));
    Protocol::AgentReport expected = makeFullReport(6, "old");
    expected.m_load = Protocol::EndpointLoad{3, 1, 8};
    REQUIRE(held == expected);
}

TEST_CASE("A load report that names a missed full report is rejected, and the last received report stays unchanged")
{
    // An entry falls behind and misses the report in which an engine unloads a version. If the load reports that follow were applied to the old report, the
    // entry would keep sending requests for that version. If they are ignored, the old report expires until the next full one arrives.
    Protocol::AgentReport held = makeFullReport(5, "old");
    const Core::Result<void> applied = Protocol::applyWatchFrame(Wire::pack(Protocol::LoadReport{true, 8, 7, {}}), "agent", held);
    REQUIRE(applied.error().m_code == Core::ErrorCode::Conflict);
    REQUIRE(held == makeFullReport(5, "old"));
    REQUIRE(Protocol::applyWatchFrame("noise", "agent", held).error().m_code == Core::ErrorCode::Corrupt);
}
