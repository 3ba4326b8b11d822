/// @file Judges a run from what the stand-ins truly did and what callers were told: decision logic over journals.
#pragma once

#include "LibCore/Error.h"
#include "LibStandIn/Engine.h"
#include "LibStandIn/PlainService.h"

#include <set>
#include <string>
#include <vector>

namespace StandIn {

/// Journal of one engine.
struct EngineJournal
{
    std::string m_name;
    bool m_isComplete = true; ///< False if entries were dropped, or the engine was restarted or killed.
    std::vector<EngineRun> m_runs;

    bool operator==(const EngineJournal &) const = default;
};

/// Journal of one plain service.
struct ServiceJournal
{
    std::string m_name;
    bool m_isComplete = true; ///< As for engines.
    std::vector<ServiceEffect> m_effects;

    bool operator==(const ServiceJournal &) const = default;
};

/// What one caller asked and was told, from a trace that oriolerail-load recorded.
struct CallerRecord
{
    bool m_isCall = false; ///< A call at a plain service, else a generation.
    bool m_isKeyed = false;
    std::string m_question; ///< questionName() of account and prompt.
    std::string m_key; ///< Of the last try.
    std::string m_outcome; ///< "ok", "not-run", "unknown", "failed" or "wrong".
    std::string m_digest; ///< Version that the answer named.
    std::uint64_t m_brokenTries = 0; ///< Tries that may have run without the caller having been told.

    bool operator==(const CallerRecord &) const = default;
};

/// Everything known about a run.
struct RunEvidence
{
    std::vector<EngineJournal> m_engines;
    std::vector<ServiceJournal> m_services;
    std::vector<CallerRecord> m_callers;

    bool operator==(const RunEvidence &) const = default;
};

/// A promise that was broken.
struct Violation
{
    std::string m_guarantee;
    std::string m_evidence;

    bool operator==(const Violation &) const = default;
};

/// Read the JSON of GET /journal; fail with Corrupt.
Core::Result<EngineJournal> parseEngineJournal(const std::string &name, const std::string &json);
Core::Result<ServiceJournal> parseServiceJournal(const std::string &name, const std::string &json);
/// Reads a line of a recorded trace; fails with Corrupt.
Core::Result<CallerRecord> parseCallerRecord(const std::string &line);

/// Every run was made by the whole weights of a version that exists. @p known holds the digests of whole weights.
std::vector<Violation> checkCompleteWeights(const std::vector<EngineJournal> &engines, const std::set<std::string> &knownDigests);

/// No attempt ran twice, at one engine or at two.
std::vector<Violation> checkAttemptsRanOnce(const std::vector<EngineJournal> &engines);

/// No key had more than one effect.
std::vector<Violation> checkKeysHadOneEffect(const std::vector<ServiceJournal> &services);

/// What callers were told is true: "not run" left no trace anywhere, an answer did run.
/// That something ran is only demanded of journals that are all complete.
std::vector<Violation> checkReportedOutcomes(const RunEvidence &evidence);

/// All checks together.
std::vector<Violation> checkRun(const RunEvidence &evidence, const std::set<std::string> &knownWeights);

}
