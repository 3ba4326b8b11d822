/// @file Checks the guarantees of a run: compares the journals of the stand-ins with the outcomes that callers recorded.
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
    bool m_isComplete = true; ///< False if entries were dropped, or the service was restarted or killed.
    std::vector<ServiceEffect> m_effects;

    bool operator==(const ServiceJournal &) const = default;
};

/// A request of a caller and its outcome, from a trace recorded by oriolerail-load.
struct CallerRecord
{
    bool m_isCall = false; ///< True for a call to a plain service, false for a generation.
    bool m_isKeyed = false; ///< The call carried an idempotency key.
    std::string m_question; ///< Identifier of the account and prompt in journals, see questionName().
    std::string m_key; ///< Idempotency key of the last try.
    std::string m_outcome; ///< "ok", "not-run", "unknown", "failed" or "wrong".
    std::string m_digest; ///< Version named in the answer.
    std::uint64_t m_brokenTries = 0; ///< Tries that may have run without the caller receiving an outcome.

    bool operator==(const CallerRecord &) const = default;
};

/// All journals and caller records of a run.
struct RunEvidence
{
    std::vector<EngineJournal> m_engines;
    std::vector<ServiceJournal> m_services;
    std::vector<CallerRecord> m_callers;

    bool operator==(const RunEvidence &) const = default;
};

/// A violated guarantee and the evidence for it.
struct Violation
{
    std::string m_guarantee;
    std::string m_evidence;

    bool operator==(const Violation &) const = default;
};

/// Parses the answer of GET /journal of an engine. Fails with Corrupt.
Core::Result<EngineJournal> parseEngineJournal(const std::string &name, const std::string &json);
/// Parses the answer of GET /journal of a plain service. Fails with Corrupt.
Core::Result<ServiceJournal> parseServiceJournal(const std::string &name, const std::string &json);
/// Parses a line of a recorded trace. Fails with Corrupt.
Core::Result<CallerRecord> parseCallerRecord(const std::string &line);

/// Checks that every run used the complete weights of a known version. @p knownDigests holds the digests of complete weights.
std::vector<Violation> checkCompleteWeights(const std::vector<EngineJournal> &engines, const std::set<std::string> &knownDigests);

/// Checks that no attempt ran twice, on the same engine or on two.
std::vector<Violation> checkAttemptsRanOnce(const std::vector<EngineJournal> &engines);

/// Checks that no idempotency key had more than one effect.
std::vector<Violation> checkKeysHadOneEffect(const std::vector<ServiceJournal> &services);

/// Checks that the outcomes reported to callers are true: a request reported as "not run" is in no journal, and an answered one
/// ran. The second check applies only if all journals are complete.
std::vector<Violation> checkReportedOutcomes(const RunEvidence &evidence);

/// Runs all checks.
std::vector<Violation> checkRun(const RunEvidence &evidence, const std::set<std::string> &knownWeights);

}
