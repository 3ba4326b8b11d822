/// @file Emulates a fleet in which engines end under parts of prompts, to compare ways of telling these parts from others without a network.
#pragma once

#include "LibQuarantine/PartQuarantine.h"

namespace Emulator {

/// A fleet, its traffic and its faults.
struct QuarantineExperiment
{
    std::size_t m_entries = 12;
    std::size_t m_engines = 27;
    std::size_t m_slots = 16; ///< Requests at once at each engine.
    double m_requestsPerSecond = 200; ///< Sound ones.
    double m_crashingPerSecond = 4; ///< Requests with a part under which engines end.
    std::size_t m_crashingParts = 1;
    std::size_t m_crashingCallers = 0; ///< Callers that send a request of their own under which engines end again and again, at once.
    std::uint32_t m_maximumAttempts = 2; ///< Engines that one attempt of a caller may reach.
    std::uint32_t m_callerAttempts = 1; ///< Attempts of the caller of a sound request, one after the other.
    double m_sessionShare = 0.3; ///< Share of the sound requests that have a part which only few others have.
    Core::Duration m_firstTokenTime{100}; ///< Minimum time from the arrival of a request at an engine to its first event.
    double m_otherCrashesPerSecond = 0; ///< Ends of engines for other reasons, one at a time.
    std::vector<Core::Duration> m_powerLosses; ///< When all engines end in one moment.
    std::optional<Core::Duration> m_entriesRestart; ///< When a third of the entries forget everything.
    double m_lossShare = 0.05; ///< Share of the messages between entries that are lost.
    bool m_exchanges = true; ///< Entries tell each other what they see.
    bool m_acquits = true; ///< Entries take completed answers into account.
    Core::Duration m_begin{5000}; ///< When the first request with a part under which engines end comes.
    Core::Duration m_duration{25000};
    std::uint64_t m_seed = 1;
    Quarantine::QuarantineSettings m_settings;
    Quarantine::DecideFunction m_decide = Quarantine::decide;
};

struct QuarantineOutcome
{
    std::size_t m_crashes = 0; ///< Under the parts that end engines.
    std::size_t m_requestCrashes = 0; ///< Under the requests that end engines by themselves.
    std::size_t m_crashesAfterThird = 0; ///< Of these, after three engines had ended under the same request.
    std::size_t m_soundBlamed = 0; ///< Sound requests that were refused because engines had ended under them.
    std::size_t m_lateArrivals = 0; ///< Requests with such a part at engines, later than three seconds after the fifth crash under it.
    std::size_t m_soundRequests = 0;
    std::size_t m_soundRefused = 0;
    std::size_t m_soundHeld = 0; ///< That waited at an entry, for however short a time.
    std::size_t m_wronglyBlamed = 0; ///< Parts, of the sound ones.
    double m_bytesPerSecond = 0; ///< Sent by the busiest entry about parts, on average from the first crash on.
    std::size_t m_memoryBytes = 0; ///< Estimated for the largest quarantine of an entry.

    bool operator==(const QuarantineOutcome &) const = default;
};

/// Plays the experiment; the same experiment always has the same outcome.
QuarantineOutcome play(const QuarantineExperiment &experiment);

/// Blames every part with enough crashes, without asking which part explains them.
std::vector<Quarantine::PromptPart> blameByCount(std::vector<Quarantine::Suspect> suspects, Core::Instant now, const Quarantine::DecisionSettings &settings);

/// Blames parts with enough crashes if at least half of the requests that this process has sent ended with one.
std::vector<Quarantine::PromptPart> blameByShare(std::vector<Quarantine::Suspect> suspects, Core::Instant now, const Quarantine::DecisionSettings &settings);

}
