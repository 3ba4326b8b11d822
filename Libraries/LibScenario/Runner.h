/// @file Runs a script against a fleet of real processes.
#pragma once

#include "LibBench/Fleet.h"
#include "LibBench/Publication.h"
#include "LibScenario/FleetView.h"
#include "LibScenario/Script.h"

#include <map>
#include <memory>
#include <ostream>
#include <string>

namespace Scenario {

/// Counts of one load, as the load tool printed them; nested values are named with dots.
using LoadResult = std::map<std::string, double>;

/**
 * Executes steps one after another and stops at the first that does not hold.
 *
 * Every wait is for a condition and has a limit, so that a verdict does not depend on the machine's speed.
 */
class Runner
{
public:
    /// @p programs is the directory of the binaries; progress goes to @p output.
    Runner(Script script, std::string programs, std::ostream &output);

    /// Starts the fleet and runs every step. Fails with the step that did not hold.
    Core::Result<void> run();

private:
    Core::Result<void> runStep(const Step &step);
    Core::Result<void> perform(const Publish &publish);
    Core::Result<void> perform(const Load &load);
    Core::Result<void> perform(const Join &join);
    Core::Result<void> perform(const ControlProcess &control);
    Core::Result<void> perform(const Fault &fault);
    Core::Result<void> perform(const Wait &wait);
    Core::Result<void> perform(const Sleep &sleep);
    Core::Result<void> perform(const ExpectLoad &expect);
    Core::Result<void> perform(const ExpectJournals &expect);
    Core::Result<void> perform(const ExpectOrigin &expect);
    Core::Result<void> perform(const Report &report);

    Core::Result<void> publishOnce(const Bench::Publication &publication, bool refused);
    std::vector<std::string> loadArguments(const Load &load) const;
    Core::Result<void> finishLoad(const std::string &name);
    bool isMet(const Wait &wait);
    double originCopies() const;

    const Script m_script;
    const std::string m_programs;
    std::ostream &m_output;
    std::unique_ptr<Bench::Fleet> m_fleet;
    StoredDigests m_digests; ///< Read when the fleet has started.
    std::map<std::string, Bench::Process> m_loads; ///< Loads that run in the background.
    std::map<std::string, LoadResult> m_results; ///< Loads that have ended.
    std::uint64_t m_lastRevision = 0; ///< Offset of the newest accepted publication.
    std::uint64_t m_originBytesAtPublication = 0; ///< Origin journal at the newest publication.
    Core::Instant m_publishedAt;
    std::map<std::string, double> m_measurements; ///< What a report prints.
};

}
