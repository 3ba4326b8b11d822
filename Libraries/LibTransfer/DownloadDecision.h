/// @file Why a replica requests a chunk from the origin, and the log lines about these requests.
#pragma once

#include "LibCore/Clock.h"
#include "LibTelemetry/EventLog.h"
#include "LibWeights/Manifest.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Transfer {

/// The rule by which a replica may download a chunk.
enum class DownloadReason {
    FirstRanked, ///< No replica is ranked before it.
    Successor, ///< All replicas ranked before it are absent or cannot reach the origin.
    Late, ///< The replicas ranked before it deliver the chunk later than all others.
    Overdue, ///< The replicas ranked before it appear healthy, but nobody has held the chunk for a long time.
    OriginBudget, ///< The origin may send the chunk more than once.
    NoExchange, ///< The strategy does not distribute chunks among replicas.
};

std::string_view downloadReasonName(DownloadReason reason);

/// The inputs of a decision to request a chunk from the origin.
struct DownloadDecision
{
    DownloadReason m_reason = DownloadReason::FirstRanked;
    std::uint32_t m_rank = 0; ///< Of this replica among all that it knows.
    std::uint32_t m_replicas = 0; ///< Replicas in the newest plan.
    std::uint32_t m_followed = 0; ///< Replicas whose holdings should be followed.
    std::uint32_t m_answered = 0; ///< Those of them that have answered.
    Core::Duration m_age{0}; ///< Since this replica began to transfer the version.
    Core::Duration m_overdue{0}; ///< Since the download of the chunk was due by the schedule.

    bool operator==(const DownloadDecision &) const = default;
};

/// Returns the line about a request to the origin.
Telemetry::LogLine originRequestLine(const std::string &digest, Weights::ChunkIndex chunk, const DownloadDecision &decision);

/// Returns the line about the end of a request to the origin. @p outcome: "ok", "failed" or "corrupt".
Telemetry::LogLine originResponseLine(const std::string &digest, Weights::ChunkIndex chunk, std::string_view outcome, Core::Duration took);

/// Returns the line about a list of replicas that has changed. @p age: since this replica began to transfer the version; 0 before.
Telemetry::LogLine replicasLine(const std::string &digest, std::size_t before, std::size_t now, Core::Duration age);

}
