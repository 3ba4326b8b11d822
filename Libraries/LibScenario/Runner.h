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

/// Values printed by the load tool for one load; names of nested values are joined with dots.
using LoadResult = std::map<std::string, double>;

/**
 * Executes the steps of a script in order and stops at the first one that fails.
 *
 * Every wait is for a condition and has a timeout, so that the result does not depend on the speed of the machine.
 */
class Runner
{
public:
    /// @p programs is the directory of the binaries; progress is printed to @p output.
    Runner(Script script, std::string programs, std::ostream &output);

    /// Starts the fleet and runs all steps. Fails with the error of the first step that fails, or if a process ended unexpectedly.
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
    StoredDigests m_digests; ///< Read once the fleet has started.
    std::map<std::string, Bench::Process> m_loads; ///< Running loads.
    std::map<std::string, LoadResult> m_results; ///< Results of finished loads.
    std::uint64_t m_lastRevision = 0; ///< Revision of the latest accepted publication.
    std::uint64_t m_originBytesAtPublication = 0; ///< Bytes sent by the origin when the latest publish step started.
    Core::Instant m_publishedAt; ///< Start of the latest publish step.
    std::map<std::string, double> m_measurements; ///< Values printed by a report step.
};

}
